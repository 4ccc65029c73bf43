package mulleinfront.cli;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import mulleinfront.emulator.GraphReader;
import mulleinfront.emulator.GraphReport;
import mulleinfront.emulator.GraphSpec;
import mulleinfront.emulator.GraphWorld;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code emulate graph}: many services that call each other, on virtual time. */
@Command(
        name = "graph",
        mixinStandardHelpOptions = true,
        description = "Plays many services that call each other, each machine with a client proxy that knows"
                + " the services it calls, and prints what requests and calls had of it.",
        footer = {
            "",
            "Exit codes: 0 the rules were kept, 2 bad input (one line on standard error)," + " 3 a rule was broken."
        })
final class GraphCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "a file with a [graph], such as scenarios/size/world.toml")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "the one source of chance (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "writes the figures as JSON too")
    private Path json;

    @Option(names = "--trace", paramLabel = "FILE", description = "writes down each event and decision, a line each")
    private Path trace;

    @Option(
            names = "--hosts",
            paramLabel = "N",
            defaultValue = "0",
            description = "so many machines in place of the file's")
    private int hosts;

    @Option(
            names = "--services",
            paramLabel = "N",
            defaultValue = "0",
            description = "so many services in place of the file's")
    private int services;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "0",
            description = "so many a second in place of the file's")
    private double rate;

    @Option(
            names = "--length-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description = "so long in place of the file's; its failures are drawn together with it")
    private long lengthMs;

    @Override
    public Integer call() throws BadFileException, IOException {
        GraphSpec graph = GraphReader.read(file);
        if (hosts != 0 || services != 0 || rate != 0 || lengthMs != 0) {
            if (hosts < 0 || services < 0 || rate < 0 || lengthMs < 0) {
                throw new ParameterException(
                        spec.commandLine(), "--hosts, --services, --rate and --length-ms are more than 0");
            }
            graph = graph.sized(hosts, services, rate, lengthMs * 1000);
        }
        long wall = System.nanoTime();
        long cpu = cpu();
        GraphReport report;
        try (OutputStream to = trace == null ? null : open(trace)) {
            report = world(graph, to).play();
        }
        double cpuS = (cpu() - cpu) / 1e9;
        if (json != null) {
            try (OutputStream to = open(json)) {
                report.json(to);
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(report.text());
        out.printf(
                Locale.ROOT,
                "played in %.1f s, %.1f s of processor: %.2f virtual seconds of load a CPU second%n",
                (System.nanoTime() - wall) / 1e9,
                cpuS,
                report.askedUs() / 1e6 / Math.max(1e-3, cpuS));
        out.flush();
        return report.brokenCount() == 0 ? CommandLine.KEPT : CommandLine.RULE_BROKEN;
    }

    private GraphWorld world(GraphSpec graph, OutputStream to) {
        try {
            return GraphWorld.of(graph, seed, to);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), file + ": " + e.getMessage());
        }
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static OutputStream open(Path path) throws BadFileException {
        try {
            return new BufferedOutputStream(Files.newOutputStream(path), 1 << 16);
        } catch (IOException e) {
            throw new BadFileException(path + ": can't be written (" + e.getMessage() + ")");
        }
    }
}
