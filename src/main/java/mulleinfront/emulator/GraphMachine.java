package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine of one service: its server, its client proxy, and what its application is at. */
final class GraphMachine {
    final int number;
    final CallGraph.Node node;
    final int zone;
    final int rack;
    final long startAt;
    /** Its server; null: its service is called from outside alone. */
    Host host;
    /** The client proxy's part for each service that it calls, in the order of its service's calls. */
    final List<Upstream> upstreams = new ArrayList<>();

    final Set<Handling> handlings = new LinkedHashSet<>();
    /** Requests from outside go elsewhere. */
    boolean down;
    /** Off the net. */
    boolean away;

    /** A client proxy towards one service: a core, its module, its connections and its list. */
    record Upstream(World part, int service, int proxy) {
        Instance instance() {
            return part.proxies.get(proxy);
        }
    }

    GraphMachine(int number, CallGraph.Node node, int zone, int rack, long startAt) {
        this.number = number;
        this.node = node;
        this.zone = zone;
        this.rack = rack;
        this.startAt = startAt;
    }

    Upstream upstream(int service) {
        for (Upstream u : upstreams) {
            if (u.service() == service) {
                return u;
            }
        }
        throw new IllegalStateException("machine " + number + " of " + node.name() + " does not call " + service);
    }

    /** Its process is gone, and what it was at with it. */
    void drop() {
        List.copyOf(handlings).forEach(Handling::cancel);
    }
}
