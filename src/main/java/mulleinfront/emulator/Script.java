package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Predicate;
import mulleinfront.Balancer.Availability;
import mulleinfront.emulator.Scenario.Fault;
import mulleinfront.settings.Range;

/** Makes a scenario's faults happen. Whom a fault draws is settled when it begins, among those who are there. */
final class Script {
    private final World world;
    private final Chance chance;
    private int successors;

    Script(World world) {
        this.world = world;
        this.chance = world.chance("faults");
    }

    void schedule() {
        for (Fault f : world.scenario.faults()) {
            world.queue.after(f.at(), () -> begin(f));
        }
    }

    private void begin(Fault f) {
        world.tally.happened(f, world.queue.now());
        switch (f.kind()) {
            case SLOW -> each(f, h -> h.life.slow(f.factor()), h -> h.life.slow(1));
            case HANG -> each(f, h -> h.life.hang(true), h -> h.life.hang(false));
            case ERRORS -> each(f, h -> h.life.errors(f.share()), h -> h.life.errors(0));
            case PAUSE -> drawn(f).forEach(h -> h.life.pause(f.forUs()));
            case NEIGHBOUR -> drawn(f).forEach(h -> neighbour(f, h, h.life, true));
            case DRAIN -> drawn(f).forEach(world::drain);
            case RESTART -> drawn(f).forEach(h -> restart(f, h));
            case DEPLOY -> deploy(f);
            case VANISH -> drawn(f).forEach(h -> vanish(f, h));
            case CUT -> cut(f);
            case RESET_BEFORE -> eachHost(f, h -> h.resetBefore = f.share(), h -> h.resetBefore = 0);
            case RESET_AFTER -> eachHost(f, h -> h.resetAfter = f.share(), h -> h.resetAfter = 0);
            case DISCOVERY_DOWN -> both(f, () -> world.registry.down(true), () -> world.registry.down(false));
            case DISCOVERY_SILENT -> both(f, () -> world.registry.silent(true), () -> world.registry.silent(false));
            case DISCOVERY_LATE -> both(f, () -> world.registry.late(f.on()), () -> world.registry.late(Range.of(0)));
            case DISCOVERY_SHUFFLE ->
                both(f, () -> world.registry.shuffle((int) f.factor()), () -> world.registry.shuffle(0));
            case DISCOVERY_CROWD -> both(f, () -> world.registry.crowd(f.factor()), () -> world.registry.crowd(0));
            case DISCOVERY_REFUSES ->
                both(f, () -> world.registry.refuseCalls((int) f.factor()), () -> world.registry.refuseCalls(0));
            case DISCOVERY_CUTS ->
                both(f, () -> world.registry.cutLists((int) f.factor()), () -> world.registry.cutLists(0));
            case DISCOVERY_PAUSES ->
                both(
                        f,
                        () -> world.registry.pauseLists((int) f.factor(), f.on()),
                        () -> world.registry.pauseLists(0, Range.of(0)));
            case CROWD_PROXY -> proxies(f).forEach(p -> p.crowd((int) f.factor(), lasts(f)));
            case DISCOVERY_ENDS ->
                both(
                        f,
                        () -> world.registry.endInsteadOfTelling((int) f.factor()),
                        () -> world.registry.endInsteadOfTelling(0));
            case WATCHES_SILENT -> world.registry.watchesFallSilent();
            case WATCHES_RESET -> world.registry.watchesEnd();
            case KILL_PROXY -> proxies(f).forEach(p -> within(f, () -> p.kill(f.drainUs())));
            case END_PROXY -> proxies(f).forEach(p -> within(f, p::end));
            case RELOAD_PROXY -> proxies(f).forEach(p -> within(f, p::reload));
            case ROLL_PROXIES -> roll(f);
            case PAUSE_PROXY -> proxies(f).forEach(p -> p.pause(f.forUs()));
            case CUT_PROXY -> cutProxies(f);
            case CUT_PEERS, DATAGRAMS -> datagrams(f);
            case REPEAT_DATAGRAMS -> world.peerFaults().repeat(f.drainUs(), f.factor(), lasts(f));
            case STRANGERS -> world.peerFaults().strangers(f.factor(), lasts(f));
            case CLOCK ->
                proxies(f).forEach(p -> world.peerFaults().clockJumps(world.proxies.indexOf(p), (long) f.factor()));
            case SURGE ->
                both(f, () -> world.clients.surge(f.tenant(), f.factor()), () -> world.clients.surge(f.tenant(), 1));
            case BURST -> {
                for (int i = 0; i < f.count(); i++) {
                    world.clients.ask();
                }
            }
        }
    }

    private void within(Fault f, Runnable what) {
        if (f.on().high() == 0) {
            what.run();
        } else {
            world.queue.after((long) f.on().draw(chance::between), what);
        }
    }

    /** What a fault does, and what ends it if it does not last to the end. */
    private void both(Fault f, Runnable on, Runnable off) {
        on.run();
        if (f.forUs() > 0) {
            world.queue.after(f.forUs(), off);
        }
    }

    /** An action that a fault applies to a single host. */
    private interface On {
        void host(Host host);
    }

    private void eachHost(Fault f, On on, On off) {
        List<Host> drawn = drawn(f);
        both(f, () -> drawn.forEach(on::host), () -> drawn.forEach(off::host));
    }

    /** Happens to processes: a new one on the same machine is free of it. */
    private void each(Fault f, On on, On off) {
        for (Host h : drawn(f)) {
            ServerModel life = h.life;
            both(f, () -> on.host(h), () -> {
                if (h.life == life) {
                    off.host(h);
                }
            });
        }
    }

    private List<Host> drawn(Fault f) {
        List<Host> there = new ArrayList<>();
        for (Host h : world.hosts) {
            boolean meant = f.servers().isEmpty()
                    ? f.zone() < 0 || h.zone == f.zone()
                    : f.servers().contains(h.id);
            if (meant && h.alive() && !h.life.draining()) {
                there.add(h);
            }
        }
        while (f.count() >= 0 && there.size() > f.count()) {
            there.remove(chance.below(there.size()));
        }
        return there;
    }

    private List<Instance> proxies(Fault f) {
        if (f.proxy() >= 0) {
            return List.of(world.proxies.get(f.proxy()));
        }
        List<Instance> there = new ArrayList<>(world.proxies);
        while (there.size() > f.count()) {
            there.remove(chance.below(there.size()));
        }
        return there;
    }

    private void neighbour(Fault f, Host h, ServerModel life, boolean on) {
        boolean over = f.forUs() > 0 && world.queue.now() >= f.at() + f.forUs();
        if (life.stopped() || over) {
            life.neighbour(0);
            return;
        }
        life.neighbour(on ? f.share() : 0);
        long lasts = (long) (on ? f.on() : f.off()).draw(h.chance::between);
        long left = f.forUs() > 0 ? f.at() + f.forUs() - world.queue.now() : Long.MAX_VALUE;
        world.queue.after(Math.min(left, Math.max(1_000, lasts)), () -> neighbour(f, h, life, !on));
    }

    private void restart(Fault f, Host h) {
        if (f.drainUs() > 0) {
            world.drain(h);
        }
        world.queue.after(f.drainUs(), () -> {
            world.stop(h);
            world.start(h, f.moved());
        });
    }

    /** A rolling deploy: batch after batch drains, ends and is replaced by cold successors under new ids. */
    private void deploy(Fault f) {
        List<Host> old = drawn(f);
        int batch = Math.max(1, (int) Math.round(f.share() * old.size()));
        int batches = (old.size() + batch - 1) / batch;
        for (int i = 0; i < old.size(); i++) {
            Host h = old.get(i);
            world.queue.after(f.forUs() * (i / batch) / batches, () -> replace(f, h));
        }
    }

    private void replace(Fault f, Host h) {
        world.drain(h);
        world.queue.after(f.drainUs(), () -> {
            world.stop(h);
            world.registry.happened(h, Availability.GONE, false);
            Scenario.Servers group = world.scenario.servers().get(h.kind);
            Host successor = world.add(h.id + "." + ++successors, h.zone, h.kind, h.cell, group);
            world.start(successor, false);
        });
    }

    /** Off the net without a word; discovery finds out late. */
    private void vanish(Fault f, Host h) {
        h.vanished = true;
        world.changed(h);
        if (f.forUs() == 0) {
            world.registry.happened(h, Availability.GONE, true);
        } else {
            world.queue.after(f.forUs(), () -> {
                h.vanished = false;
                world.changed(h);
                world.resetAll(h);
            });
        }
    }

    private long lasts(Fault f) {
        return f.forUs() > 0 ? f.forUs() : world.scenario.lengthUs() - world.queue.now();
    }

    /** Client proxies are told to end, a batch after the other, each started again when it has. */
    private void roll(Fault f) {
        int count = world.proxies.size();
        int batch = Math.max(1, (int) Math.round(f.share() * count));
        int batches = (count + batch - 1) / batch;
        for (int i = 0; i < count; i++) {
            world.queue.after(f.forUs() * (i / batch) / batches, world.proxies.get(i)::end);
        }
    }

    /** Client proxies are cut from discovery, or from the servers of a zone, each for itself. */
    private void cutProxies(Fault f) {
        List<Instance> those = proxies(f);
        both(
                f,
                () -> those.forEach(p -> cut(f, world.proxies.indexOf(p), true)),
                () -> those.forEach(p -> cut(f, world.proxies.indexOf(p), false)));
    }

    private void cut(Fault f, int proxy, boolean on) {
        if (f.moved()) {
            world.registry.cut(proxy, on);
        }
        if (f.zone() >= 0) {
            world.network.cut(proxy, f.zone(), on);
            world.hosts.forEach(world::changed);
            if (!on) {
                heal(link -> link.owner.proxy() == proxy);
            }
        }
    }

    private void datagrams(Fault f) {
        Scenario.Between b = f.between();
        BitSet from = set(b.from());
        BitSet to = set(b.to());
        if (f.kind() == Scenario.Kind.CUT_PEERS) {
            if (to == null) {
                to = (BitSet) from.clone();
                to.flip(0, world.proxies.size());
            }
            PeerFaults.End end = world.peerFaults().partition(from, to, b.oneWay());
            both(f, () -> {}, end::end);
            return;
        }
        PeerFaults.End end =
                world.peerFaults().beginFault(from, to, b.lose(), b.twice(), b.overtaken(), b.change(), b.late());
        both(f, () -> {}, end::end);
    }

    private static BitSet set(List<Integer> numbers) {
        BitSet set = new BitSet();
        numbers.forEach(set::set);
        return numbers.isEmpty() ? null : set;
    }

    private void cut(Fault f) {
        if (f.zone() >= 0 && f.count() < 0) {
            both(
                    f,
                    () -> {
                        world.network.cut(f.zone(), true);
                        world.hosts.forEach(world::changed);
                    },
                    () -> {
                        world.network.cut(f.zone(), false);
                        world.hosts.forEach(world::changed);
                        heal(link -> link.owner.zone() != link.host.zone);
                    });
        } else {
            eachHost(
                    f,
                    h -> {
                        world.network.cut(h, true);
                        world.changed(h);
                    },
                    h -> {
                        world.network.cut(h, false);
                        world.changed(h);
                        world.resetAll(h);
                    });
        }
    }

    /** Connections that crossed a cut are reset when it is over. */
    private void heal(Predicate<Link> crossed) {
        for (Host h : world.hosts) {
            for (Link link : List.copyOf(h.links)) {
                if (crossed.test(link)) {
                    world.reset(link);
                }
            }
        }
    }
}
