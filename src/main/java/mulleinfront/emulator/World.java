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
 * A simulation in virtual time: client proxies (the production core and balancer, sharing no state), servers,
 * clients, network and discovery on one event queue and one seed. A simulation runs once, on one thread.
 */
public final class World {
    final Scenario scenario;
    /** The client proxies' common settings, from which each proxy derives its own. */
    final Balancer.Settings settings;

    final EventQueue queue;
    final Network network;
    final Registry registry;
    final Auditor auditor;
    final ServiceStatistics statistics;
    final LossAttribution lossAttribution;
    final Trace trace;
    final List<Host> hosts = new ArrayList<>();
    final List<Instance> proxies = new ArrayList<>();
    final Clients clients;
    final CoreWiring wiring;
    /**
     * Gossip membership of the client proxies; null if the scenario has none or the proxies are external processes.
     */
    final FleetRun fleet;
    /** Whether the scenario pauses client proxies. */
    final boolean pausesProxies;

    private final HybridSimulation hybrid;
    /** The graph simulation that contains this one; null if this simulation is standalone. */
    private final GraphContext graphContext;

    private final long seed;
    private final List<Host> hostsByAddress = new ArrayList<>();
    private final Map<Object, ServerModel.DedupGroup> dedupGroups = new LinkedHashMap<>();

    /** Creates the balancer factories of a simulation's client proxies. */
    interface BalancerFactories {
        /** The factory that creates the balancer at each start of a client proxy in this zone. */
        Core.BalancerFactory forZone(World world, int zone);
    }

    /**
     * @param trace records the decisions
     * @param factory creates each client proxy's balancer; tests pass deliberately faulty ones
     * @param wiring connects each core to its wire and clients; tests pass deliberately faulty ones
     */
    World(Scenario scenario, long seed, Trace trace, Core.BalancerFactory factory, CoreWiring wiring) {
        this(scenario, seed, trace, (world, zone) -> factory, wiring, null);
    }

    /**
     * @param hybrid the external client proxies and the sockets on which servers listen, or null if everything is
     *     simulated here
     */
    World(
            Scenario scenario,
            long seed,
            Trace trace,
            BalancerFactories factories,
            CoreWiring wiring,
            HybridSimulation hybrid) {
        this(scenario, seed, trace, factories, wiring, hybrid, null);
    }

    /** @param graphContext the graph simulation that contains this one and starts its calls and faults; null if standalone */
    World(
            Scenario scenario,
            long seed,
            Trace trace,
            BalancerFactories factories,
            CoreWiring wiring,
            HybridSimulation hybrid,
            GraphContext graphContext) {
        this.graphContext = graphContext;
        this.queue = graphContext == null ? new EventQueue() : graphContext.queue();
        this.hybrid = hybrid;
        this.wiring = wiring;
        this.scenario = scenario;
        this.settings = scenario.settings();
        this.pausesProxies = scenario.faults().stream().anyMatch(f -> f.kind() == Scenario.Kind.PAUSE_PROXY);
        this.seed = seed;
        this.trace = trace;
        this.network = graphContext == null
                ? new Network(scenario.network(), scenario.zones().size(), chance("network"))
                : new Network(graphContext.oneWayDelayUs(), scenario.network().jitter(), chance("network"));
        this.auditor = new Auditor(scenario);
        this.statistics = new ServiceStatistics(scenario);
        this.lossAttribution = new LossAttribution(this);
        this.registry = new Registry(this, chance("discovery"));
        this.fleet = hybrid == null && scenario.peers() != null ? fleet() : null;
        addListedHosts();
        if (hybrid == null) {
            scheduleProxyStarts(factories);
        } else {
            for (int i = 0; i < scenario.proxies().count(); i++) {
                proxies.add(hybrid.instance(i));
            }
        }
        this.clients = new Clients(this);
        if (graphContext == null) {
            clients.begin(hybrid == null ? scenario.proxies().startWithinUs() : 0);
            new Script(this).schedule();
        }
    }

    /** A simulation with the production balancer. */
    public static World create(Scenario scenario, long seed, OutputStream traceFile) {
        return new World(scenario, seed, new Trace(traceFile), Balancer::create, CoreWiring.UNCHANGED);
    }

    /** A simulation with a reference balancer in place of the production one. */
    public static World withReference(Reference balancer, Scenario scenario, long seed) {
        return new World(scenario, seed, new Trace(null), factoriesFor(balancer), CoreWiring.UNCHANGED, null);
    }

    private static BalancerFactories factoriesFor(Reference balancer) {
        if (balancer.knowledgeDelayUs() < 0) {
            return (world, zone) -> (settings, seed, now, actions) -> balancer.create(settings, seed, actions, null);
        }
        // All proxies that see the servers' true state share one record of it.
        TrueState[] state = {null};
        return (world, zone) -> {
            state[0] = state[0] == null ? new TrueState(world, balancer.knowledgeDelayUs()) : state[0];
            ServerKnowledge truth = state[0].forZone(zone);
            return (settings, seed, now, actions) -> balancer.create(settings, seed, actions, truth);
        };
    }

    /** Faults between the client proxies; null if they do not know each other. */
    PeerFaults peerFaults() {
        return hybrid == null ? fleet : hybrid.peerFaults();
    }

    private FleetRun fleet() {
        Scenario.Peers spec = scenario.peers();
        int count = scenario.proxies().count();
        FleetRun run = new FleetRun(
                queue,
                chance("fleet"),
                count,
                i -> {
                    FleetSettings fleetSettings =
                            FleetSettings.defaults(scenario.name(), "n" + i, i, count, spec.periodUs(), spec.goneUs());
                    return spec.withoutSuspicion() ? fleetSettings.withoutSuspicion() : fleetSettings;
                },
                Fleet::new,
                (from, to) -> network.delay(zoneOf(Math.max(0, from)), zoneOf(to)));
        if (spec.loss() > 0) {
            run.beginFault(null, null, spec.loss(), 0, 0, 0, Range.of(0));
        }
        run.addListener(trace::membershipChanged);
        return run;
    }

    RandomStream chance(String concern) {
        return RandomStream.of(seed, concern);
    }

    // ---- building ------------------------------------------------------------------------------------

    private void addListedHosts() {
        int number = 0;
        int kind = 0;
        for (Scenario.Servers group : scenario.servers()) {
            for (int i = 0; i < group.count(); i++, number++) {
                Host host = addHost(
                        group.name() + "-" + i,
                        graphContext == null ? number % scenario.zones().size() : graphContext.zoneOfHost(number),
                        kind,
                        number / group.cell(),
                        group);
                host.process = startProcess(host, false);
                registry.recordChange(new Registry.Entry(host.listed(Availability.READY), host.address));
            }
            kind++;
        }
    }

    /**
     * Adds a server whose parameters are drawn from the random stream of its name; it has an address and no process
     * yet.
     */
    Host addHost(String id, int zone, int kind, int cell, Scenario.Servers group) {
        RandomStream chance = chance("server " + id);
        ServerModel.Spec machine = new ServerModel.Spec(
                group.cores(),
                group.speed().draw(chance::uniformBetween),
                group.slots(),
                group.queueCapacity(),
                group.maxConnections(),
                group.handshakeWork().draw(chance::uniformBetween),
                group.idleCloseUs(),
                group.errorProbability(),
                (long) group.reportEvery().draw(chance::uniformBetween),
                group.probeWork(),
                group.maxProbes(),
                group.deepProbes(),
                group.coldFraction().draw(chance::uniformBetween),
                (long) group.warmUp().draw(chance::uniformBetween),
                group.warmUpWork(),
                group.pauseEveryUs(),
                group.pause(),
                group.overloadAt(),
                group.overloadLoss(),
                group.slowdown(),
                group.cancelPolicy(),
                group.dropsExpired(),
                group.keyCacheUs(),
                group.keySaving(),
                group.maxCachedKeys());
        Host host = new Host(
                id,
                zone,
                kind,
                cell,
                group.weight(),
                machine,
                new Host.LoadWindow(
                        scenario.rules().coldForUs(), scenario.rules().coldMultiple()),
                chance);
        host.address = hostsByAddress.size();
        hostsByAddress.add(host);
        hosts.add(host);
        return host;
    }

    /** The zone of a client proxy; proxies are spread over the zones round-robin. */
    int zoneOf(int proxy) {
        return graphContext == null ? proxy % scenario.zones().size() : graphContext.zoneOfProxy(proxy);
    }

    private void scheduleProxyStarts(BalancerFactories factories) {
        Scenario.Proxies spec = scenario.proxies();
        RandomStream chance = chance("starts");
        for (int i = 0; i < spec.count(); i++) {
            Proxy proxy = new Proxy(
                    this,
                    i,
                    zoneOf(i),
                    trace.traced(
                            factories.forZone(this, zoneOf(i)),
                            graphContext == null ? i : graphContext.traceNumber(i),
                            queue));
            proxies.add(proxy);
            queue.after(
                    graphContext == null ? (long) (spec.startWithinUs() * chance.uniform()) : graphContext.startAt(i),
                    () -> proxy.start(initialList()));
        }
    }

    /** The cached endpoint list that a client proxy starts with. */
    Registry.ListUpdate initialList() {
        Scenario.Proxies spec = scenario.proxies();
        switch (spec.initialList()) {
            case EMPTY -> {
                return new Registry.ListUpdate(0, true, List.of());
            }
            case STALE -> {
                Registry.ListUpdate cached = registry.listAt(Math.max(0, queue.now() - spec.initialListAgeUs()));
                List<Registry.Entry> entries = new ArrayList<>(cached.entries());
                for (int i = 0; i < spec.unreachableListed(); i++) {
                    entries.add(new Registry.Entry(
                            new Balancer.Endpoint(
                                    "ghost-" + i, i % scenario.zones().size(), 0, 0, Availability.READY, 1, 0),
                            Integer.MAX_VALUE - i));
                }
                // Discovery has no delta from a list that names unreachable servers, so such a proxy is sent the full
                // list.
                return new Registry.ListUpdate(spec.unreachableListed() > 0 ? -1 : cached.version(), true, entries);
            }
            default -> {
                return registry.fullList();
            }
        }
    }

    // ---- servers -------------------------------------------------------------------------------------

    /**
     * The server at an address, including a server that has moved away from it; null if the address was never used.
     */
    Host hostAt(int address) {
        return address < hostsByAddress.size() ? hostsByAddress.get(address) : null;
    }

    /** Starts a process on a server's machine. */
    ServerModel startProcess(Host host, boolean cold) {
        host.coldLoad.clear();
        ServerModel process = new ServerModel(
                host.spec,
                queue,
                host.chance,
                dedupGroupOf(host),
                (job, dropped) -> {
                    auditor.effectRan(job.requestId, host.id, dropped, queue.now());
                    if (graphContext != null) {
                        graphContext.effectRan(job.effect, dropped);
                    }
                },
                cold);
        statistics.processStarted(host, process);
        return process;
    }

    private ServerModel.DedupGroup dedupGroupOf(Host host) {
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
        return dedupGroups.computeIfAbsent(group, g -> new ServerModel.DedupGroup());
    }

    /** Starts a server's process, cold, at its current address or at a new one. */
    void startServer(Host host, boolean moved) {
        if (moved) {
            host.address = hostsByAddress.size();
            hostsByAddress.add(host);
        }
        host.startedAt = queue.now();
        host.process = startProcess(host, true);
        auditor.serverStarted(host.id, host.startedAt);
        reachabilityChanged(host);
        registry.serverChanged(host, Availability.READY, false);
    }

    /** Starts a server's drain: it finishes the requests it has accepted. */
    void drainServer(Host host) {
        if (host.alive()) {
            host.process.drain();
            registry.serverChanged(host, Availability.DRAINING, false);
        }
    }

    /** Ends a server's process; its connections are reset. */
    void stopServer(Host host) {
        if (host.process != null) {
            host.process.stop();
            reachabilityChanged(host);
        }
        resetAll(host);
    }

    /** Reports that a server's listening state or its reachability may have changed. */
    void reachabilityChanged(Host host) {
        if (hybrid != null) {
            hybrid.changed(host);
        }
        if (graphContext != null) {
            graphContext.hostChanged(host);
        }
    }

    void resetAll(Host host) {
        if (hybrid != null) {
            hybrid.reset(host);
        }
        List.copyOf(host.links).forEach(this::reset);
    }

    /** Resets a connection at the server's end; the client proxy learns of it after the network delay. */
    void reset(Link link) {
        release(link);
        if (network.delivers(link.owner.proxy(), link.owner.zone(), link.host)) {
            queue.after(network.delay(link.host.zone, link.owner.zone()), () -> link.owner.connectionReset(link));
        }
    }

    /** Closes the server's end of a connection. */
    void release(Link link) {
        if (link.accepted) {
            link.accepted = false;
            link.host.links.remove(link);
            link.process.disconnect();
        }
    }

    /** Counts work that reached a server; a cold server may crash from it and stays stopped. */
    void workArrived(Host host, int proxy, String requestId, double work) {
        ServerModel process = host.process;
        statistics.workArrived(work);
        if (process.warmth() >= 1) {
            return;
        }
        double capacity = process.spec().capacity() * process.warmth();
        auditor.workArrivedCold(host.id, proxy, requestId, work, capacity, queue.now());
        if (host.coldLoad.add(queue.now(), work, false, capacity)) {
            process.crash();
            reachabilityChanged(host);
            resetAll(host);
            registry.serverChanged(host, Availability.GONE, true);
        }
    }

    /** Records why a client proxy left a request unserved. */
    void requestUnserved(int proxy, long now, UnservedReason reason) {
        statistics.requestUnserved(now, reason);
        if (graphContext != null) {
            graphContext.requestUnserved(now, reason);
        }
        trace.requestUnserved(now, proxy, reason);
    }

    // ---- running -------------------------------------------------------------------------------------

    /** Runs the simulation to its end. */
    public Result run() {
        runUntil(scenario.lengthUs() + scenario.settleUs());
        return finish();
    }

    void runUntil(long instant) {
        queue.runUntil(instant);
    }

    Result finish() {
        auditor.finish(queue.now());
        return new Result(
                scenario,
                seed,
                statistics.report(this),
                auditor.breaches(),
                auditor.breachCount(),
                trace.sha256(),
                trace.lines(),
                queue.tasksRun(),
                hosts.stream()
                        .limit(scenario.serverCount())
                        .mapToDouble(h -> h.spec.capacity())
                        .sum(),
                fleet == null ? null : fleet.report());
    }

    /**
     * The result of a simulation.
     *
     * @param service service as the clients saw it
     * @param breaches the first violations, in time order
     * @param breachCount number of all violations
     * @param sha256 digest of all decisions
     * @param decisions lines of the decision trace
     * @param events tasks that the event queue ran
     * @param capacity work that the servers present at the start can do per microsecond, warm and undisturbed
     * @param fleet result of the client proxies' membership; null if there was none
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

        /** A copy with the fleet auditor's report, for client proxies that are external processes. */
        public Result withFleet(FleetReport fleetReport) {
            return new Result(
                    scenario, seed, service, breaches, breachCount, sha256, decisions, events, capacity, fleetReport);
        }

        /** Description of the first violation; null if there is none. */
        public String firstBreach() {
            return !breaches.isEmpty()
                    ? breaches.get(0).toString()
                    : fleet != null && fleet.breachCount() > 0
                            ? fleet.breaches().get(0).toString()
                            : null;
        }

        /** Number of violations by requests and by the fleet. */
        public int totalBreachCount() {
            return breachCount + (fleet == null ? 0 : fleet.breachCount());
        }

        /**
         * Work of the responses that clients received, as a fraction of the work that the servers can do warm and
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

        /** Number of servers that crashed from overload. */
        public int crashedServers() {
            return (int) service.servers().stream()
                    .filter(s -> s.statistics().crashed)
                    .count();
        }
    }
}
