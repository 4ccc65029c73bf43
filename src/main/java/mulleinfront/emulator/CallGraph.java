package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * Which services call which, drawn by seed: services of level 0 take requests from outside, all of them call
 * the one of level 1, which so stands on every path, and calls go only to deeper levels, so there is no way
 * round in it. One chain reaches the deepest level; what else is called is drawn, some far more often than
 * others.
 */
final class CallGraph {
    /**
     * One service's calls of another.
     *
     * @param number among all
     * @param from the number of the service that calls
     * @param to the one that is called
     * @param chance part of its requests for which it does so
     * @param optional whether it answers all the same where this fails
     * @param reads whether the call is safe, whatever the request is
     */
    record Edge(int number, int from, int to, double chance, boolean optional, boolean reads) {}

    /**
     * One service.
     *
     * @param level 0: requests come to it from outside
     * @param inTurn whether its calls go one after the other, in their order here
     * @param work work of its calls, as a multiple of their class's
     * @param visits calls of it by one request from outside, on the mean
     * @param hosts how many machines run it
     */
    record Node(
            int number,
            String name,
            int level,
            boolean inTurn,
            double work,
            double visits,
            int hosts,
            List<Edge> calls) {}

    /** A call that is not weighted yet. */
    private record Draft(int from, int to, double chance, boolean chained, boolean optional, boolean reads) {}

    private static final int ROUNDS = 60;

    private final GraphSpec spec;
    private final Chance chance;
    private final int[] level;
    /** Which service of each level the chain goes through. */
    private final int[] chain;

    private final List<Draft> drafts = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    private CallGraph(GraphSpec spec, Chance chance) {
        this.spec = spec;
        this.chance = chance;
        this.level = new int[spec.services()];
        this.chain = new int[spec.depth() + 1];
    }

    /**
     * Draws one.
     *
     * @throws IllegalArgumentException if there are too few services or machines, or the chain alone makes
     *         more calls than a request is to make
     */
    static CallGraph draw(GraphSpec spec, long seed) {
        if (spec.services() < spec.fronts() + spec.depth()) {
            throw new IllegalArgumentException("fewer services than fronts and levels: " + spec.services() + " for "
                    + spec.fronts() + " and " + spec.depth());
        }
        CallGraph g = new CallGraph(spec, Chance.of(seed, "graph"));
        g.levels();
        g.drafts();
        g.weigh();
        return g;
    }

    List<Node> nodes() {
        return nodes;
    }

    private void levels() {
        int hub = spec.fronts();
        level[hub] = 1;
        chain[1] = hub;
        int next = hub + 1;
        for (int l = 2; l <= spec.depth(); l++, next++) {
            level[next] = l;
            chain[l] = next;
        }
        for (; next < spec.services(); next++) {
            level[next] = spec.depth() < 2 ? 1 : 2 + chance.below(spec.depth() - 1);
        }
    }

    private void drafts() {
        int n = spec.services();
        for (int i = 0; i < spec.fronts(); i++) {
            drafts.add(new Draft(i, chain[1], 1, true, false, false));
        }
        for (int l = 1; l < spec.depth(); l++) {
            drafts.add(new Draft(chain[l], chain[l + 1], spec.chain(), true, false, false));
        }
        boolean[][] called = new boolean[n][n];
        drafts.forEach(d -> called[d.from][d.to] = true);
        // Everybody else is called by somebody: a service of a level above, not from outside alone.
        for (int t = spec.fronts() + spec.depth(); t < n; t++) {
            List<Integer> above = above(level[t]);
            add(called, above.get(chance.below(above.size())), t);
        }
        double[] liking = Chance.zipf(n, spec.skew());
        int[] places = new int[n];
        for (int i = 0; i < n; i++) {
            places[i] = i;
        }
        for (int i = n - 1; i > 0; i--) {
            int j = chance.below(i + 1);
            int kept = places[i];
            places[i] = places[j];
            places[j] = kept;
        }
        for (int s = spec.fronts(); s < n; s++) {
            double[] weights = new double[n];
            double sum = 0;
            for (int t = 0; t < n; t++) {
                weights[t] = level[t] > level[s] ? liking[places[t]] : 0;
                sum += weights[t];
            }
            int more = chance.below(spec.fanOut() + 1);
            double[] summed = Chance.sum(weights);
            for (int i = 0; i < more && sum > 0; i++) {
                add(called, s, chance.place(summed));
            }
        }
    }

    private List<Integer> above(int below) {
        List<Integer> all = new ArrayList<>();
        for (int s = spec.fronts(); s < level.length; s++) {
            if (level[s] < below) {
                all.add(s);
            }
        }
        return all;
    }

    private void add(boolean[][] called, int from, int to) {
        if (!called[from][to]) {
            called[from][to] = true;
            drafts.add(new Draft(
                    from,
                    to,
                    chance.between(0.1, 0.6),
                    false,
                    chance.happens(spec.optional()),
                    chance.happens(spec.reads())));
        }
    }

    /**
     * Calls of each service by one request from outside, where all that was drawn is so many times as likely.
     */
    private double[] visits(double factor) {
        double[] visits = new double[level.length];
        for (int i = 0; i < spec.fronts(); i++) {
            visits[i] = 1.0 / spec.fronts();
        }
        List<Draft> downward = new ArrayList<>(drafts);
        downward.sort(Comparator.comparingInt(d -> level[d.from]));
        for (Draft d : downward) {
            visits[d.to] += visits[d.from] * chance(d, factor);
        }
        return visits;
    }

    private static double chance(Draft d, double factor) {
        return d.chained ? d.chance : Math.min(1, d.chance * factor);
    }

    private double calls(double factor) {
        double sum = 0;
        double[] visits = visits(factor);
        for (int s = spec.fronts(); s < visits.length; s++) {
            sum += visits[s];
        }
        return sum;
    }

    private void weigh() {
        if (calls(0) > spec.callsPerRequest()) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "calls-per-request: the chain alone makes" + " %.2f calls, more than %.2f",
                    calls(0),
                    spec.callsPerRequest()));
        }
        double low = 0;
        double high = 1_000;
        for (int i = 0; i < ROUNDS; i++) {
            double mid = (low + high) / 2;
            if (calls(mid) > spec.callsPerRequest()) {
                high = mid;
            } else {
                low = mid;
            }
        }
        double[] visits = visits(low);
        double[] work = new double[visits.length];
        for (int s = 0; s < work.length; s++) {
            work[s] = spec.workFactor().draw(chance::between);
        }
        int[] hosts = hosts(visits, work);
        TreeMap<Integer, List<Edge>> edges = new TreeMap<>();
        int number = 0;
        for (Draft d : drafts) {
            edges.computeIfAbsent(d.from, f -> new ArrayList<>())
                    .add(new Edge(number++, d.from, d.to, chance(d, low), d.optional, d.reads));
        }
        for (int s = 0; s < work.length; s++) {
            String name = level[s] == 0 ? "front" + s : level[s] == 1 && s == chain[1] ? "hub" : "s" + s;
            nodes.add(new Node(
                    s,
                    name,
                    level[s],
                    chance.happens(spec.inTurn()),
                    work[s],
                    visits[s],
                    hosts[s],
                    List.copyOf(edges.getOrDefault(s, List.of()))));
        }
    }

    /** Machines for each service: its least, and the others by the work that it is sent. */
    private int[] hosts(double[] visits, double[] work) {
        int[] hosts = new int[work.length];
        int atFront =
                (int) Math.max(spec.fronts() * (long) spec.leastHosts(), Math.round(spec.frontPart() * spec.hosts()));
        for (int s = 0; s < spec.fronts(); s++) {
            hosts[s] = atFront * (s + 1) / spec.fronts() - atFront * s / spec.fronts();
        }
        int free = spec.hosts() - atFront;
        double all = 0;
        for (int s = spec.fronts(); s < hosts.length; s++) {
            hosts[s] = spec.leastHosts();
            free -= spec.leastHosts();
            all += visits[s] * work[s];
        }
        if (free < 0) {
            throw new IllegalArgumentException("too few machines: " + spec.services() + " services of "
                    + spec.leastHosts() + " and " + atFront + " at the front want more than " + spec.hosts());
        }
        double owed = 0;
        int given = 0;
        for (int s = spec.fronts(); s < hosts.length; s++) {
            owed += free * visits[s] * work[s] / all;
            int more = (int) Math.round(owed) - given;
            hosts[s] += more;
            given += more;
        }
        hosts[chain[1]] += free - given;
        return hosts;
    }
}
