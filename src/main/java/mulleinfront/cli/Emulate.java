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
import mulleinfront.emulator.Compared;
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

/** {@code emulate}: plays a scenario on virtual time, under one seed or many. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        subcommands = {ExplainCommand.class, DrawCommand.class, GraphCommand.class},
        description = "Plays a scenario on virtual time and prints what clients had of it.",
        footer = {
            "",
            "Exit codes: 0 the rules were kept, 2 bad input (one line on standard error)," + " 3 a rule was broken."
        })
final class Emulate implements Callable<Integer> {
    private static final int WORST = 5;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "SCENARIO", description = "a scenario file, such as scenarios/calm.toml")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "the one source of chance (default ${DEFAULT-VALUE})",
            defaultValue = "1")
    private long seed;

    @Option(names = "--trace", paramLabel = "FILE", description = "writes down each event and decision, a line each")
    private Path trace;

    @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON too")
    private Path json;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description = "plays all these seeds and prints the mean, the"
                    + " worst, and how to replay the first broken rule")
    private String seeds;

    @Option(
            names = "--balancer",
            paramLabel = "NAME",
            description = "plays a reference balancer in place of the"
                    + " product: random, round-robin, two-choices, ring, late, oracle")
    private String balancer;

    @Option(
            names = "--balancers",
            paramLabel = "all",
            description = "plays the product and every reference balancer," + " and prints one table")
    private String balancers;

    @Option(
            names = "--drawn",
            paramLabel = "FAMILY",
            description = "in place of a file: each seed draws its own" + " deployment (see emulate draw)")
    private String drawn;

    @Option(
            names = "--instances",
            paramLabel = "N",
            description = "with --drawn: client proxies (default" + " ${DEFAULT-VALUE})")
    private int instances = 100;

    @Option(
            names = "--start-ms",
            paramLabel = "MS",
            description = "with --drawn: from a client proxy's start until" + " it is ready (default: drawn)")
    private long startMs = -1;

    @Option(names = "--jobs", paramLabel = "N", description = "worlds at once with --seeds (default: one a core)")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        if (file != null && drawn != null) {
            throw new ParameterException(spec.commandLine(), "either a scenario file or --drawn, not both");
        }
        if (file == null && drawn == null) {
            // Its subcommands have a parameter of their own, so this one can't be required.
            throw new ParameterException(spec.commandLine(), "Missing required parameter: 'SCENARIO'");
        }
        Sweep.Source source = source();
        if (seeds != null && balancers == null && trace == null && json == null) {
            return sweep(source);
        }
        Scenario scenario = source.of(seed);
        if (balancers != null) {
            return compare(scenario);
        }
        if (seeds == null) {
            return one(scenario);
        }
        throw new ParameterException(spec.commandLine(), "--trace and --json are for one seed, not for --seeds");
    }

    private Sweep.Source source() throws BadFileException {
        if (drawn == null) {
            Scenario read = ScenarioReader.read(file);
            return any -> read;
        }
        if (balancers != null) {
            throw new ParameterException(spec.commandLine(), "--balancers compares on a file, not with --drawn");
        }
        return Sweep.Source.drawn(
                DrawCommand.family(spec, drawn),
                DrawCommand.atLeastOne(spec, instances),
                startMs < 0 ? -1 : startMs * 1000);
    }

    private Reference reference() {
        Reference reference = balancer == null ? null : Reference.of(balancer);
        if (balancer != null && reference == null) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--balancer: there is no '" + balancer
                            + "'; there are "
                            + Arrays.stream(Reference.values())
                                    .map(Reference::word)
                                    .collect(Collectors.joining(", ")));
        }
        return reference;
    }

    /** The product and all references on the same seeds, one line each. */
    private int compare(Scenario scenario) throws InterruptedException {
        if (!balancers.equals("all") || balancer != null || trace != null || json != null) {
            throw new ParameterException(
                    spec.commandLine(), "--balancers takes the word all, and no --balancer, --trace or --json");
        }
        long[] range = seeds == null ? new long[] {seed, seed} : range();
        List<Compared> all = Compared.play(scenario, range[0], range[1], jobs);
        PrintWriter out = spec.commandLine().getOut();
        out.print(Compared.table(scenario, range[0], range[1], all));
        out.flush();
        return all.get(0).broken() == 0 ? CommandLine.KEPT : CommandLine.RULE_BROKEN;
    }

    private int one(Scenario scenario) throws IOException, BadFileException {
        World.Result result;
        Reference reference = reference();
        if (reference != null && trace != null) {
            throw new ParameterException(spec.commandLine(), "--trace is for the product's decisions alone");
        }
        try (OutputStream to = trace == null ? null : open(trace)) {
            result = (reference == null ? World.of(scenario, seed, to) : World.under(reference, scenario, seed)).play();
        }
        if (json != null) {
            try (OutputStream to = open(json)) {
                ReportWriter.json(result, to);
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(ReportWriter.text(result));
        out.flush();
        return result.broken() == 0 ? CommandLine.KEPT : CommandLine.RULE_BROKEN;
    }

    private static OutputStream open(Path path) throws BadFileException {
        try {
            return new BufferedOutputStream(Files.newOutputStream(path), 1 << 16);
        } catch (IOException e) {
            throw new BadFileException(path + ": can't be written (" + e.getMessage() + ")");
        }
    }

    private int sweep(Sweep.Source source) throws InterruptedException {
        long[] range = range();
        if (jobs < 1) {
            throw new ParameterException(spec.commandLine(), "--jobs must be 1 or more");
        }
        String name = drawn != null ? drawn : source.of(range[0]).name();
        long count = range[1] - range[0] + 1;
        boolean terminal = System.console() != null;
        PrintWriter err = spec.commandLine().getErr();
        long[] done = {0, 0};
        List<Sweep.SeedResult> all = Sweep.play(source, range[0], range[1], jobs, reference(), played -> {
            done[0]++;
            done[1] += played.breaches() > 0 ? 1 : 0;
            if (terminal) {
                err.printf(Locale.ROOT, "\r%s: %d of %d seeds, %d with a broken rule ", name, done[0], count, done[1]);
                err.flush();
            }
        });
        if (terminal) {
            err.println();
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%s, seeds %d..%d: mean service %.4f%n", name, range[0], range[1], Sweep.mean(all));
        StringBuilder worst = new StringBuilder();
        for (Sweep.SeedResult p : Sweep.worst(all, WORST)) {
            worst.append(String.format(Locale.ROOT, " %d (%.4f)", p.seed(), p.service()));
        }
        out.printf(Locale.ROOT, "worst seeds:%s%n", worst);
        out.printf(
                Locale.ROOT,
                "goodput: mean %.3f, least %.3f; servers that fell over: %d%n",
                all.stream().mapToDouble(Sweep.SeedResult::goodput).average().orElse(0),
                all.stream().mapToDouble(Sweep.SeedResult::goodput).min().orElse(0),
                all.stream().mapToInt(Sweep.SeedResult::fell).sum());
        Sweep.starts(all).forEach(out::println);
        List<Sweep.SeedResult> broken =
                all.stream().filter(p -> p.breaches() > 0).toList();
        if (broken.isEmpty()) {
            out.println("rules: all four kept under every seed");
        } else {
            out.printf(
                    Locale.ROOT,
                    "rules: broken under %d of %d seeds; the first:%n  %s%n  replay: emulate %s" + " --seed %d%n",
                    broken.size(),
                    count,
                    broken.get(0).breach(),
                    file != null ? file : "--drawn " + drawn + " --instances " + instances,
                    broken.get(0).seed());
        }
        out.flush();
        return broken.isEmpty() ? CommandLine.KEPT : CommandLine.RULE_BROKEN;
    }

    private long[] range() {
        int dots = seeds.indexOf("..");
        try {
            long from = Long.parseLong(seeds.substring(0, Math.max(0, dots)));
            long to = Long.parseLong(seeds.substring(dots + 2));
            if (dots > 0 && from <= to && to - from < 10_000_000) {
                return new long[] {from, to};
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            // said below
        }
        throw new ParameterException(
                spec.commandLine(),
                "--seeds: '" + seeds + "' is no range of seeds: A..B with A no more than B, as 1..500");
    }
}
