package mulleinfront.proxy;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import mulleinfront.proxy.ControlMachines.Reader;

/**
 * Measures, on sockets: time from proposed to in force at readers that run the client proxy's code many to a
 * process, and what they and the control machines cost at rest. No test: it asserts nothing.
 *
 * <p>{@code java -cp target/classes:target/test-classes:... mulleinfront.proxy.ConfigMeasure READERS ROUNDS}
 */
final class ConfigMeasure {
    private ConfigMeasure() {}

    public static void main(String[] args) throws Exception {
        int count = Integer.parseInt(args[0]);
        int rounds = Integer.parseInt(args[1]);
        List<Double> healthy = new ArrayList<>();
        List<Double> killed = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            Path folder = Files.createTempDirectory("config-measure");
            try (ControlMachines control = new ControlMachines(folder, false, 4)) {
                control.startAll();
                control.follow(count);
                StringBuilder keys = new StringBuilder();
                for (int i = 0; i < 600; i++) {
                    keys.append("k")
                            .append(i)
                            .append(" = \"")
                            .append(Long.toHexString(i * 0x9e3779b97f4a7c15L))
                            .append("\"\n");
                }
                control.propose(1, keys.toString());
                control.awaitAll(1);
                Thread.sleep(2_000);
                if (round == 0) {
                    rest(control, count);
                }
                measure(control, 2, control.propose(2, keys + "more = 1\n"), healthy);
                long before = control.propose(3, keys + "more = 2\n");
                control.kill(1 + round % 3);
                measure(control, 3, before, killed);
                // Those of the killed machine have moved: another change finds them at the others.
                control.check();
            }
        }
        print(count + " healthy", healthy);
        print(count + " a machine killed right after the decision", killed);
        System.exit(0);
    }

    private static void rest(ControlMachines control, int count) throws Exception {
        OperatingSystemMXBean own = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        long cpu = own.getProcessCpuTime();
        long[] machines = new long[3];
        for (int i = 0; i < 3; i++) {
            machines[i] = ticks(control.machines[i].pid());
        }
        long from = System.nanoTime();
        Thread.sleep(20_000);
        double s = (System.nanoTime() - from) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "at rest: %.4f%% of a core for each of %d readers%n",
                (own.getProcessCpuTime() - cpu) / 1e9 / s / count * 100,
                count);
        for (int i = 0; i < 3; i++) {
            System.out.printf(
                    Locale.ROOT,
                    "at rest: control machine %d: %.2f%% of a core%n",
                    i + 1,
                    (ticks(control.machines[i].pid()) - machines[i]) / 100.0 / s * 100);
        }
    }

    /** Hundredths of a second of processor that a process has used. */
    private static long ticks(long pid) throws Exception {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    private static void measure(ControlMachines control, long version, long before, List<Double> into)
            throws Exception {
        control.awaitAll(version);
        for (Reader r : control.readers) {
            into.add((r.at(version) - before) / 1e9);
        }
    }

    private static void print(String what, List<Double> s) {
        Collections.sort(s);
        System.out.printf(
                Locale.ROOT,
                "%s: mean %.3f p99 %.3f worst %.3f s (%d times)%n",
                what,
                s.stream().mapToDouble(d -> d).average().orElse(0),
                s.get((int) Math.ceil(0.99 * s.size()) - 1),
                s.get(s.size() - 1),
                s.size());
    }
}
