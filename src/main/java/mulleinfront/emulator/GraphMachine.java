package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine of one service: its server, its client proxy, and the requests that its application handles. */
final class GraphMachine {
    final int number;
    final CallGraph.Node node;
    final int zone;
    final int rack;
    final long startAt;
    /** The server; null for a front service, which only receives requests from outside. */
    Host host;
    /** The client proxy's part for each service that it calls, in the order of its service's calls. */
    final List<Upstream> upstreams = new ArrayList<>();

    final Set<Handling> handlings = new LinkedHashSet<>();
    /** Whether the machine is stopped or draining; requests from outside go to other machines. */
    boolean down;
    /** Whether the machine has no network. */
    boolean disconnected;

    /** The client proxy's part for one service: a core, its balancer, its connections and its list. */
    record Upstream(World serviceWorld, int service, int proxy) {
        Instance instance() {
            return serviceWorld.proxies.get(proxy);
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
        for (Upstream upstream : upstreams) {
            if (upstream.service() == service) {
                return upstream;
            }
        }
        throw new IllegalStateException(
                "machine " + number + " of " + node.name() + " does not call service " + service);
    }

    /** The application's process ends, and the requests that it handled are cancelled. */
    void cancelHandlings() {
        List.copyOf(handlings).forEach(Handling::cancel);
    }
}
