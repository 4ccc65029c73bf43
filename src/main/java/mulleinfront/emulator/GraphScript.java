package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mulleinfront.Balancer.Availability;
import mulleinfront.emulator.GraphSpec.Failure;

/**
 * Executes a graph's failures. The random targets of a failure are chosen when it begins, among the machines that run
 * then.
 */
final class GraphScript {
    private final GraphWorld graph;
    private final RandomStream chance;

    GraphScript(GraphWorld graph, RandomStream chance) {
        this.graph = graph;
        this.chance = chance;
    }

    void schedule() {
        graph.spec.failures().forEach(failure -> graph.queue.after(failure.at(), () -> begin(failure)));
    }

    private void begin(Failure failure) {
        switch (failure.kind()) {
            case KILL -> spread(failure, machine -> kill(failure, machine));
            case RESTART -> spread(failure, machine -> restart(failure, machine));
            case VANISH -> spread(failure, machine -> vanish(failure, machine));
            case CUT -> partitionRegions(failure);
        }
    }

    private List<GraphMachine> targetMachines(Failure failure) {
        List<GraphMachine> candidates = new ArrayList<>();
        for (GraphMachine machine : graph.machines) {
            if (!machine.down && !machine.disconnected && (failure.zone() < 0 || machine.zone == failure.zone())) {
                candidates.add(machine);
            }
        }
        if (failure.rack() && !candidates.isEmpty()) {
            GraphMachine one = candidates.get(chance.uniformBelow(candidates.size()));
            candidates.removeIf(machine -> machine.zone != one.zone || machine.rack != one.rack);
        }
        while (failure.count() >= 0 && candidates.size() > failure.count()) {
            candidates.remove(chance.uniformBelow(candidates.size()));
        }
        return candidates;
    }

    /** Schedules an action for the machines of a failure; the machines of each service are spread over the batches. */
    private void spread(Failure failure, Consumer<GraphMachine> action) {
        int batches = failure.batch() > 0 ? (int) Math.max(1, Math.round(1 / failure.batch())) : 0;
        Map<CallGraph.Node, Integer> machinesSeen = new HashMap<>();
        for (GraphMachine machine : targetMachines(failure)) {
            int indexInService = machinesSeen.merge(machine.node, 1, Integer::sum) - 1;
            // Offset by the service's number, so that the machines of small services are not all in the first batches.
            int batch = batches == 0
                    ? 0
                    : (indexInService * Math.max(1, batches / machine.node.hosts()) + machine.node.number()) % batches;
            long after =
                    batches > 0 ? failure.withinUs() * batch / batches : (long) (failure.withinUs() * chance.uniform());
            graph.queue.after(after, () -> {
                if (!machine.down && !machine.disconnected) {
                    action.accept(machine);
                }
            });
        }
    }

    private long startUs() {
        return graph.spec.world().proxies().startUs();
    }

    /** A machine loses power: its server and its client proxy end at once, without notice, and start cold later. */
    private void kill(Failure failure, GraphMachine machine) {
        machine.down = true;
        machine.cancelHandlings();
        if (machine.host != null) {
            World serviceWorld = graph.serviceWorld(machine.node.number());
            machine.host.disconnected = true;
            serviceWorld.stopServer(machine.host);
            serviceWorld.registry.serverChanged(machine.host, Availability.GONE, true);
        }
        machine.upstreams.forEach(u -> u.instance().kill(failure.forUs()));
        // The client proxy starts before the server: an application without it can't call other services.
        graph.queue.after(failure.forUs() + startUs() + 1, () -> restore(machine));
    }

    private void restore(GraphMachine machine) {
        machine.down = false;
        if (machine.host != null) {
            machine.host.disconnected = false;
            World serviceWorld = graph.serviceWorld(machine.node.number());
            serviceWorld.resetAll(machine.host);
            serviceWorld.startServer(machine.host, false);
        }
    }

    /** A server drains, ends and starts again cold; requests from outside go to other machines in the meantime. */
    private void restart(Failure failure, GraphMachine machine) {
        machine.down = true;
        World serviceWorld = machine.host == null ? null : graph.serviceWorld(machine.node.number());
        if (serviceWorld != null) {
            serviceWorld.drainServer(machine.host);
        }
        graph.queue.after(failure.drainUs(), () -> {
            machine.cancelHandlings();
            if (serviceWorld != null) {
                serviceWorld.stopServer(machine.host);
            }
            long startDelayUs = startUs() + 1;
            if (failure.proxies()) {
                machine.upstreams.forEach(u -> u.instance().terminate());
                startDelayUs += graph.spec.world().proxies().lateRequestsUs() + startUs();
            }
            graph.queue.after(startDelayUs, () -> {
                machine.down = false;
                if (serviceWorld != null) {
                    serviceWorld.startServer(machine.host, false);
                }
            });
        });
    }

    /** A machine loses the network for a time: neither its server nor its client proxy is connected. */
    private void vanish(Failure failure, GraphMachine machine) {
        setDisconnected(machine, true);
        boolean noticed = failure.forUs()
                > graph.spec.world().discovery().silentNoticeDelay().high();
        World serviceWorld = machine.host == null ? null : graph.serviceWorld(machine.node.number());
        if (serviceWorld != null && noticed) {
            serviceWorld.registry.serverChanged(machine.host, Availability.GONE, true);
        }
        graph.queue.after(failure.forUs(), () -> {
            setDisconnected(machine, false);
            if (serviceWorld != null) {
                serviceWorld.resetAll(machine.host);
                if (noticed) {
                    serviceWorld.registry.serverChanged(machine.host, Availability.READY, false);
                }
            }
            machine.upstreams.forEach(
                    u -> resetCrossedConnections(u.serviceWorld(), link -> link.owner.proxy() == u.proxy()));
        });
    }

    private void setDisconnected(GraphMachine machine, boolean on) {
        machine.disconnected = on;
        if (machine.host != null) {
            machine.host.disconnected = on;
        }
        machine.upstreams.forEach(u -> {
            u.serviceWorld().network.disconnect(u.proxy(), on);
            u.serviceWorld().registry.partition(u.proxy(), on);
        });
    }

    /** Partitions regions from each other. Discovery stays reachable from the first region, with unchanged lists. */
    private void partitionRegions(Failure failure) {
        partitionRegions(true);
        graph.queue.after(failure.forUs(), () -> partitionRegions(false));
    }

    private void partitionRegions(boolean on) {
        int[] region = graph.spec.regionOf();
        for (CallGraph.Node node : graph.nodes()) {
            World serviceWorld = graph.serviceWorld(node.number());
            if (serviceWorld == null) {
                continue;
            }
            for (int zone = 0; zone < region.length; zone++) {
                for (int otherZone = zone + 1; otherZone < region.length; otherZone++) {
                    if (region[zone] != region[otherZone]) {
                        serviceWorld.network.partitionZones(zone, otherZone, on);
                    }
                }
            }
            if (!on) {
                resetCrossedConnections(serviceWorld, link -> region[link.owner.zone()] != region[link.host.zone]);
            }
        }
        for (GraphMachine machine : graph.machines) {
            if (region[machine.zone] != region[0]) {
                machine.upstreams.forEach(u -> u.serviceWorld().registry.partition(u.proxy(), on));
            }
        }
    }

    /** Resets the connections that crossed a network partition when it ends. */
    private static void resetCrossedConnections(World serviceWorld, java.util.function.Predicate<Link> crossed) {
        for (Host host : serviceWorld.hosts) {
            for (Link link : List.copyOf(host.links)) {
                if (crossed.test(link)) {
                    serviceWorld.reset(link);
                }
            }
        }
    }
}
