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
 * Days of random, overlapping faults over client proxies as processes, drawn by seed: a seed that fails plays again. They
 * are judged by the four rules, by what the processes do, and by the violations that they count themselves.
 */
public final class Soak {
    /** What is said of a process's own violations. */
    private static final String VIOLATION = " event=violation ";

    private final Plan plan;
    private final String command;
    private final Path root;
    private final Consumer<String> progress;

    /**
     * What is played for each seed.
     *
     * @param instances client proxies
     * @param lengthS how long clients ask, seconds
     * @param alsoListed draining servers that make whole lists long
     */
    public record Plan(int instances, int lengthS, int alsoListed) {
        /** Rejects what can't be played. */
        public Plan {
            need(instances >= 1, "--instances: at least 1");
            need(
                    lengthS >= GeneratedScenario.LEAST_SOAK_S,
                    "--length: at least " + GeneratedScenario.LEAST_SOAK_S + " seconds");
            need(alsoListed >= 0, "--also-listed: at least 0");
        }

        private static void need(boolean ok, String otherwise) {
            if (!ok) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }

    /**
     * How one seed went.
     *
     * @param rehearsal what the judge of the rules saw
     * @param violations lines of the processes' logs in which they say that they broke a rule
     */
    public record Played(long seed, KitResult rehearsal, List<String> violations) {
        /** What failed, in lines; empty if nothing did. */
        public List<String> failures() {
            List<String> all = new ArrayList<>(rehearsal.failures());
            if (rehearsal.sockets() != null) {
                rehearsal.sockets().breaches().forEach(b -> all.add(b.toString()));
            }
            all.addAll(violations);
            return all;
        }

        /** Whether the machine was too busy for its verdict to say anything. */
        public boolean tooBusy() {
            return rehearsal.verdict(true) == KitResult.Verdict.TOO_BUSY;
        }
    }

    /**
     * @param command starts one client proxy, by {@code /bin/sh -c} from {@code root}
     * @param progress told of each step in a line
     */
    public Soak(Plan plan, String command, Path root, Consumer<String> progress) {
        this.plan = plan;
        this.command = command;
        this.root = root;
        this.progress = progress;
    }

    /**
     * Plays one seed.
     *
     * @param folder for its scenario, configurations and logs
     */
    public Played play(long seed, Path folder) throws IOException, InterruptedException, BadFileException {
        Files.createDirectories(folder);
        Path file = folder.resolve("soak-" + seed + ".toml");
        Files.writeString(file, GeneratedScenario.soak(seed, plan.instances(), plan.lengthS(), plan.alsoListed()));
        KitResult rehearsal = new RealRun(ScenarioReader.read(file), seed, command, root, folder, progress).play();
        return new Played(seed, rehearsal, violations(folder));
    }

    /** What the processes whose logs are in a folder say that they broke. */
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
