package mulleinfront.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.UnservedReason.Cause;
import mulleinfront.emulator.GraphTally.Deepest;
import mulleinfront.emulator.GraphTally.Group;
import mulleinfront.emulator.GraphTally.Second;
import mulleinfront.emulator.GraphTally.Span;
import mulleinfront.settings.Section;

/** How a graph of services went: as a page of text, and as JSON with the same figures. */
public final class GraphReport {
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};
    private static final String[] NAMES = {"p50", "p99", "p999"};
    private static final int FIRST_SECONDS = 10;
    /** The first seconds, whose refusals are counted apart. */
    private static final int EARLY_SECONDS = (int) (GraphTally.EARLY_US / 1_000_000);

    private final GraphWorld graph;
    private final GraphTally tally;
    private final GraphSpec spec;
    private final List<World.Result> results;
    private final long seed;
    private final String sha256;
    private final long decisions;
    private final List<String> broken;

    GraphReport(GraphWorld graph, List<World.Result> results, long seed, String sha256, long decisions) {
        this.graph = graph;
        this.tally = graph.tally;
        this.spec = graph.spec;
        this.results = results;
        this.seed = seed;
        this.sha256 = sha256;
        this.decisions = decisions;
        this.broken = GraphWorld.broken(graph, results);
    }

    // ---- figures -------------------------------------------------------------------------------------

    /** Worth of requests from outside answered within their aim, as a part of what was asked. */
    public double service() {
        return tally.service();
    }

    /** The digest of all decisions of all client proxies. */
    public String sha256() {
        return sha256;
    }

    /** Broken rules, the first of each service's. */
    public List<String> broken() {
        return broken;
    }

    /** How many, in all. */
    public int brokenCount() {
        int sum = graph.audit.breachCount();
        for (World.Result r : results) {
            sum += r == null ? 0 : r.breachCount();
        }
        return sum;
    }

    /** Calls of services, from outside and from each other. */
    public long calls() {
        return tally.all.calls;
    }

    /** Calls of one depth, 1 and more. */
    public long calls(int depth) {
        return tally.depths[depth].calls;
    }

    /** Virtual microseconds for which requests came. */
    public long askedUs() {
        return spec.world().lengthUs();
    }

    /** Servers that were pushed over while cold. */
    public int fell() {
        int sum = 0;
        for (World.Result r : results) {
            sum += r == null ? 0 : r.crashedServers();
        }
        return sum;
    }

    /** Time added to 99 in 100 answered calls is no more than this, microseconds. */
    public long addedP99Us() {
        return tally.all.of(Span.ADDED).at(0.99);
    }

    /**
     * Part of the worth asked for in the seconds from one to another, the latter excluded, that was earned.
     */
    public double service(int from, int to) {
        double asked = 0;
        double earned = 0;
        for (int i = from; i < Math.min(to, tally.seconds.size()); i++) {
            asked += tally.seconds.get(i).asked;
            earned += tally.seconds.get(i).earned;
        }
        return asked == 0 ? 1 : earned / asked;
    }

    private long counted(String name) {
        long sum = 0;
        for (World.Result r : results) {
            sum += r == null ? 0 : r.service().counts().getOrDefault(name, 0L);
        }
        return sum;
    }

    private double coldMost() {
        double most = 0;
        for (GraphMachine m : graph.machines) {
            most = Math.max(most, m.host == null ? 0 : m.host.budget.most());
        }
        return most;
    }

    private long entriesTold() {
        long sum = 0;
        for (CallGraph.Node n : graph.nodes()) {
            sum += n.level() == 0 ? 0 : graph.part(n.number()).audit.entriesTold;
        }
        return sum;
    }

    private int upstreams() {
        return graph.machines.stream().mapToInt(m -> m.upstreams.size()).sum();
    }

    private int mostUpstreams() {
        return graph.machines.stream().mapToInt(m -> m.upstreams.size()).max().orElse(0);
    }

    private Second sum(int from, int to) {
        Second all = new Second();
        for (int i = from; i < Math.min(to, tally.seconds.size()); i++) {
            Second s = tally.seconds.get(i);
            all.asked += s.asked;
            all.earned += s.earned;
            all.requests += s.requests;
            all.calls += s.calls;
            all.refused += s.refused;
            all.notServed += s.notServed;
            for (int c = 0; c < all.causes.length; c++) {
                all.causes[c] += s.causes[c];
                all.young[c] += s.young[c];
            }
        }
        return all;
    }

    private static String causes(Second s) {
        StringBuilder out = new StringBuilder();
        for (Cause c : Cause.values()) {
            if (s.causes[c.ordinal()] > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(c.outputName())
                        .append(' ')
                        .append(s.causes[c.ordinal()])
                        .append(" (young ")
                        .append(s.young[c.ordinal()])
                        .append(')');
            }
        }
        return out.length() == 0 ? "none" : out.toString();
    }

    // ---- as text -------------------------------------------------------------------------------------

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }

    /** The page; ends with the digest's line. */
    public String text() {
        StringBuilder out = new StringBuilder();
        Scenario w = spec.world();
        line(
                out,
                "%s (%s), seed %d: %.0f s, %d machines, %d services, %d regions, %d zones",
                w.name(),
                w.title(),
                seed,
                w.lengthUs() / 1e6,
                spec.hosts(),
                spec.services(),
                spec.regions().size(),
                w.zones().size());
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
                (double) tally.all.calls / Math.max(1, tally.requests),
                (double) upstreams() / graph.machines.size(),
                mostUpstreams());
        line(
                out,
                "load: %.0f requests/s from outside, %.0f calls/s in all",
                tally.requests / (w.lengthUs() / 1e6),
                tally.all.calls / (w.lengthUs() / 1e6));
        line(out, "");
        line(
                out,
                "service %.4f of the worth of %d requests (%d left by their clients): first %d s %.4f, "
                        + "after %.4f; p50 %.1f ms, p99 %.1f ms",
                service(),
                tally.requests,
                tally.requestsLeft,
                EARLY_SECONDS,
                service(0, EARLY_SECONDS),
                service(EARLY_SECONDS, Integer.MAX_VALUE),
                tally.requestTimes.at(0.5) / 1e3,
                tally.requestTimes.at(0.99) / 1e3);
        for (int c = 0; c < tally.classAsked.length; c++) {
            line(
                    out,
                    "  %-16s %.4f",
                    w.classes().get(c).type().name(),
                    tally.classEarned[c] / Math.max(1e-9, tally.classAsked[c]));
        }
        depths(out);
        spans(out);
        deepest(out);
        seconds(out);
        line(out, "");
        line(
                out,
                "attempts %d: across zones %.1f%%, across regions %.1f%%, on a new connection %.1f%%",
                tally.all.attempts,
                percent(tally.all.acrossZones),
                percent(tally.all.acrossRegions),
                percent(tally.all.connected));
        line(
                out,
                "probes %d, discovery calls %d (failed %d), entries of lists told %d; connections of a"
                        + " client proxy: mean %.1f, most %d",
                counted("probes"),
                counted("discovery calls"),
                counted("discovery calls failed"),
                entriesTold(),
                tally.meanConnections,
                tally.mostConnections);
        line(
                out,
                "cold servers: most sent to one %.0f%% of what pushes it over; fell over: %d",
                100 * coldMost(),
                fell());
        line(out, "keyed effects run again in another group by a repeat above: %d", graph.audit.keyedAgain());
        line(out, "");
        if (brokenCount() == 0) {
            line(out, "rules: all four kept in each service, and those along the paths");
        } else {
            line(out, "rules: %d broken", brokenCount());
            broken.stream().limit(20).forEach(b -> line(out, "  %s", b));
        }
        line(out, "decisions: %d, sha256 %s", decisions, sha256);
        return out.toString();
    }

    private double percent(long attempts) {
        return 100.0 * attempts / Math.max(1, tally.all.attempts);
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
            row(out, String.valueOf(d), tally.depths[d]);
        }
        row(out, "all", tally.all);
        if (tally.later.calls > 0) {
            row(out, "later", tally.later);
        }
    }

    private static void row(StringBuilder out, String name, Group g) {
        Histogram h = g.of(Span.ADDED);
        line(
                out,
                "%5s %9d %8.4f %8d %8d %8d %8d %8d %8d  %.3f / %.3f / %.3f",
                name,
                g.calls,
                g.service(),
                g.ended(Clients.How.SERVED),
                g.ended(Clients.How.REFUSED),
                g.ended(Clients.How.FAILED),
                g.ended(Clients.How.TIMED_OUT),
                g.ended(Clients.How.UNREACHABLE) + g.ended(Clients.How.BROKEN),
                g.ended(Clients.How.LEFT),
                h.at(0.5) / 1e3,
                h.at(0.99) / 1e3,
                h.at(0.999) / 1e3);
    }

    private void spans(StringBuilder out) {
        spans(out, "all", tally.all);
        if (tally.later.calls > 0) {
            spans(out, "made after the first " + EARLY_SECONDS + " s", tally.later);
        }
    }

    private void spans(StringBuilder out, String which, Group g) {
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
                spec.budgetUs() / 1e3,
                100 * g.of(Span.ADDED).above(spec.budgetUs()),
                100.0 * g.connected / Math.max(1, g.attempts));
        for (Span span : Span.values()) {
            Histogram h = g.of(span);
            line(
                    out,
                    "%-11s %9.3f %9.3f %9.3f %9.3f %9.3f",
                    Section.form(span),
                    h.mean() / 1e3,
                    h.at(0.5) / 1e3,
                    h.at(0.99) / 1e3,
                    h.at(0.999) / 1e3,
                    h.most() / 1e3);
        }
    }

    private void deepest(StringBuilder out) {
        line(out, "");
        line(
                out,
                "requests by their deepest call, and those with a call of more than %.2f ms added:",
                spec.budgetUs() / 1e3);
        StringBuilder row = new StringBuilder();
        for (int d = 1; d <= spec.depth(); d++) {
            Deepest g = tally.deepest[d];
            row.append(String.format(
                    Locale.ROOT,
                    "%s %d: %d (%.1f%%)",
                    d == 1 ? " " : ",",
                    d,
                    g.requests,
                    100.0 * g.withOneBeyond / Math.max(1, g.requests)));
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
        for (int i = 0; i < Math.min(FIRST_SECONDS, tally.seconds.size()); i++) {
            row(out, String.valueOf(i), sum(i, i + 1), tally.seconds.get(i).busy);
        }
        int worst = -1;
        int last = (int) (spec.world().lengthUs() / 1_000_000);
        for (int i = FIRST_SECONDS; i < Math.min(last, tally.seconds.size()); i++) {
            worst = worst < 0
                            || tally.seconds.get(i).service()
                                    < tally.seconds.get(worst).service()
                    ? i
                    : worst;
        }
        if (worst >= 0) {
            line(out, "the worst after that:");
            row(out, String.valueOf(worst), sum(worst, worst + 1), tally.seconds.get(worst).busy);
        }
        line(out, "first %d s: %s", EARLY_SECONDS, causes(sum(0, EARLY_SECONDS)));
        line(out, "after:     %s", causes(sum(EARLY_SECONDS, Integer.MAX_VALUE)));
    }

    private static void row(StringBuilder out, String name, Second s, double busy) {
        line(
                out,
                "%6s %8d %8.4f %8d %8d %8d %5.1f%%  %s",
                name,
                s.requests,
                s.service(),
                s.notServed,
                s.calls,
                s.refused,
                100 * busy,
                causes(s));
    }

    // ---- as JSON -------------------------------------------------------------------------------------

    /** The same figures; times in microseconds, shares as parts of 1. */
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
            out.writeNumberField("upstreams_most", mostUpstreams());
            out.writeNumberField("requests", tally.requests);
            out.writeNumberField("requests_left", tally.requestsLeft);
            out.writeNumberField("requests_served", tally.requestsServed);
            out.writeNumberField("service", service());
            out.writeNumberField("service_first_s", service(0, EARLY_SECONDS));
            out.writeNumberField("service_after", service(EARLY_SECONDS, Integer.MAX_VALUE));
            out.writeNumberField("request_p50_us", tally.requestTimes.at(0.5));
            out.writeNumberField("request_p99_us", tally.requestTimes.at(0.99));
            out.writeNumberField("added_budget_us", spec.budgetUs());
            out.writeNumberField("added_over_budget", tally.all.of(Span.ADDED).above(spec.budgetUs()));
            out.writeObjectFieldStart("all");
            group(out, tally.all);
            out.writeEndObject();
            out.writeObjectFieldStart("later");
            group(out, tally.later);
            out.writeNumberField("added_over_budget", tally.later.of(Span.ADDED).above(spec.budgetUs()));
            out.writeEndObject();
            out.writeArrayFieldStart("depths");
            for (int d = 1; d <= spec.depth(); d++) {
                out.writeStartObject();
                out.writeNumberField("depth", d);
                group(out, tally.depths[d]);
                out.writeNumberField("requests_this_deep", tally.deepest[d].requests);
                out.writeNumberField("requests_with_a_call_over_budget", tally.deepest[d].withOneBeyond);
                out.writeEndObject();
            }
            out.writeEndArray();
            services(out);
            seconds(out);
            out.writeNumberField("probes", counted("probes"));
            out.writeNumberField("discovery_calls", counted("discovery calls"));
            out.writeNumberField("discovery_calls_failed", counted("discovery calls failed"));
            out.writeNumberField("list_entries_told", entriesTold());
            out.writeNumberField("connections_mean", tally.meanConnections);
            out.writeNumberField("connections_most", tally.mostConnections);
            out.writeNumberField("cold_most_part_of_fall", coldMost());
            out.writeNumberField("fell", fell());
            out.writeNumberField("keyed_effects_again", graph.audit.keyedAgain());
            out.writeNumberField("rules_broken", brokenCount());
            out.writeArrayFieldStart("broken");
            for (String b : broken) {
                out.writeString(b);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void group(JsonGenerator out, Group g) throws IOException {
        out.writeNumberField("calls", g.calls);
        out.writeNumberField("service", g.service());
        out.writeObjectFieldStart("ended");
        for (Clients.How how : Clients.How.values()) {
            out.writeNumberField(Section.form(how), g.ended(how));
        }
        out.writeEndObject();
        out.writeNumberField("attempts", g.attempts);
        out.writeNumberField("attempts_across_zones", g.acrossZones);
        out.writeNumberField("attempts_across_regions", g.acrossRegions);
        out.writeNumberField("attempts_on_new_connections", g.connected);
        out.writeObjectFieldStart("times_us");
        for (Span span : Span.values()) {
            Histogram h = g.of(span);
            out.writeObjectFieldStart(Section.form(span));
            out.writeNumberField("mean", h.mean());
            for (int i = 0; i < QUANTILES.length; i++) {
                out.writeNumberField(NAMES[i], h.at(QUANTILES[i]));
            }
            out.writeNumberField("most", h.most());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    private void services(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("service_list");
        for (CallGraph.Node n : graph.nodes()) {
            Group g = tally.services[n.number()];
            out.writeStartObject();
            out.writeStringField("name", n.name());
            out.writeNumberField("level", n.level());
            out.writeNumberField("hosts", n.hosts());
            out.writeNumberField(
                    "callers",
                    n.level() == 0 ? 0 : graph.part(n.number()).proxies.size());
            out.writeNumberField("visits", n.visits());
            out.writeNumberField("calls", g.calls);
            out.writeNumberField("served", g.ended(Clients.How.SERVED));
            out.writeNumberField("refused", g.ended(Clients.How.REFUSED));
            out.writeNumberField("service", g.service());
            out.writeNumberField("added_p99_us", g.of(Span.ADDED).at(0.99));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private void seconds(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("seconds");
        List<Second> all = new ArrayList<>(tally.seconds);
        for (Second s : all) {
            out.writeStartObject();
            out.writeNumberField("requests", s.requests);
            out.writeNumberField("not_served", s.notServed);
            out.writeNumberField("service", s.service());
            out.writeNumberField("calls", s.calls);
            out.writeNumberField("refused", s.refused);
            out.writeNumberField("busy", s.busy);
            out.writeObjectFieldStart("given_up");
            for (Cause c : Cause.values()) {
                if (s.causes[c.ordinal()] > 0) {
                    out.writeNumberField(c.outputName(), s.causes[c.ordinal()]);
                    out.writeNumberField(c.outputName() + "-young", s.young[c.ordinal()]);
                }
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
