package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mulleinfront.Balancer.Availability;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against sending to a draining server while discovery has more callers than it can answer: it is reachable and
 * has the drain, although calls keep failing after a wait.
 */
@Execution(ExecutionMode.CONCURRENT)
class CrowdedDiscoveryTest {
    private static final long CAUSE_AT_US = 30_000_000;
    private static final long SEEDS = 3;
    /** Calls of all instances take 10 s, and discovery drops each after 3 s. */
    private static final String CROWD = "length = \"50s\"\n[discovery]\ncall = \"250ms\"\ntimeout = \"3s\"\n"
            + "[proxies]\ncount = 40\nstart-within = \"200ms\"\n[load]\nrate = \"200/s\"\n";

    /** Why all instances call discovery at the same time. */
    enum Cause {
        START("kill-proxy", "part = \"100%\"\nwithin = [\"0s\", \"100ms\"]\n"),
        WATCH_RESET("watches-reset", ""),
        WATCH_SILENT("watches-silent", ""),
        WATCH_ENDED("discovery-ends", "of-each = 1\n"),
        MOVE("reload-proxy", "part = \"100%\"\nwithin = [\"0s\", \"100ms\"]\n");

        private final String fault;

        Cause(String type, String keys) {
            this.fault = "[[fault]]\ndo = \"" + type + "\"\nat = \"30s\"\n" + keys;
        }
    }

    @ParameterizedTest
    @EnumSource
    void drainsAreKeptWhileCallsFail(Cause cause) throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            World world = Worlds.world(Worlds.of(CROWD + cause.fault), seed);
            Host drainingHost = world.hosts.get(0);
            world.queue.after(CAUSE_AT_US + 200_000, () -> {
                drainingHost.process.drain();
                world.registry.recordChange(
                        new Registry.Entry(drainingHost.listed(Availability.DRAINING), drainingHost.address));
            });
            World.Result result = world.run();
            assertTrue(result.service().counts().get("discovery calls failed") > 0, "discovery has too many callers");
            assertEquals(List.of(), result.breaches(), cause + ", seed " + seed);
        }
    }
}
