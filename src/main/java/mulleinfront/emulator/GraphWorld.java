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
 * Many services that call each other on one virtual time and one seed. Each service is a {@link World} of its
 * own: its servers, its discovery, its auditor of the four rules, and one core and module for each machine
 * that calls it, so a client proxy knows the services that it calls and no others. What ties them together is
 * here: machines, zones and regions, the calls that an application makes for a request, its deadline and its
 * end passed on, and what fails.
 */
public final class GraphWorld {
    /** First letters of effects, by what repeating them does. */
    static final char SAFE = 's';

    static final char KEYED = 'k';
    static final char UNSAFE = 'u';
    private static final long SECOND_US = 1_000_000;

    final GraphSpec spec;
    final EventQueue queue = new EventQueue();
    final GraphTally tally;
    final GraphAuditor audit;
    final GraphApplication application;
    final List<GraphMachine> machines = new ArrayList<>();
    private final Chance arrivals;
    private final Chance works;
    private final CallGraph graph;
    private final Trace trace;
    private final long seed;
    private final long[][] oneWay;
    /** By the number of their service; null at the front. */
    private final World[] parts;

    private final int[] firstMachine;
    private final Map<Host, GraphMachine> byHost = new HashMap<>();
    private final double[] classes;
    private final double[] tenants;
    private final double[] keys;
    private final double[][] fronts;
    private final ServerModel[] lives;
    private final double[] busy;
    private final int reading;
    private long ids;

    /**
     * @param maker makes each module; a test's own can be broken on purpose
     * @param fitting joins each core with its parts
     * @param application what applications do with their calls
     */
    GraphWorld(
            GraphSpec spec,
            long seed,
            Trace trace,
            Core.BalancerFactory maker,
            Fitting fitting,
            GraphApplication application) {
        this.spec = spec;
        this.seed = seed;
        this.trace = trace;
        this.application = application;
        this.graph = CallGraph.draw(spec, seed);
        this.tally = new GraphTally(spec);
        this.audit = new GraphAuditor(this);
        this.arrivals = Chance.of(seed, "arrivals");
        this.works = Chance.of(seed, "works");
        this.oneWay = ways();
        this.parts = new World[spec.services()];
        this.firstMachine = new int[spec.services()];
        Scenario w = spec.world();
        this.classes = Chance.sum(
                w.classes().stream().mapToDouble(Scenario.ClassSpec::share).toArray());
        this.tenants = w.tenants().isEmpty()
                ? new double[] {1}
                : Chance.sum(w.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usage())
                        .toArray());
        this.keys = w.load().keys() == 0
                ? null
                : Chance.sum(Chance.zipf(w.load().keys(), w.load().zipf()));
        this.reading = safest();
        buildMachines();
        this.fronts = new double[spec.fronts()][];
        for (int f = 0; f < fronts.length; f++) {
            fronts[f] =
                    Chance.sum(Chance.zipf(nodes().get(f).hosts(), w.proxies().spread()));
        }
        for (CallGraph.Node node : nodes()) {
            if (node.level() > 0) {
                buildService(node, maker, fitting);
            }
        }
        this.lives = new ServerModel[machines.size()];
        this.busy = new double[machines.size()];
        new GraphScript(this, Chance.of(seed, "failures")).schedule();
        queue.after(w.proxies().startWithinUs(), this::next);
        queue.after(SECOND_US, this::look);
    }

    /** As it is shipped: with the real module. */
    public static GraphWorld of(GraphSpec spec, long seed, OutputStream traceFile) {
        return new GraphWorld(
                spec, seed, new Trace(traceFile), Balancer::create, Fitting.PLAIN, GraphApplication.PLAIN);
    }

    // ---- building ------------------------------------------------------------------------------------

    private int safest() {
        for (int i = 0; i < spec.world().classes().size(); i++) {
            if (spec.world().classes().get(i).type().effect() == Effect.RETRYABLE) {
                return i;
            }
        }
        throw new IllegalArgumentException("no class is safe");
    }

    private long[][] ways() {
        Chance chance = Chance.of(seed, "ways");
        int zones = spec.regionOf().length;
        long[][] ways = new long[zones][zones];
        Scenario.Network n = spec.world().network();
        for (int a = 0; a < zones; a++) {
            for (int b = a; b < zones; b++) {
                boolean far = spec.regionOf()[a] != spec.regionOf()[b];
                ways[a][b] = Math.max(
                        1, (long) (a == b ? n.same() : far ? spec.betweenRegions() : n.cross()).draw(chance::between));
                ways[b][a] = ways[a][b];
            }
        }
        return ways;
    }

    private void buildMachines() {
        Chance chance = Chance.of(seed, "machines");
        int zones = spec.regionOf().length;
        int racks = Math.max(1, (spec.hosts() / zones + spec.rack() - 1) / spec.rack());
        int number = 0;
        for (CallGraph.Node node : nodes()) {
            firstMachine[node.number()] = number;
            for (int i = 0; i < node.hosts(); i++, number++) {
                machines.add(new GraphMachine(number, node, number % zones, chance.below(racks), (long)
                        (spec.world().proxies().startWithinUs() * chance.unit())));
            }
        }
    }

    private void buildService(CallGraph.Node node, Core.BalancerFactory maker, Fitting fitting) {
        List<GraphMachine> callers = new ArrayList<>();
        for (GraphMachine m : machines) {
            if (m.node.calls().stream().anyMatch(e -> e.to() == node.number())) {
                callers.add(m);
            }
        }
        Scenario w = spec.world();
        Scenario.Proxies p = w.withProxies(callers.size()).proxies();
        Scenario.Clients c = new Scenario.Clients(
                w.clients().retries(),
                w.clients().backoff(),
                w.clients().doubling(),
                0,
                mulleinfront.settings.Range.of(1),
                0);
        List<Scenario.ClassSpec> types = new ArrayList<>();
        for (Scenario.ClassSpec t : w.classes()) {
            types.add(new Scenario.ClassSpec(t.type(), t.share(), t.workUs() * node.work(), t.dist(), t.cv()));
        }
        Scenario.Load load = new Scenario.Load(
                spec.requestsPerSecond() * node.visits(),
                Scenario.Shape.STEADY,
                spec.requestsPerSecond() * node.visits(),
                0,
                SECOND_US,
                w.load().keys(),
                w.load().zipf());
        Scenario scenario = w.asService(
                node.name(), w.lengthUs(), p, c, load, w.servers().get(0).named(node.name(), node.hosts()), types);
        int first = firstMachine[node.number()];
        World part = new World(
                scenario,
                Chance.of(seed, "service " + node.number()).nextLong(),
                trace,
                (world, zone) -> maker,
                fitting,
                null,
                new Service(node, first, callers));
        parts[node.number()] = part;
        for (int i = 0; i < node.hosts(); i++) {
            GraphMachine m = machines.get(first + i);
            m.host = part.hosts.get(i);
            byHost.put(m.host, m);
        }
        for (int i = 0; i < callers.size(); i++) {
            callers.get(i).upstreams.add(new GraphMachine.Upstream(part, node.number(), i));
        }
    }

    /** One service as a part. */
    private final class Service implements Part {
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
        public long[][] oneWay() {
            return oneWay;
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
        public void changed(Host host) {
            GraphMachine m = byHost.get(host);
            if (!host.alive()) {
                m.drop();
            }
        }

        @Override
        public void ran(String effect, boolean dropped) {
            audit.ran(effect, dropped);
        }

        @Override
        public void unserved(long now, UnservedReason why) {
            tally.unserved(now, why);
        }
    }

    List<CallGraph.Node> nodes() {
        return graph.nodes();
    }

    World part(int service) {
        return parts[service];
    }

    /** Answers that came from another region than their call. */
    long servedAcrossRegions() {
        return tally.all.servedAcross;
    }

    GraphMachine machine(Host host) {
        return byHost.get(host);
    }

    // ---- requests and calls --------------------------------------------------------------------------

    private void next() {
        long gap = (long) arrivals.exponential(1e6 / spec.requestsPerSecond());
        queue.after(gap, () -> {
            if (queue.now() < spec.world().lengthUs()) {
                ask();
                next();
            }
        });
    }

    /** A request from outside, at a machine of the front that is there: who sends it there is not played. */
    private void ask() {
        long now = queue.now();
        int c = arrivals.place(classes);
        int tenant = arrivals.place(tenants);
        String key = keys == null ? null : "k" + arrivals.place(keys);
        int front = arrivals.below(spec.fronts());
        int place = arrivals.place(fronts[front]);
        double patience = spec.world().clients().patience().draw(arrivals::between);
        boolean leaves = arrivals.happens(spec.world().clients().leave());
        double leavesAt = leaves ? arrivals.unit() : 0;
        int count = fronts[front].length;
        GraphMachine m = null;
        for (int i = 0; i < count && (m == null || m.down || m.away); i++) {
            m = machines.get(firstMachine[front] + (place + i) % count);
        }
        Balancer.RequestClass type = spec.world().classes().get(c).type();
        GraphRequest r = new GraphRequest(
                kind(c) + Long.toString(ids++),
                c,
                tenant,
                key,
                type.worth(),
                now,
                now + type.targetLatencyUs(),
                now + (long) (patience * type.deadlineUs()));
        tally.asked(r);
        if (m.down || m.away) {
            over(r, false, false);
            return;
        }
        GraphMachine at = m;
        Handling h = new Handling(
                this, r, null, m, r.endAt, end -> over(r, end == ServerModel.End.SERVED && !at.away, false));
        h.begin();
        if (!r.over) {
            Time.Timer patienceEnds = queue.after(r.endAt - now, () -> giveUp(r, h, false));
            if (leaves) {
                queue.after((long) (leavesAt * (r.endAt - now)), () -> {
                    if (!r.over) {
                        patienceEnds.cancel();
                        giveUp(r, h, true);
                    }
                });
            }
        }
    }

    private void giveUp(GraphRequest r, Handling h, boolean left) {
        if (!r.over) {
            over(r, false, left);
            h.cancel();
        }
    }

    private void over(GraphRequest r, boolean served, boolean left) {
        if (!r.over) {
            r.over = true;
            tally.over(r, served, left, queue.now());
        }
    }

    private char kind(int classIndex) {
        return switch (spec.world().classes().get(classIndex).type().effect()) {
            case RETRYABLE -> SAFE;
            case DEDUP -> KEYED;
            case FRAGILE -> UNSAFE;
        };
    }

    /**
     * Which of its calls a service makes for a request: the same each time that request comes to it, or a repeat would
     * do without the call that failed.
     *
     * @param effect what the request's effect goes by, which tells the way that it came
     */
    List<CallGraph.Edge> calls(CallGraph.Node node, String effect) {
        List<CallGraph.Edge> chosen = new ArrayList<>(4);
        if (!node.calls().isEmpty()) {
            Chance chance = Chance.of(seed, effect.substring(1));
            for (CallGraph.Edge e : node.calls()) {
                if (chance.happens(e.chance())) {
                    chosen.add(e);
                }
            }
        }
        return chosen;
    }

    /** A call that a request makes. */
    Hop hop(Handling above, CallGraph.Edge e) {
        int ofRequest = above.above == null ? above.request.classIndex : above.above.classIndex;
        int c = application.classOf(kind(ofRequest) == SAFE ? ofRequest : reading, ofRequest, e.reads());
        String effect =
                application.effect(kind(c), above.above == null ? above.request.id : above.above.effect, e.number());
        long endAt = application.endOf(
                above.endsAt, queue.now(), spec.world().classes().get(c).type().deadlineUs(), spec.reserveUs());
        Hop hop = new Hop(this, e, above, c, effect, endAt);
        audit.called(hop);
        tally.called(hop, queue.now());
        return hop;
    }

    void call(Hop hop, GraphMachine from) {
        GraphMachine.Upstream u = from.upstream(hop.edge.to());
        double work = u.part().scenario.classes().get(hop.classIndex).drawUs(works);
        u.part().clients.call(hop, u.proxy(), hop.above.request.tenant, hop.above.request.key, work);
    }

    // ---- looks each second ---------------------------------------------------------------------------

    private void look() {
        double sum = 0;
        double cores = 0;
        int most = 0;
        long open = 0;
        for (GraphMachine m : machines) {
            if (m.host != null && m.host.life != null) {
                double now = m.host.life.figures().busyCoreUs;
                sum += now - (lives[m.number] == m.host.life ? busy[m.number] : 0);
                lives[m.number] = m.host.life;
                busy[m.number] = now;
                cores += m.host.machine.cores();
            }
            int connections = 0;
            for (GraphMachine.Upstream u : m.upstreams) {
                connections += ((Proxy) u.instance()).connections();
            }
            most = Math.max(most, connections);
            open += connections;
        }
        tally.second(queue.now() - 1).busy = sum / (cores * SECOND_US);
        tally.mostConnections = Math.max(tally.mostConnections, most);
        tally.meanConnections = Math.max(tally.meanConnections, (double) open / machines.size());
        if (queue.now() < spec.world().lengthUs()) {
            queue.after(SECOND_US, this::look);
        }
    }

    // ---- running -------------------------------------------------------------------------------------

    /** Plays it to its end. */
    public GraphReport play() {
        queue.runUntil(spec.world().lengthUs() + spec.world().settleUs());
        List<World.Result> results = new ArrayList<>();
        for (World part : parts) {
            results.add(part == null ? null : part.finish());
        }
        return new GraphReport(this, results, seed, trace.sha256(), trace.lines());
    }

    /** What is broken, in words: of the four rules by service, and of the paths. */
    static List<String> broken(GraphWorld graph, List<World.Result> results) {
        List<String> all = new ArrayList<>();
        graph.audit.breaches().forEach(b -> all.add(b.toString()));
        for (World.Result r : results) {
            if (r != null) {
                r.breaches()
                        .forEach(b -> all.add(String.format(
                                Locale.ROOT, "%s: %s", r.scenario().name(), b)));
            }
        }
        return all;
    }
}
