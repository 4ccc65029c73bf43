package mulleinfront.kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mulleinfront.emulator.GeneratedScenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.settings.BadFileException;

/**
 * Soak test: runs scenarios with random, overlapping faults against client proxies as processes. Each scenario is
 * generated from a seed, so a failing one can be repeated. A run fails if it breaks one of the four rules, if a process
 * fails, or if a process logs a violation of its own invariants.
 */
public final class Soak {
    /** Marks a log line in which a process reports a violation of its own invariants. */
    private static final String VIOLATION = " event=violation ";

    private final Plan plan;
    private final String command;
    private final Path root;
    private final Consumer<String> progress;

    /**
     * Parameters of the scenario for each seed.
     *
     * @param instances number of client proxies
     * @param lengthS how long clients send requests, seconds
     * @param alsoListed number of extra draining servers, which make full lists long
     */
    public record Plan(int instances, int lengthS, int alsoListed) {
        /** Rejects parameters out of range. */
        public Plan {
            require(instances >= 1, "--instances: at least 1");
            require(
                    lengthS >= GeneratedScenario.MIN_SOAK_S,
                    "--length: at least " + GeneratedScenario.MIN_SOAK_S + " seconds");
            require(alsoListed >= 0, "--also-listed: at least 0");
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }
    }

    /**
     * The result for one seed.
     *
     * @param result the result of the run
     * @param violations lines of the processes' logs that report an invariant violation
     */
    public record SeedResult(long seed, KitResult result, List<String> violations) {
        /** Descriptions of all failures; empty if there are none. */
        public List<String> failures() {
            List<String> all = new ArrayList<>(result.failures());
            if (result.sockets() != null) {
                result.sockets().breaches().forEach(b -> all.add(b.toString()));
            }
            all.addAll(violations);
            return all;
        }

        /** Whether the machine was too busy for a conclusive verdict. */
        public boolean tooBusy() {
            return result.verdict(true) == KitResult.Verdict.TOO_BUSY;
        }
    }

    /**
     * @param command shell command that starts one client proxy, run by {@code /bin/sh -c} in {@code root}
     * @param progress called with a line for each step
     */
    public Soak(Plan plan, String command, Path root, Consumer<String> progress) {
        this.plan = plan;
        this.command = command;
        this.root = root;
        this.progress = progress;
    }

    /**
     * Runs the scenario of one seed.
     *
     * @param folder for its scenario, configurations and logs
     */
    public SeedResult run(long seed, Path folder) throws IOException, InterruptedException, BadFileException {
        Files.createDirectories(folder);
        Path file = folder.resolve("soak-" + seed + ".toml");
        Files.writeString(file, GeneratedScenario.soak(seed, plan.instances(), plan.lengthS(), plan.alsoListed()));
        KitResult result = new RealRun(ScenarioReader.read(file), seed, command, root, folder, progress).run();
        return new SeedResult(seed, result, violations(folder));
    }

    /** Finds the invariant violations in the process logs of a folder. */
    static List<String> violations(Path folder) throws IOException {
        List<String> found = new ArrayList<>();
        try (DirectoryStream<Path> logs = Files.newDirectoryStream(folder, "daemon-*.log")) {
            for (Path log : logs) {
                Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
                        .filter(l -> l.contains(VIOLATION))
                        .forEach(l -> found.add(log.getFileName() + ": " + l));
            }
        }
        return found;
    }
}
