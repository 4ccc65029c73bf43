package mulleinfront.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.UnservedReason.Cause;
import mulleinfront.emulator.GraphStatistics.CallStatistics;
import mulleinfront.emulator.GraphStatistics.DepthStatistics;
import mulleinfront.emulator.GraphStatistics.SecondStatistics;
import mulleinfront.emulator.GraphStatistics.Span;
import mulleinfront.settings.Section;

/** The result of a graph simulation, as text and as JSON with the same numbers. */
public final class GraphReport {
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};
    private static final String[] QUANTILE_NAMES = {"p50", "p99", "p999"};
    private static final int FIRST_SECONDS = 10;
    /** Length in seconds of the start phase, which is reported separately. */
    private static final int START_PHASE_SECONDS = (int) (GraphStatistics.START_PHASE_US / 1_000_000);

    private final GraphWorld graph;
    private final GraphStatistics statistics;
    private final GraphSpec spec;
    private final List<World.Result> results;
    private final long seed;
    private final String sha256;
    private final long decisions;
    private final List<String> violations;

    GraphReport(GraphWorld graph, List<World.Result> results, long seed, String sha256, long decisions) {
        this.graph = graph;
        this.statistics = graph.statistics;
        this.spec = graph.spec;
        this.results = results;
        this.seed = seed;
        this.sha256 = sha256;
        this.decisions = decisions;
        this.violations = GraphWorld.violations(graph, results);
    }

    // ---- metrics -------------------------------------------------------------------------------------

    /** Value earned by answers to requests from outside, as a fraction of the value asked for. */
    public double earnedShare() {
        return statistics.earnedShare();
    }

    /** Digest of all decisions of all client proxies. */
    public String sha256() {
        return sha256;
    }

    /** Descriptions of violations: the first ones along paths and of each service. */
    public List<String> violations() {
        return violations;
    }

    /** Number of all violations. */
    public int violationCount() {
        int sum = graph.auditor.breachCount();
        for (World.Result result : results) {
            sum += result == null ? 0 : result.breachCount();
        }
        return sum;
    }

    /** Number of calls between services. */
    public long calls() {
        return statistics.all.calls;
    }

    /** Number of calls of one depth, from 1 on. */
    public long calls(int depth) {
        return statistics.callsByDepth[depth].calls;
    }

    /** Virtual time in microseconds in which requests were sent. */
    public long lengthUs() {
        return spec.world().lengthUs();
    }

    /** Number of cold servers that crashed from overload. */
    public int crashedServers() {
        int sum = 0;
        for (World.Result result : results) {
            sum += result == null ? 0 : result.crashedServers();
        }
        return sum;
    }

    /** 99th percentile of the time added to answered calls, microseconds. */
    public long addedP99Us() {
        return statistics.all.histogram(Span.ADDED).quantile(0.99);
    }

    /**
     * Value earned as a fraction of the value asked for in the seconds {@code from} (inclusive) to {@code to}
     * (exclusive).
     */
    public double earnedShare(int from, int to) {
        double offered = 0;
        double earned = 0;
        for (int i = from; i < Math.min(to, statistics.seconds.size()); i++) {
            offered += statistics.seconds.get(i).offeredValue;
            earned += statistics.seconds.get(i).earnedValue;
        }
        return offered == 0 ? 1 : earned / offered;
    }

    private long sumOfCounts(String name) {
        long sum = 0;
        for (World.Result result : results) {
            sum += result == null ? 0 : result.service().counts().getOrDefault(name, 0L);
        }
        return sum;
    }

    private double maxColdLoad() {
        double max = 0;
        for (GraphMachine machine : graph.machines) {
            max = Math.max(max, machine.host == null ? 0 : machine.host.coldLoad.highestUse());
        }
        return max;
    }

    private long listEntriesSent() {
        long sum = 0;
        for (CallGraph.Node node : graph.nodes()) {
            sum += node.level() == 0 ? 0 : graph.serviceWorld(node.number()).auditor.entriesSent;
        }
        return sum;
    }

    private int upstreams() {
        return graph.machines.stream().mapToInt(m -> m.upstreams.size()).sum();
    }

    private int maxUpstreams() {
        return graph.machines.stream().mapToInt(m -> m.upstreams.size()).max().orElse(0);
    }

    private SecondStatistics sumSeconds(int from, int to) {
        SecondStatistics all = new SecondStatistics();
        for (int i = from; i < Math.min(to, statistics.seconds.size()); i++) {
            SecondStatistics second = statistics.seconds.get(i);
            all.offeredValue += second.offeredValue;
            all.earnedValue += second.earnedValue;
            all.requests += second.requests;
            all.calls += second.calls;
            all.refused += second.refused;
            all.notServed += second.notServed;
            for (int cause = 0; cause < all.unservedByCause.length; cause++) {
                all.unservedByCause[cause] += second.unservedByCause[cause];
                all.unservedAfterStartByCause[cause] += second.unservedAfterStartByCause[cause];
            }
        }
        return all;
    }

    private static String causes(SecondStatistics second) {
        StringBuilder out = new StringBuilder();
        for (Cause cause : Cause.values()) {
            if (second.unservedByCause[cause.ordinal()] > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(cause.outputName())
                        .append(' ')
                        .append(second.unservedByCause[cause.ordinal()])
                        .append(" (young ")
                        .append(second.unservedAfterStartByCause[cause.ordinal()])
                        .append(')');
            }
        }
        return out.length() == 0 ? "none" : out.toString();
    }

    // ---- as text -------------------------------------------------------------------------------------

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }

    /** The result as text; ends with the digest of the decisions. */
    public String text() {
        StringBuilder out = new StringBuilder();
        Scenario scenario = spec.world();
        line(
                out,
                "%s (%s), seed %d: %.0f s, %d machines, %d services, %d regions, %d zones",
                scenario.name(),
                scenario.title(),
                seed,
                scenario.lengthUs() / 1e6,
                spec.hosts(),
                spec.services(),
                spec.regions().size(),
                scenario.zones().size());
        line(
                out,
                "graph: %d edges, depth %d, %.2f calls a request by what was drawn, %.2f made; a client"
                        + " proxy calls %.1f services on the mean, %d at most",
                graph.nodes().stream().mapToInt(n -> n.calls().size()).sum(),
                spec.depth(),
                graph.nodes().stream()
                        .filter(n -> n.level() > 0)
                        .mapToDouble(CallGraph.Node::visits)
                        .sum(),
                (double) statistics.all.calls / Math.max(1, statistics.requests),
                (double) upstreams() / graph.machines.size(),
                maxUpstreams());
        line(
                out,
                "load: %.0f requests/s from outside, %.0f calls/s in all",
                statistics.requests / (scenario.lengthUs() / 1e6),
                statistics.all.calls / (scenario.lengthUs() / 1e6));
        line(out, "");
        line(
                out,
                "service %.4f of the worth of %d requests (%d left by their clients): first %d s %.4f, "
                        + "after %.4f; p50 %.1f ms, p99 %.1f ms",
                earnedShare(),
                statistics.requests,
                statistics.requestsLeft,
                START_PHASE_SECONDS,
                earnedShare(0, START_PHASE_SECONDS),
                earnedShare(START_PHASE_SECONDS, Integer.MAX_VALUE),
                statistics.requestTimes.quantile(0.5) / 1e3,
                statistics.requestTimes.quantile(0.99) / 1e3);
        for (int classIndex = 0; classIndex < statistics.offeredValueByClass.length; classIndex++) {
            line(
                    out,
                    "  %-16s %.4f",
                    scenario.classes().get(classIndex).type().name(),
                    statistics.earnedValueByClass[classIndex]
                            / Math.max(1e-9, statistics.offeredValueByClass[classIndex]));
        }
        depths(out);
        spans(out);
        deepest(out);
        seconds(out);
        line(out, "");
        line(
                out,
                "attempts %d: across zones %.1f%%, across regions %.1f%%, on a new connection %.1f%%",
                statistics.all.attempts,
                percent(statistics.all.acrossZones),
                percent(statistics.all.acrossRegions),
                percent(statistics.all.newConnections));
        line(
                out,
                "probes %d, discovery calls %d (failed %d), entries of lists told %d; connections of a"
                        + " client proxy: mean %.1f, most %d",
                sumOfCounts("probes"),
                sumOfCounts("discovery calls"),
                sumOfCounts("discovery calls failed"),
                listEntriesSent(),
                statistics.meanConnections,
                statistics.maxConnections);
        line(
                out,
                "cold servers: most sent to one %.0f%% of what pushes it over; fell over: %d",
                100 * maxColdLoad(),
                crashedServers());
        line(
                out,
                "keyed effects run again in another group by a repeat above: %d",
                graph.auditor.repeatedKeyedEffects());
        line(out, "");
        if (violationCount() == 0) {
            line(out, "rules: all four kept in each service, and those along the paths");
        } else {
            line(out, "rules: %d broken", violationCount());
            violations.stream().limit(20).forEach(b -> line(out, "  %s", b));
        }
        line(out, "decisions: %d, sha256 %s", decisions, sha256);
        return out.toString();
    }

    private double percent(long attempts) {
        return 100.0 * attempts / Math.max(1, statistics.all.attempts);
    }

    private void depths(StringBuilder out) {
        line(out, "");
        line(
                out,
                "%5s %9s %8s %8s %8s %8s %8s %8s %8s  %s",
                "depth",
                "calls",
                "service",
                "served",
                "refused",
                "failed",
                "timedout",
                "noproxy",
                "left",
                "added p50/p99/p99.9 ms");
        for (int depth = 1; depth <= spec.depth(); depth++) {
            row(out, String.valueOf(depth), statistics.callsByDepth[depth]);
        }
        row(out, "all", statistics.all);
        if (statistics.afterStartPhase.calls > 0) {
            row(out, "later", statistics.afterStartPhase);
        }
    }

    private static void row(StringBuilder out, String name, CallStatistics group) {
        Histogram added = group.histogram(Span.ADDED);
        line(
                out,
                "%5s %9d %8.4f %8d %8d %8d %8d %8d %8d  %.3f / %.3f / %.3f",
                name,
                group.calls,
                group.earnedShare(),
                group.ended(Clients.TryResult.SERVED),
                group.ended(Clients.TryResult.REFUSED),
                group.ended(Clients.TryResult.FAILED),
                group.ended(Clients.TryResult.TIMED_OUT),
                group.ended(Clients.TryResult.UNREACHABLE) + group.ended(Clients.TryResult.BROKEN),
                group.ended(Clients.TryResult.LEFT),
                added.quantile(0.5) / 1e3,
                added.quantile(0.99) / 1e3,
                added.quantile(0.999) / 1e3);
    }

    private void spans(StringBuilder out) {
        spans(out, "all", statistics.all);
        if (statistics.afterStartPhase.calls > 0) {
            spans(out, "made after the first " + START_PHASE_SECONDS + " s", statistics.afterStartPhase);
        }
    }

    private void spans(StringBuilder out, String which, CallStatistics group) {
        line(out, "");
        line(
                out,
                "%-11s %9s %9s %9s %9s %9s   of an answered call, ms (%s); over %.2f ms added: %.2f%%; on a"
                        + " new connection: %.1f%%",
                "time",
                "mean",
                "p50",
                "p99",
                "p99.9",
                "most",
                which,
                spec.addedTimeBudgetUs() / 1e3,
                100 * group.histogram(Span.ADDED).fractionAbove(spec.addedTimeBudgetUs()),
                100.0 * group.newConnections / Math.max(1, group.attempts));
        for (Span span : Span.values()) {
            Histogram times = group.histogram(span);
            line(
                    out,
                    "%-11s %9.3f %9.3f %9.3f %9.3f %9.3f",
                    Section.outputName(span),
                    times.mean() / 1e3,
                    times.quantile(0.5) / 1e3,
                    times.quantile(0.99) / 1e3,
                    times.quantile(0.999) / 1e3,
                    times.max() / 1e3);
        }
    }

    private void deepest(StringBuilder out) {
        line(out, "");
        line(
                out,
                "requests by their deepest call, and those with a call of more than %.2f ms added:",
                spec.addedTimeBudgetUs() / 1e3);
        StringBuilder row = new StringBuilder();
        for (int depth = 1; depth <= spec.depth(); depth++) {
            DepthStatistics depthStatistics = statistics.requestsByDepth[depth];
            row.append(String.format(
                    Locale.ROOT,
                    "%s %d: %d (%.1f%%)",
                    depth == 1 ? " " : ",",
                    depth,
                    depthStatistics.requests,
                    100.0 * depthStatistics.withCallOverBudget / Math.max(1, depthStatistics.requests)));
        }
        line(out, "%s", row);
    }

    private void seconds(StringBuilder out) {
        line(out, "");
        line(
                out,
                "%6s %8s %8s %8s %8s %8s %6s  %s",
                "second",
                "requests",
                "service",
                "unserved",
                "calls",
                "refused",
                "busy",
                "given up by client proxies");
        for (int i = 0; i < Math.min(FIRST_SECONDS, statistics.seconds.size()); i++) {
            row(out, String.valueOf(i), sumSeconds(i, i + 1), statistics.seconds.get(i).busy);
        }
        int worstSecond = -1;
        int endSecond = (int) (spec.world().lengthUs() / 1_000_000);
        for (int i = FIRST_SECONDS; i < Math.min(endSecond, statistics.seconds.size()); i++) {
            worstSecond = worstSecond < 0
                            || statistics.seconds.get(i).earnedShare()
                                    < statistics.seconds.get(worstSecond).earnedShare()
                    ? i
                    : worstSecond;
        }
        if (worstSecond >= 0) {
            line(out, "the worst after that:");
            row(
                    out,
                    String.valueOf(worstSecond),
                    sumSeconds(worstSecond, worstSecond + 1),
                    statistics.seconds.get(worstSecond).busy);
        }
        line(out, "first %d s: %s", START_PHASE_SECONDS, causes(sumSeconds(0, START_PHASE_SECONDS)));
        line(out, "after:     %s", causes(sumSeconds(START_PHASE_SECONDS, Integer.MAX_VALUE)));
    }

    private static void row(StringBuilder out, String name, SecondStatistics second, double busy) {
        line(
                out,
                "%6s %8d %8.4f %8d %8d %8d %5.1f%%  %s",
                name,
                second.requests,
                second.earnedShare(),
                second.notServed,
                second.calls,
                second.refused,
                100 * busy,
                causes(second));
    }

    // ---- as JSON -------------------------------------------------------------------------------------

    /** Writes the result as JSON; times are in microseconds, shares are fractions of 1. */
    public void json(OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField("scenario", spec.world().name());
            out.writeNumberField("seed", seed);
            out.writeStringField("decisions_sha256", sha256);
            out.writeNumberField("decisions", decisions);
            out.writeNumberField("length_us", spec.world().lengthUs());
            out.writeNumberField("machines", spec.hosts());
            out.writeNumberField("services", spec.services());
            out.writeNumberField("depth", spec.depth());
            out.writeNumberField("upstreams", upstreams());
            out.writeNumberField("upstreams_most", maxUpstreams());
            out.writeNumberField("requests", statistics.requests);
            out.writeNumberField("requests_left", statistics.requestsLeft);
            out.writeNumberField("requests_served", statistics.requestsServed);
            out.writeNumberField("service", earnedShare());
            out.writeNumberField("service_first_s", earnedShare(0, START_PHASE_SECONDS));
            out.writeNumberField("service_after", earnedShare(START_PHASE_SECONDS, Integer.MAX_VALUE));
            out.writeNumberField("request_p50_us", statistics.requestTimes.quantile(0.5));
            out.writeNumberField("request_p99_us", statistics.requestTimes.quantile(0.99));
            out.writeNumberField("added_budget_us", spec.addedTimeBudgetUs());
            out.writeNumberField(
                    "added_over_budget", statistics.all.histogram(Span.ADDED).fractionAbove(spec.addedTimeBudgetUs()));
            out.writeObjectFieldStart("all");
            group(out, statistics.all);
            out.writeEndObject();
            out.writeObjectFieldStart("later");
            group(out, statistics.afterStartPhase);
            out.writeNumberField(
                    "added_over_budget",
                    statistics.afterStartPhase.histogram(Span.ADDED).fractionAbove(spec.addedTimeBudgetUs()));
            out.writeEndObject();
            out.writeArrayFieldStart("depths");
            for (int depth = 1; depth <= spec.depth(); depth++) {
                out.writeStartObject();
                out.writeNumberField("depth", depth);
                group(out, statistics.callsByDepth[depth]);
                out.writeNumberField("requests_this_deep", statistics.requestsByDepth[depth].requests);
                out.writeNumberField(
                        "requests_with_a_call_over_budget", statistics.requestsByDepth[depth].withCallOverBudget);
                out.writeEndObject();
            }
            out.writeEndArray();
            services(out);
            seconds(out);
            out.writeNumberField("probes", sumOfCounts("probes"));
            out.writeNumberField("discovery_calls", sumOfCounts("discovery calls"));
            out.writeNumberField("discovery_calls_failed", sumOfCounts("discovery calls failed"));
            out.writeNumberField("list_entries_told", listEntriesSent());
            out.writeNumberField("connections_mean", statistics.meanConnections);
            out.writeNumberField("connections_most", statistics.maxConnections);
            out.writeNumberField("cold_most_part_of_fall", maxColdLoad());
            out.writeNumberField("fell", crashedServers());
            out.writeNumberField("keyed_effects_again", graph.auditor.repeatedKeyedEffects());
            out.writeNumberField("rules_broken", violationCount());
            out.writeArrayFieldStart("broken");
            for (String violation : violations) {
                out.writeString(violation);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void group(JsonGenerator out, CallStatistics group) throws IOException {
        out.writeNumberField("calls", group.calls);
        out.writeNumberField("service", group.earnedShare());
        out.writeObjectFieldStart("ended");
        for (Clients.TryResult how : Clients.TryResult.values()) {
            out.writeNumberField(Section.outputName(how), group.ended(how));
        }
        out.writeEndObject();
        out.writeNumberField("attempts", group.attempts);
        out.writeNumberField("attempts_across_zones", group.acrossZones);
        out.writeNumberField("attempts_across_regions", group.acrossRegions);
        out.writeNumberField("attempts_on_new_connections", group.newConnections);
        out.writeObjectFieldStart("times_us");
        for (Span span : Span.values()) {
            Histogram times = group.histogram(span);
            out.writeObjectFieldStart(Section.outputName(span));
            out.writeNumberField("mean", times.mean());
            for (int i = 0; i < QUANTILES.length; i++) {
                out.writeNumberField(QUANTILE_NAMES[i], times.quantile(QUANTILES[i]));
            }
            out.writeNumberField("most", times.max());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    private void services(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("service_list");
        for (CallGraph.Node node : graph.nodes()) {
            CallStatistics group = statistics.callsByService[node.number()];
            out.writeStartObject();
            out.writeStringField("name", node.name());
            out.writeNumberField("level", node.level());
            out.writeNumberField("hosts", node.hosts());
            out.writeNumberField(
                    "callers",
                    node.level() == 0
                            ? 0
                            : graph.serviceWorld(node.number()).proxies.size());
            out.writeNumberField("visits", node.visits());
            out.writeNumberField("calls", group.calls);
            out.writeNumberField("served", group.ended(Clients.TryResult.SERVED));
            out.writeNumberField("refused", group.ended(Clients.TryResult.REFUSED));
            out.writeNumberField("service", group.earnedShare());
            out.writeNumberField("added_p99_us", group.histogram(Span.ADDED).quantile(0.99));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private void seconds(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("seconds");
        List<SecondStatistics> all = new ArrayList<>(statistics.seconds);
        for (SecondStatistics second : all) {
            out.writeStartObject();
            out.writeNumberField("requests", second.requests);
            out.writeNumberField("not_served", second.notServed);
            out.writeNumberField("service", second.earnedShare());
            out.writeNumberField("calls", second.calls);
            out.writeNumberField("refused", second.refused);
            out.writeNumberField("busy", second.busy);
            out.writeObjectFieldStart("given_up");
            for (Cause cause : Cause.values()) {
                if (second.unservedByCause[cause.ordinal()] > 0) {
                    out.writeNumberField(cause.outputName(), second.unservedByCause[cause.ordinal()]);
                    out.writeNumberField(
                            cause.outputName() + "-young", second.unservedAfterStartByCause[cause.ordinal()]);
                }
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
