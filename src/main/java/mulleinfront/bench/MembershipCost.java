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
 * Measures the cost of fleet membership per client proxy on virtual time: a start of all members, operation without
 * faults, and then the faults of the planned size one after the other. CPU time is that of the thread and includes the
 * emulator's own.
 */
public final class MembershipCost {
    private static final long SECOND = 1_000_000;
    private static final long PERIOD_US = SECOND;
    /** Time after a start of all members until views have converged at every size. */
    private static final long SETTLE_US = 100 * SECOND;
    /** Time between a fault and the next. */
    private static final long BETWEEN_US = 20 * SECOND;

    private static final long EXPIRY_US = 600 * SECOND;
    /** Share of the planned fleet that restarts in one day: 35 of 670. */
    private static final double DAILY_RESTART_SHARE = 35.0 / 670;

    private final int count;
    private final double rackShare;
    private final int zones;
    private final SlopeCollector out;
    private final FleetRun run;
    private final Fleet[] lastSeen;
    private final long[] sent;
    private final long[] firstSuspected;
    private final long[] lastFailed;
    private final long[] killedAt;

    private MembershipCost(int count, long seed, double rackShare, int zones, SlopeCollector out) {
        this.count = count;
        this.rackShare = rackShare;
        this.zones = zones;
        this.out = out;
        this.run = FleetRun.alone(
                count, seed, i -> FleetSettings.defaults("size", "n" + i, i, count, PERIOD_US, EXPIRY_US));
        this.lastSeen = new Fleet[count];
        this.sent = new long[count];
        this.firstSuspected = new long[count];
        this.lastFailed = new long[count];
        this.killedAt = new long[count];
        run.addListener((observer, c) -> recordChange(c));
    }

    private void recordChange(Change change) {
        if (killedAt[change.member()] == 0) {
            return;
        }
        if (change.to() == MemberState.SUSPECTED && firstSuspected[change.member()] == 0) {
            firstSuspected[change.member()] = run.now();
        } else if (change.to() == MemberState.FAILED) {
            lastFailed[change.member()] = run.now();
        }
    }

    /**
     * Measures fleets of the given sizes with one seed.
     *
     * @param progress receives a line for each size
     * @param rackShare share of the fleet in one rack
     */
    public static List<Slope> measure(
            PrintWriter progress, int[] sizes, long seed, double rackShare, int zones, String command) {
        SlopeCollector out = new SlopeCollector("client proxies", command);
        new MembershipCost(sizes[0], seed, rackShare, zones, new SlopeCollector("", "")).runAll();
        for (int size : sizes) {
            long from = threadCpuNanos();
            new MembershipCost(size, seed, rackShare, zones, out).runAll();
            progress.printf(
                    Locale.ROOT, "membership of %d: %.0f s of processor time%n", size, (threadCpuNanos() - from) / 1e9);
            progress.flush();
        }
        return out.slopes();
    }

    private void runAll() {
        long heap = usedHeapBytes();
        measurePhase("start", "through a start of all within a second", 20, () -> scheduleStarts(0, count, SECOND));
        run.run(SETTLE_US);
        out.add(
                count,
                "membership.state",
                "heap that a member's view holds, its part of the emulator with it",
                "bytes",
                Math.max(0, usedHeapBytes() - heap) / (double) count);
        Reference.reachabilityFence(run);
        measurePhase("rest", "at rest", 20, () -> {});
        measureKill("host", "after one host's end", Math.max(1, count / 2), 1);
        measureKill("rack", "after a rack's end, all at once", 0, Math.max(1, (int) Math.round(rackShare * count)));
        measureKill("zone", "after a zone's end, all at once", 0, count / zones);
        measurePhase("restarts", "while a day's restarts come at once", 20, () -> {
            int memberCount = Math.max(1, (int) Math.round(DAILY_RESTART_SHARE * count));
            for (int i = 0; i < memberCount; i++) {
                run.kill(i * count / memberCount);
            }
            run.after(1_500_000, () -> {
                for (int i = 0; i < memberCount; i++) {
                    run.start(i * count / memberCount);
                }
            });
        });
        measurePartition();
        measurePhase("release", "while a tenth after the other is restarted, 5 s each", 55, this::rollingRestart);
        measurePhase("again", "while all are killed and started within a second", 20, () -> {
            for (int i = 0; i < count; i++) {
                run.kill(i);
            }
            scheduleStarts(0, count, SECOND);
        });
    }

    private void scheduleStarts(int from, int memberCount, long withinUs) {
        for (int i = 0; i < memberCount; i++) {
            int member = from + i;
            run.after(1 + withinUs * i / memberCount, () -> run.start(member));
        }
    }

    /** Kills some members at once and starts them again after the others have detected it. */
    private void measureKill(String id, String description, int from, int memberCount) {
        Arrays.fill(killedAt, 0);
        Arrays.fill(firstSuspected, 0);
        Arrays.fill(lastFailed, 0);
        measurePhase(id, description, 30, () -> {
            for (int i = from; i < from + memberCount; i++) {
                killedAt[i] = run.now();
                run.kill(i);
            }
        });
        double suspected = 0;
        double maxDetectionSeconds = 0;
        for (int i = from; i < from + memberCount; i++) {
            // If not all live members have recorded the failure by now, the elapsed time is a lower bound.
            int alive = count - memberCount;
            long last = run.countRecording(i, MemberState.FAILED) < alive ? run.now() : lastFailed[i];
            maxDetectionSeconds = Math.max(maxDetectionSeconds, (last - killedAt[i]) / 1e6);
            suspected = Math.max(suspected, (firstSuspected[i] - killedAt[i]) / 1e6);
        }
        out.add(
                count,
                "membership." + id + ".suspected",
                "worst time until somebody suspects one " + description,
                "s",
                suspected);
        out.add(
                count,
                "membership." + id + ".known",
                "worst time until all know of one " + description,
                "s",
                maxDetectionSeconds);
        Arrays.fill(killedAt, 0);
        measurePhase(
                id + "-return",
                description + " and its return within a second",
                20,
                () -> scheduleStarts(from, memberCount, SECOND));
    }

    private void measurePartition() {
        BitSet firstHalf = new BitSet();
        firstHalf.set(0, count / 2);
        BitSet secondHalf = new BitSet();
        secondHalf.set(count / 2, count);
        PeerFaults.ActiveFault[] partition = new PeerFaults.ActiveFault[1];
        measurePhase(
                "apart",
                "while two halves are apart for a minute",
                60,
                () -> partition[0] = run.partition(firstHalf, secondHalf, false));
        long[] convergedUs = {0};
        measurePhase("together", "while two halves find each other again", 40, () -> {
            partition[0].end();
            long from = run.now();
            run.after(SECOND / 4, new Runnable() {
                @Override
                public void run() {
                    if (run.viewsAgree() && run.countRecording(0, MemberState.ALIVE) == count && convergedUs[0] == 0) {
                        convergedUs[0] = run.now() - from;
                    } else if (convergedUs[0] == 0) {
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
                (convergedUs[0] == 0 ? 40 * SECOND : convergedUs[0]) / 1e6);
    }

    private void rollingRestart() {
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
            run.after(tenth * 5 * SECOND + 3 * SECOND, () -> scheduleStarts(from, to - from, SECOND / 2));
        }
    }

    private void measurePhase(String id, String description, int seconds, Runnable begin) {
        if (!id.equals("start") && !id.endsWith("-return") && !id.equals("together")) {
            run.run(BETWEEN_US);
        }
        for (int i = 0; i < count; i++) {
            lastSeen[i] = run.member(i);
            sent[i] = lastSeen[i] == null ? 0 : lastSeen[i].sentBytes();
        }
        FleetRun.TrafficCounts before = run.trafficCounts();
        long cpuBefore = threadCpuNanos();
        begin.run();
        long maxBytesPerSecond = 0;
        for (int second = 0; second < seconds; second++) {
            run.run(SECOND);
            for (int i = 0; i < count; i++) {
                Fleet now = run.member(i);
                long bytes = now == null ? 0 : now.sentBytes();
                maxBytesPerSecond = Math.max(maxBytesPerSecond, now == lastSeen[i] ? bytes - sent[i] : bytes);
                lastSeen[i] = now;
                sent[i] = bytes;
            }
        }
        double memberSeconds = (double) count * seconds;
        FleetRun.TrafficCounts after = run.trafficCounts();
        String name = "membership." + id;
        out.add(
                count,
                name + ".processor",
                "processor time of each " + description,
                "of a core",
                (threadCpuNanos() - cpuBefore) / 1e9 / memberSeconds);
        out.add(
                count,
                name + ".messages",
                "datagrams from each " + description,
                "/s",
                (after.datagrams() - before.datagrams()) / memberSeconds);
        out.add(
                count,
                name + ".bytes",
                "bytes from each " + description,
                "bytes/s",
                (after.bytes() - before.bytes()) / memberSeconds);
        out.add(
                count,
                name + ".worst",
                "bytes from the busiest in its busiest second " + description,
                "bytes/s",
                maxBytesPerSecond);
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedHeapBytes() {
        Runtime jvm = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return jvm.totalMemory() - jvm.freeMemory();
    }
}
