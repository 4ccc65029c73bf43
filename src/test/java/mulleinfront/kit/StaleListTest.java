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
 * Incident 1: processes whose watch of discovery is lost as servers drain go on sending there after the drain counts as
 * told. What is judged is what arrived at the servers, by the times that the settings state.
 */
@Execution(ExecutionMode.CONCURRENT)
class StaleListTest {
    private static final String DAEMON = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx96m -cp '" + System.getProperty("java.class.path")
            + "' mulleinfront.Main serve";
    /** Requests have no keys, so that all processes send to all servers, those that drain too. */
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

    private void keepsDrains(String lines) throws Exception {
        Path file = Files.writeString(
                folder.resolve("day.toml"),
                "[scenario]\ntitle = \"a test\"\nworld = \""
                        + Path.of("scenarios/calm.toml").toAbsolutePath() + "\"\n" + WORLD + lines + DRAIN);
        KitResult r =
                new RealRun(ScenarioReader.read(file), 1, DAEMON, Path.of("").toAbsolutePath(), folder, l -> {}).play();
        assertEquals(List.of(), r.failures());
        assertEquals(
                List.of(),
                r.sockets().breaches().stream().limit(3).toList(),
                r.sockets().breachCount() + " in all");
        assertTrue(r.sockets().service().tries().get("served") > 1_000, "it was served on");
    }

    /**
     * Discovery works through a call of each in 2.4 s, and watches end instead of telling of the drain: each process
     * has to have asked within the settings' 1.8 s.
     */
    @Test
    void whoseWatchEndedAsksWithinTheTimeOfTheSettings() throws Exception {
        keepsDrains("""
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

    /** Where the settings allow 10 s, it is 2 s after the end of the watch: a poll's wait is over then. */
    @Test
    void whoseWatchEndedAsksWithinTwoSecondsOfItsEnd() throws Exception {
        keepsDrains("""
                [discovery]
                call = "400ms"
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /**
     * Incident 2: calls of all take 4.2 s, and discovery gives up those that wait for 2 s; the end of the watch counts all
     * the same, though a call is out or was given up.
     */
    @Test
    void whoseCallWaitsOrIsGivenUpSendsNothingOnceItsListCountsAsOutOfDate() throws Exception {
        keepsDrains("""
                [discovery]
                call = "700ms"
                [[fault]]
                do = "discovery-ends"
                at = "7.5s"
                of-each = 1
                """);
    }

    /** Incident 2: discovery answers 2.9 s after each call; one call of each suffices, and none is given up before. */
    @Test
    void whoseSlowCallIsNotAnsweredYetSendsNothingOnceItsListCountsAsOutOfDate() throws Exception {
        keepsDrains("""
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

    /** Two calls of each are refused after that: each process has to have the drain 6 s after discovery had it. */
    @Test
    void whoseCallsWereRefusedTwiceHasTheListWithinSixSeconds() throws Exception {
        keepsDrains("""
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

    /** The same where two lists in a row break off halfway. */
    @Test
    void whoseListsBrokeOffTwiceHasTheListWithinSixSeconds() throws Exception {
        keepsDrains("""
                [[fault]]
                do = "discovery-cuts"
                at = "7.5s"
                of-each = 3
                """);
    }
}
