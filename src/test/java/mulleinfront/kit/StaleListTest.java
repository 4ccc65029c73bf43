package mulleinfront.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mulleinfront.emulator.ScenarioReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against requests to draining servers after the propagation deadline. The failure arises when the discovery
 * watch ends while servers drain and the proxy keeps using its old list. The auditor checks the requests that arrive at
 * the servers against the time limits of the settings.
 */
@Execution(ExecutionMode.CONCURRENT)
class StaleListTest {
    private static final String DAEMON = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx96m -cp '" + System.getProperty("java.class.path")
            + "' mulleinfront.Main serve";
    /** Requests have no keys, so that all processes send to all servers, including the draining ones. */
    private static final String WORLD = """
            length = "20s"
            settle = "3s"
            [proxies]
            count = 6
            spread = 0
            [load]
            rate = "180/s"
            shape = "steady"
            keys = 0
            """;

    private static final String DRAIN = """
            [[fault]]
            do = "drain"
            at = "8s"
            servers = ["new-0", "new-1", "old-0", "old-1"]
            """;

    @TempDir
    Path folder;

    private void assertDrainsRespected(String lines) throws Exception {
        Path file = Files.writeString(
                folder.resolve("day.toml"),
                "[scenario]\ntitle = \"a test\"\nworld = \""
                        + Path.of("scenarios/calm.toml").toAbsolutePath() + "\"\n" + WORLD + lines + DRAIN);
        KitResult result =
                new RealRun(ScenarioReader.read(file), 1, DAEMON, Path.of("").toAbsolutePath(), folder, l -> {}).run();
        assertEquals(List.of(), result.failures());
        assertEquals(
                List.of(),
                result.sockets().breaches().stream().limit(3).toList(),
                result.sockets().breachCount() + " in all");
        assertTrue(result.sockets().service().tries().get("served") > 1_000, "more than 1,000 tries must be served");
    }

    /**
     * Discovery needs 2.4 s for one call of each process, and watches end instead of sending the drain. Each process
     * has to call discovery within the 1.8 s of the settings.
     */
    @Test
    void callsDiscoveryWithinTheConfiguredTimeAfterItsWatchEnds() throws Exception {
        assertDrainsRespected("""
                [discovery]
                call = "400ms"
                [rules]
                ask-within = "1.8s"
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /** The settings allow 10 s, but the limit is 2 s after the end of the watch, when the wait of a poll is over. */
    @Test
    void callsDiscoveryWithinTwoSecondsAfterItsWatchEnds() throws Exception {
        assertDrainsRespected("""
                [discovery]
                call = "400ms"
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /**
     * One call of each process takes 4.2 s in total, and calls that wait for 2 s are abandoned. The end of the watch
     * starts the deadline even if a call is pending or was abandoned.
     */
    @Test
    void sendsNothingByAnExpiredListWhileCallsWaitOrAreAbandoned() throws Exception {
        assertDrainsRespected("""
                [discovery]
                call = "700ms"
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /** Discovery responds 2.9 s after each call; one call per process is enough, and none is abandoned before. */
    @Test
    void sendsNothingByAnExpiredListWhileACallIsUnanswered() throws Exception {
        assertDrainsRespected("""
                [[fault]]
                do = "discovery-late"
                at = "7s"
                for = "12s"
                by = ["2.9s", "2.9s"]
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /** Two calls of each process are refused after the watch ends; it has to know of the drain within 6 s. */
    @Test
    void hasTheListWithinSixSecondsAfterTwoRefusedCalls() throws Exception {
        assertDrainsRespected("""
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                [[fault]]
                do = "discovery-refuses"
                at = "7.5s"
                of-each = 2
                """);
    }

    /** Two lists in a row are truncated; each process has to know of the drain within 6 s. */
    @Test
    void hasTheListWithinSixSecondsAfterTwoTruncatedLists() throws Exception {
        assertDrainsRespected("""
                [[fault]]
                do = "discovery-cuts"
                at = "7.5s"
                of-each = 3
                """);
    }
}
