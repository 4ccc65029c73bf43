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

/** {@code kit}: rehearsals on real sockets. */
@Command(
        name = "kit",
        mixinStandardHelpOptions = true,
        subcommands = {Kit.Run.class, Kit.Suite.class, Kit.Show.class, ScaleCommand.class, SoakCommand.class},
        description = "Rehearses on real sockets, on loopback, against client proxies that run as processes.")
final class Kit implements Runnable {
    /** Kit and daemon are of different versions. */
    static final int WRONG_VERSION = 4;
    /** The machine was too busy to say anything. */
    static final int TOO_BUSY = 5;
    /** After Ctrl-C the client proxies end and what was seen is reported; longer than this nobody waits. */
    private static final int MOST_WAIT_S = 30;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** What {@code run} and {@code suite} have in common. */
    abstract static class Playing implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--daemon",
                paramLabel = "CMD",
                description =
                        "the shell command that starts one client proxy"
                                + " (default: the run line of deploy/balancer.toml, if there is one here, else this program's serve)")
        private String daemon;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "the one source of chance (default ${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--report",
                paramLabel = "DIR",
                description = "for the reports, and the client proxies'"
                        + " configurations and logs (default: a new folder for temporary files)")
        private Path report;

        @Option(names = "--any-version", description = "judges also a daemon of another version")
        private boolean anyVersion;

        int play(Scenario scenario) throws BadFileException, IOException, InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            Path folder = report != null
                    ? report.resolve(scenario.name())
                    : Files.createTempDirectory("rehearsal-" + scenario.name());
            RealRun run = new RealRun(
                    scenario,
                    seed,
                    command(daemon),
                    Path.of("").toAbsolutePath(),
                    folder,
                    line -> err.println(scenario.name() + ": " + line));
            if (anyVersion) {
                run.anyVersion();
            }
            CountDownLatch reported = new CountDownLatch(1);
            Thread hook = new Thread(() -> {
                run.interrupt();
                try {
                    reported.await(MOST_WAIT_S, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            KitResult on = run.play();
            KitResult both = on.sockets() == null
                    ? on
                    : on.beside(World.of(scenario, seed, null).play());
            String text = Report.text(both, anyVersion);
            synchronized (out) {
                out.print(text);
                out.flush();
            }
            try (OutputStream json = Files.newOutputStream(folder.resolve("report.json"));
                    OutputStream junit = Files.newOutputStream(folder.resolve("junit.xml"))) {
                Files.writeString(folder.resolve("report.txt"), text);
                Report.json(both, anyVersion, json);
                Report.junit(scenario.name(), both, anyVersion, junit);
            } catch (IOException e) {
                err.println("mulleinfront: the report can't be written (" + e.getMessage() + "); it is above");
            }
            reported.countDown();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The program ends: it is running.
            }
            return switch (both.verdict(anyVersion)) {
                case KEPT -> CommandLine.KEPT;
                case FAILED, RULE_BROKEN -> CommandLine.RULE_BROKEN;
                case WRONG_VERSION -> WRONG_VERSION;
                case TOO_BUSY -> TOO_BUSY;
            };
        }
    }

    /** The shell command that starts one client proxy: the one given, that of the deploy file here, or this program's. */
    static String command(String daemon) throws BadFileException, IOException {
        if (daemon != null) {
            return daemon;
        }
        Path deploy = Path.of("deploy/balancer.toml");
        if (Files.isReadable(deploy)) {
            TomlParseResult file = Toml.parse(Files.readString(deploy));
            if (file.hasErrors() || !file.isString("run")) {
                throw new BadFileException(deploy + ": no run line; --daemon CMD says what to start");
            }
            return file.getString("run");
        }
        return java("-Xmx96m") + " serve";
    }

    /** The shell command of this very program, with a bound on its heap. */
    static String java(String heap) {
        return "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 " + heap + " -cp '" + System.getProperty("java.class.path")
                + "' mulleinfront.Main";
    }

    /** One scenario. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario on sockets, and on virtual time beside it, and judges the four rules.",
            footer = {
                "",
                "Exit codes: 0 kept, 2 bad input, 3 a rule broken or a client proxy failed, 4 daemon and kit"
                        + " of different versions, 5 the machine was too busy."
            })
    static final class Run extends Playing {
        @Parameters(paramLabel = "SCENARIO", description = "a scenario file, such as scenarios/calm.toml")
        private Path file;

        @Option(names = "--instances", paramLabel = "N", description = "client proxies, in place of the scenario's")
        private int instances;

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            Scenario scenario = ScenarioReader.read(file);
            return play(instances > 0 ? scenario.withProxies(instances) : scenario);
        }
    }

    /** All shipped scenarios. */
    @Command(
            name = "suite",
            mixinStandardHelpOptions = true,
            description = "Plays every scenario of a folder, some at once; the worst exit code is its own.")
    static final class Suite extends Playing {
        @Parameters(paramLabel = "DIR", defaultValue = "scenarios", description = "default ${DEFAULT-VALUE}")
        private Path folder;

        @Option(
                names = "--jobs",
                paramLabel = "N",
                description = "rehearsals at once, each of which wants four cores"
                        + " (default: what this machine has, here ${DEFAULT-VALUE})")
        private int jobs = Math.max(1, Runtime.getRuntime().availableProcessors() / 4);

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            List<Scenario> all = new ArrayList<>();
            for (Path file : scenarios(folder)) {
                all.add(ScenarioReader.read(file));
            }
            ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
            try {
                List<Future<Integer>> codes = new ArrayList<>();
                all.forEach(s -> codes.add(pool.submit(() -> play(s))));
                return summary(all, codes);
            } finally {
                pool.shutdownNow();
            }
        }

        private int summary(List<Scenario> all, List<Future<Integer>> codes) throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            int worst = 0;
            StringBuilder lines = new StringBuilder("\n");
            for (int i = 0; i < codes.size(); i++) {
                int code;
                String word;
                try {
                    code = codes.get(i).get();
                    word = code == 0 ? "kept" : "exit code " + code;
                } catch (ExecutionException e) {
                    // One that can't be played is said and counts; the others go on.
                    code = e.getCause() instanceof BadFileException ? CommandLine.BAD_INPUT : CommandLine.FAILED;
                    word = e.getCause().getMessage();
                }
                worst = Math.max(worst, code);
                lines.append(String.format(Locale.ROOT, "%-20s %s%n", all.get(i).name(), word));
            }
            out.print(lines);
            out.flush();
            return worst;
        }
    }

    /** What there is to play. */
    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the scenarios of a folder.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "DIR", defaultValue = "scenarios", description = "default ${DEFAULT-VALUE}")
        private Path folder;

        @Override
        public Integer call() throws BadFileException, IOException {
            for (Path file : scenarios(folder)) {
                Scenario s = ScenarioReader.read(file);
                spec.commandLine().getOut().printf("%-32s %s%n", file, s.title());
            }
            spec.commandLine().getOut().flush();
            return CommandLine.KEPT;
        }
    }

    private static List<Path> scenarios(Path folder) throws IOException, BadFileException {
        if (!Files.isDirectory(folder)) {
            throw new BadFileException(folder + ": no such folder");
        }
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }
}
