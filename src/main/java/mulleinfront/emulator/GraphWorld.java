package mulleinfront.emulator;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Effect;
import mulleinfront.UnservedReason;
import mulleinfront.core.Core;
import mulleinfront.core.Time;

/**
 * Simulates a graph of services that call each other, with one virtual time and one seed. Each service is a separate
 * {@link World} with its servers, its discovery, its auditor of the four rules, and one core and balancer for each
 * machine that calls it; a client proxy thus knows only the services that it calls. This class connects them:
 * machines, zones and regions, the calls that an application makes for a request, the propagation of deadlines and
 * cancellation, and failures.
 */
public final class GraphWorld {
    /** First letter of an effect id: how safe it is to repeat the effect. */
    static final char SAFE = 's';

    static final char KEYED = 'k';
    static final char UNSAFE = 'u';
    private static final long SECOND_US = 1_000_000;

    final GraphSpec spec;
    final EventQueue queue = new EventQueue();
    final GraphStatistics statistics;
    final GraphAuditor auditor;
    final GraphApplication application;
    final List<GraphMachine> machines = new ArrayList<>();
    private final RandomStream arrivalChance;
    private final RandomStream workChance;
    private final CallGraph graph;
    private final Trace trace;
    private final long seed;
    private final long[][] oneWayDelayUs;
    /** Simulation of each service by its number; null for front services. */
    private final World[] serviceWorlds;

    private final int[] firstMachine;
    private final Map<Host, GraphMachine> byHost = new HashMap<>();
    private final double[] classes;
    private final double[] tenants;
    private final double[] keys;
    private final double[][] fronts;
    private final ServerModel[] countedProcesses;
    private final double[] countedBusyUs;
    private final int readClass;
    private long nextRequestId;

    /**
     * @param balancerFactory creates each balancer; tests may create deliberately broken ones
     * @param wiring connects each core with its parts
     * @param application how applications make their calls
     */
    GraphWorld(
            GraphSpec spec,
            long seed,
            Trace trace,
            Core.BalancerFactory balancerFactory,
            CoreWiring wiring,
            GraphApplication application) {
        this.spec = spec;
        this.seed = seed;
        this.trace = trace;
        this.application = application;
        this.graph = CallGraph.generate(spec, seed);
        this.statistics = new GraphStatistics(spec);
        this.auditor = new GraphAuditor(this);
        this.arrivalChance = RandomStream.of(seed, "arrivals");
        this.workChance = RandomStream.of(seed, "works");
        this.oneWayDelayUs = zoneDelays();
        this.serviceWorlds = new World[spec.services()];
        this.firstMachine = new int[spec.services()];
        Scenario scenario = spec.world();
        this.classes = RandomStream.cumulative(scenario.classes().stream()
                .mapToDouble(Scenario.ClassSpec::share)
                .toArray());
        this.tenants = scenario.tenants().isEmpty()
                ? new double[] {1}
                : RandomStream.cumulative(scenario.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usage())
                        .toArray());
        this.keys = scenario.load().keys() == 0
                ? null
                : RandomStream.cumulative(RandomStream.zipfWeights(
                        scenario.load().keys(), scenario.load().zipf()));
        this.readClass = firstSafeClass();
        buildMachines();
        this.fronts = new double[spec.fronts()][];
        for (int front = 0; front < fronts.length; front++) {
            fronts[front] = RandomStream.cumulative(RandomStream.zipfWeights(
                    nodes().get(front).hosts(), scenario.proxies().spread()));
        }
        for (CallGraph.Node node : nodes()) {
            if (node.level() > 0) {
                buildService(node, balancerFactory, wiring);
            }
        }
        this.countedProcesses = new ServerModel[machines.size()];
        this.countedBusyUs = new double[machines.size()];
        new GraphScript(this, RandomStream.of(seed, "failures")).schedule();
        queue.after(scenario.proxies().startWithinUs(), this::scheduleRequest);
        queue.after(SECOND_US, this::recordSecond);
    }

    /** Creates a simulation with the production balancer. */
    public static GraphWorld of(GraphSpec spec, long seed, OutputStream traceFile) {
        return new GraphWorld(
                spec, seed, new Trace(traceFile), Balancer::create, CoreWiring.UNCHANGED, GraphApplication.DEFAULT);
    }

    // ---- building ------------------------------------------------------------------------------------

    private int firstSafeClass() {
        for (int i = 0; i < spec.world().classes().size(); i++) {
            if (spec.world().classes().get(i).type().effect() == Effect.RETRYABLE) {
                return i;
            }
        }
        throw new IllegalArgumentException("no request class is safe to repeat");
    }

    private long[][] zoneDelays() {
        RandomStream chance = RandomStream.of(seed, "ways");
        int zones = spec.regionOf().length;
        long[][] delays = new long[zones][zones];
        Scenario.Network network = spec.world().network();
        for (int zone = 0; zone < zones; zone++) {
            for (int otherZone = zone; otherZone < zones; otherZone++) {
                boolean far = spec.regionOf()[zone] != spec.regionOf()[otherZone];
                delays[zone][otherZone] = Math.max(
                        1, (long) (zone == otherZone ? network.same() : far ? spec.betweenRegions() : network.cross())
                                .draw(chance::uniformBetween));
                delays[otherZone][zone] = delays[zone][otherZone];
            }
        }
        return delays;
    }

    private void buildMachines() {
        RandomStream chance = RandomStream.of(seed, "machines");
        int zones = spec.regionOf().length;
        int racks = Math.max(1, (spec.hosts() / zones + spec.hostsPerRack() - 1) / spec.hostsPerRack());
        int number = 0;
        for (CallGraph.Node node : nodes()) {
            firstMachine[node.number()] = number;
            for (int i = 0; i < node.hosts(); i++, number++) {
                machines.add(new GraphMachine(number, node, number % zones, chance.uniformBelow(racks), (long)
                        (spec.world().proxies().startWithinUs() * chance.uniform())));
            }
        }
    }

    private void buildService(CallGraph.Node node, Core.BalancerFactory balancerFactory, CoreWiring wiring) {
        List<GraphMachine> callers = new ArrayList<>();
        for (GraphMachine machine : machines) {
            if (machine.node.calls().stream().anyMatch(e -> e.to() == node.number())) {
                callers.add(machine);
            }
        }
        Scenario scenarioBase = spec.world();
        Scenario.Proxies proxies = scenarioBase.withProxies(callers.size()).proxies();
        Scenario.Clients clients = new Scenario.Clients(
                scenarioBase.clients().retries(),
                scenarioBase.clients().backoff(),
                scenarioBase.clients().doubling(),
                0,
                mulleinfront.settings.Range.of(1),
                0);
        List<Scenario.ClassSpec> types = new ArrayList<>();
        for (Scenario.ClassSpec classSpec : scenarioBase.classes()) {
            types.add(new Scenario.ClassSpec(
                    classSpec.type(),
                    classSpec.share(),
                    classSpec.workUs() * node.work(),
                    classSpec.dist(),
                    classSpec.cv()));
        }
        Scenario.Load load = new Scenario.Load(
                spec.requestsPerSecond() * node.visits(),
                Scenario.LoadShape.STEADY,
                spec.requestsPerSecond() * node.visits(),
                0,
                SECOND_US,
                scenarioBase.load().keys(),
                scenarioBase.load().zipf());
        Scenario scenario = scenarioBase.asService(
                node.name(),
                scenarioBase.lengthUs(),
                proxies,
                clients,
                load,
                scenarioBase.servers().get(0).withNameAndCount(node.name(), node.hosts()),
                types);
        int first = firstMachine[node.number()];
        World serviceWorld = new World(
                scenario,
                RandomStream.of(seed, "service " + node.number()).nextLong(),
                trace,
                (world, zone) -> balancerFactory,
                wiring,
                null,
                new Service(node, first, callers));
        serviceWorlds[node.number()] = serviceWorld;
        for (int i = 0; i < node.hosts(); i++) {
            GraphMachine machine = machines.get(first + i);
            machine.host = serviceWorld.hosts.get(i);
            byHost.put(machine.host, machine);
        }
        for (int i = 0; i < callers.size(); i++) {
            callers.get(i).upstreams.add(new GraphMachine.Upstream(serviceWorld, node.number(), i));
        }
    }

    /** A service as a part of the graph's simulation. */
    private final class Service implements GraphContext {
        private final CallGraph.Node node;
        private final int first;
        private final List<GraphMachine> callers;

        Service(CallGraph.Node node, int first, List<GraphMachine> callers) {
            this.node = node;
            this.first = first;
            this.callers = callers;
        }

        @Override
        public EventQueue queue() {
            return queue;
        }

        @Override
        public long[][] oneWayDelayUs() {
            return oneWayDelayUs;
        }

        @Override
        public int zoneOfHost(int number) {
            return machines.get(first + number).zone;
        }

        @Override
        public int zoneOfProxy(int number) {
            return callers.get(number).zone;
        }

        @Override
        public int traceNumber(int proxy) {
            return callers.get(proxy).number * spec.services() + node.number();
        }

        @Override
        public long startAt(int proxy) {
            return callers.get(proxy).startAt;
        }

        @Override
        public void hostChanged(Host host) {
            GraphMachine machine = byHost.get(host);
            if (!host.alive()) {
                machine.cancelHandlings();
            }
        }

        @Override
        public void effectRan(String effect, boolean dropped) {
            auditor.effectRan(effect, dropped);
        }

        @Override
        public void requestUnserved(long now, UnservedReason reason) {
            statistics.requestUnserved(now, reason);
        }
    }

    List<CallGraph.Node> nodes() {
        return graph.nodes();
    }

    World serviceWorld(int service) {
        return serviceWorlds[service];
    }

    /** Number of answers that came from another region than their call. */
    long servedAcrossRegions() {
        return statistics.all.servedAcrossRegions;
    }

    GraphMachine machine(Host host) {
        return byHost.get(host);
    }

    // ---- requests and calls --------------------------------------------------------------------------

    private void scheduleRequest() {
        long gap = (long) arrivalChance.exponential(1e6 / spec.requestsPerSecond());
        queue.after(gap, () -> {
            if (queue.now() < spec.world().lengthUs()) {
                startRequest();
                scheduleRequest();
            }
        });
    }

    /** Starts a request from outside at a running front machine; the load balancer in front of it is not simulated. */
    private void startRequest() {
        long now = queue.now();
        int classIndex = arrivalChance.weightedIndex(classes);
        int tenant = arrivalChance.weightedIndex(tenants);
        String key = keys == null ? null : "k" + arrivalChance.weightedIndex(keys);
        int front = arrivalChance.uniformBelow(spec.fronts());
        int firstIndex = arrivalChance.weightedIndex(fronts[front]);
        double timeoutFraction = spec.world().clients().timeoutFraction().draw(arrivalChance::uniformBetween);
        boolean leaves = arrivalChance.happens(spec.world().clients().disconnectShare());
        double leavesAt = leaves ? arrivalChance.uniform() : 0;
        int count = fronts[front].length;
        GraphMachine machine = null;
        for (int i = 0; i < count && (machine == null || machine.down || machine.disconnected); i++) {
            machine = machines.get(firstMachine[front] + (firstIndex + i) % count);
        }
        Balancer.RequestClass type = spec.world().classes().get(classIndex).type();
        GraphRequest request = new GraphRequest(
                effectLetter(classIndex) + Long.toString(nextRequestId++),
                classIndex,
                tenant,
                key,
                type.worth(),
                now,
                now + type.targetLatencyUs(),
                now + (long) (timeoutFraction * type.deadlineUs()));
        statistics.requestStarted(request);
        if (machine.down || machine.disconnected) {
            endRequest(request, false, false);
            return;
        }
        GraphMachine chosenMachine = machine;
        Handling handling = new Handling(
                this,
                request,
                null,
                machine,
                request.deadlineAt,
                end -> endRequest(request, end == ServerModel.End.SERVED && !chosenMachine.disconnected, false));
        handling.begin();
        if (!request.ended) {
            Time.Timer timeout = queue.after(request.deadlineAt - now, () -> giveUp(request, handling, false));
            if (leaves) {
                queue.after((long) (leavesAt * (request.deadlineAt - now)), () -> {
                    if (!request.ended) {
                        timeout.cancel();
                        giveUp(request, handling, true);
                    }
                });
            }
        }
    }

    private void giveUp(GraphRequest request, Handling handling, boolean left) {
        if (!request.ended) {
            endRequest(request, false, left);
            handling.cancel();
        }
    }

    private void endRequest(GraphRequest request, boolean served, boolean left) {
        if (!request.ended) {
            request.ended = true;
            statistics.requestEnded(request, served, left, queue.now());
        }
    }

    private char effectLetter(int classIndex) {
        return switch (spec.world().classes().get(classIndex).type().effect()) {
            case RETRYABLE -> SAFE;
            case DEDUP -> KEYED;
            case FRAGILE -> UNSAFE;
        };
    }

    /**
     * The calls that a service makes for a request. They are the same each time the request reaches the service;
     * otherwise a repeat could omit the call that failed.
     *
     * @param effect id of the request's effect, which includes the path of calls
     */
    List<CallGraph.Edge> calls(CallGraph.Node node, String effect) {
        List<CallGraph.Edge> chosen = new ArrayList<>(4);
        if (!node.calls().isEmpty()) {
            RandomStream chance = RandomStream.of(seed, effect.substring(1));
            for (CallGraph.Edge edge : node.calls()) {
                if (chance.happens(edge.probability())) {
                    chosen.add(edge);
                }
            }
        }
        return chosen;
    }

    /** Creates a call on behalf of a request. */
    GraphCall createCall(Handling caller, CallGraph.Edge edge) {
        int requestClass = caller.incoming == null ? caller.request.classIndex : caller.incoming.classIndex;
        int classIndex = application.classOf(
                effectLetter(requestClass) == SAFE ? requestClass : readClass, requestClass, edge.reads());
        String effect = application.effectId(
                effectLetter(classIndex),
                caller.incoming == null ? caller.request.id : caller.incoming.effect,
                edge.number());
        long deadlineAt = application.callDeadline(
                caller.endsAt,
                queue.now(),
                spec.world().classes().get(classIndex).type().deadlineUs(),
                spec.reserveUs());
        GraphCall graphCall = new GraphCall(this, edge, caller, classIndex, effect, deadlineAt);
        auditor.callMade(graphCall);
        statistics.callStarted(graphCall, queue.now());
        return graphCall;
    }

    void sendCall(GraphCall graphCall, GraphMachine from) {
        GraphMachine.Upstream upstream = from.upstream(graphCall.edge.to());
        double work = upstream.serviceWorld()
                .scenario
                .classes()
                .get(graphCall.classIndex)
                .drawUs(workChance);
        upstream.serviceWorld()
                .clients
                .sendCall(
                        graphCall,
                        upstream.proxy(),
                        graphCall.caller.request.tenant,
                        graphCall.caller.request.key,
                        work);
    }

    // ---- statistics per second -----------------------------------------------------------------------

    private void recordSecond() {
        double busyUs = 0;
        double cores = 0;
        int maxConnections = 0;
        long openConnections = 0;
        for (GraphMachine machine : machines) {
            if (machine.host != null && machine.host.process != null) {
                double now = machine.host.process.statistics().busyCoreUs;
                busyUs += now
                        - (countedProcesses[machine.number] == machine.host.process
                                ? countedBusyUs[machine.number]
                                : 0);
                countedProcesses[machine.number] = machine.host.process;
                countedBusyUs[machine.number] = now;
                cores += machine.host.spec.cores();
            }
            int connections = 0;
            for (GraphMachine.Upstream upstream : machine.upstreams) {
                connections += ((Proxy) upstream.instance()).connections();
            }
            maxConnections = Math.max(maxConnections, connections);
            openConnections += connections;
        }
        statistics.second(queue.now() - 1).busy = busyUs / (cores * SECOND_US);
        statistics.maxConnections = Math.max(statistics.maxConnections, maxConnections);
        statistics.meanConnections = Math.max(statistics.meanConnections, (double) openConnections / machines.size());
        if (queue.now() < spec.world().lengthUs()) {
            queue.after(SECOND_US, this::recordSecond);
        }
    }

    // ---- running -------------------------------------------------------------------------------------

    /** Runs the simulation to its end. */
    public GraphReport run() {
        queue.runUntil(spec.world().lengthUs() + spec.world().settleUs());
        List<World.Result> results = new ArrayList<>();
        for (World part : serviceWorlds) {
            results.add(part == null ? null : part.finish());
        }
        return new GraphReport(this, results, seed, trace.sha256(), trace.lines());
    }

    /** Descriptions of the violations: those along paths, and those of the four rules by service. */
    static List<String> violations(GraphWorld graph, List<World.Result> results) {
        List<String> all = new ArrayList<>();
        graph.auditor.breaches().forEach(b -> all.add(b.toString()));
        for (World.Result result : results) {
            if (result != null) {
                result.breaches()
                        .forEach(b -> all.add(String.format(
                                Locale.ROOT, "%s: %s", result.scenario().name(), b)));
            }
        }
        return all;
    }
}
