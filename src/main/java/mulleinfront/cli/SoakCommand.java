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

/** {@code kit soak}: random, overlapping faults over a few dozen processes, seed after seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Plays random, overlapping faults on sockets against client proxies as processes, seed after seed.",
        footer = {
            "",
            "Exit codes: 0 kept, 2 bad input, 3 a rule broken or a client proxy failed, 5 the machine was too busy."
        })
final class SoakCommand implements Callable<Integer> {
    /** Broken rules of one seed that are printed. */
    private static final int MOST_PRINTED = 5;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N[..M]",
            defaultValue = "1..3",
            description = "which seeds (default" + " ${DEFAULT-VALUE}); one that failed plays again")
    private String seeds;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "24",
            description = "client proxies, a process each" + " (default ${DEFAULT-VALUE})")
    private int instances;

    @Option(
            names = "--length",
            paramLabel = "S",
            defaultValue = "" + GeneratedScenario.SOAK_S,
            description = "how long clients ask for" + " each seed, seconds (default ${DEFAULT-VALUE})")
    private int lengthS;

    @Option(
            names = "--also-listed",
            paramLabel = "N",
            defaultValue = "0",
            description = "draining servers that lists name"
                    + " besides: thousands make them long (default ${DEFAULT-VALUE})")
    private int alsoListed;

    @Option(
            names = "--daemon",
            paramLabel = "CMD",
            description = "the shell command that starts one client proxy (default:"
                    + " the run line of deploy/balancer.toml, if there is one here, else this program's serve)")
    private String daemon;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "for scenarios, configurations and logs (default: a new" + " folder for temporary files)")
    private Path report;

    @Override
    public Integer call() throws IOException, InterruptedException, BadFileException {
        Soak soak;
        try {
            soak = new Soak(
                    new Soak.Plan(instances, lengthS, alsoListed),
                    Kit.command(daemon),
                    Path.of("").toAbsolutePath(),
                    line -> {});
        } catch (IllegalArgumentException e) {
            throw new BadFileException("kit soak: " + e.getMessage());
        }
        Path folder = report != null ? report : Files.createTempDirectory("soak");
        List<Long> failed = new ArrayList<>();
        boolean busy = false;
        for (long seed : range(seeds)) {
            Soak.Played played = soak.play(seed, folder.resolve("seed-" + seed));
            if (played.tooBusy()) {
                busy = true;
            } else if (!played.failures().isEmpty()) {
                failed.add(seed);
            }
            say(played);
        }
        if (!failed.isEmpty()) {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    "failed: seeds %s; again: kit soak --seeds N --instances %d --length %d --also-listed %d%nlogs: %s%n",
                    failed.stream().map(String::valueOf).collect(Collectors.joining(", ")),
                    instances,
                    lengthS,
                    alsoListed,
                    folder);
            out.flush();
        }
        return !failed.isEmpty() ? CommandLine.RULE_BROKEN : busy ? Kit.TOO_BUSY : CommandLine.KEPT;
    }

    private void say(Soak.Played played) {
        PrintWriter out = spec.commandLine().getOut();
        List<String> failures = played.failures();
        String verdict = played.tooBusy()
                ? "not judged, the machine was too busy"
                : failures.isEmpty() ? "kept" : failures.size() + " failures";
        long served = played.rehearsal().sockets() == null
                ? 0
                : played.rehearsal().sockets().service().tries().getOrDefault("served", 0L);
        out.printf(Locale.ROOT, "seed %d: %s; %d tries served%n", played.seed(), verdict, served);
        failures.stream().limit(MOST_PRINTED).forEach(f -> out.println("  " + f));
        out.flush();
    }

    /** One seed, or all from the first to the last. */
    private static List<Long> range(String text) throws BadFileException {
        String[] ends = text.split("\\.\\.", 2);
        try {
            long first = Long.parseLong(ends[0].strip());
            long last = Long.parseLong(ends[ends.length - 1].strip());
            if (first > last) {
                throw new BadFileException("kit soak: --seeds: " + text + " is turned round");
            }
            List<Long> all = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                all.add(seed);
            }
            return all;
        } catch (NumberFormatException e) {
            throw new BadFileException("kit soak: --seeds: '" + text + "' is no number or range, as 1..20");
        }
    }
}
