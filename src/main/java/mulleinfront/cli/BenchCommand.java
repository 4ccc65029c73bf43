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

/** {@code bench}: repeatable measurements; no test depends on them. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        subcommands = {
            BenchCommand.EmulatorBench.class,
            BenchCommand.BalancerBench.class,
            BenchCommand.ThroughputBench.class,
            CapacityCommand.class
        },
        description = "Measures this program on this machine.")
final class BenchCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Measures speed and memory of the emulator on one thread for increasing numbers of client proxies. */
    @Command(
            name = "emulator",
            mixinStandardHelpOptions = true,
            description =
                    "Virtual seconds per second of wall time on one thread, for increasing numbers of client proxies."
                            + " For stable results use the serial collector: java -XX:+UseSerialGC -jar ...")
    static final class EmulatorBench implements Runnable {
        @Spec
        private CommandSpec spec;

        @Parameters(
                paramLabel = "SCENARIO",
                defaultValue = "scenarios/calm.toml",
                description = "the scenario; its number of client proxies is overridden (default ${DEFAULT-VALUE})")
        private Path file;

        @Option(
                names = "--instances",
                split = ",",
                paramLabel = "N",
                defaultValue = "5,50,500,5000",
                description = "numbers of client proxies (default ${DEFAULT-VALUE})")
        private int[] instances;

        @Option(
                names = "--rounds",
                paramLabel = "N",
                defaultValue = "5",
                description = "measured rounds for each number, after one warm-up round (default ${DEFAULT-VALUE})")
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
            double virtualSeconds = (scenario.lengthUs() + scenario.settleUs()) / 1e6;
            double[] wallSeconds = new double[rounds];
            World.Result last = null;
            long heapBytes = 0;
            for (int i = -1; i < rounds; i++) {
                long before = i < 0 ? heapBytesAfterCollection() : 0;
                World world = World.create(scenario, 100 + i, null);
                long from = System.nanoTime();
                last = world.run();
                double wall = (System.nanoTime() - from) / 1e9;
                if (i >= 0) {
                    wallSeconds[i] = wall;
                } else {
                    heapBytes = heapBytesAfterCollection() - before;
                    Reference.reachabilityFence(world);
                }
            }
            Arrays.sort(wallSeconds);
            double median = wallSeconds[rounds / 2];
            out.printf(
                    Locale.ROOT,
                    "%9d %9d %9d %9d %12.0f %14.1f %10.1f%n",
                    count,
                    last.service().requests(),
                    last.events(),
                    last.decisions(),
                    virtualSeconds / median,
                    median * 1e6 / last.service().requests(),
                    heapBytes / 1e6);
        }

        /** Returns the heap bytes in use after garbage collection. */
        private static long heapBytesAfterCollection() {
            Runtime jvm = Runtime.getRuntime();
            for (int i = 0; i < 4; i++) {
                System.gc();
            }
            return jvm.totalMemory() - jvm.freeMemory();
        }
    }

    /** Measures the balancer in isolation. */
    @Command(
            name = "decisions",
            mixinStandardHelpOptions = true,
            description = "Cost of the balancer in isolation, for increasing numbers of endpoints: a request with its"
                    + " response, the replacement of one endpoint, a complete list without changes.")
    static final class BalancerBench implements Runnable {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--hosts",
                split = ",",
                paramLabel = "N",
                defaultValue = "12,200,1000,5000",
                description = "numbers of endpoints (default ${DEFAULT-VALUE})")
        private int[] hosts;

        @Option(
                names = "--requests",
                paramLabel = "N",
                defaultValue = "400000",
                description = "measured requests for each size (default ${DEFAULT-VALUE})")
        private int requests;

        @Option(
                names = "--changes",
                paramLabel = "N",
                defaultValue = "2000",
                description = "measured endpoint replacements (default ${DEFAULT-VALUE})")
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

    /** Measures direct connections, a byte relay and the client proxy under the same load. */
    @Command(
            name = "throughput",
            mixinStandardHelpOptions = true,
            description = "Requests per second, latency, and CPU and allocation per request: directly to stand-in"
                    + " servers, through a plain byte relay, and through the client proxy, in turn on loopback.")
    static final class ThroughputBench implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--hosts-ms",
                split = ",",
                paramLabel = "MS",
                defaultValue = "0,1,5,20",
                description =
                        "mean service times of the servers, drawn from plus or minus half (default ${DEFAULT-VALUE})")
        private double[] hostsMs;

        @Option(
                names = "--connections",
                split = ",",
                paramLabel = "N",
                defaultValue = "1,32,64,256",
                description = "numbers of client connections (default ${DEFAULT-VALUE})")
        private int[] connections;

        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "5",
                description =
                        "measured time of each case, after a warm-up of half that time (default ${DEFAULT-VALUE})")
        private double seconds;

        @Option(
                names = "--open",
                paramLabel = "PART",
                defaultValue = "0",
                description = "also measures an open loop at this share of the lower rate; latency counts from the time"
                        + " a request was due; 0: none (default ${DEFAULT-VALUE})")
        private double openLoopShare;

        @Option(
                names = "--cpu",
                paramLabel = "N[-M]",
                defaultValue = "",
                description = "pins relay and client proxy to these CPUs, where taskset is installed")
        private String cpuList;

        @Option(
                names = "--loops",
                split = ",",
                paramLabel = "N",
                description = "measures only the client proxy, with"
                        + " these numbers of event loops in turn, each compared with the first")
        private int[] loops = {};

        @Option(
                names = "--proxy-jvm",
                paramLabel = "FLAG",
                description = "additional flag of the client proxy's JVM; may" + " be given more than once")
        private List<String> proxyJvm = List.of();

        @Override
        public Integer call() throws IOException, InterruptedException {
            Throughput bench = new Throughput(
                    spec.commandLine().getOut(), (long) (500 * seconds), (long) (1000 * seconds), cpuList, proxyJvm);
            for (double ms : hostsMs) {
                for (int count : loops.length == 0 ? new int[0] : connections) {
                    bench.measureLoops((long) (ms * 1000), count, loops);
                }
                if (loops.length > 0) {
                    continue;
                }
                bench.measure((long) (ms * 1000), connections, openLoopShare);
            }
            return CommandLine.SUCCESS;
        }
    }
}
