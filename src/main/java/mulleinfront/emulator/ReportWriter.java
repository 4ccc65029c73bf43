package mulleinfront.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import mulleinfront.UnservedReason;
import mulleinfront.emulator.ServiceReport.GroupStatistics;

/** Writes a simulation's result as text, and as JSON with the same numbers. */
public final class ReportWriter {
    private ReportWriter() {}

    /** The result as text; ends with the digest of the decisions if the proxies were simulated in this process. */
    public static String text(World.Result result) {
        StringBuilder out = new StringBuilder();
        ServiceReport report = result.service();
        line(
                out,
                "%s (%s), seed %d: %.0f s, %d client proxies, %d servers, %d requests",
                result.scenario().name(),
                result.scenario().title(),
                result.seed(),
                result.scenario().lengthUs() / 1e6,
                result.scenario().proxies().count(),
                result.scenario().serverCount(),
                report.requests());
        line(out, "");
        line(
                out,
                "service %.3f: whole %.3f, worst %.0f s %.3f, worst class %.3f, worst branch %.3f; prices%s",
                report.service(),
                report.overallShare(),
                result.scenario().service().windowUs() / 1e6,
                report.worstWindow(),
                report.worstClass(),
                report.worstTenant(),
                prices(report.prices()));
        line(out, "goodput %.3f of what the servers can do", result.goodput());
        if (!report.faults().isEmpty()) {
            line(out, "");
            line(out, "what happened");
            for (ServiceReport.FaultRecord fault : report.faults()) {
                line(
                        out,
                        "  %8.3f s  %s%s",
                        fault.atUs() / 1e6,
                        fault.description(),
                        fault.forUs() > 0 ? String.format(Locale.ROOT, " for %.3f s", fault.forUs() / 1e6) : "");
            }
        }
        table(out, "class", report.classes());
        if (!report.tenants().isEmpty()) {
            table(out, "branch (within its share)", report.tenants());
        }
        line(out, "");
        line(out, "%10s %8s %8s", "5 s from", "asked", "service");
        for (ServiceReport.Window window : report.windows()) {
            line(out, "%8.0f s %8d %8.3f", window.atUs() / 1e6, window.requests(), window.share());
        }
        for (ServiceReport.RestartStatistics starts : report.restarts()) {
            line(
                    out,
                    "%-14s %8d asked, service %.3f, %.3f of tries refused",
                    starts.name(),
                    starts.requests(),
                    starts.share(),
                    (double) starts.refused() / Math.max(1, starts.tries()));
        }
        losses(out, report);
        unserved(out, report);
        line(out, "");
        line(out, "tries ended:%s", counts(report.tries()));
        line(out, "attempts ended:%s", counts(report.outcomes()));
        line(out, "counts:%s", counts(report.counts()));
        line(out, "");
        line(
                out,
                "%-18s %5s %8s %8s %6s %7s %7s %6s %8s %8s %6s  %s",
                "server",
                "lives",
                "offered",
                "served",
                "errors",
                "turned",
                "stopped",
                "held",
                "wait ms",
                "busy s",
                "conns",
                "notes");
        for (ServiceReport.Server server : report.servers()) {
            ServerModel.Statistics statistics = server.statistics();
            line(
                    out,
                    "%-18s %5d %8d %8d %6d %7d %7d %6d %8.1f %8.1f %6d  %s",
                    server.name(),
                    server.processes(),
                    statistics.offered,
                    statistics.served,
                    statistics.errors,
                    statistics.rejected + statistics.expired,
                    statistics.cancelled,
                    statistics.maxInFlight,
                    statistics.begun == 0 ? 0 : statistics.waitSumUs / statistics.begun / 1e3,
                    statistics.busyCoreUs / 1e6,
                    statistics.maxConnections,
                    notes(statistics));
        }
        line(out, "");
        if (result.breachCount() == 0) {
            line(out, "rules: all four kept");
        } else {
            line(out, "rules: %d breaches; the first:", result.breachCount());
            result.breaches().stream().limit(10).forEach(b -> line(out, "  %s", b));
        }
        if (result.fleet() != null) {
            result.fleet().lines().forEach(l -> line(out, "%s", l));
        }
        if (result.decisions() > 0) {
            line(out, "decisions: sha256 %s", result.sha256());
        }
        return out.toString();
    }

    /** Writes the lost requests by cause, the largest loss first. */
    private static void losses(StringBuilder out, ServiceReport report) {
        if (report.losses().lostValue() <= 0) {
            return;
        }
        double offered = report.losses().lostValue() / Math.max(1e-9, 1 - report.overallShare());
        line(out, "");
        line(out, "%-44s %8s %9s", "lost by its first cause", "requests", "of worth");
        report.losses().causes().entrySet().stream()
                .sorted((a, b) ->
                        Double.compare(b.getValue().worth(), a.getValue().worth()))
                .forEach(e -> line(
                        out,
                        "%-44s %8d %8.2f%%",
                        e.getKey().description(),
                        e.getValue().requests(),
                        100 * e.getValue().worth() / offered));
    }

    /** Writes the reasons that client proxies reported for requests they gave up. */
    private static void unserved(StringBuilder out, ServiceReport report) {
        if (Arrays.stream(UnservedReason.Cause.values())
                .allMatch(c -> report.unserved().count(c) == 0)) {
            return;
        }
        line(out, "");
        line(out, "%-30s %9s %9s  %s", "given up by client proxies", "requests", "young", "by window");
        for (UnservedReason.Cause cause : UnservedReason.Cause.values()) {
            if (report.unserved().count(cause) > 0) {
                line(
                        out,
                        "%-30s %9d %9d  %s",
                        cause.description(),
                        report.unserved().count(cause),
                        report.unserved().recentlyStarted(cause),
                        report.unservedByWindow().stream()
                                .map(w -> "" + w.count(cause))
                                .collect(Collectors.joining(" ")));
            }
        }
    }

    /**
     * The losses by part as text: a line for each instance, zone, class, tenant or window with a loss.
     */
    public static String losses(LossReport losses, LossReport.Dimension part) {
        StringBuilder out = new StringBuilder();
        line(out, "%-20s %10s  %s", "lost by " + part.outputName(), "worth", "causes");
        losses.causesByDimension().get(part).forEach((name, causes) -> {
            StringBuilder all = new StringBuilder();
            causes.entrySet().stream()
                    .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
                    .forEach(c -> all.append(all.length() == 0 ? "" : ", ")
                            .append(c.getKey().outputName())
                            .append(String.format(Locale.ROOT, " %.1f", c.getValue())));
            line(
                    out,
                    "%-20s %10.1f  %s",
                    name,
                    causes.values().stream().mapToDouble(d -> d).sum(),
                    all);
        });
        return out.toString();
    }

    private static String notes(ServerModel.Statistics statistics) {
        StringBuilder notes = new StringBuilder();
        if (statistics.crashed) {
            notes.append("fell over; ");
        }
        if (statistics.slowedDownUs > 0) {
            notes.append(String.format(Locale.ROOT, "slow for %.1f s after load; ", statistics.slowedDownUs / 1e6));
        }
        if (statistics.pausedUs > 0) {
            notes.append(String.format(Locale.ROOT, "paused %.1f s; ", statistics.pausedUs / 1e6));
        }
        if (statistics.repeatsDropped > 0) {
            notes.append(statistics.repeatsDropped).append(" repeats dropped; ");
        }
        if (statistics.connectionsRefused > 0) {
            notes.append(statistics.connectionsRefused).append(" connections refused; ");
        }
        return notes.length() == 0 ? "" : notes.substring(0, notes.length() - 2);
    }

    private static void table(StringBuilder out, String title, Iterable<GroupStatistics> parts) {
        line(out, "");
        line(out, "%-26s %8s %8s %8s %8s %9s %9s", title, "asked", "in time", "served", "service", "p50 ms", "p99 ms");
        for (GroupStatistics part : parts) {
            line(
                    out,
                    "%-26s %8d %8d %8d %8.3f %9.1f %9.1f",
                    part.name(),
                    part.requests(),
                    part.onTime(),
                    part.served(),
                    part.share(),
                    part.p50Us() / 1e3,
                    part.p99Us() / 1e3);
        }
    }

    private static String prices(Map<String, Double> prices) {
        StringBuilder all = new StringBuilder();
        prices.forEach((name, price) -> all.append(String.format(Locale.ROOT, " %s %.4f", name, price)));
        return all.toString();
    }

    private static String counts(Map<String, Long> counts) {
        StringBuilder all = new StringBuilder();
        counts.forEach((name, count) -> all.append(all.length() == 0 ? " " : ", ")
                .append(name)
                .append(' ')
                .append(count));
        return all.toString();
    }

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values).stripTrailing()).append('\n');
    }

    /** Writes the result as one JSON object. Times are in microseconds. */
    public static void json(World.Result result, OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            ServiceReport report = result.service();
            out.writeStartObject();
            out.writeStringField("scenario", result.scenario().name());
            out.writeNumberField("seed", result.seed());
            out.writeStringField("decisions_sha256", result.sha256());
            out.writeNumberField("decisions", result.decisions());
            out.writeNumberField("events", result.events());
            out.writeNumberField("service", report.service());
            out.writeNumberField("whole", report.overallShare());
            out.writeNumberField("worst_window", report.worstWindow());
            out.writeNumberField("worst_class", report.worstClass());
            out.writeNumberField("worst_tenant", report.worstTenant());
            out.writeNumberField("goodput", result.goodput());
            out.writeNumberField("requests", report.requests());
            out.writeObjectFieldStart("prices");
            for (Map.Entry<String, Double> e : report.prices().entrySet()) {
                out.writeNumberField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            parts(out, "classes", report.classes());
            parts(out, "tenants", report.tenants());
            out.writeArrayFieldStart("windows");
            for (ServiceReport.Window window : report.windows()) {
                out.writeStartObject();
                out.writeNumberField("at_us", window.atUs());
                out.writeNumberField("asked", window.requests());
                out.writeNumberField("service", window.share());
                out.writeEndObject();
            }
            out.writeEndArray();
            counts(out, "tries", report.tries());
            counts(out, "attempts", report.outcomes());
            out.writeObjectFieldStart("given_up");
            for (UnservedReason.Cause cause : UnservedReason.Cause.values()) {
                out.writeNumberField(cause.outputName(), report.unserved().count(cause));
            }
            out.writeEndObject();
            counts(out, "counts", report.counts());
            out.writeArrayFieldStart("servers");
            for (ServiceReport.Server server : report.servers()) {
                server(out, server);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("faults");
            for (ServiceReport.FaultRecord fault : report.faults()) {
                out.writeStartObject();
                out.writeNumberField("at_us", fault.atUs());
                out.writeNumberField("for_us", fault.forUs());
                out.writeStringField("what", fault.description());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeNumberField("breach_count", result.breachCount());
            out.writeArrayFieldStart("breaches");
            for (Auditor.Breach breach : result.breaches()) {
                out.writeStartObject();
                out.writeStringField("rule", breach.rule().description());
                out.writeNumberField("at_us", breach.atUs());
                out.writeNumberField("proxy", breach.proxy());
                out.writeStringField("request", breach.request());
                out.writeStringField("what", breach.description());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void parts(JsonGenerator out, String name, Iterable<GroupStatistics> parts) throws IOException {
        out.writeArrayFieldStart(name);
        for (GroupStatistics part : parts) {
            out.writeStartObject();
            out.writeStringField("name", part.name());
            out.writeNumberField("asked", part.requests());
            out.writeNumberField("on_time", part.onTime());
            out.writeNumberField("served", part.served());
            out.writeNumberField("service", part.share());
            out.writeNumberField("p50_us", part.p50Us());
            out.writeNumberField("p99_us", part.p99Us());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void counts(JsonGenerator out, String name, Map<String, Long> counts) throws IOException {
        out.writeObjectFieldStart(name);
        for (Map.Entry<String, Long> e : counts.entrySet()) {
            out.writeNumberField(e.getKey(), e.getValue());
        }
        out.writeEndObject();
    }

    private static void server(JsonGenerator out, ServiceReport.Server server) throws IOException {
        ServerModel.Statistics statistics = server.statistics();
        out.writeStartObject();
        out.writeStringField("name", server.name());
        out.writeNumberField("lives", server.processes());
        out.writeNumberField("offered", statistics.offered);
        out.writeNumberField("served", statistics.served);
        out.writeNumberField("errors", statistics.errors);
        out.writeNumberField("turned_away", statistics.rejected);
        out.writeNumberField("expired", statistics.expired);
        out.writeNumberField("cancelled", statistics.cancelled);
        out.writeNumberField("repeats_dropped", statistics.repeatsDropped);
        out.writeNumberField("key_hits", statistics.keyHits);
        out.writeNumberField("probes", statistics.probes);
        out.writeNumberField("handshakes", statistics.handshakes);
        out.writeNumberField("connections_refused", statistics.connectionsRefused);
        out.writeNumberField("most_connections", statistics.maxConnections);
        out.writeNumberField("most_held", statistics.maxInFlight);
        out.writeNumberField("paused_us", statistics.pausedUs);
        out.writeNumberField("lingered_us", statistics.slowedDownUs);
        out.writeBooleanField("fell", statistics.crashed);
        out.writeNumberField("work_done", statistics.workDone);
        out.writeNumberField("work_wasted", statistics.workWasted);
        out.writeNumberField("mean_wait_us", statistics.begun == 0 ? 0 : statistics.waitSumUs / statistics.begun);
        out.writeNumberField("busy_core_us", statistics.busyCoreUs);
        out.writeEndObject();
    }
}
