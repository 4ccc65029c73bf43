package mulleinfront.emulator;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Message delays between zones, and which messages are lost to partitions. */
final class Network {
    private final long[][] oneWayDelayUs;
    private final double jitter;
    private final RandomStream chance;
    private final int[] partitionedZones;
    private final Set<Host> partitionedHosts = new HashSet<>();
    /** Partitions of single client proxies: by proxy, a count for each zone; null: none. */
    private Map<Integer, int[]> partitionedProxies;
    /** Partitions between pairs of zones, as counts; null: none. */
    private int[][] partitionedPairs;
    /** Client proxies whose machine is disconnected from the network. */
    private final BitSet disconnectedProxies = new BitSet();

    /**
     * The network of one service in a graph simulation, whose zones have the delays of the whole simulation.
     *
     * @param oneWayDelayUs delay from and to each zone, microseconds
     */
    Network(long[][] oneWayDelayUs, double jitter, RandomStream chance) {
        this.jitter = jitter;
        this.chance = chance;
        this.oneWayDelayUs = oneWayDelayUs;
        this.partitionedZones = new int[oneWayDelayUs.length];
    }

    Network(Scenario.Network spec, int zones, RandomStream chance) {
        this.jitter = spec.jitter();
        this.chance = chance;
        this.oneWayDelayUs = new long[zones][zones];
        this.partitionedZones = new int[zones];
        for (int zone = 0; zone < zones; zone++) {
            for (int otherZone = zone; otherZone < zones; otherZone++) {
                long delayUs = Math.max(
                        1, (long) (zone == otherZone ? spec.same() : spec.cross()).draw(chance::uniformBetween));
                oneWayDelayUs[zone][otherZone] = delayUs;
                oneWayDelayUs[otherZone][zone] = delayUs;
            }
        }
    }

    /** Delay of one message, microseconds, at least 1. */
    long delay(int from, int to) {
        double delayUs = oneWayDelayUs[from][to] * (1 + jitter * chance.uniform());
        return Math.max(1, (long) delayUs);
    }

    /** Whether a message between a client proxy's zone and a server would arrive now. */
    boolean delivers(int zone, Host host) {
        return !host.disconnected
                && !partitionedHosts.contains(host)
                && (zone == host.zone || partitionedZones[zone] == 0 && partitionedZones[host.zone] == 0)
                && (partitionedPairs == null || partitionedPairs[zone][host.zone] == 0);
    }

    /**
     * Whether a message between a client proxy and a server would arrive now, including partitions of the single
     * proxy.
     */
    boolean delivers(int proxy, int zone, Host host) {
        return delivers(zone, host)
                && !disconnectedProxies.get(proxy)
                && (partitionedProxies == null
                        || !partitionedProxies.containsKey(proxy)
                        || partitionedProxies.get(proxy)[host.zone] == 0);
    }

    /** Begins or ends a partition between one client proxy and the servers of a zone. */
    void partition(int proxy, int zone, boolean on) {
        partitionedProxies = partitionedProxies == null ? new HashMap<>() : partitionedProxies;
        partitionedProxies.computeIfAbsent(proxy, p -> new int[partitionedZones.length])[zone] += on ? 1 : -1;
    }

    /** Begins or ends a partition between two zones. */
    void partitionZones(int firstZone, int secondZone, boolean on) {
        partitionedPairs =
                partitionedPairs == null ? new int[oneWayDelayUs.length][oneWayDelayUs.length] : partitionedPairs;
        partitionedPairs[firstZone][secondZone] += on ? 1 : -1;
        partitionedPairs[secondZone][firstZone] += on ? 1 : -1;
    }

    /** Disconnects a client proxy's machine from the network, or reconnects it. */
    void disconnect(int proxy, boolean on) {
        disconnectedProxies.set(proxy, on);
    }

    void partition(int zone, boolean on) {
        partitionedZones[zone] += on ? 1 : -1;
    }

    void partition(Host host, boolean on) {
        if (on) {
            partitionedHosts.add(host);
        } else {
            partitionedHosts.remove(host);
        }
    }
}
