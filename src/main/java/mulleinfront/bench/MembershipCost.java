package mulleinfront.bench;

import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import mulleinfront.capacity.Slope;
import mulleinfront.emulator.FleetRun;
import mulleinfront.emulator.PeerFaults;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.Fleet;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.fleet.MemberState;

/**
 * What it costs a client proxy to know the others, on virtual time: a start of all, rest, and the size's
 * faults one after the other, each over before the next. Processor time is the thread's own and holds the
 * emulator's share too.
 */
public final class MembershipCost {
    private static final long SECOND = 1_000_000;
    private static final long PERIOD_US = SECOND;
    /** After a start of all, until views are even at every size. */
    private static final long SETTLE_US = 100 * SECOND;
    /** After each fault, before the next. */
    private static final long BETWEEN_US = 20 * SECOND;

    private static final long GONE_US = 600 * SECOND;
    /** Parts of the fleet, as at the size: one rack and one day's restarts, all at once. */
    private static final double RESTARTS = 35.0 / 670;

    private final int count;
    private final double rack;
    private final int zones;
    private final Measured out;
    private final FleetRun run;
    private final Fleet[] known;
    private final long[] sent;
    private final long[] firstSuspected;
    private final long[] lastFailed;
    private final long[] killedAt;

    private MembershipCost(int count, long seed, double rack, int zones, Measured out) {
        this.count = count;
        this.rack = rack;
        this.zones = zones;
        this.out = out;
        this.run =
                FleetRun.alone(count, seed, i -> FleetSettings.defaults("size", "n" + i, i, count, PERIOD_US, GONE_US));
        this.known = new Fleet[count];
        this.sent = new long[count];
        this.firstSuspected = new long[count];
        this.lastFailed = new long[count];
        this.killedAt = new long[count];
        run.watch((observer, c) -> heard(c));
    }

    private void heard(Change c) {
        if (killedAt[c.member()] == 0) {
            return;
        }
        if (c.to() == MemberState.SUSPECTED && firstSuspected[c.member()] == 0) {
            firstSuspected[c.member()] = run.now();
        } else if (c.to() == MemberState.FAILED) {
            lastFailed[c.member()] = run.now();
        }
    }

    /**
     * Measures fleets of these sizes, one seed each.
     *
     * @param progress a line for each size
     * @param rack hosts of a rack as a part of the fleet
     */
    public static List<Slope> measure(
            PrintWriter progress, int[] sizes, long seed, double rack, int zones, String command) {
        Measured out = new Measured("client proxies", command);
        new MembershipCost(sizes[0], seed, rack, zones, new Measured("", "")).play();
        for (int n : sizes) {
            long from = cpu();
            new MembershipCost(n, seed, rack, zones, out).play();
            progress.printf(Locale.ROOT, "membership of %d: %.0f s of processor time%n", n, (cpu() - from) / 1e9);
            progress.flush();
        }
        return out.slopes();
    }

    private void play() {
        long heap = used();
        phase("start", "through a start of all within a second", 20, () -> starts(0, count, SECOND));
        run.run(SETTLE_US);
        out.add(
                count,
                "membership.state",
                "heap that a member's view holds, its part of the emulator with it",
                "bytes",
                Math.max(0, used() - heap) / (double) count);
        Reference.reachabilityFence(run);
        phase("rest", "at rest", 20, () -> {});
        killed("host", "after one host's end", Math.max(1, count / 2), 1);
        killed("rack", "after a rack's end, all at once", 0, Math.max(1, (int) Math.round(rack * count)));
        killed("zone", "after a zone's end, all at once", 0, count / zones);
        phase("restarts", "while a day's restarts come at once", 20, () -> {
            int many = Math.max(1, (int) Math.round(RESTARTS * count));
            for (int i = 0; i < many; i++) {
                run.kill(i * count / many);
            }
            run.after(1_500_000, () -> {
                for (int i = 0; i < many; i++) {
                    run.start(i * count / many);
                }
            });
        });
        regions();
        phase("release", "while a tenth after the other is restarted, 5 s each", 55, this::release);
        phase("again", "while all are killed and started within a second", 20, () -> {
            for (int i = 0; i < count; i++) {
                run.kill(i);
            }
            starts(0, count, SECOND);
        });
    }

    private void starts(int from, int many, long withinUs) {
        for (int i = 0; i < many; i++) {
            int member = from + i;
            run.after(1 + withinUs * i / many, () -> run.start(member));
        }
    }

    /** Some die at once; after the others know it they come back. */
    private void killed(String id, String what, int from, int many) {
        Arrays.fill(killedAt, 0);
        Arrays.fill(firstSuspected, 0);
        Arrays.fill(lastFailed, 0);
        phase(id, what, 30, () -> {
            for (int i = from; i < from + many; i++) {
                killedAt[i] = run.now();
                run.kill(i);
            }
        });
        double suspected = 0;
        double worst = 0;
        for (int i = from; i < from + many; i++) {
            // One that not all of those who live have called failed by now was not known in this time.
            int alive = count - many;
            long last = run.believing(i, MemberState.FAILED) < alive ? run.now() : lastFailed[i];
            worst = Math.max(worst, (last - killedAt[i]) / 1e6);
            suspected = Math.max(suspected, (firstSuspected[i] - killedAt[i]) / 1e6);
        }
        out.add(
                count,
                "membership." + id + ".suspected",
                "worst time until somebody suspects one " + what,
                "s",
                suspected);
        out.add(count, "membership." + id + ".known", "worst time until all know of one " + what, "s", worst);
        Arrays.fill(killedAt, 0);
        phase(id + "-return", what + " and its return within a second", 20, () -> starts(from, many, SECOND));
    }

    private void regions() {
        BitSet one = new BitSet();
        one.set(0, count / 2);
        BitSet other = new BitSet();
        other.set(count / 2, count);
        PeerFaults.End[] cut = new PeerFaults.End[1];
        phase("apart", "while two halves are apart for a minute", 60, () -> cut[0] = run.partition(one, other, false));
        long[] even = {0};
        phase("together", "while two halves find each other again", 40, () -> {
            cut[0].end();
            long from = run.now();
            run.after(SECOND / 4, new Runnable() {
                @Override
                public void run() {
                    if (run.even() && run.believing(0, MemberState.ALIVE) == count && even[0] == 0) {
                        even[0] = run.now() - from;
                    } else if (even[0] == 0) {
                        run.after(SECOND / 4, this);
                    }
                }
            });
        });
        out.add(
                count,
                "membership.together.known",
                "time until the two halves hold one view again",
                "s",
                (even[0] == 0 ? 40 * SECOND : even[0]) / 1e6);
    }

    private void release() {
        for (int tenth = 0; tenth < 10; tenth++) {
            int from = tenth * count / 10;
            int to = (tenth + 1) * count / 10;
            run.after(1 + tenth * 5 * SECOND, () -> {
                for (int i = from; i < to; i++) {
                    run.leave(i);
                }
            });
            run.after(tenth * 5 * SECOND + SECOND, () -> {
                for (int i = from; i < to; i++) {
                    run.kill(i);
                }
            });
            run.after(tenth * 5 * SECOND + 3 * SECOND, () -> starts(from, to - from, SECOND / 2));
        }
    }

    private void phase(String id, String what, int seconds, Runnable begin) {
        if (!id.equals("start") && !id.endsWith("-return") && !id.equals("together")) {
            run.run(BETWEEN_US);
        }
        for (int i = 0; i < count; i++) {
            known[i] = run.member(i);
            sent[i] = known[i] == null ? 0 : known[i].sentBytes();
        }
        FleetRun.Figures before = run.figures();
        long cpu = cpu();
        begin.run();
        long worst = 0;
        for (int s = 0; s < seconds; s++) {
            run.run(SECOND);
            for (int i = 0; i < count; i++) {
                Fleet now = run.member(i);
                long bytes = now == null ? 0 : now.sentBytes();
                worst = Math.max(worst, now == known[i] ? bytes - sent[i] : bytes);
                known[i] = now;
                sent[i] = bytes;
            }
        }
        double each = (double) count * seconds;
        FleetRun.Figures f = run.figures();
        String name = "membership." + id;
        out.add(count, name + ".processor", "processor time of each " + what, "of a core", (cpu() - cpu) / 1e9 / each);
        out.add(
                count,
                name + ".messages",
                "datagrams from each " + what,
                "/s",
                (f.datagrams() - before.datagrams()) / each);
        out.add(count, name + ".bytes", "bytes from each " + what, "bytes/s", (f.bytes() - before.bytes()) / each);
        out.add(count, name + ".worst", "bytes from the busiest in its busiest second " + what, "bytes/s", worst);
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long used() {
        Runtime jvm = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return jvm.totalMemory() - jvm.freeMemory();
    }
}
