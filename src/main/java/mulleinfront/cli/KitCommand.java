package mulleinfront.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.emulator.World;
import mulleinfront.kit.KitResult;
import mulleinfront.kit.RealRun;
import mulleinfront.kit.Report;
import mulleinfront.settings.BadFileException;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code kit}: fault-injection tests on real sockets. */
@Command(
        name = "kit",
        mixinStandardHelpOptions = true,
        subcommands = {
            KitCommand.Run.class,
            KitCommand.Suite.class,
            KitCommand.ListScenarios.class,
            ScaleCommand.class,
            SoakCommand.class
        },
        description = "Fault-injection tests on real loopback sockets, against client proxies that run as processes.")
final class KitCommand implements Runnable {
    /** The versions of test kit and client proxy differ. */
    static final int WRONG_VERSION = 4;
    /** The machine was too busy for a verdict. */
    static final int TOO_BUSY = 5;
    /** After Ctrl-C, longest wait for the client proxies to end and the report to be written. */
    private static final int MAX_SHUTDOWN_WAIT_S = 30;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Options and execution that {@code run} and {@code suite} share. */
    abstract static class ScenarioCommand implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--daemon",
                paramLabel = "CMD",
                description = "the shell command that starts one client proxy"
                        + " (default: the run line of deploy/balancer.toml in the working directory, if it exists,"
                        + " else this program's serve)")
        private String daemon;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "random seed (default ${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--report",
                paramLabel = "DIR",
                description = "directory for the reports, and the client proxies'"
                        + " configurations and logs (default: a new temporary directory)")
        private Path report;

        @Option(names = "--any-version", description = "also accepts a client proxy of another version")
        private boolean anyVersion;

        int runScenario(Scenario scenario) throws BadFileException, IOException, InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            Path directory = report != null
                    ? report.resolve(scenario.name())
                    : Files.createTempDirectory("rehearsal-" + scenario.name());
            RealRun run = new RealRun(
                    scenario,
                    seed,
                    daemonCommand(daemon),
                    Path.of("").toAbsolutePath(),
                    directory,
                    line -> err.println(scenario.name() + ": " + line));
            if (anyVersion) {
                run.anyVersion();
            }
            CountDownLatch reported = new CountDownLatch(1);
            Thread hook = new Thread(() -> {
                run.interrupt();
                try {
                    reported.await(MAX_SHUTDOWN_WAIT_S, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            KitResult socketsResult = run.run();
            KitResult result = socketsResult.sockets() == null
                    ? socketsResult
                    : socketsResult.withVirtualRun(
                            World.create(scenario, seed, null).run());
            String text = Report.text(result, anyVersion);
            synchronized (out) {
                out.print(text);
                out.flush();
            }
            try (OutputStream json = Files.newOutputStream(directory.resolve("report.json"));
                    OutputStream junit = Files.newOutputStream(directory.resolve("junit.xml"))) {
                Files.writeString(directory.resolve("report.txt"), text);
                Report.json(result, anyVersion, json);
                Report.junit(scenario.name(), result, anyVersion, junit);
            } catch (IOException e) {
                err.println("mulleinfront: the report can't be written (" + e.getMessage() + "); it is printed above");
            }
            reported.countDown();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The JVM is shutting down and the hook runs already.
            }
            return switch (result.verdict(anyVersion)) {
                case KEPT -> CommandLine.SUCCESS;
                case FAILED, RULE_BROKEN -> CommandLine.VIOLATION;
                case WRONG_VERSION -> WRONG_VERSION;
                case TOO_BUSY -> TOO_BUSY;
            };
        }
    }

    /**
     * Returns the shell command that starts one client proxy: the given one, else the run line of deploy/balancer.toml,
     * else this program's {@code serve}.
     */
    static String daemonCommand(String daemon) throws BadFileException, IOException {
        if (daemon != null) {
            return daemon;
        }
        Path deploy = Path.of("deploy/balancer.toml");
        if (Files.isReadable(deploy)) {
            TomlParseResult file = Toml.parse(Files.readString(deploy));
            if (file.hasErrors() || !file.isString("run")) {
                throw new BadFileException(deploy + ": no run line; give the command with --daemon CMD");
            }
            return file.getString("run");
        }
        return javaCommand("-Xmx96m") + " serve";
    }

    /** Returns the shell command that starts this program with a heap limit. */
    static String javaCommand(String heapFlag) {
        return "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 " + heapFlag + " -cp '" + System.getProperty("java.class.path")
                + "' mulleinfront.Main";
    }

    /** {@code kit run}: runs one scenario. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario on sockets, and on virtual time for comparison, and checks the four rules.",
            footer = {
                "",
                "Exit codes: 0 all rules kept, 2 bad input, 3 a rule was broken or a client proxy failed, 4 client"
                        + " proxy and test kit have different versions, 5 the machine was too busy."
            })
    static final class Run extends ScenarioCommand {
        @Parameters(paramLabel = "SCENARIO", description = "a scenario file, such as scenarios/calm.toml")
        private Path file;

        @Option(
                names = "--instances",
                paramLabel = "N",
                description = "number of client proxies, in place of the scenario's")
        private int instances;

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            Scenario scenario = ScenarioReader.read(file);
            return runScenario(instances > 0 ? scenario.withProxies(instances) : scenario);
        }
    }

    /** {@code kit suite}: runs all scenarios of a directory. */
    @Command(
            name = "suite",
            mixinStandardHelpOptions = true,
            description = "Runs every scenario of a directory, some concurrently; exits with the highest exit code.")
    static final class Suite extends ScenarioCommand {
        @Parameters(paramLabel = "DIR", defaultValue = "scenarios", description = "default ${DEFAULT-VALUE}")
        private Path directory;

        @Option(
                names = "--jobs",
                paramLabel = "N",
                description = "concurrent runs, each of which needs four cores"
                        + " (default: what this machine has, here ${DEFAULT-VALUE})")
        private int jobs = Math.max(1, Runtime.getRuntime().availableProcessors() / 4);

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            List<Scenario> scenarios = new ArrayList<>();
            for (Path file : scenarios(directory)) {
                scenarios.add(ScenarioReader.read(file));
            }
            ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
            try {
                List<Future<Integer>> codes = new ArrayList<>();
                scenarios.forEach(s -> codes.add(pool.submit(() -> runScenario(s))));
                return printSummary(scenarios, codes);
            } finally {
                pool.shutdownNow();
            }
        }

        private int printSummary(List<Scenario> scenarios, List<Future<Integer>> codes) throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            int worst = 0;
            StringBuilder lines = new StringBuilder("\n");
            for (int i = 0; i < codes.size(); i++) {
                int code;
                String outcome;
                try {
                    code = codes.get(i).get();
                    outcome = code == 0 ? "kept" : "exit code " + code;
                } catch (ExecutionException e) {
                    // A scenario that can't be run is reported and counts as failed; the others continue.
                    code = e.getCause() instanceof BadFileException ? CommandLine.BAD_INPUT : CommandLine.FAILED;
                    outcome = e.getCause().getMessage();
                }
                worst = Math.max(worst, code);
                lines.append(String.format(
                        Locale.ROOT, "%-20s %s%n", scenarios.get(i).name(), outcome));
            }
            out.print(lines);
            out.flush();
            return worst;
        }
    }

    /** {@code kit list}: lists the scenarios of a directory. */
    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the scenarios of a directory.")
    static final class ListScenarios implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "DIR", defaultValue = "scenarios", description = "default ${DEFAULT-VALUE}")
        private Path directory;

        @Override
        public Integer call() throws BadFileException, IOException {
            for (Path file : scenarios(directory)) {
                Scenario scenario = ScenarioReader.read(file);
                spec.commandLine().getOut().printf("%-32s %s%n", file, scenario.title());
            }
            spec.commandLine().getOut().flush();
            return CommandLine.SUCCESS;
        }
    }

    private static List<Path> scenarios(Path directory) throws IOException, BadFileException {
        if (!Files.isDirectory(directory)) {
            throw new BadFileException(directory + ": no such directory");
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }
}
