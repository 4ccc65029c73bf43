package mulleinfront.emulator;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.UnservedReason;
import mulleinfront.core.Core;
import mulleinfront.emulator.reference.Reference;
import mulleinfront.emulator.reference.ServerKnowledge;
import mulleinfront.fleet.Fleet;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.settings.Range;

/**
 * A world on virtual time: client proxies (the real core and module, sharing nothing), servers, clients,
 * network and discovery on one queue of events and one seed. It is played once, on one thread.
 */
public final class World {
    final Scenario scenario;
    /** What each client proxy is told of the scenario. */
    final Balancer.Settings settings;

    final EventQueue queue;
    final Network network;
    final Registry registry;
    final Auditor audit;
    final Tally tally;
    final Account account;
    final Trace trace;
    final List<Host> hosts = new ArrayList<>();
    final List<Instance> proxies = new ArrayList<>();
    final Clients clients;
    final Fitting fitting;
    /** The client proxies as a fleet; null where they do not know each other, or are elsewhere. */
    final FleetRun fleet;
    /** Whether client proxies may stand still. */
    final boolean pauses;

    private final HybridSimulation outside;
    /** What it takes from the larger world that it is a part of; null: it stands alone. */
    private final Part part;

    private final long seed;
    private final List<Host> byAddress = new ArrayList<>();
    private final Map<Object, ServerModel.Group> groups = new LinkedHashMap<>();

    /** Makes the modules of a world's client proxies. */
    interface Makers {
        /** What makes the module of one of them, in its zone, at each of its starts. */
        Core.BalancerFactory in(World world, int zone);
    }

    /**
     * @param trace where the decisions go
     * @param maker makes each client proxy's module; a test's own can be broken on purpose
     * @param fitting joins each core with its parts; a test's own can be broken on purpose
     */
    World(Scenario scenario, long seed, Trace trace, Core.BalancerFactory maker, Fitting fitting) {
        this(scenario, seed, trace, (world, zone) -> maker, fitting, null);
    }

    /**
     * @param outside where the client proxies are and servers listen, or null: all of it is in here
     */
    World(Scenario scenario, long seed, Trace trace, Makers makers, Fitting fitting, HybridSimulation outside) {
        this(scenario, seed, trace, makers, fitting, outside, null);
    }

    /**
     * @param part what it takes from the larger world that it is a part of, which makes its calls and its faults; or
     *        null: it stands alone
     */
    World(
            Scenario scenario,
            long seed,
            Trace trace,
            Makers makers,
            Fitting fitting,
            HybridSimulation outside,
            Part part) {
        this.part = part;
        this.queue = part == null ? new EventQueue() : part.queue();
        this.outside = outside;
        this.fitting = fitting;
        this.scenario = scenario;
        this.settings = scenario.settings();
        this.pauses = scenario.faults().stream().anyMatch(f -> f.kind() == Scenario.Kind.PAUSE_PROXY);
        this.seed = seed;
        this.trace = trace;
        this.network = part == null
                ? new Network(scenario.network(), scenario.zones().size(), chance("network"))
                : new Network(part.oneWay(), scenario.network().jitter(), chance("network"));
        this.audit = new Auditor(scenario);
        this.tally = new Tally(scenario);
        this.account = new Account(this);
        this.registry = new Registry(this, chance("discovery"));
        this.fleet = outside == null && scenario.peers() != null ? fleet() : null;
        buildHosts();
        if (outside == null) {
            startProxies(makers);
        } else {
            for (int i = 0; i < scenario.proxies().count(); i++) {
                proxies.add(outside.instance(i));
            }
        }
        this.clients = new Clients(this);
        if (part == null) {
            clients.begin(outside == null ? scenario.proxies().startWithinUs() : 0);
            new Script(this).schedule();
        }
    }

    /** A world as it is shipped: with the real module. */
    public static World of(Scenario scenario, long seed, OutputStream traceFile) {
        return new World(scenario, seed, new Trace(traceFile), Balancer::create, Fitting.PLAIN);
    }

    /** The same with a reference balancer in place of the module. */
    public static World under(Reference balancer, Scenario scenario, long seed) {
        return new World(scenario, seed, new Trace(null), makers(balancer), Fitting.PLAIN, null);
    }

    private static Makers makers(Reference balancer) {
        if (balancer.seesLateUs() < 0) {
            return (world, zone) -> (settings, seed, now, actions) -> balancer.make(settings, seed, actions, null);
        }
        // One look at the servers is for all that see them.
        TrueState[] state = {null};
        return (world, zone) -> {
            state[0] = state[0] == null ? new TrueState(world, balancer.seesLateUs()) : state[0];
            ServerKnowledge truth = state[0].from(zone);
            return (settings, seed, now, actions) -> balancer.make(settings, seed, actions, truth);
        };
    }

    /** What makes things happen between them; null where nothing can. */
    PeerFaults peerFaults() {
        return outside == null ? fleet : outside.peerFaults();
    }

    private FleetRun fleet() {
        Scenario.Peers spec = scenario.peers();
        int count = scenario.proxies().count();
        FleetRun run = new FleetRun(
                queue,
                chance("fleet"),
                count,
                i -> {
                    FleetSettings s =
                            FleetSettings.defaults(scenario.name(), "n" + i, i, count, spec.periodUs(), spec.goneUs());
                    return spec.plain() ? s.withoutSuspicion() : s;
                },
                Fleet::new,
                (from, to) -> network.delay(zoneOf(Math.max(0, from)), zoneOf(to)));
        if (spec.loss() > 0) {
            run.beginFault(null, null, spec.loss(), 0, 0, 0, Range.of(0));
        }
        run.watch(trace::fleet);
        return run;
    }

    Chance chance(String concern) {
        return Chance.of(seed, concern);
    }

    // ---- building ------------------------------------------------------------------------------------

    private void buildHosts() {
        int number = 0;
        int kind = 0;
        for (Scenario.Servers group : scenario.servers()) {
            for (int i = 0; i < group.count(); i++, number++) {
                Host host = add(
                        group.name() + "-" + i,
                        part == null ? number % scenario.zones().size() : part.zoneOfHost(number),
                        kind,
                        number / group.cell(),
                        group);
                host.life = process(host, false);
                registry.know(new Registry.Entry(host.listed(Availability.READY), host.address));
            }
            kind++;
        }
    }

    /** A machine of a group, drawn under its name, with an address and no process yet. */
    Host add(String id, int zone, int kind, int cell, Scenario.Servers group) {
        Chance chance = chance("server " + id);
        ServerModel.Machine machine = new ServerModel.Machine(
                group.cores(),
                group.speed().draw(chance::between),
                group.slots(),
                group.room(),
                group.connections(),
                group.handshakeWork().draw(chance::between),
                group.idleCloseUs(),
                group.errors(),
                (long) group.reportEvery().draw(chance::between),
                group.probeWork(),
                group.probes(),
                group.deepProbes(),
                group.coldFrom().draw(chance::between),
                (long) group.coldFor().draw(chance::between),
                group.coldWork(),
                group.pauseEveryUs(),
                group.pause(),
                group.crowdAt(),
                group.crowdLoss(),
                group.linger(),
                group.stops(),
                group.dropsExpired(),
                group.keyMemoryUs(),
                group.keySaving(),
                group.keysKept());
        Host host = new Host(
                id,
                zone,
                kind,
                cell,
                group.weight(),
                machine,
                new Host.Budget(scenario.rules().coldForUs(), scenario.rules().coldMultiple()),
                chance);
        host.address = byAddress.size();
        byAddress.add(host);
        hosts.add(host);
        return host;
    }

    /** The zone that a client proxy is in: they are spread over all in turn. */
    int zoneOf(int proxy) {
        return part == null ? proxy % scenario.zones().size() : part.zoneOfProxy(proxy);
    }

    private void startProxies(Makers makers) {
        Scenario.Proxies spec = scenario.proxies();
        Chance chance = chance("starts");
        for (int i = 0; i < spec.count(); i++) {
            Proxy p = new Proxy(
                    this,
                    i,
                    zoneOf(i),
                    trace.around(makers.in(this, zoneOf(i)), part == null ? i : part.traceNumber(i), queue));
            proxies.add(p);
            queue.after(
                    part == null ? (long) (spec.startWithinUs() * chance.unit()) : part.startAt(i),
                    () -> p.start(known()));
        }
    }

    /** The list that a client proxy finds at its start. */
    Registry.News known() {
        Scenario.Proxies spec = scenario.proxies();
        switch (spec.known()) {
            case EMPTY -> {
                return new Registry.News(0, true, List.of());
            }
            case STALE -> {
                Registry.News old = registry.at(Math.max(0, queue.now() - spec.knownAgeUs()));
                List<Registry.Entry> entries = new ArrayList<>(old.entries());
                for (int i = 0; i < spec.ghosts(); i++) {
                    entries.add(new Registry.Entry(
                            new Balancer.Endpoint(
                                    "ghost-" + i, i % scenario.zones().size(), 0, 0, Availability.READY, 1, 0),
                            Integer.MAX_VALUE - i));
                }
                // Discovery no longer tells of changes that long ago: who has ghosts is sent the whole list.
                return new Registry.News(spec.ghosts() > 0 ? -1 : old.version(), true, entries);
            }
            default -> {
                return registry.whole();
            }
        }
    }

    // ---- servers -------------------------------------------------------------------------------------

    /** The machine at an address, also one that has left it; null where there never was one. */
    Host at(int address) {
        return address < byAddress.size() ? byAddress.get(address) : null;
    }

    /** Begins a process on a machine. */
    ServerModel process(Host host, boolean cold) {
        host.budget.clear();
        ServerModel life = new ServerModel(
                host.machine,
                queue,
                host.chance,
                groupOf(host),
                (job, dropped) -> {
                    audit.ran(job.requestId, host.id, dropped, queue.now());
                    if (part != null) {
                        part.ran(job.effect, dropped);
                    }
                },
                cold);
        tally.began(host, life);
        return life;
    }

    private ServerModel.Group groupOf(Host host) {
        DedupScope scope = scenario.classes().stream()
                .map(c -> c.type().scope())
                .filter(s -> s != null)
                .findFirst()
                .orElse(DedupScope.ALL);
        Object group = switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone " + host.zone;
            case CELL -> "cell " + host.cell;
        };
        return groups.computeIfAbsent(group, g -> new ServerModel.Group());
    }

    /** The process of a server starts, cold, at its address or at a new one. */
    void start(Host host, boolean moved) {
        if (moved) {
            host.address = byAddress.size();
            byAddress.add(host);
        }
        host.startedAt = queue.now();
        host.life = process(host, true);
        audit.started(host.id, host.startedAt);
        changed(host);
        registry.happened(host, Availability.READY, false);
    }

    /** A server is told to end: it finishes what it has. */
    void drain(Host host) {
        if (host.alive()) {
            host.life.drain();
            registry.happened(host, Availability.DRAINING, false);
        }
    }

    /** A process ends: its connections are reset. */
    void stop(Host host) {
        if (host.life != null) {
            host.life.stop();
            changed(host);
        }
        resetAll(host);
    }

    /** Whether a server listens, or who reaches it, may have changed. */
    void changed(Host host) {
        if (outside != null) {
            outside.changed(host);
        }
        if (part != null) {
            part.changed(host);
        }
    }

    void resetAll(Host host) {
        if (outside != null) {
            outside.reset(host);
        }
        List.copyOf(host.links).forEach(this::reset);
    }

    /** The server's end of a connection is gone, and its client hears of it. */
    void reset(Link link) {
        release(link);
        if (network.passes(link.owner.proxy(), link.owner.zone(), link.host)) {
            queue.after(network.delay(link.host.zone, link.owner.zone()), () -> link.owner.broken(link));
        }
    }

    /** The server's end of a connection closes. */
    void release(Link link) {
        if (link.accepted) {
            link.accepted = false;
            link.host.links.remove(link);
            link.life.disconnect();
        }
    }

    /** Work came to a server; a cold one may fall over by it and stays down. */
    void arrived(Host host, int proxy, String requestId, double work) {
        ServerModel life = host.life;
        tally.arrived(work);
        if (life.warmth() >= 1) {
            return;
        }
        double capacity = life.machine().capacity() * life.warmth();
        audit.arrivedCold(host.id, proxy, requestId, work, capacity, queue.now());
        if (host.budget.over(queue.now(), work, false, capacity)) {
            life.fall();
            changed(host);
            resetAll(host);
            registry.happened(host, Availability.GONE, true);
        }
    }

    /** A client proxy has given a request up, and says why. */
    void unserved(int proxy, long now, UnservedReason why) {
        tally.unserved(now, why);
        if (part != null) {
            part.unserved(now, why);
        }
        trace.why(now, proxy, why);
    }

    // ---- running -------------------------------------------------------------------------------------

    /** Plays it to its end. */
    public Result play() {
        playUntil(scenario.lengthUs() + scenario.settleUs());
        return finish();
    }

    void playUntil(long instant) {
        queue.runUntil(instant);
    }

    Result finish() {
        audit.finish(queue.now());
        return new Result(
                scenario,
                seed,
                tally.report(this),
                audit.breaches(),
                audit.breachCount(),
                trace.sha256(),
                trace.lines(),
                queue.ran(),
                hosts.stream()
                        .limit(scenario.fleet())
                        .mapToDouble(h -> h.machine.capacity())
                        .sum(),
                fleet == null ? null : fleet.report());
    }

    /**
     * How a world went.
     *
     * @param service what clients had of it
     * @param breaches the first broken rules, by time
     * @param breachCount all of them
     * @param sha256 the digest of all decisions
     * @param decisions lines of the decision trace
     * @param events tasks that the world's queue ran
     * @param capacity work that the servers of the start can do in a microsecond, warm and undisturbed
     * @param fleet how the client proxies knew each other; null: not at all
     */
    public record Result(
            Scenario scenario,
            long seed,
            ServiceReport service,
            List<Auditor.Breach> breaches,
            int breachCount,
            String sha256,
            long decisions,
            long events,
            double capacity,
            FleetReport fleet) {

        /** The same with what a judge found of the fleet where the client proxies are elsewhere. */
        public Result withFleet(FleetReport found) {
            return new Result(
                    scenario, seed, service, breaches, breachCount, sha256, decisions, events, capacity, found);
        }

        /** The first broken rule, in words; null if there is none. */
        public String firstBroken() {
            return !breaches.isEmpty()
                    ? breaches.get(0).toString()
                    : fleet != null && fleet.breachCount() > 0
                            ? fleet.breaches().get(0).toString()
                            : null;
        }

        /** Broken rules of requests and of the fleet. */
        public int broken() {
            return breachCount + (fleet == null ? 0 : fleet.breachCount());
        }

        /**
         * Work of the answers that clients were given, as a part of all that the servers can do warm and
         * undisturbed.
         */
        public double goodput() {
            double work = 0;
            for (int i = 0; i < scenario.classes().size(); i++) {
                work += service.classes().get(i).served()
                        * scenario.classes().get(i).workUs();
            }
            return work / (capacity * scenario.lengthUs());
        }

        /** Servers that fell over. */
        public int crashedServers() {
            return (int)
                    service.servers().stream().filter(s -> s.figures().fell).count();
        }
    }
}
