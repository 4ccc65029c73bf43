package mulleinfront.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import mulleinfront.cli.CommandLine;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** A small scale test with real and simulated members. Phases and outcome are asserted; costs are not. */
@Execution(ExecutionMode.CONCURRENT)
class ScaleRunTest {
    private static final String JAVA = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m -cp '" + System.getProperty("java.class.path")
            + "' mulleinfront.Main ";
    private static final Path WORLD = Path.of("scenarios/kit/size.toml");

    @TempDir
    Path folder;

    private ScaleRun run(ScaleRun.Plan plan, String daemon) throws Exception {
        return new ScaleRun(plan, WORLD, daemon, JAVA.strip(), Path.of("").toAbsolutePath(), folder, line -> {});
    }

    @Test
    void realAndSimulatedMembersConvergeThroughAllFaults() throws Exception {
        ScaleRun.Plan plan = new ScaleRun.Plan(3, 30, 15, 1, 2, 12, 200, true, EnumSet.allOf(ScaleRun.Fault.class));
        ScaleReport report = run(plan, JAVA + "serve").run();
        assertEquals(java.util.List.of(), report.failures(), report.text());
        Set<String> phases = report.rows().stream().map(ScaleReport.Row::phase).collect(Collectors.toSet());
        assertTrue(
                phases.containsAll(Set.of(
                        "start",
                        "rest",
                        "a fifth killed at once",
                        "a fifth back",
                        "two sides cut",
                        "the cut heals",
                        "restarted in tenths",
                        "a control machine killed",
                        "the control machine is back",
                        "a release: a version a second")),
                phases.toString());
        // The partition took effect: n0 recorded n1, a real client proxy on the other side, as failed.
        String events = Files.readString(folder.resolve("fleet-n0.json"));
        assertTrue(events.lines().anyMatch(l -> l.contains("\"member\":1,") && l.contains("\"to\":\"failed\"")));
        // Simulated members are full members: they are recorded as failed when their process is killed.
        assertTrue(
                events.lines().filter(l -> l.contains("\"to\":\"failed\"")).count() >= 15,
                "killed simulated members must be recorded as failed");
    }

    @Test
    void reportsAProxyThatNeverGetsReady() throws Exception {
        ScaleReport report = run(
                        new ScaleRun.Plan(1, 0, 1, 1, 1, 1, 200, false, Set.of()), "echo no such thing; exit 1")
                .run();
        assertEquals(1, report.failures().size(), report.text());
        assertTrue(
                report.failures().get(0).contains("never got ready")
                        && report.failures().get(0).contains("no such thing"),
                report.text());
    }

    @Test
    void rejectsAnOversizedPlanBeforeStartingProcesses() throws Exception {
        assertTrue(assertThrows(
                        BadFileException.class,
                        () -> run(new ScaleRun.Plan(64, 400, 1, 1, 1, 1, 1000, false, Set.of()), JAVA + "serve"))
                .getMessage()
                .contains("needs 464 processes"));
        assertFalse(Files.exists(folder.resolve("world.toml")));
        assertThrows(IllegalArgumentException.class, () -> new ScaleRun.Plan(0, 1, 1, 1, 1, 1, 1000, false, Set.of()));
        assertEquals(CommandLine.BAD_INPUT, CommandLine.run("kit", "scale", "--real", "65"));
    }
}
