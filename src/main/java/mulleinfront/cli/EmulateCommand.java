package mulleinfront.cli;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.emulator.BalancerComparison;
import mulleinfront.emulator.ReportWriter;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.emulator.Sweep;
import mulleinfront.emulator.World;
import mulleinfront.emulator.reference.Reference;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code emulate}: runs a scenario on virtual time, with one seed or many. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        subcommands = {ExplainCommand.class, DrawCommand.class, GraphCommand.class},
        description = "Runs a scenario on virtual time and prints a report.",
        footer = {
            "",
            "Exit codes: 0 all rules kept, 2 bad input (one line on standard error)," + " 3 a rule was broken."
        })
final class EmulateCommand implements Callable<Integer> {
    private static final int WORST_SEEDS_PRINTED = 5;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "SCENARIO", description = "a scenario file, such as scenarios/calm.toml")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "random seed (default ${DEFAULT-VALUE})",
            defaultValue = "1")
    private long seed;

    @Option(
            names = "--trace",
            paramLabel = "FILE",
            description = "writes a trace of all events and decisions, one per line")
    private Path trace;

    @Option(names = "--json", paramLabel = "FILE", description = "also writes the report as JSON")
    private Path json;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description =
                    "runs all these seeds and prints the mean, the" + " worst, and how to replay the first broken rule")
    private String seeds;

    @Option(
            names = "--balancer",
            paramLabel = "NAME",
            description = "runs a reference balancer in place of the"
                    + " product: random, round-robin, two-choices, ring, late, oracle")
    private String balancer;

    @Option(
            names = "--balancers",
            paramLabel = "all",
            description = "runs the product and every reference balancer," + " and prints one table")
    private String balancers;

    @Option(
            names = "--drawn",
            paramLabel = "FAMILY",
            description = "in place of a file: each seed generates its own" + " scenario (see emulate draw)")
    private String family;

    @Option(
            names = "--instances",
            paramLabel = "N",
            description = "with --drawn: number of client proxies (default" + " ${DEFAULT-VALUE})")
    private int instances = 100;

    @Option(
            names = "--start-ms",
            paramLabel = "MS",
            description = "with --drawn: time from a client proxy's start until" + " it is ready (default: random)")
    private long startMs = -1;

    @Option(names = "--jobs", paramLabel = "N", description = "concurrent runs with --seeds (default: one per core)")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        if (file != null && family != null) {
            throw new ParameterException(spec.commandLine(), "give either a scenario file or --drawn, not both");
        }
        if (file == null && family == null) {
            // The parameter can't be declared as required, because the subcommands run without it.
            throw new ParameterException(spec.commandLine(), "Missing required parameter: 'SCENARIO'");
        }
        Sweep.ScenarioSource source = source();
        if (seeds != null && balancers == null && trace == null && json == null) {
            return sweep(source);
        }
        Scenario scenario = source.of(seed);
        if (balancers != null) {
            return compare(scenario);
        }
        if (seeds == null) {
            return runOne(scenario);
        }
        throw new ParameterException(
                spec.commandLine(), "--trace and --json are for one seed and not possible with --seeds");
    }

    private Sweep.ScenarioSource source() throws BadFileException {
        if (family == null) {
            Scenario scenario = ScenarioReader.read(file);
            return ignoredSeed -> scenario;
        }
        if (balancers != null) {
            throw new ParameterException(
                    spec.commandLine(), "--balancers needs a scenario file and is not possible with --drawn");
        }
        return Sweep.ScenarioSource.generated(
                DrawCommand.parseFamily(spec, family),
                DrawCommand.requirePositive(spec, instances),
                startMs < 0 ? -1 : startMs * 1000);
    }

    private Reference reference() {
        Reference reference = balancer == null ? null : Reference.forName(balancer);
        if (balancer != null && reference == null) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--balancer: unknown balancer '" + balancer
                            + "'; there are "
                            + Arrays.stream(Reference.values())
                                    .map(Reference::outputName)
                                    .collect(Collectors.joining(", ")));
        }
        return reference;
    }

    /** Runs the product and all reference balancers on the same seeds and prints one line for each. */
    private int compare(Scenario scenario) throws InterruptedException {
        if (!balancers.equals("all") || balancer != null || trace != null || json != null) {
            throw new ParameterException(
                    spec.commandLine(), "--balancers takes the value all, and excludes --balancer, --trace and --json");
        }
        long[] range = seeds == null ? new long[] {seed, seed} : seedRange();
        List<BalancerComparison> results = BalancerComparison.run(scenario, range[0], range[1], jobs);
        PrintWriter out = spec.commandLine().getOut();
        out.print(BalancerComparison.table(scenario, range[0], range[1], results));
        out.flush();
        return results.get(0).seedsWithBreaches() == 0 ? CommandLine.SUCCESS : CommandLine.VIOLATION;
    }

    private int runOne(Scenario scenario) throws IOException, BadFileException {
        World.Result result;
        Reference reference = reference();
        if (reference != null && trace != null) {
            throw new ParameterException(spec.commandLine(), "--trace is not possible with a reference balancer");
        }
        try (OutputStream output = trace == null ? null : open(trace)) {
            result = (reference == null
                            ? World.create(scenario, seed, output)
                            : World.withReference(reference, scenario, seed))
                    .run();
        }
        if (json != null) {
            try (OutputStream output = open(json)) {
                ReportWriter.json(result, output);
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(ReportWriter.text(result));
        out.flush();
        return result.totalBreachCount() == 0 ? CommandLine.SUCCESS : CommandLine.VIOLATION;
    }

    private static OutputStream open(Path path) throws BadFileException {
        try {
            return new BufferedOutputStream(Files.newOutputStream(path), 1 << 16);
        } catch (IOException e) {
            throw new BadFileException(path + ": can't be written (" + e.getMessage() + ")");
        }
    }

    private int sweep(Sweep.ScenarioSource source) throws InterruptedException {
        long[] range = seedRange();
        if (jobs < 1) {
            throw new ParameterException(spec.commandLine(), "--jobs must be 1 or more");
        }
        String name = family != null ? family : source.of(range[0]).name();
        long count = range[1] - range[0] + 1;
        boolean terminal = System.console() != null;
        PrintWriter err = spec.commandLine().getErr();
        long[] progress = {0, 0};
        List<Sweep.SeedResult> results = Sweep.run(source, range[0], range[1], jobs, reference(), result -> {
            progress[0]++;
            progress[1] += result.breaches() > 0 ? 1 : 0;
            if (terminal) {
                err.printf(
                        Locale.ROOT,
                        "\r%s: %d of %d seeds, %d with a broken rule ",
                        name,
                        progress[0],
                        count,
                        progress[1]);
                err.flush();
            }
        });
        if (terminal) {
            err.println();
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%s, seeds %d..%d: mean service %.4f%n",
                name,
                range[0],
                range[1],
                Sweep.meanScore(results));
        StringBuilder worst = new StringBuilder();
        for (Sweep.SeedResult result : Sweep.lowestScores(results, WORST_SEEDS_PRINTED)) {
            worst.append(String.format(Locale.ROOT, " %d (%.4f)", result.seed(), result.service()));
        }
        out.printf(Locale.ROOT, "worst seeds:%s%n", worst);
        out.printf(
                Locale.ROOT,
                "goodput: mean %.3f, least %.3f; servers that fell over: %d%n",
                results.stream()
                        .mapToDouble(Sweep.SeedResult::goodput)
                        .average()
                        .orElse(0),
                results.stream().mapToDouble(Sweep.SeedResult::goodput).min().orElse(0),
                results.stream().mapToInt(Sweep.SeedResult::crashedServers).sum());
        Sweep.describeRestarts(results).forEach(out::println);
        List<Sweep.SeedResult> broken =
                results.stream().filter(result -> result.breaches() > 0).toList();
        if (broken.isEmpty()) {
            out.println("rules: all four kept under every seed");
        } else {
            out.printf(
                    Locale.ROOT,
                    "rules: broken under %d of %d seeds; the first:%n  %s%n  replay: emulate %s" + " --seed %d%n",
                    broken.size(),
                    count,
                    broken.get(0).breach(),
                    file != null ? file : "--drawn " + family + " --instances " + instances,
                    broken.get(0).seed());
        }
        out.flush();
        return broken.isEmpty() ? CommandLine.SUCCESS : CommandLine.VIOLATION;
    }

    private long[] seedRange() {
        int separator = seeds.indexOf("..");
        try {
            long from = Long.parseLong(seeds.substring(0, Math.max(0, separator)));
            long to = Long.parseLong(seeds.substring(separator + 2));
            if (separator > 0 && from <= to && to - from < 10_000_000) {
                return new long[] {from, to};
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            // reported below
        }
        throw new ParameterException(
                spec.commandLine(),
                "--seeds: '" + seeds + "' is not a range of seeds: it must be A..B with A at most B, such as 1..500");
    }
}
