package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mulleinfront.Balancer.Availability;
import mulleinfront.emulator.GraphSpec.Failure;

/** Makes a graph's failures happen. Whom one draws is settled when it begins, among those who are there. */
final class GraphScript {
    private final GraphWorld graph;
    private final Chance chance;

    GraphScript(GraphWorld graph, Chance chance) {
        this.graph = graph;
        this.chance = chance;
    }

    void schedule() {
        graph.spec.failures().forEach(f -> graph.queue.after(f.at(), () -> begin(f)));
    }

    private void begin(Failure f) {
        switch (f.kind()) {
            case KILL -> spread(f, m -> kill(f, m));
            case RESTART -> spread(f, m -> restart(f, m));
            case VANISH -> spread(f, m -> vanish(f, m));
            case CUT -> cut(f);
        }
    }

    private List<GraphMachine> drawn(Failure f) {
        List<GraphMachine> there = new ArrayList<>();
        for (GraphMachine m : graph.machines) {
            if (!m.down && !m.away && (f.zone() < 0 || m.zone == f.zone())) {
                there.add(m);
            }
        }
        if (f.rack() && !there.isEmpty()) {
            GraphMachine one = there.get(chance.below(there.size()));
            there.removeIf(m -> m.zone != one.zone || m.rack != one.rack);
        }
        while (f.count() >= 0 && there.size() > f.count()) {
            there.remove(chance.below(there.size()));
        }
        return there;
    }

    /** Batches take of every service as much as they can: its machines are told off in turn. */
    private void spread(Failure f, Consumer<GraphMachine> what) {
        int batches = f.batch() > 0 ? (int) Math.max(1, Math.round(1 / f.batch())) : 0;
        Map<CallGraph.Node, Integer> told = new HashMap<>();
        for (GraphMachine m : drawn(f)) {
            int nth = told.merge(m.node, 1, Integer::sum) - 1;
            // A service of few does not have its first machine in every first batch.
            int batch = batches == 0 ? 0 : (nth * Math.max(1, batches / m.node.hosts()) + m.node.number()) % batches;
            long after = batches > 0 ? f.withinUs() * batch / batches : (long) (f.withinUs() * chance.unit());
            graph.queue.after(after, () -> {
                if (!m.down && !m.away) {
                    what.accept(m);
                }
            });
        }
    }

    private long startUs() {
        return graph.spec.world().proxies().startUs();
    }

    /** Its power is gone: server and client proxy at once, without a word; all is cold when it comes back. */
    private void kill(Failure f, GraphMachine m) {
        m.down = true;
        m.drop();
        if (m.host != null) {
            World part = graph.part(m.node.number());
            m.host.vanished = true;
            part.stop(m.host);
            part.registry.happened(m.host, Availability.GONE, true);
        }
        m.upstreams.forEach(u -> u.instance().kill(f.forUs()));
        // Its client proxy is up first: an application that can't call anybody is no use.
        graph.queue.after(f.forUs() + startUs() + 1, () -> back(m));
    }

    private void back(GraphMachine m) {
        m.down = false;
        if (m.host != null) {
            m.host.vanished = false;
            World part = graph.part(m.node.number());
            part.resetAll(m.host);
            part.start(m.host, false);
        }
    }

    /** It drains, ends, and starts anew and cold; requests from outside go elsewhere meanwhile. */
    private void restart(Failure f, GraphMachine m) {
        m.down = true;
        World part = m.host == null ? null : graph.part(m.node.number());
        if (part != null) {
            part.drain(m.host);
        }
        graph.queue.after(f.drainUs(), () -> {
            m.drop();
            if (part != null) {
                part.stop(m.host);
            }
            long up = startUs() + 1;
            if (f.proxies()) {
                m.upstreams.forEach(u -> u.instance().end());
                up += graph.spec.world().proxies().lateCallsUs() + startUs();
            }
            graph.queue.after(up, () -> {
                m.down = false;
                if (part != null) {
                    part.start(m.host, false);
                }
            });
        });
    }

    /** Off the net and back as it was: its server reaches nobody, and neither does its client proxy. */
    private void vanish(Failure f, GraphMachine m) {
        away(m, true);
        boolean noticed =
                f.forUs() > graph.spec.world().discovery().silentNotice().high();
        World part = m.host == null ? null : graph.part(m.node.number());
        if (part != null && noticed) {
            part.registry.happened(m.host, Availability.GONE, true);
        }
        graph.queue.after(f.forUs(), () -> {
            away(m, false);
            if (part != null) {
                part.resetAll(m.host);
                if (noticed) {
                    part.registry.happened(m.host, Availability.READY, false);
                }
            }
            m.upstreams.forEach(u -> heal(u.part(), link -> link.owner.proxy() == u.proxy()));
        });
    }

    private void away(GraphMachine m, boolean on) {
        m.away = on;
        if (m.host != null) {
            m.host.vanished = on;
        }
        m.upstreams.forEach(u -> {
            u.part().network.away(u.proxy(), on);
            u.part().registry.cut(u.proxy(), on);
        });
    }

    /** Regions from each other: discovery stays with the first, and lists what it listed before. */
    private void cut(Failure f) {
        cut(true);
        graph.queue.after(f.forUs(), () -> cut(false));
    }

    private void cut(boolean on) {
        int[] region = graph.spec.regionOf();
        for (CallGraph.Node node : graph.nodes()) {
            World part = graph.part(node.number());
            if (part == null) {
                continue;
            }
            for (int a = 0; a < region.length; a++) {
                for (int b = a + 1; b < region.length; b++) {
                    if (region[a] != region[b]) {
                        part.network.cutPair(a, b, on);
                    }
                }
            }
            if (!on) {
                heal(part, link -> region[link.owner.zone()] != region[link.host.zone]);
            }
        }
        for (GraphMachine m : graph.machines) {
            if (region[m.zone] != region[0]) {
                m.upstreams.forEach(u -> u.part().registry.cut(u.proxy(), on));
            }
        }
    }

    /** Connections that crossed a cut are reset when it is over. */
    private static void heal(World part, java.util.function.Predicate<Link> crossed) {
        for (Host h : part.hosts) {
            for (Link link : List.copyOf(h.links)) {
                if (crossed.test(link)) {
                    part.reset(link);
                }
            }
        }
    }
}
