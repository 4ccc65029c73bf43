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
        for (World.Result r : results) {
            sum += r == null ? 0 : r.breachCount();
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
        for (World.Result r : results) {
            sum += r == null ? 0 : r.crashedServers();
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
        for (World.Result r : results) {
            sum += r == null ? 0 : r.service().counts().getOrDefault(name, 0L);
        }
        return sum;
    }

    private double maxColdLoad() {
        double max = 0;
        for (GraphMachine m : graph.machines) {
            max = Math.max(max, m.host == null ? 0 : m.host.coldLoad.highestUse());
        }
        return max;
    }

    private long listEntriesSent() {
        long sum = 0;
        for (CallGraph.Node n : graph.nodes()) {
            sum += n.level() == 0 ? 0 : graph.serviceWorld(n.number()).auditor.entriesSent;
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
            SecondStatistics s = statistics.seconds.get(i);
            all.offeredValue += s.offeredValue;
            all.earnedValue += s.earnedValue;
            all.requests += s.requests;
            all.calls += s.calls;
            all.refused += s.refused;
            all.notServed += s.notServed;
            for (int c = 0; c < all.unservedByCause.length; c++) {
                all.unservedByCause[c] += s.unservedByCause[c];
                all.unservedAfterStartByCause[c] += s.unservedAfterStartByCause[c];
            }
        }
        return all;
    }

    private static String causes(SecondStatistics s) {
        StringBuilder out = new StringBuilder();
        for (Cause c : Cause.values()) {
            if (s.unservedByCause[c.ordinal()] > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(c.outputName())
                        .append(' ')
                        .append(s.unservedByCause[c.ordinal()])
                        .append(" (young ")
                        .append(s.unservedAfterStartByCause[c.ordinal()])
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
        for (int c = 0; c < statistics.offeredValueByClass.length; c++) {
            line(
                    out,
                    "  %-16s %.4f",
                    scenario.classes().get(c).type().name(),
                    statistics.earnedValueByClass[c] / Math.max(1e-9, statistics.offeredValueByClass[c]));
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
        for (int d = 1; d <= spec.depth(); d++) {
            row(out, String.valueOf(d), statistics.callsByDepth[d]);
        }
        row(out, "all", statistics.all);
        if (statistics.afterStartPhase.calls > 0) {
            row(out, "later", statistics.afterStartPhase);
        }
    }

    private static void row(StringBuilder out, String name, CallStatistics group) {
        Histogram h = group.histogram(Span.ADDED);
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
                h.quantile(0.5) / 1e3,
                h.quantile(0.99) / 1e3,
                h.quantile(0.999) / 1e3);
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
            Histogram h = group.histogram(span);
            line(
                    out,
                    "%-11s %9.3f %9.3f %9.3f %9.3f %9.3f",
                    Section.outputName(span),
                    h.mean() / 1e3,
                    h.quantile(0.5) / 1e3,
                    h.quantile(0.99) / 1e3,
                    h.quantile(0.999) / 1e3,
                    h.max() / 1e3);
        }
    }

    private void deepest(StringBuilder out) {
        line(out, "");
        line(
                out,
                "requests by their deepest call, and those with a call of more than %.2f ms added:",
                spec.addedTimeBudgetUs() / 1e3);
        StringBuilder row = new StringBuilder();
        for (int d = 1; d <= spec.depth(); d++) {
            DepthStatistics g = statistics.requestsByDepth[d];
            row.append(String.format(
                    Locale.ROOT,
                    "%s %d: %d (%.1f%%)",
                    d == 1 ? " " : ",",
                    d,
                    g.requests,
                    100.0 * g.withCallOverBudget / Math.max(1, g.requests)));
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

    private static void row(StringBuilder out, String name, SecondStatistics s, double busy) {
        line(
                out,
                "%6s %8d %8.4f %8d %8d %8d %5.1f%%  %s",
                name,
                s.requests,
                s.earnedShare(),
                s.notServed,
                s.calls,
                s.refused,
                100 * busy,
                causes(s));
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
            for (int d = 1; d <= spec.depth(); d++) {
                out.writeStartObject();
                out.writeNumberField("depth", d);
                group(out, statistics.callsByDepth[d]);
                out.writeNumberField("requests_this_deep", statistics.requestsByDepth[d].requests);
                out.writeNumberField(
                        "requests_with_a_call_over_budget", statistics.requestsByDepth[d].withCallOverBudget);
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
            for (String b : violations) {
                out.writeString(b);
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
            Histogram h = group.histogram(span);
            out.writeObjectFieldStart(Section.outputName(span));
            out.writeNumberField("mean", h.mean());
            for (int i = 0; i < QUANTILES.length; i++) {
                out.writeNumberField(QUANTILE_NAMES[i], h.quantile(QUANTILES[i]));
            }
            out.writeNumberField("most", h.max());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    private void services(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("service_list");
        for (CallGraph.Node n : graph.nodes()) {
            CallStatistics group = statistics.callsByService[n.number()];
            out.writeStartObject();
            out.writeStringField("name", n.name());
            out.writeNumberField("level", n.level());
            out.writeNumberField("hosts", n.hosts());
            out.writeNumberField(
                    "callers",
                    n.level() == 0 ? 0 : graph.serviceWorld(n.number()).proxies.size());
            out.writeNumberField("visits", n.visits());
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
        for (SecondStatistics s : all) {
            out.writeStartObject();
            out.writeNumberField("requests", s.requests);
            out.writeNumberField("not_served", s.notServed);
            out.writeNumberField("service", s.earnedShare());
            out.writeNumberField("calls", s.calls);
            out.writeNumberField("refused", s.refused);
            out.writeNumberField("busy", s.busy);
            out.writeObjectFieldStart("given_up");
            for (Cause c : Cause.values()) {
                if (s.unservedByCause[c.ordinal()] > 0) {
                    out.writeNumberField(c.outputName(), s.unservedByCause[c.ordinal()]);
                    out.writeNumberField(c.outputName() + "-young", s.unservedAfterStartByCause[c.ordinal()]);
                }
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
