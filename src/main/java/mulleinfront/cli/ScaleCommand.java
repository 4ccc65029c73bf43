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

/** {@code kit scale}: a fleet at its size on one machine. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Starts a fleet at its size on this machine: some real client proxies, the rest hollow ones, many to"
                        + " a process, which run the real control code on real sockets and carry no requests. Measures what control"
                        + " costs each, and how long it takes until all know of a fault.",
        footer = {"", "Exit codes: 0 within the budgets, 1 something never came to be, 2 bad input, 3 over a budget."})
final class ScaleCommand implements Callable<Integer> {
    private static final int OVER = 3;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--real",
            paramLabel = "R",
            defaultValue = "10",
            description = "client proxies that are processes of" + " their own (default ${DEFAULT-VALUE})")
    private int real;

    @Option(
            names = "--hollow",
            paramLabel = "H",
            defaultValue = "660",
            description = "further ones, many to a process" + " (default ${DEFAULT-VALUE})")
    private int hollow;

    @Option(
            names = "--per-process",
            paramLabel = "N",
            defaultValue = "66",
            description = "hollow ones in a process" + " (default ${DEFAULT-VALUE})")
    private int perProcess;

    @Option(
            names = "--machines",
            paramLabel = "M",
            defaultValue = "3",
            description = "control machines, 3 or 0 (default" + " ${DEFAULT-VALUE})")
    private int machines;

    @Option(
            names = "--rest",
            paramLabel = "S",
            defaultValue = "20",
            description = "seconds at rest (default" + " ${DEFAULT-VALUE})")
    private int restS;

    @Option(
            names = "--cut",
            paramLabel = "S",
            defaultValue = "60",
            description = "seconds that a cut lasts (default" + " ${DEFAULT-VALUE})")
    private int cutS;

    @Option(
            names = "--period",
            paramLabel = "MS",
            defaultValue = "1000",
            description = "the members' period of pings," + " milliseconds (default ${DEFAULT-VALUE})")
    private int periodMs;

    @Option(
            names = "--faults",
            paramLabel = "F",
            split = ",",
            description = "of ${COMPLETION-CANDIDATES} (default: all)")
    private Set<ScaleRun.Fault> faults = EnumSet.allOf(ScaleRun.Fault.class);

    @Option(names = "--calm", description = "no fault at all")
    private boolean calm;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "the source of chance (default" + " ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--daemon",
            paramLabel = "CMD",
            description = "the shell command that starts one client proxy (default:"
                    + " the run line of deploy/balancer.toml, if there is one here, else this program's serve)")
    private String daemon;

    @Option(
            names = "--world",
            paramLabel = "FILE",
            defaultValue = "scenarios/kit/size.toml",
            description = "what they are" + " told (default ${DEFAULT-VALUE})")
    private Path world;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "for configurations, logs and report.json (default: a" + " new folder for temporary files)")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException, BadFileException {
        ScaleRun.Plan plan;
        try {
            if (machines != 0 && machines != 3) {
                throw new IllegalArgumentException("--machines: 3 or 0");
            }
            plan = new ScaleRun.Plan(
                    real,
                    hollow,
                    perProcess,
                    seed,
                    restS,
                    cutS,
                    periodMs,
                    machines > 0,
                    calm ? EnumSet.noneOf(ScaleRun.Fault.class) : faults);
        } catch (IllegalArgumentException e) {
            throw new BadFileException("kit scale: " + e.getMessage());
        }
        Path to = folder != null ? folder : Files.createTempDirectory("scale");
        ScaleReport report = new ScaleRun(
                        plan,
                        world,
                        Kit.command(daemon),
                        Kit.java("-Xmx256m"),
                        Path.of("").toAbsolutePath(),
                        to,
                        line -> spec.commandLine().getErr().println("kit scale: " + line))
                .play();
        spec.commandLine().getOut().print(report.text());
        spec.commandLine().getOut().flush();
        try (OutputStream json = Files.newOutputStream(to.resolve("report.json"))) {
            report.json(json);
        }
        return !report.failures().isEmpty() ? CommandLine.FAILED : report.over() ? OVER : CommandLine.KEPT;
    }
}
