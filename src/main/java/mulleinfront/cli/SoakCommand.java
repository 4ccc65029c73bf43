package mulleinfront.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.emulator.GeneratedScenario;
import mulleinfront.kit.Soak;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code kit soak}: runs random, overlapping faults against a few dozen client proxies, seed after seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Runs random, overlapping faults on sockets against client proxies as processes, seed after seed.",
        footer = {
            "",
            "Exit codes: 0 all rules kept, 2 bad input, 3 a rule was broken or a client proxy failed, 5 the machine was"
                    + " too busy."
        })
final class SoakCommand implements Callable<Integer> {
    /** Limit on the failures printed for one seed. */
    private static final int MAX_FAILURES_PRINTED = 5;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N[..M]",
            defaultValue = "1..3",
            description = "seeds to run (default" + " ${DEFAULT-VALUE}); a failed seed can be repeated")
    private String seeds;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "24",
            description = "client proxies, one process each" + " (default ${DEFAULT-VALUE})")
    private int instances;

    @Option(
            names = "--length",
            paramLabel = "S",
            defaultValue = "" + GeneratedScenario.SOAK_S,
            description = "duration of the load for" + " each seed, seconds (default ${DEFAULT-VALUE})")
    private int lengthS;

    @Option(
            names = "--also-listed",
            paramLabel = "N",
            defaultValue = "0",
            description = "additional draining servers in the"
                    + " lists; thousands make the lists long (default ${DEFAULT-VALUE})")
    private int alsoListed;

    @Option(
            names = "--daemon",
            paramLabel = "CMD",
            description = "the shell command that starts one client proxy (default:"
                    + " the run line of deploy/balancer.toml in the working directory, if it exists,"
                    + " else this program's serve)")
    private String daemon;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "directory for scenarios, configurations and logs (default: a new" + " temporary directory)")
    private Path report;

    @Override
    public Integer call() throws IOException, InterruptedException, BadFileException {
        Soak soak;
        try {
            soak = new Soak(
                    new Soak.Plan(instances, lengthS, alsoListed),
                    KitCommand.daemonCommand(daemon),
                    Path.of("").toAbsolutePath(),
                    line -> {});
        } catch (IllegalArgumentException e) {
            throw new BadFileException("kit soak: " + e.getMessage());
        }
        Path directory = report != null ? report : Files.createTempDirectory("soak");
        List<Long> failed = new ArrayList<>();
        boolean busy = false;
        for (long seed : parseSeeds(seeds)) {
            Soak.SeedResult result = soak.run(seed, directory.resolve("seed-" + seed));
            if (result.tooBusy()) {
                busy = true;
            } else if (!result.failures().isEmpty()) {
                failed.add(seed);
            }
            print(result);
        }
        if (!failed.isEmpty()) {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    "failed: seeds %s; again: kit soak --seeds N --instances %d --length %d --also-listed %d%nlogs: %s%n",
                    failed.stream().map(String::valueOf).collect(Collectors.joining(", ")),
                    instances,
                    lengthS,
                    alsoListed,
                    directory);
            out.flush();
        }
        return !failed.isEmpty() ? CommandLine.VIOLATION : busy ? KitCommand.TOO_BUSY : CommandLine.SUCCESS;
    }

    private void print(Soak.SeedResult result) {
        PrintWriter out = spec.commandLine().getOut();
        List<String> failures = result.failures();
        String verdict = result.tooBusy()
                ? "not judged, the machine was too busy"
                : failures.isEmpty() ? "kept" : failures.size() + " failures";
        long served = result.result().sockets() == null
                ? 0
                : result.result().sockets().service().tries().getOrDefault("served", 0L);
        out.printf(Locale.ROOT, "seed %d: %s; %d tries served%n", result.seed(), verdict, served);
        failures.stream().limit(MAX_FAILURES_PRINTED).forEach(failure -> out.println("  " + failure));
        out.flush();
    }

    /** Parses a single seed or a range of seeds. */
    private static List<Long> parseSeeds(String text) throws BadFileException {
        String[] ends = text.split("\\.\\.", 2);
        try {
            long first = Long.parseLong(ends[0].strip());
            long last = Long.parseLong(ends[ends.length - 1].strip());
            if (first > last) {
                throw new BadFileException("kit soak: --seeds: " + text + ": the lower bound exceeds the upper bound");
            }
            List<Long> seeds = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                seeds.add(seed);
            }
            return seeds;
        } catch (NumberFormatException e) {
            throw new BadFileException("kit soak: --seeds: '" + text + "' is not a number or range, such as 1..20");
        }
    }
}
