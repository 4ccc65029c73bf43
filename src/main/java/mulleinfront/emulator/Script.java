package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Predicate;
import mulleinfront.Balancer.Availability;
import mulleinfront.emulator.Scenario.Fault;
import mulleinfront.settings.Range;

/**
 * Executes a scenario's faults. The random targets of a fault are chosen when it begins, among the servers and proxies
 * that run then.
 */
final class Script {
    private final World world;
    private final RandomStream chance;
    private int successorCount;

    Script(World world) {
        this.world = world;
        this.chance = world.chance("faults");
    }

    void schedule() {
        for (Fault fault : world.scenario.faults()) {
            world.queue.after(fault.at(), () -> begin(fault));
        }
    }

    private void begin(Fault fault) {
        world.statistics.faultApplied(fault, world.queue.now());
        switch (fault.kind()) {
            case SLOW ->
                forEachProcess(
                        fault, host -> host.process.setSlowdown(fault.factor()), host -> host.process.setSlowdown(1));
            case HANG -> forEachProcess(fault, host -> host.process.setHung(true), host -> host.process.setHung(false));
            case ERRORS ->
                forEachProcess(
                        fault,
                        host -> host.process.setErrorProbability(fault.share()),
                        host -> host.process.setErrorProbability(0));
            case PAUSE -> targetHosts(fault).forEach(host -> host.process.pause(fault.forUs()));
            case NEIGHBOUR -> targetHosts(fault).forEach(host -> toggleNoisyNeighbour(fault, host, host.process, true));
            case DRAIN -> targetHosts(fault).forEach(world::drainServer);
            case RESTART -> targetHosts(fault).forEach(host -> restart(fault, host));
            case DEPLOY -> deploy(fault);
            case VANISH -> targetHosts(fault).forEach(host -> vanish(fault, host));
            case CUT -> partitionServers(fault);
            case RESET_BEFORE ->
                forEachHost(
                        fault,
                        host -> host.resetBeforeProbability = fault.share(),
                        host -> host.resetBeforeProbability = 0);
            case RESET_AFTER ->
                forEachHost(
                        fault,
                        host -> host.resetAfterProbability = fault.share(),
                        host -> host.resetAfterProbability = 0);
            case DISCOVERY_DOWN -> applyFor(fault, () -> world.registry.down(true), () -> world.registry.down(false));
            case DISCOVERY_SILENT ->
                applyFor(fault, () -> world.registry.unresponsive(true), () -> world.registry.unresponsive(false));
            case DISCOVERY_LATE ->
                applyFor(
                        fault,
                        () -> world.registry.delayUpdates(fault.on()),
                        () -> world.registry.delayUpdates(Range.of(0)));
            case DISCOVERY_SHUFFLE ->
                applyFor(
                        fault,
                        () -> world.registry.shuffleLists((int) fault.factor()),
                        () -> world.registry.shuffleLists(0));
            case DISCOVERY_CROWD ->
                applyFor(
                        fault,
                        () -> world.registry.otherCallsPerS(fault.factor()),
                        () -> world.registry.otherCallsPerS(0));
            case DISCOVERY_REFUSES ->
                applyFor(
                        fault,
                        () -> world.registry.refuseCalls((int) fault.factor()),
                        () -> world.registry.refuseCalls(0));
            case DISCOVERY_CUTS ->
                applyFor(
                        fault,
                        () -> world.registry.truncateLists((int) fault.factor()),
                        () -> world.registry.truncateLists(0));
            case DISCOVERY_PAUSES ->
                applyFor(
                        fault,
                        () -> world.registry.pauseLists((int) fault.factor(), fault.on()),
                        () -> world.registry.pauseLists(0, Range.of(0)));
            case CROWD_PROXY ->
                targetProxies(fault).forEach(p -> p.floodConnections((int) fault.factor(), durationUs(fault)));
            case DISCOVERY_ENDS ->
                applyFor(
                        fault,
                        () -> world.registry.endInsteadOfUpdating((int) fault.factor()),
                        () -> world.registry.endInsteadOfUpdating(0));
            case WATCHES_SILENT -> world.registry.stallWatches();
            case WATCHES_RESET -> world.registry.resetWatches();
            case KILL_PROXY ->
                targetProxies(fault).forEach(p -> afterRandomDelay(fault, () -> p.kill(fault.drainUs())));
            case END_PROXY -> targetProxies(fault).forEach(p -> afterRandomDelay(fault, p::terminate));
            case RELOAD_PROXY -> targetProxies(fault).forEach(p -> afterRandomDelay(fault, p::reload));
            case ROLL_PROXIES -> rollProxies(fault);
            case PAUSE_PROXY -> targetProxies(fault).forEach(p -> p.pause(fault.forUs()));
            case CUT_PROXY -> partitionProxies(fault);
            case CUT_PEERS, DATAGRAMS -> beginDatagramFault(fault);
            case REPEAT_DATAGRAMS ->
                world.peerFaults().repeatDatagrams(fault.drainUs(), fault.factor(), durationUs(fault));
            case STRANGERS -> world.peerFaults().sendFromUnknownSenders(fault.factor(), durationUs(fault));
            case CLOCK ->
                targetProxies(fault)
                        .forEach(p -> world.peerFaults().shiftClock(world.proxies.indexOf(p), (long) fault.factor()));
            case SURGE ->
                applyFor(
                        fault,
                        () -> world.clients.surge(fault.tenant(), fault.factor()),
                        () -> world.clients.surge(fault.tenant(), 1));
            case BURST -> {
                for (int i = 0; i < fault.count(); i++) {
                    world.clients.sendRequest();
                }
            }
        }
    }

    private void afterRandomDelay(Fault fault, Runnable action) {
        if (fault.on().high() == 0) {
            action.run();
        } else {
            world.queue.after((long) fault.on().draw(chance::uniformBetween), action);
        }
    }

    /** Starts a fault, and schedules its end if it has a duration. */
    private void applyFor(Fault fault, Runnable on, Runnable off) {
        on.run();
        if (fault.forUs() > 0) {
            world.queue.after(fault.forUs(), off);
        }
    }

    /** An action that a fault applies to a single server. */
    private interface HostAction {
        void apply(Host host);
    }

    private void forEachHost(Fault fault, HostAction on, HostAction off) {
        List<Host> drawn = targetHosts(fault);
        applyFor(fault, () -> drawn.forEach(on::apply), () -> drawn.forEach(off::apply));
    }

    /** Applies a fault to server processes; a process that replaces one of them is not affected. */
    private void forEachProcess(Fault fault, HostAction on, HostAction off) {
        for (Host host : targetHosts(fault)) {
            ServerModel process = host.process;
            applyFor(fault, () -> on.apply(host), () -> {
                if (host.process == process) {
                    off.apply(host);
                }
            });
        }
    }

    private List<Host> targetHosts(Fault fault) {
        List<Host> candidates = new ArrayList<>();
        for (Host host : world.hosts) {
            boolean selected = fault.servers().isEmpty()
                    ? fault.zone() < 0 || host.zone == fault.zone()
                    : fault.servers().contains(host.id);
            if (selected && host.alive() && !host.process.draining()) {
                candidates.add(host);
            }
        }
        while (fault.count() >= 0 && candidates.size() > fault.count()) {
            candidates.remove(chance.uniformBelow(candidates.size()));
        }
        return candidates;
    }

    private List<Instance> targetProxies(Fault fault) {
        if (fault.proxy() >= 0) {
            return List.of(world.proxies.get(fault.proxy()));
        }
        List<Instance> candidates = new ArrayList<>(world.proxies);
        while (candidates.size() > fault.count()) {
            candidates.remove(chance.uniformBelow(candidates.size()));
        }
        return candidates;
    }

    private void toggleNoisyNeighbour(Fault fault, Host host, ServerModel process, boolean on) {
        boolean over = fault.forUs() > 0 && world.queue.now() >= fault.at() + fault.forUs();
        if (process.stopped() || over) {
            process.setNeighbourShare(0);
            return;
        }
        process.setNeighbourShare(on ? fault.share() : 0);
        long lasts = (long) (on ? fault.on() : fault.off()).draw(host.chance::uniformBetween);
        long left = fault.forUs() > 0 ? fault.at() + fault.forUs() - world.queue.now() : Long.MAX_VALUE;
        world.queue.after(
                Math.min(left, Math.max(1_000, lasts)), () -> toggleNoisyNeighbour(fault, host, process, !on));
    }

    private void restart(Fault fault, Host host) {
        if (fault.drainUs() > 0) {
            world.drainServer(host);
        }
        world.queue.after(fault.drainUs(), () -> {
            world.stopServer(host);
            world.startServer(host, fault.moved());
        });
    }

    /** A rolling deploy: in each batch, servers drain, stop and are replaced by cold servers with new ids. */
    private void deploy(Fault fault) {
        List<Host> old = targetHosts(fault);
        int batch = Math.max(1, (int) Math.round(fault.share() * old.size()));
        int batches = (old.size() + batch - 1) / batch;
        for (int i = 0; i < old.size(); i++) {
            Host host = old.get(i);
            world.queue.after(fault.forUs() * (i / batch) / batches, () -> replace(fault, host));
        }
    }

    private void replace(Fault fault, Host host) {
        world.drainServer(host);
        world.queue.after(fault.drainUs(), () -> {
            world.stopServer(host);
            world.registry.serverChanged(host, Availability.GONE, false);
            Scenario.Servers group = world.scenario.servers().get(host.kind);
            Host successor = world.addHost(host.id + "." + ++successorCount, host.zone, host.kind, host.cell, group);
            world.startServer(successor, false);
        });
    }

    /** Disconnects a server from the network without notice; discovery learns of it late. */
    private void vanish(Fault fault, Host host) {
        host.disconnected = true;
        world.reachabilityChanged(host);
        if (fault.forUs() == 0) {
            world.registry.serverChanged(host, Availability.GONE, true);
        } else {
            world.queue.after(fault.forUs(), () -> {
                host.disconnected = false;
                world.reachabilityChanged(host);
                world.resetAll(host);
            });
        }
    }

    private long durationUs(Fault fault) {
        return fault.forUs() > 0 ? fault.forUs() : world.scenario.lengthUs() - world.queue.now();
    }

    /** Shuts client proxies down in batches; each is started again when it has ended. */
    private void rollProxies(Fault fault) {
        int count = world.proxies.size();
        int batch = Math.max(1, (int) Math.round(fault.share() * count));
        int batches = (count + batch - 1) / batch;
        for (int i = 0; i < count; i++) {
            world.queue.after(fault.forUs() * (i / batch) / batches, world.proxies.get(i)::terminate);
        }
    }

    /** Partitions single client proxies from discovery, from the servers of a zone, or from both. */
    private void partitionProxies(Fault fault) {
        List<Instance> targets = targetProxies(fault);
        applyFor(
                fault,
                () -> targets.forEach(p -> setPartition(fault, world.proxies.indexOf(p), true)),
                () -> targets.forEach(p -> setPartition(fault, world.proxies.indexOf(p), false)));
    }

    private void setPartition(Fault fault, int proxy, boolean on) {
        if (fault.moved()) {
            world.registry.partition(proxy, on);
        }
        if (fault.zone() >= 0) {
            world.network.partition(proxy, fault.zone(), on);
            world.hosts.forEach(world::reachabilityChanged);
            if (!on) {
                resetCrossedConnections(link -> link.owner.proxy() == proxy);
            }
        }
    }

    private void beginDatagramFault(Fault fault) {
        Scenario.DatagramEffects effects = fault.datagramEffects();
        BitSet from = toBitSet(effects.from());
        BitSet to = toBitSet(effects.to());
        if (fault.kind() == Scenario.Kind.CUT_PEERS) {
            if (to == null) {
                to = (BitSet) from.clone();
                to.flip(0, world.proxies.size());
            }
            PeerFaults.ActiveFault end = world.peerFaults().partition(from, to, effects.oneWay());
            applyFor(fault, () -> {}, end::end);
            return;
        }
        PeerFaults.ActiveFault end = world.peerFaults()
                .beginFault(
                        from,
                        to,
                        effects.lossShare(),
                        effects.duplicateShare(),
                        effects.overtakenShare(),
                        effects.corruptedShare(),
                        effects.extraDelay());
        applyFor(fault, () -> {}, end::end);
    }

    private static BitSet toBitSet(List<Integer> numbers) {
        BitSet set = new BitSet();
        numbers.forEach(set::set);
        return numbers.isEmpty() ? null : set;
    }

    private void partitionServers(Fault fault) {
        if (fault.zone() >= 0 && fault.count() < 0) {
            applyFor(
                    fault,
                    () -> {
                        world.network.partition(fault.zone(), true);
                        world.hosts.forEach(world::reachabilityChanged);
                    },
                    () -> {
                        world.network.partition(fault.zone(), false);
                        world.hosts.forEach(world::reachabilityChanged);
                        resetCrossedConnections(link -> link.owner.zone() != link.host.zone);
                    });
        } else {
            forEachHost(
                    fault,
                    host -> {
                        world.network.partition(host, true);
                        world.reachabilityChanged(host);
                    },
                    host -> {
                        world.network.partition(host, false);
                        world.reachabilityChanged(host);
                        world.resetAll(host);
                    });
        }
    }

    /** Resets the connections that crossed a network partition when it ends. */
    private void resetCrossedConnections(Predicate<Link> crossed) {
        for (Host host : world.hosts) {
            for (Link link : List.copyOf(host.links)) {
                if (crossed.test(link)) {
                    world.reset(link);
                }
            }
        }
    }
}
