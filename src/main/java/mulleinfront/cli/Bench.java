package mulleinfront.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.lang.ref.Reference;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import mulleinfront.bench.Decisions;
import mulleinfront.bench.Throughput;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.emulator.World;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code bench}: measurements that anyone can repeat; no test depends on them. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        subcommands = {Bench.Emulator.class, Bench.Module.class, Bench.OnSockets.class, CapacityCommand.class},
        description = "Measures this program on this machine.")
final class Bench implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Speed and memory of the emulator, on one thread, as client proxies become more. */
    @Command(
            name = "emulator",
            mixinStandardHelpOptions = true,
            description = "Virtual seconds a second of wall time on one thread, as client proxies become more. For"
                    + " steady figures give the JVM one collector thread: java -XX:+UseSerialGC -jar ...")
    static final class Emulator implements Runnable {
        @Spec
        private CommandSpec spec;

        @Parameters(
                paramLabel = "SCENARIO",
                defaultValue = "scenarios/calm.toml",
                description = "the world; its count of client proxies is replaced (default ${DEFAULT-VALUE})")
        private Path file;

        @Option(
                names = "--instances",
                split = ",",
                paramLabel = "N",
                defaultValue = "5,50,500,5000",
                description = "counts of client proxies (default ${DEFAULT-VALUE})")
        private int[] instances;

        @Option(
                names = "--rounds",
                paramLabel = "N",
                defaultValue = "5",
                description = "counted rounds of each, after one that is not (default ${DEFAULT-VALUE})")
        private int rounds;

        @Override
        public void run() {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    Locale.ROOT,
                    "%9s %9s %9s %9s %12s %14s %10s%n",
                    "instances",
                    "requests",
                    "events",
                    "decisions",
                    "virtual s/s",
                    "us a request",
                    "MB held");
            for (int count : instances) {
                measure(out, count);
                out.flush();
            }
        }

        private void measure(PrintWriter out, int count) {
            Scenario scenario;
            try {
                scenario = ScenarioReader.read(file).withProxies(count);
            } catch (BadFileException e) {
                throw new IllegalArgumentException(e.getMessage(), e);
            }
            double virtual = (scenario.lengthUs() + scenario.settleUs()) / 1e6;
            double[] walls = new double[rounds];
            World.Result last = null;
            long held = 0;
            for (int i = -1; i < rounds; i++) {
                long before = i < 0 ? settled() : 0;
                World world = World.of(scenario, 100 + i, null);
                long from = System.nanoTime();
                last = world.play();
                double wall = (System.nanoTime() - from) / 1e9;
                if (i >= 0) {
                    walls[i] = wall;
                } else {
                    held = settled() - before;
                    Reference.reachabilityFence(world);
                }
            }
            Arrays.sort(walls);
            double median = walls[rounds / 2];
            out.printf(
                    Locale.ROOT,
                    "%9d %9d %9d %9d %12.0f %14.1f %10.1f%n",
                    count,
                    last.service().asks(),
                    last.events(),
                    last.decisions(),
                    virtual / median,
                    median * 1e6 / last.service().asks(),
                    held / 1e6);
        }

        /** Bytes in use after collection. */
        private static long settled() {
            Runtime jvm = Runtime.getRuntime();
            for (int i = 0; i < 4; i++) {
                System.gc();
            }
            return jvm.totalMemory() - jvm.freeMemory();
        }
    }

    /** The decision module by itself. */
    @Command(
            name = "decisions",
            mixinStandardHelpOptions = true,
            description = "Cost of the decision module by itself as hosts become more: a request with its answer, one"
                    + " host replaced, a whole list that says nothing new.")
    static final class Module implements Runnable {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--hosts",
                split = ",",
                paramLabel = "N",
                defaultValue = "12,200,1000,5000",
                description = "sizes of the fleet (default ${DEFAULT-VALUE})")
        private int[] hosts;

        @Option(
                names = "--requests",
                paramLabel = "N",
                defaultValue = "400000",
                description = "counted requests of each size (default ${DEFAULT-VALUE})")
        private int requests;

        @Option(
                names = "--changes",
                paramLabel = "N",
                defaultValue = "2000",
                description = "counted replacements of a host (default ${DEFAULT-VALUE})")
        private int changes;

        @Override
        public void run() {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    Locale.ROOT,
                    "%8s %12s %12s %14s %14s%n",
                    "hosts",
                    "us a request",
                    "bytes",
                    "us a change",
                    "us a list");
            for (int count : hosts) {
                new Decisions(out, requests, changes).measure(count);
            }
        }
    }

    /** Direct, relay and client proxy under the same load. */
    @Command(
            name = "throughput",
            mixinStandardHelpOptions = true,
            description = "Requests a second, latency, CPU and allocation a request: straight to stand-in hosts, over a"
                    + " plain byte relay, and through the client proxy, in turn in one run on loopback.")
    static final class OnSockets implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--hosts-ms",
                split = ",",
                paramLabel = "MS",
                defaultValue = "0,1,5,20",
                description = "mean times to a host's answer, drawn plus or minus half (default ${DEFAULT-VALUE})")
        private double[] hostsMs;

        @Option(
                names = "--connections",
                split = ",",
                paramLabel = "N",
                defaultValue = "1,32,64,256",
                description = "connections of clients (default ${DEFAULT-VALUE})")
        private int[] connections;

        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "5",
                description = "measured time of each, after half of it that is not (default ${DEFAULT-VALUE})")
        private double seconds;

        @Option(
                names = "--open",
                paramLabel = "PART",
                defaultValue = "0",
                description = "also an open loop at this part of the slower one's rate, each request measured from when"
                        + " it was due; 0: none (default ${DEFAULT-VALUE})")
        private double open;

        @Option(
                names = "--cpu",
                paramLabel = "N[-M]",
                defaultValue = "",
                description = "keeps relay and client proxy on these processors, where taskset is installed")
        private String cpu;

        @Option(
                names = "--loops",
                split = ",",
                paramLabel = "N",
                description = "the client proxy alone, with these"
                        + " numbers of event loops in turn, each against the first")
        private int[] loops = {};

        @Option(
                names = "--proxy-jvm",
                paramLabel = "FLAG",
                description = "a further flag of the client proxy's JVM; may" + " be given more than once")
        private List<String> proxyJvm = List.of();

        @Override
        public Integer call() throws IOException, InterruptedException {
            Throughput bench = new Throughput(
                    spec.commandLine().getOut(), (long) (500 * seconds), (long) (1000 * seconds), cpu, proxyJvm);
            for (double ms : hostsMs) {
                for (int count : loops.length == 0 ? new int[0] : connections) {
                    bench.measureLoops((long) (ms * 1000), count, loops);
                }
                if (loops.length > 0) {
                    continue;
                }
                bench.measure((long) (ms * 1000), connections, open);
            }
            return CommandLine.KEPT;
        }
    }
}
