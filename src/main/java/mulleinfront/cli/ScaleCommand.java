package mulleinfront.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import mulleinfront.kit.ScaleReport;
import mulleinfront.kit.ScaleRun;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code kit scale}: runs a full-size fleet on one machine. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Starts a full-size fleet on this machine: some real client proxies, the rest simulated members, many to"
                        + " a process, which run the real control code on real sockets and carry no requests. Measures the control"
                        + " cost of each, and how long it takes until all know of a fault.",
        footer = {
            "",
            "Exit codes: 0 within the budgets, 1 an expected state was never reached, 2 bad input, 3 over a budget."
        })
final class ScaleCommand implements Callable<Integer> {
    private static final int OVER_BUDGET = 3;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--real",
            paramLabel = "R",
            defaultValue = "10",
            description = "client proxies that run as separate" + " processes (default ${DEFAULT-VALUE})")
    private int realProxies;

    @Option(
            names = "--hollow",
            paramLabel = "H",
            defaultValue = "660",
            description = "simulated members, many to a process" + " (default ${DEFAULT-VALUE})")
    private int simulatedMembers;

    @Option(
            names = "--per-process",
            paramLabel = "N",
            defaultValue = "66",
            description = "simulated members per process" + " (default ${DEFAULT-VALUE})")
    private int perProcess;

    @Option(
            names = "--machines",
            paramLabel = "M",
            defaultValue = "3",
            description = "control-plane nodes, 3 or 0 (default" + " ${DEFAULT-VALUE})")
    private int controlNodes;

    @Option(
            names = "--rest",
            paramLabel = "S",
            defaultValue = "20",
            description = "seconds without faults (default" + " ${DEFAULT-VALUE})")
    private int restS;

    @Option(
            names = "--cut",
            paramLabel = "S",
            defaultValue = "60",
            description = "seconds that a network partition lasts (default" + " ${DEFAULT-VALUE})")
    private int partitionS;

    @Option(
            names = "--period",
            paramLabel = "MS",
            defaultValue = "1000",
            description = "ping period of the members," + " milliseconds (default ${DEFAULT-VALUE})")
    private int periodMs;

    @Option(
            names = "--faults",
            paramLabel = "F",
            split = ",",
            description = "faults to inject, of ${COMPLETION-CANDIDATES} (default: all)")
    private Set<ScaleRun.Fault> faults = EnumSet.allOf(ScaleRun.Fault.class);

    @Option(names = "--calm", description = "injects no faults")
    private boolean noFaults;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "random seed (default" + " ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--daemon",
            paramLabel = "CMD",
            description = "the shell command that starts one client proxy (default:"
                    + " the run line of deploy/balancer.toml in the working directory, if it exists,"
                    + " else this program's serve)")
    private String daemon;

    @Option(
            names = "--world",
            paramLabel = "FILE",
            defaultValue = "scenarios/kit/size.toml",
            description = "scenario file with" + " the proxies' settings (default ${DEFAULT-VALUE})")
    private Path scenario;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description =
                    "directory for configurations, logs and report.json (default: a" + " new temporary directory)")
    private Path reportDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException, BadFileException {
        ScaleRun.Plan plan;
        try {
            if (controlNodes != 0 && controlNodes != 3) {
                throw new IllegalArgumentException("--machines must be 3 or 0");
            }
            plan = new ScaleRun.Plan(
                    realProxies,
                    simulatedMembers,
                    perProcess,
                    seed,
                    restS,
                    partitionS,
                    periodMs,
                    controlNodes > 0,
                    noFaults ? EnumSet.noneOf(ScaleRun.Fault.class) : faults);
        } catch (IllegalArgumentException e) {
            throw new BadFileException("kit scale: " + e.getMessage());
        }
        Path directory = reportDirectory != null ? reportDirectory : Files.createTempDirectory("scale");
        ScaleReport report = new ScaleRun(
                        plan,
                        scenario,
                        KitCommand.daemonCommand(daemon),
                        KitCommand.javaCommand("-Xmx256m"),
                        Path.of("").toAbsolutePath(),
                        directory,
                        line -> spec.commandLine().getErr().println("kit scale: " + line))
                .run();
        spec.commandLine().getOut().print(report.text());
        spec.commandLine().getOut().flush();
        try (OutputStream json = Files.newOutputStream(directory.resolve("report.json"))) {
            report.json(json);
        }
        return !report.failures().isEmpty()
                ? CommandLine.FAILED
                : report.anyOverBudget() ? OVER_BUDGET : CommandLine.SUCCESS;
    }
}
