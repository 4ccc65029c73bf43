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

/** {@code emulate graph}: runs many services that call each other on virtual time. */
@Command(
        name = "graph",
        mixinStandardHelpOptions = true,
        description = "Runs many services that call each other, each machine with a client proxy for the services"
                + " it calls, and prints a report of requests and calls.",
        footer = {
            "",
            "Exit codes: 0 all rules kept, 2 bad input (one line on standard error)," + " 3 a rule was broken."
        })
final class GraphCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "a file with a [graph] table, such as scenarios/size/world.toml")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "random seed (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "also writes the report as JSON")
    private Path json;

    @Option(
            names = "--trace",
            paramLabel = "FILE",
            description = "writes a trace of all events and decisions, one per line")
    private Path trace;

    @Option(
            names = "--hosts",
            paramLabel = "N",
            defaultValue = "0",
            description = "number of machines, in place of the file's")
    private int hosts;

    @Option(
            names = "--services",
            paramLabel = "N",
            defaultValue = "0",
            description = "number of services, in place of the file's")
    private int services;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "0",
            description = "requests per second, in place of the file's")
    private double rate;

    @Option(
            names = "--length-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description = "duration, in place of the file's; the random failures depend on it")
    private long lengthMs;

    @Override
    public Integer call() throws BadFileException, IOException {
        GraphSpec graph = GraphReader.read(file);
        if (hosts != 0 || services != 0 || rate != 0 || lengthMs != 0) {
            if (hosts < 0 || services < 0 || rate < 0 || lengthMs < 0) {
                throw new ParameterException(
                        spec.commandLine(), "--hosts, --services, --rate and --length-ms must be above 0");
            }
            graph = graph.sized(hosts, services, rate, lengthMs * 1000);
        }
        long startNs = System.nanoTime();
        long startCpuNs = cpuTimeNs();
        GraphReport report;
        try (OutputStream output = trace == null ? null : open(trace)) {
            report = createWorld(graph, output).run();
        }
        double cpuSeconds = (cpuTimeNs() - startCpuNs) / 1e9;
        if (json != null) {
            try (OutputStream output = open(json)) {
                report.json(output);
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(report.text());
        out.printf(
                Locale.ROOT,
                "run time %.1f s, CPU time %.1f s: %.2f virtual seconds of load per CPU second%n",
                (System.nanoTime() - startNs) / 1e9,
                cpuSeconds,
                report.lengthUs() / 1e6 / Math.max(1e-3, cpuSeconds));
        out.flush();
        return report.violationCount() == 0 ? CommandLine.SUCCESS : CommandLine.VIOLATION;
    }

    private GraphWorld createWorld(GraphSpec graph, OutputStream output) {
        try {
            return GraphWorld.of(graph, seed, output);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), file + ": " + e.getMessage());
        }
    }

    private static long cpuTimeNs() {
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
