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
 * No client proxy rejects all its requests, when it gets at least 15, for 4 s without a single attempt. A proxy that
 * admits nothing gets no responses to learn from, and so keeps rejecting after the servers have recovered.
 */
class IdleProcessesTest {
    private static final long IDLE_US = 4_000_000;
    private static final int MIN_REQUESTS = 15;

    /** The requests that one instance got since its last attempt. */
    private static final class IdleRecorder implements RecordingBalancer.Recorder {
        private final Set<IdleRecorder> idleInstances;
        private final ArrayDeque<Long> requestTimesUs = new ArrayDeque<>();
        private long lastAttemptUs = Long.MIN_VALUE / 2;

        IdleRecorder(Set<IdleRecorder> idleInstances) {
            this.idleInstances = idleInstances;
        }

        @Override
        public void onEvent(long now, String event, Object[] args) {
            if (event.equals("onRequest")) {
                requestTimesUs.add(now);
                while (requestTimesUs.peek() <= now - IDLE_US) {
                    requestTimesUs.poll();
                }
                // An attempt for this request would follow this event, so only earlier requests count.
                if (requestTimesUs.size() > MIN_REQUESTS && now - lastAttemptUs > IDLE_US) {
                    idleInstances.add(this);
                }
            }
        }

        @Override
        public void onAction(long now, String action, Object[] args) {
            if (action.equals("send")) {
                lastAttemptUs = now;
                requestTimesUs.clear();
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
    void noProxyRejectsAllRequestsForFourSeconds(String fault, int proxies, int load, long seed) throws Exception {
        // One proxy in ten would be tolerable; the test allows none, so that the first one is noticed.
        Set<IdleRecorder> idleInstances = new HashSet<>();
        World world = Worlds.world(
                scenario(load + "%", FAULTS.get(fault)).withProxies(proxies),
                seed,
                RecordingBalancer.factory(s -> s, () -> new IdleRecorder(idleInstances)),
                CoreWiring.UNCHANGED);
        assertTrue(world.run().service().requests() > 1_000, "too few requests");
        assertEquals(0, idleInstances.size(), "of " + proxies + ", seed " + seed);
    }
}
