package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import mulleinfront.config.DistributionSimulation.Node;
import mulleinfront.config.DistributionSimulation.Proxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Measures on virtual time how long a change takes to become active on every client proxy of a fleet, with and without
 * faults.
 */
@Execution(ExecutionMode.CONCURRENT)
class ConfigPropagationTest {
    private static final long SECOND_US = 1_000_000;
    private static final long PROPAGATION_BOUND_US = 6 * SECOND_US;
    /** Keys of the full configuration, about 30 KB. */
    private static final int TOTAL_KEYS = 700;

    /** A fault that begins when a change is proposed. */
    private enum Fault {
        HEALTHY(simulation -> {}),
        /** The leader is killed around the time of the commit. */
        MACHINE_KILLED(simulation -> simulation.eventQueue.after(
                simulation.random.nextLong(80_000),
                () -> simulation.nodes.get(simulation.leader).kill())),
        /** About 5% of the client proxies restart, each after a downtime of 0.5 s to 1.5 s. */
        RESTARTING(simulation -> {
            for (int i = 0; i < Math.max(1, simulation.proxies.size() * 35 / 670); i++) {
                Proxy proxy = simulation.proxies.get(simulation.random.nextInt(simulation.proxies.size()));
                simulation.eventQueue.after(simulation.random.nextLong(2 * SECOND_US), () -> {
                    if (proxy.alive) {
                        proxy.kill(false);
                        simulation.eventQueue.after(
                                simulation.random.nextLong(SECOND_US / 2, 3 * SECOND_US / 2), proxy::start);
                    }
                });
            }
        }),
        /** The zone of the leader fails with all its client proxies; no connection is reset. */
        ZONE_KILLED(simulation ->
                simulation.eventQueue.after(simulation.random.nextLong(80_000), () -> killLeaderZone(simulation))),
        /** The leader is killed at any time while a long delta is being sent. */
        MACHINE_KILLED_LATER(simulation -> simulation.eventQueue.after(
                simulation.random.nextLong(2 * SECOND_US),
                () -> simulation.nodes.get(simulation.leader).kill())),
        ZONE_KILLED_LATER(simulation -> simulation.eventQueue.after(
                simulation.random.nextLong(2 * SECOND_US), () -> killLeaderZone(simulation)));

        private static void killLeaderZone(DistributionSimulation simulation) {
            Node leader = simulation.nodes.get(simulation.leader);
            leader.zoneFailed = true;
            for (Proxy proxy : simulation.proxies) {
                if (proxy.zone == leader.zone) {
                    proxy.kill(true);
                }
            }
            leader.kill();
        }

        final Consumer<DistributionSimulation> begin;

        Fault(Consumer<DistributionSimulation> begin) {
            this.begin = begin;
        }
    }

    /** Mean, 99th percentile and maximum of the propagation times in seconds, and the bytes read by client proxies. */
    private record PropagationTimes(
            double meanS, double p99S, double maxS, double bytesPerS, long maxBytesInOneSecond) {
        static PropagationTimes compute(List<Long> timesUs, double bytesPerS, long maxBytesInOneSecond) {
            Collections.sort(timesUs);
            double meanS = timesUs.stream().mapToLong(t -> t).average().orElse(0) / SECOND_US;
            return new PropagationTimes(
                    meanS,
                    timesUs.get((int) Math.ceil(0.99 * timesUs.size()) - 1) / (double) SECOND_US,
                    timesUs.get(timesUs.size() - 1) / (double) SECOND_US,
                    bytesPerS,
                    maxBytesInOneSecond);
        }

        String summary() {
            return String.format(
                    Locale.ROOT,
                    "%6.3f %6.3f %6.3f s  %5.0f B/s, %d B in the worst second",
                    meanS,
                    p99S,
                    maxS,
                    bytesPerS,
                    maxBytesInOneSecond);
        }
    }

    private static PropagationTimes measure(Fault fault, int proxyCount, int seeds) {
        return measure(fault, proxyCount, seeds, 20);
    }

    private static PropagationTimes measure(Fault fault, int proxyCount, int seeds, int changedKeys) {
        List<Long> timesUs = new ArrayList<>();
        double bytesPerS = 0;
        long maxBytesInOneSecond = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            DistributionSimulation simulation = new DistributionSimulation(seed, proxyCount);
            simulation.propose(simulation.randomConfiguration(TOTAL_KEYS));
            simulation.startAll();
            simulation.run(15 * SECOND_US);
            assertTrue(
                    simulation.propagationTimesUs(1).stream().noneMatch(t -> t == Long.MAX_VALUE),
                    "all client proxies start with version 1");
            long bytesBefore = simulation.totalBytesRead;
            simulation.maxBytesInOneSecond = 0;
            simulation.propose(simulation.newestWithRandomChanges(changedKeys));
            fault.begin.accept(simulation);
            simulation.run(20 * SECOND_US);
            timesUs.addAll(simulation.propagationTimesUs(2));
            bytesPerS += (simulation.totalBytesRead - bytesBefore) / 20.0 / proxyCount / seeds;
            maxBytesInOneSecond = Math.max(maxBytesInOneSecond, simulation.maxBytesInOneSecond);
            simulation.check();
        }
        return PropagationTimes.compute(timesUs, bytesPerS, maxBytesInOneSecond);
    }

    private static void assertWithinBounds(Fault fault) {
        PropagationTimes times = measure(fault, 670, 20);
        System.out.println("handout 670 " + fault + " " + times.summary());
        assertTrue(times.maxS() <= PROPAGATION_BOUND_US / (double) SECOND_US, fault + ": " + times.summary());
        assertTrue(times.maxBytesInOneSecond() <= 12_000, fault + ": " + times.summary());
    }

    @Test
    void changeIsActiveEverywhereWithinBound() {
        assertWithinBounds(Fault.HEALTHY);
    }

    @Test
    void changeIsActiveWithinBoundIfLeaderIsKilled() {
        assertWithinBounds(Fault.MACHINE_KILLED);
    }

    @Test
    void changeIsActiveWithinBoundWhileProxiesRestart() {
        assertWithinBounds(Fault.RESTARTING);
    }

    @Test
    void changeIsActiveWithinBoundIfLeaderZoneFails() {
        assertWithinBounds(Fault.ZONE_KILLED);
    }

    @Test
    void largeDeltaIsActiveWithinBoundIfLeaderOrZoneFailsWhileSending() {
        for (Fault fault : List.of(Fault.MACHINE_KILLED_LATER, Fault.ZONE_KILLED_LATER)) {
            // About 10 KB: with a larger delta the 6 s are not guaranteed if a node is lost while it is being sent.
            PropagationTimes times = measure(fault, 167, 20, 250);
            System.out.println("handout 167, 250 keys of 700, " + fault + " " + times.summary());
            assertTrue(times.maxS() <= PROPAGATION_BOUND_US / (double) SECOND_US, fault + ": " + times.summary());
            assertTrue(times.maxBytesInOneSecond() <= 12_000, fault + ": " + times.summary());
        }
    }

    @Test
    void propagationTimeIsBoundedForAnyFleetSize() {
        for (Fault fault : List.of(Fault.HEALTHY, Fault.MACHINE_KILLED, Fault.RESTARTING, Fault.ZONE_KILLED)) {
            for (int proxies : new int[] {50, 167, 335, 1_340}) {
                PropagationTimes times = measure(fault, proxies, 3);
                System.out.println("handout " + proxies + " " + fault + " " + times.summary());
                assertTrue(
                        times.maxS() <= PROPAGATION_BOUND_US / (double) SECOND_US,
                        proxies + " " + fault + ": " + times.summary());
            }
        }
    }
}
