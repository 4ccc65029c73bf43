package mulleinfront.proxy;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import mulleinfront.proxy.ControlPlaneNodes.Subscriber;

/**
 * Measures, on sockets, the time from the proposal of a version until it is active at subscribers, which run the client
 * proxy's code and share one process, and the idle CPU use of subscribers and control-plane nodes. It is not a test and
 * asserts nothing.
 *
 * <p>{@code java -cp target/classes:target/test-classes:... mulleinfront.proxy.ConfigMeasure SUBSCRIBERS ROUNDS}
 */
final class ConfigMeasure {
    private ConfigMeasure() {}

    public static void main(String[] args) throws Exception {
        int subscriberCount = Integer.parseInt(args[0]);
        int rounds = Integer.parseInt(args[1]);
        List<Double> healthy = new ArrayList<>();
        List<Double> killed = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            Path folder = Files.createTempDirectory("config-measure");
            try (ControlPlaneNodes control = new ControlPlaneNodes(folder, false, 4)) {
                control.startAll();
                control.addSubscribers(subscriberCount);
                StringBuilder keys = new StringBuilder();
                for (int i = 0; i < 600; i++) {
                    keys.append("k")
                            .append(i)
                            .append(" = \"")
                            .append(Long.toHexString(i * 0x9e3779b97f4a7c15L))
                            .append("\"\n");
                }
                control.propose(1, keys.toString());
                control.awaitActiveEverywhere(1);
                Thread.sleep(2_000);
                if (round == 0) {
                    measureIdle(control, subscriberCount);
                }
                measure(control, 2, control.propose(2, keys + "more = 1\n"), healthy);
                long before = control.propose(3, keys + "more = 2\n");
                control.kill(1 + round % 3);
                measure(control, 3, before, killed);
                // The killed node's subscribers have moved to the other nodes, and none may have gone back to an older
                // version.
                control.checkVersionsIncrease();
            }
        }
        print(subscriberCount + " healthy", healthy);
        print(subscriberCount + " a node killed right after the commit", killed);
        System.exit(0);
    }

    private static void measureIdle(ControlPlaneNodes control, int subscriberCount) throws Exception {
        OperatingSystemMXBean operatingSystem = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        long cpuBeforeNanos = operatingSystem.getProcessCpuTime();
        long[] ticksBefore = new long[3];
        for (int i = 0; i < 3; i++) {
            ticksBefore[i] = cpuTicks(control.nodes[i].pid());
        }
        long startNanos = System.nanoTime();
        Thread.sleep(20_000);
        double elapsedS = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "idle: %.4f%% of a core for each of %d subscribers%n",
                (operatingSystem.getProcessCpuTime() - cpuBeforeNanos) / 1e9 / elapsedS / subscriberCount * 100,
                subscriberCount);
        for (int i = 0; i < 3; i++) {
            System.out.printf(
                    Locale.ROOT,
                    "idle: control-plane node %d: %.2f%% of a core%n",
                    i + 1,
                    (cpuTicks(control.nodes[i].pid()) - ticksBefore[i]) / 100.0 / elapsedS * 100);
        }
    }

    /** CPU time that a process has used, in ticks of 10 ms. */
    private static long cpuTicks(long pid) throws Exception {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    private static void measure(ControlPlaneNodes control, long version, long beforeNanos, List<Double> samples)
            throws Exception {
        control.awaitActiveEverywhere(version);
        for (Subscriber subscriber : control.subscribers) {
            samples.add((subscriber.activationNanos(version) - beforeNanos) / 1e9);
        }
    }

    private static void print(String description, List<Double> samples) {
        Collections.sort(samples);
        System.out.printf(
                Locale.ROOT,
                "%s: mean %.3f p99 %.3f worst %.3f s (%d times)%n",
                description,
                samples.stream().mapToDouble(d -> d).average().orElse(0),
                samples.get((int) Math.ceil(0.99 * samples.size()) - 1),
                samples.get(samples.size() - 1),
                samples.size());
    }
}
