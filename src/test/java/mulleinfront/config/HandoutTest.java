package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import mulleinfront.config.HandoutWorld.Machine;
import mulleinfront.config.HandoutWorld.Proxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * All of a fleet on virtual time: how long a change takes to be in force everywhere, through the faults of
 * its days.
 */
@Execution(ExecutionMode.CONCURRENT)
class HandoutTest {
    private static final long S = 1_000_000;
    private static final long BOUND = 6 * S;
    /** Keys of the whole, some 30 KB. */
    private static final int KEYS = 700;

    /** A fault around a change; called when it is proposed. */
    private enum Fault {
        HEALTHY(w -> {}),
        /** The one that hands out and decides, around the instant of the decision. */
        MACHINE_KILLED(w -> w.time.after(
                w.chance.nextLong(80_000), () -> w.machines.get(w.leader).kill())),
        /** Each away for half a second to one and a half. */
        RESTARTING(w -> {
            for (int i = 0; i < Math.max(1, w.proxies.size() * 35 / 670); i++) {
                Proxy p = w.proxies.get(w.chance.nextInt(w.proxies.size()));
                w.time.after(w.chance.nextLong(2 * S), () -> {
                    if (p.alive) {
                        p.kill(false);
                        w.time.after(w.chance.nextLong(S / 2, 3 * S / 2), p::start);
                    }
                });
            }
        }),
        /** With its control machine, the leader, and nobody to say so. */
        ZONE_KILLED(w -> w.time.after(w.chance.nextLong(80_000), () -> zoneGone(w))),
        /** At any time while a long line is on its way. */
        MACHINE_KILLED_LATER(w -> w.time.after(
                w.chance.nextLong(2 * S), () -> w.machines.get(w.leader).kill())),
        ZONE_KILLED_LATER(w -> w.time.after(w.chance.nextLong(2 * S), () -> zoneGone(w)));

        private static void zoneGone(HandoutWorld w) {
            Machine gone = w.machines.get(w.leader);
            gone.dark = true;
            for (Proxy p : w.proxies) {
                if (p.zone == gone.zone) {
                    p.kill(true);
                }
            }
            gone.kill();
        }

        final Consumer<HandoutWorld> begin;

        Fault(Consumer<HandoutWorld> begin) {
            this.begin = begin;
        }
    }

    /** Mean, 99th percentile and worst of times, seconds. */
    private record Figures(double mean, double p99, double worst, double bytesPerS, long worstSecond) {
        static Figures of(List<Long> times, double bytesPerS, long worstSecond) {
            Collections.sort(times);
            double mean = times.stream().mapToLong(t -> t).average().orElse(0) / S;
            return new Figures(
                    mean,
                    times.get((int) Math.ceil(0.99 * times.size()) - 1) / (double) S,
                    times.get(times.size() - 1) / (double) S,
                    bytesPerS,
                    worstSecond);
        }

        String line() {
            return String.format(
                    Locale.ROOT,
                    "%6.3f %6.3f %6.3f s  %5.0f B/s, %d B in the worst second",
                    mean,
                    p99,
                    worst,
                    bytesPerS,
                    worstSecond);
        }
    }

    private static Figures measure(Fault fault, int proxies, int seeds) {
        return measure(fault, proxies, seeds, 20);
    }

    private static Figures measure(Fault fault, int proxies, int seeds, int keys) {
        List<Long> times = new ArrayList<>();
        double bytesPerS = 0;
        long worstSecond = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            HandoutWorld w = new HandoutWorld(seed, proxies);
            w.propose(w.drawn(KEYS));
            w.startAll();
            w.run(15 * S);
            assertTrue(w.times(1).stream().noneMatch(t -> t == Long.MAX_VALUE), "all began with the first");
            long before = w.bytes;
            w.worstSecond = 0;
            w.propose(w.changed(keys));
            fault.begin.accept(w);
            w.run(20 * S);
            times.addAll(w.times(2));
            bytesPerS += (w.bytes - before) / 20.0 / proxies / seeds;
            worstSecond = Math.max(worstSecond, w.worstSecond);
            w.check();
        }
        return Figures.of(times, bytesPerS, worstSecond);
    }

    private static void bounded(Fault fault) {
        Figures f = measure(fault, 670, 20);
        System.out.println("handout 670 " + fault + " " + f.line());
        assertTrue(f.worst() <= BOUND / (double) S, fault + ": " + f.line());
        assertTrue(f.worstSecond() <= 12_000, fault + ": " + f.line());
    }

    @Test
    void aChangeIsInForceEverywhereInSixSeconds() {
        bounded(Fault.HEALTHY);
    }

    @Test
    void alsoIfTheMachineThatDecidedItIsKilledWhileItHandsOut() {
        bounded(Fault.MACHINE_KILLED);
    }

    @Test
    void alsoWhileThirtyFiveRestart() {
        bounded(Fault.RESTARTING);
    }

    @Test
    void alsoIfAZoneGoesWithItsControlMachine() {
        bounded(Fault.ZONE_KILLED);
    }

    @Test
    void alsoIfTheMachineOrItsZoneGoesAnywhereWithinALongLine() {
        for (Fault fault : List.of(Fault.MACHINE_KILLED_LATER, Fault.ZONE_KILLED_LATER)) {
            // Some 10 KB: more than that is not sure of its six seconds if a machine goes on the way.
            Figures f = measure(fault, 167, 20, 250);
            System.out.println("handout 167, 250 keys of 700, " + fault + " " + f.line());
            assertTrue(f.worst() <= BOUND / (double) S, fault + ": " + f.line());
            assertTrue(f.worstSecond() <= 12_000, fault + ": " + f.line());
        }
    }

    @Test
    void itsTimeDoesNotGrowWithTheFleet() {
        for (Fault fault : List.of(Fault.HEALTHY, Fault.MACHINE_KILLED, Fault.RESTARTING, Fault.ZONE_KILLED)) {
            for (int proxies : new int[] {50, 167, 335, 1_340}) {
                Figures f = measure(fault, proxies, 3);
                System.out.println("handout " + proxies + " " + fault + " " + f.line());
                assertTrue(f.worst() <= BOUND / (double) S, proxies + " " + fault + ": " + f.line());
            }
        }
    }
}
