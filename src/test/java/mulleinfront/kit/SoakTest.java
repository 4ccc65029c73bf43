package mulleinfront.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mulleinfront.emulator.GeneratedScenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.proxy.IgnoresWatchEndsDaemon;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Scenario generation, verdicts, and short soak runs on processes. */
@Execution(ExecutionMode.CONCURRENT)
class SoakTest {
    private static final String JAVA = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx96m -cp '" + System.getProperty("java.class.path") + "' ";

    @TempDir
    Path folder;

    private Soak.SeedResult run(String daemon, long seed) throws Exception {
        return run(new Soak.Plan(4, 14, 1_000), daemon, seed);
    }

    private Soak.SeedResult run(Soak.Plan plan, String daemon, long seed) throws Exception {
        return new Soak(plan, JAVA + daemon, Path.of("").toAbsolutePath(), line -> {}).run(seed, folder);
    }

    @Test
    void fourProcessesKeepTheRules() throws Exception {
        Soak.SeedResult result = run("mulleinfront.Main serve", 2);
        assertEquals(List.of(), result.failures());
        assertTrue(
                result.result().sockets().service().tries().get("served") > 100, "more than 100 tries must be served");
    }

    @Test
    void failsADaemonThatBreaksARule() throws Exception {
        Soak.SeedResult result = run(BrokenDaemon.class.getName() + " answers-twice", 2);
        assertFalse(result.failures().isEmpty());
    }

    /**
     * A proxy that ignores the end of its watch keeps sending by the old list; only a slow enough discovery reveals it.
     */
    @Test
    void failsADaemonThatIgnoresTheEndOfItsWatch() throws Exception {
        Soak.SeedResult result = run(new Soak.Plan(6, 20, 0), IgnoresWatchEndsDaemon.class.getName(), 11);
        assertTrue(result.failures().stream().anyMatch(f -> f.contains("drains are kept")), "" + result.failures());
    }

    @Test
    void equalSeedsGenerateEqualValidScenarios() throws Exception {
        for (long seed = 1; seed <= 50; seed++) {
            String text = GeneratedScenario.soak(seed, 24, 60, 0);
            assertEquals(text, GeneratedScenario.soak(seed, 24, 60, 0));
            Path file = Files.writeString(folder.resolve("drawn.toml"), text);
            assertTrue(ScenarioReader.read(file).faults().size() > 10, "seed " + seed);
        }
    }

    @Test
    void loggedViolationsAreFailures() throws Exception {
        Files.writeString(folder.resolve("daemon-0.log"), "mulleinfront: instance=0 event=metrics answers.served=1\n");
        assertEquals(List.of(), Soak.violations(folder));
        String line = "mulleinfront: instance=1 event=violation check=close_unanswered request=null";
        Files.writeString(folder.resolve("daemon-1.log"), line + "\n");
        assertEquals(List.of("daemon-1.log: " + line), Soak.violations(folder));
    }

    @Test
    void rejectsAnInvalidPlanNamingTheFlag() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Soak.Plan(4, 3, 0))
                .getMessage()
                .startsWith("--length"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Soak.Plan(0, 60, 0))
                .getMessage()
                .startsWith("--instances"));
    }
}
