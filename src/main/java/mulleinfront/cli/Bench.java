package mulleinfront.cli;

import java.io.PrintWriter;
import java.lang.ref.Reference;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioException;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.emulator.World;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code bench}: measurements that anyone can repeat; no test depends on them. */
@Command(name = "bench", mixinStandardHelpOptions = true, subcommands = Bench.Emulator.class,
        description = "Measures this program on this machine.")
final class Bench implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Speed and memory of the emulator, on one thread, as client proxies become more. */
    @Command(name = "emulator", mixinStandardHelpOptions = true,
            description = "Virtual seconds a second of wall time on one thread, as client proxies become more. For"
                    + " steady figures give the JVM one collector thread: java -XX:+UseSerialGC -jar ...")
    static final class Emulator implements Runnable {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "SCENARIO", defaultValue = "scenarios/calm.toml",
                description = "the world; its count of client proxies is replaced (default ${DEFAULT-VALUE})")
        private Path file;

        @Option(names = "--instances", split = ",", paramLabel = "N", defaultValue = "5,50,500,5000",
                description = "counts of client proxies (default ${DEFAULT-VALUE})")
        private int[] instances;

        @Option(names = "--rounds", paramLabel = "N", defaultValue = "5",
                description = "counted rounds of each, after one that is not (default ${DEFAULT-VALUE})")
        private int rounds;

        @Override
        public void run() {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(Locale.ROOT, "%9s %9s %9s %9s %12s %14s %10s%n", "instances", "requests", "events",
                    "decisions", "virtual s/s", "us a request", "MB held");
            for (int count : instances) {
                measure(out, count);
                out.flush();
            }
        }

        private void measure(PrintWriter out, int count) {
            Scenario scenario;
            try {
                scenario = ScenarioReader.read(file).withProxies(count);
            } catch (ScenarioException e) {
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
            out.printf(Locale.ROOT, "%9d %9d %9d %9d %12.0f %14.1f %10.1f%n", count, last.service().asks(),
                    last.events(), last.decisions(), virtual / median, median * 1e6 / last.service().asks(),
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
}
