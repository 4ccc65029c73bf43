package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Client proxies go on trying: none turns away all that it gets, 15 requests or more, for 4 s on end with no
 * attempt in between. Who admits nothing learns nothing, and stays closed when the fleet has long recovered.
 */
class IdleProcessesTest {
    private static final long ON_END_US = 4_000_000;
    private static final int GETS = 15;

    /** What one process got while it made no attempt. */
    private static final class Idleness implements Noted.Notes {
        private final Set<Idleness> idle;
        private final ArrayDeque<Long> got = new ArrayDeque<>();
        private long lastAttempt = Long.MIN_VALUE / 2;

        Idleness(Set<Idleness> idle) {
            this.idle = idle;
        }

        @Override
        public void told(long now, String event, Object[] args) {
            if (event.equals("onRequest")) {
                got.add(now);
                while (got.peek() <= now - ON_END_US) {
                    got.poll();
                }
                // Its own attempt for this request, if there is one, comes after: only those before count.
                if (got.size() > GETS && now - lastAttempt > ON_END_US) {
                    idle.add(this);
                }
            }
        }

        @Override
        public void decided(long now, String action, Object[] args) {
            if (action.equals("send")) {
                lastAttempt = now;
                got.clear();
            }
        }
    }

    private static Scenario scenario(String load, String fault) throws BadFileException {
        return Worlds.of("""
                length = "24s"
                [discovery]
                call = "200us"
                [load]
                of-capacity = "%s"
                keys = 4000
                %s
                """.formatted(load, fault));
    }

    private static final Map<String, String> FAULTS = Map.of("calm", """
            [[fault]]
            do = "surge"
            at = "8s"
            for = "5s"
            factor = 1.5
            """, "jam", """
            [[fault]]
            do = "surge"
            at = "6s"
            for = "6s"
            factor = 4
            [[fault]]
            do = "hang"
            at = "10s"
            for = "6s"
            part = "90%"
            """, "roll", """
            [[fault]]
            do = "deploy"
            at = "5s"
            for = "12s"
            part = "50%"
            batch = "10%"
            drain = "3s"
            [[fault]]
            do = "roll-proxies"
            at = "5s"
            for = "12s"
            batch = "10%"
            [[fault]]
            do = "hang"
            at = "8s"
            for = "6s"
            part = "7%"
            """);

    @ParameterizedTest
    @CsvSource({
        "calm, 100, 60, 21",
        "calm, 20, 130, 22",
        "calm, 20, 500, 22",
        "roll, 20, 80, 23",
        "roll, 20, 200, 21",
        "jam, 20, 90, 21"
    })
    void nobodyTurnsAwayAllForFourSeconds(String day, int proxies, int load, long seed) throws Exception {
        // One in ten may: none does, so that one that begins to is seen.
        Set<Idleness> idle = new HashSet<>();
        World world = Worlds.world(
                scenario(load + "%", FAULTS.get(day)).withProxies(proxies),
                seed,
                Noted.maker(s -> s, () -> new Idleness(idle)),
                Fitting.PLAIN);
        assertTrue(world.play().service().asks() > 1_000, "something was asked");
        assertEquals(0, idle.size(), "of " + proxies + ", seed " + seed);
    }
}
