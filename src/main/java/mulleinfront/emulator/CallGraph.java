package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * A randomly generated acyclic graph of services and their calls. Services of level 0 (front services) receive requests
 * from outside. All of them call the first service of level 1, which is therefore on every path. Calls go only to
 * deeper levels. One chain reaches the deepest level; the other calls are drawn from a skewed distribution of callees.
 */
final class CallGraph {
    /**
     * The calls from one service to another.
     *
     * @param number number among all edges
     * @param from number of the calling service
     * @param to number of the called service
     * @param probability fraction of the caller's requests that make this call
     * @param optional whether the caller answers even if this call fails
     * @param reads whether the call is safe, whatever the request's effect is
     */
    record Edge(int number, int from, int to, double probability, boolean optional, boolean reads) {}

    /**
     * One service.
     *
     * @param level number of its level; 0: it receives requests from outside
     * @param sequential whether it makes its calls sequentially, in the order of {@code calls}
     * @param work work of a call to it, as a multiple of the class's work
     * @param visits mean number of calls to it per request from outside
     * @param hosts number of machines that run it
     */
    record Node(
            int number,
            String name,
            int level,
            boolean sequential,
            double work,
            double visits,
            int hosts,
            List<Edge> calls) {}

    /** An edge before its probability is scaled. */
    private record UnscaledEdge(
            int from, int to, double probability, boolean chained, boolean optional, boolean reads) {}

    private static final int BISECTION_ROUNDS = 60;

    private final GraphSpec spec;
    private final RandomStream chance;
    private final int[] level;
    /** The chain's service of each level. */
    private final int[] chain;

    private final List<UnscaledEdge> drawEdges = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    private CallGraph(GraphSpec spec, RandomStream chance) {
        this.spec = spec;
        this.chance = chance;
        this.level = new int[spec.services()];
        this.chain = new int[spec.depth() + 1];
    }

    /**
     * Generates a graph.
     *
     * @throws IllegalArgumentException if there are too few services or machines, or the chain alone causes
     *         more calls than the requested mean per request
     */
    static CallGraph generate(GraphSpec spec, long seed) {
        if (spec.services() < spec.fronts() + spec.depth()) {
            throw new IllegalArgumentException("fewer services than front services and levels: " + spec.services()
                    + " services, " + spec.fronts() + " front services and " + spec.depth() + " levels");
        }
        CallGraph graph = new CallGraph(spec, RandomStream.of(seed, "graph"));
        graph.assignLevels();
        graph.drawEdges();
        graph.scaleProbabilities();
        return graph;
    }

    List<Node> nodes() {
        return nodes;
    }

    private void assignLevels() {
        int hub = spec.fronts();
        level[hub] = 1;
        chain[1] = hub;
        int next = hub + 1;
        for (int depth = 2; depth <= spec.depth(); depth++, next++) {
            level[next] = depth;
            chain[depth] = next;
        }
        for (; next < spec.services(); next++) {
            level[next] = spec.depth() < 2 ? 1 : 2 + chance.uniformBelow(spec.depth() - 1);
        }
    }

    private void drawEdges() {
        int services = spec.services();
        for (int i = 0; i < spec.fronts(); i++) {
            drawEdges.add(new UnscaledEdge(i, chain[1], 1, true, false, false));
        }
        for (int depth = 1; depth < spec.depth(); depth++) {
            drawEdges.add(new UnscaledEdge(chain[depth], chain[depth + 1], spec.chain(), true, false, false));
        }
        boolean[][] called = new boolean[services][services];
        drawEdges.forEach(d -> called[d.from][d.to] = true);
        // Every other service is called by a service of a level between the front and its own.
        for (int service = spec.fronts() + spec.depth(); service < services; service++) {
            List<Integer> above = above(level[service]);
            add(called, above.get(chance.uniformBelow(above.size())), service);
        }
        double[] popularity = RandomStream.zipfWeights(services, spec.skew());
        int[] ranks = new int[services];
        for (int i = 0; i < services; i++) {
            ranks[i] = i;
        }
        for (int i = services - 1; i > 0; i--) {
            int j = chance.uniformBelow(i + 1);
            int swapped = ranks[i];
            ranks[i] = ranks[j];
            ranks[j] = swapped;
        }
        for (int caller = spec.fronts(); caller < services; caller++) {
            double[] weights = new double[services];
            double sum = 0;
            for (int callee = 0; callee < services; callee++) {
                weights[callee] = level[callee] > level[caller] ? popularity[ranks[callee]] : 0;
                sum += weights[callee];
            }
            int furtherCalls = chance.uniformBelow(spec.fanOut() + 1);
            double[] summed = RandomStream.cumulative(weights);
            for (int i = 0; i < furtherCalls && sum > 0; i++) {
                add(called, caller, chance.weightedIndex(summed));
            }
        }
    }

    private List<Integer> above(int below) {
        List<Integer> all = new ArrayList<>();
        for (int service = spec.fronts(); service < level.length; service++) {
            if (level[service] < below) {
                all.add(service);
            }
        }
        return all;
    }

    private void add(boolean[][] called, int from, int to) {
        if (!called[from][to]) {
            called[from][to] = true;
            drawEdges.add(new UnscaledEdge(
                    from,
                    to,
                    chance.uniformBetween(0.1, 0.6),
                    false,
                    chance.happens(spec.optionalShare()),
                    chance.happens(spec.readShare())));
        }
    }

    /**
     * Mean number of calls to each service per request from outside, if the probabilities of all edges but the chain's
     * are multiplied by a factor.
     */
    private double[] visits(double factor) {
        double[] visits = new double[level.length];
        for (int i = 0; i < spec.fronts(); i++) {
            visits[i] = 1.0 / spec.fronts();
        }
        List<UnscaledEdge> downward = new ArrayList<>(drawEdges);
        downward.sort(Comparator.comparingInt(edge -> level[edge.from]));
        for (UnscaledEdge edge : downward) {
            visits[edge.to] += visits[edge.from] * probability(edge, factor);
        }
        return visits;
    }

    private static double probability(UnscaledEdge edge, double factor) {
        return edge.chained ? edge.probability : Math.min(1, edge.probability * factor);
    }

    private double calls(double factor) {
        double sum = 0;
        double[] visits = visits(factor);
        for (int service = spec.fronts(); service < visits.length; service++) {
            sum += visits[service];
        }
        return sum;
    }

    private void scaleProbabilities() {
        if (calls(0) > spec.callsPerRequest()) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "calls-per-request: the chain alone makes %.2f calls, more than %.2f",
                    calls(0),
                    spec.callsPerRequest()));
        }
        double low = 0;
        double high = 1_000;
        for (int i = 0; i < BISECTION_ROUNDS; i++) {
            double mid = (low + high) / 2;
            if (calls(mid) > spec.callsPerRequest()) {
                high = mid;
            } else {
                low = mid;
            }
        }
        double[] visits = visits(low);
        double[] work = new double[visits.length];
        for (int service = 0; service < work.length; service++) {
            work[service] = spec.workFactor().draw(chance::uniformBetween);
        }
        int[] hosts = hosts(visits, work);
        TreeMap<Integer, List<Edge>> edges = new TreeMap<>();
        int number = 0;
        for (UnscaledEdge edge : drawEdges) {
            edges.computeIfAbsent(edge.from, f -> new ArrayList<>())
                    .add(new Edge(number++, edge.from, edge.to, probability(edge, low), edge.optional, edge.reads));
        }
        for (int service = 0; service < work.length; service++) {
            String name = level[service] == 0
                    ? "front" + service
                    : level[service] == 1 && service == chain[1] ? "hub" : "s" + service;
            nodes.add(new Node(
                    service,
                    name,
                    level[service],
                    chance.happens(spec.sequentialShare()),
                    work[service],
                    visits[service],
                    hosts[service],
                    List.copyOf(edges.getOrDefault(service, List.of()))));
        }
    }

    /** Machines of each service: the least number, plus a share of the remaining ones in proportion to its work. */
    private int[] hosts(double[] visits, double[] work) {
        int[] hosts = new int[work.length];
        int atFront =
                (int) Math.max(spec.fronts() * (long) spec.minHosts(), Math.round(spec.frontShare() * spec.hosts()));
        for (int service = 0; service < spec.fronts(); service++) {
            hosts[service] = atFront * (service + 1) / spec.fronts() - atFront * service / spec.fronts();
        }
        int free = spec.hosts() - atFront;
        double all = 0;
        for (int service = spec.fronts(); service < hosts.length; service++) {
            hosts[service] = spec.minHosts();
            free -= spec.minHosts();
            all += visits[service] * work[service];
        }
        if (free < 0) {
            throw new IllegalArgumentException("too few machines: " + spec.services() + " services with at least "
                    + spec.minHosts() + " machines each, and " + atFront + " for the front services, need more than "
                    + spec.hosts());
        }
        double exactShare = 0;
        int assigned = 0;
        for (int service = spec.fronts(); service < hosts.length; service++) {
            exactShare += free * visits[service] * work[service] / all;
            int more = (int) Math.round(exactShare) - assigned;
            hosts[service] += more;
            assigned += more;
        }
        hosts[chain[1]] += free - assigned;
        return hosts;
    }
}
