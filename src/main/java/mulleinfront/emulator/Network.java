package mulleinfront.emulator;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How long messages are under way, and which never arrive. */
final class Network {
    private final long[][] oneWay;
    private final double jitter;
    private final Chance chance;
    private final int[] cutZones;
    private final Set<Host> cutHosts = new HashSet<>();
    /** For client proxies that are cut from zones by themselves: how often from each; null: none is. */
    private Map<Integer, int[]> cutProxies;
    /** Pairs of zones that are cut from each other: how often; null: none is. */
    private int[][] cutPairs;
    /** Client proxies whose machine is off the net. */
    private final BitSet away = new BitSet();

    /**
     * Of a part of a larger world, which has drawn the ways between its zones.
     *
     * @param oneWay from and to each zone, microseconds
     */
    Network(long[][] oneWay, double jitter, Chance chance) {
        this.jitter = jitter;
        this.chance = chance;
        this.oneWay = oneWay;
        this.cutZones = new int[oneWay.length];
    }

    Network(Scenario.Network spec, int zones, Chance chance) {
        this.jitter = spec.jitter();
        this.chance = chance;
        this.oneWay = new long[zones][zones];
        this.cutZones = new int[zones];
        for (int a = 0; a < zones; a++) {
            for (int b = a; b < zones; b++) {
                long us = Math.max(1, (long) (a == b ? spec.same() : spec.cross()).draw(chance::between));
                oneWay[a][b] = us;
                oneWay[b][a] = us;
            }
        }
    }

    /** Time that one message takes, microseconds, at least 1. */
    long delay(int from, int to) {
        double us = oneWay[from][to] * (1 + jitter * chance.unit());
        return Math.max(1, (long) us);
    }

    /** Whether a message between a client proxy's zone and a server would arrive now. */
    boolean passes(int zone, Host host) {
        return !host.vanished
                && !cutHosts.contains(host)
                && (zone == host.zone || cutZones[zone] == 0 && cutZones[host.zone] == 0)
                && (cutPairs == null || cutPairs[zone][host.zone] == 0);
    }

    /** The same for a client proxy, which may be cut off by itself. */
    boolean passes(int proxy, int zone, Host host) {
        return passes(zone, host)
                && !away.get(proxy)
                && (cutProxies == null
                        || !cutProxies.containsKey(proxy)
                        || cutProxies.get(proxy)[host.zone] == 0);
    }

    /** One client proxy and the servers of a zone. */
    void cut(int proxy, int zone, boolean on) {
        cutProxies = cutProxies == null ? new HashMap<>() : cutProxies;
        cutProxies.computeIfAbsent(proxy, p -> new int[cutZones.length])[zone] += on ? 1 : -1;
    }

    /** Two zones from each other. */
    void cutPair(int a, int b, boolean on) {
        cutPairs = cutPairs == null ? new int[oneWay.length][oneWay.length] : cutPairs;
        cutPairs[a][b] += on ? 1 : -1;
        cutPairs[b][a] += on ? 1 : -1;
    }

    /** The machine of a client proxy is off the net, or back. */
    void away(int proxy, boolean on) {
        away.set(proxy, on);
    }

    void cut(int zone, boolean on) {
        cutZones[zone] += on ? 1 : -1;
    }

    void cut(Host host, boolean on) {
        if (on) {
            cutHosts.add(host);
        } else {
            cutHosts.remove(host);
        }
    }
}
