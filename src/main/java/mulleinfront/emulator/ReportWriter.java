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
import mulleinfront.emulator.ServiceReport.Part;

/** A world's result as a page of text, and as JSON with the same figures. */
public final class ReportWriter {
    private ReportWriter() {}

    /** The page; ends with the digest's line, if the decisions were made here. */
    public static String text(World.Result r) {
        StringBuilder out = new StringBuilder();
        ServiceReport s = r.service();
        line(
                out,
                "%s (%s), seed %d: %.0f s, %d client proxies, %d servers, %d requests",
                r.scenario().name(),
                r.scenario().title(),
                r.seed(),
                r.scenario().lengthUs() / 1e6,
                r.scenario().proxies().count(),
                r.scenario().fleet(),
                s.asks());
        line(out, "");
        line(
                out,
                "service %.3f: whole %.3f, worst %.0f s %.3f, worst class %.3f, worst branch %.3f; prices%s",
                s.service(),
                s.whole(),
                r.scenario().service().windowUs() / 1e6,
                s.worstWindow(),
                s.worstClass(),
                s.worstTenant(),
                prices(s.prices()));
        line(out, "goodput %.3f of what the servers can do", r.goodput());
        if (!s.faults().isEmpty()) {
            line(out, "");
            line(out, "what happened");
            for (ServiceReport.Happened h : s.faults()) {
                line(
                        out,
                        "  %8.3f s  %s%s",
                        h.atUs() / 1e6,
                        h.what(),
                        h.forUs() > 0 ? String.format(Locale.ROOT, " for %.3f s", h.forUs() / 1e6) : "");
            }
        }
        table(out, "class", s.classes());
        if (!s.tenants().isEmpty()) {
            table(out, "branch (within its share)", s.tenants());
        }
        line(out, "");
        line(out, "%10s %8s %8s", "5 s from", "asked", "service");
        for (ServiceReport.Window w : s.windows()) {
            line(out, "%8.0f s %8d %8.3f", w.atUs() / 1e6, w.asked(), w.share());
        }
        for (ServiceReport.Starts st : s.starts()) {
            line(
                    out,
                    "%-14s %8d asked, service %.3f, %.3f of tries refused",
                    st.name(),
                    st.asked(),
                    st.share(),
                    (double) st.refused() / Math.max(1, st.tries()));
        }
        losses(out, s);
        unserved(out, s);
        line(out, "");
        line(out, "tries ended:%s", counts(s.tries()));
        line(out, "attempts ended:%s", counts(s.outcomes()));
        line(out, "counts:%s", counts(s.counts()));
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
        for (ServiceReport.Server v : s.servers()) {
            ServerModel.Figures f = v.figures();
            line(
                    out,
                    "%-18s %5d %8d %8d %6d %7d %7d %6d %8.1f %8.1f %6d  %s",
                    v.name(),
                    v.lives(),
                    f.offered,
                    f.served,
                    f.errors,
                    f.turnedAway + f.expired,
                    f.cancelled,
                    f.mostHeld,
                    f.begun == 0 ? 0 : f.waitSumUs / f.begun / 1e3,
                    f.busyCoreUs / 1e6,
                    f.mostConnections,
                    notes(f));
        }
        line(out, "");
        if (r.breachCount() == 0) {
            line(out, "rules: all four kept");
        } else {
            line(out, "rules: %d breaches; the first:", r.breachCount());
            r.breaches().stream().limit(10).forEach(b -> line(out, "  %s", b));
        }
        if (r.fleet() != null) {
            r.fleet().lines().forEach(l -> line(out, "%s", l));
        }
        if (r.decisions() > 0) {
            line(out, "decisions: sha256 %s", r.sha256());
        }
        return out.toString();
    }

    /** What was lost, the largest cause first. */
    private static void losses(StringBuilder out, ServiceReport s) {
        if (s.losses().lost() <= 0) {
            return;
        }
        double asked = s.losses().lost() / Math.max(1e-9, 1 - s.whole());
        line(out, "");
        line(out, "%-44s %8s %9s", "lost by its first cause", "requests", "of worth");
        s.losses().causes().entrySet().stream()
                .sorted((a, b) ->
                        Double.compare(b.getValue().worth(), a.getValue().worth()))
                .forEach(e -> line(
                        out,
                        "%-44s %8d %8.2f%%",
                        e.getKey().words(),
                        e.getValue().requests(),
                        100 * e.getValue().worth() / asked));
    }

    /** What client proxies say themselves of why they gave requests up. */
    private static void unserved(StringBuilder out, ServiceReport s) {
        if (Arrays.stream(UnservedReason.Cause.values())
                .allMatch(c -> s.unserved().of(c) == 0)) {
            return;
        }
        line(out, "");
        line(out, "%-30s %9s %9s  %s", "given up by client proxies", "requests", "young", "by window");
        for (UnservedReason.Cause c : UnservedReason.Cause.values()) {
            if (s.unserved().of(c) > 0) {
                line(
                        out,
                        "%-30s %9d %9d  %s",
                        c.description(),
                        s.unserved().of(c),
                        s.unserved().recentlyStarted(c),
                        s.unservedIn().stream().map(w -> "" + w.of(c)).collect(Collectors.joining(" ")));
            }
        }
    }

    /**
     * The same for each of its parts: a line for each instance, zone, class, tenant or window that lost
     * something.
     */
    public static String losses(LossReport losses, LossReport.Part part) {
        StringBuilder out = new StringBuilder();
        line(out, "%-20s %10s  %s", "lost by " + part.word(), "worth", "causes");
        losses.parts().get(part).forEach((name, causes) -> {
            StringBuilder all = new StringBuilder();
            causes.entrySet().stream()
                    .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
                    .forEach(c -> all.append(all.length() == 0 ? "" : ", ")
                            .append(c.getKey().word())
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

    private static String notes(ServerModel.Figures f) {
        StringBuilder notes = new StringBuilder();
        if (f.fell) {
            notes.append("fell over; ");
        }
        if (f.lingeredUs > 0) {
            notes.append(String.format(Locale.ROOT, "slow for %.1f s after load; ", f.lingeredUs / 1e6));
        }
        if (f.pausedUs > 0) {
            notes.append(String.format(Locale.ROOT, "paused %.1f s; ", f.pausedUs / 1e6));
        }
        if (f.repeatsDropped > 0) {
            notes.append(f.repeatsDropped).append(" repeats dropped; ");
        }
        if (f.connectionsRefused > 0) {
            notes.append(f.connectionsRefused).append(" connections refused; ");
        }
        return notes.length() == 0 ? "" : notes.substring(0, notes.length() - 2);
    }

    private static void table(StringBuilder out, String title, Iterable<Part> parts) {
        line(out, "");
        line(out, "%-26s %8s %8s %8s %8s %9s %9s", title, "asked", "in time", "served", "service", "p50 ms", "p99 ms");
        for (Part p : parts) {
            line(
                    out,
                    "%-26s %8d %8d %8d %8.3f %9.1f %9.1f",
                    p.name(),
                    p.asked(),
                    p.onTime(),
                    p.served(),
                    p.share(),
                    p.p50Us() / 1e3,
                    p.p99Us() / 1e3);
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

    /** One object; names are those of the records. Times are microseconds. */
    public static void json(World.Result r, OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            ServiceReport s = r.service();
            out.writeStartObject();
            out.writeStringField("scenario", r.scenario().name());
            out.writeNumberField("seed", r.seed());
            out.writeStringField("decisions_sha256", r.sha256());
            out.writeNumberField("decisions", r.decisions());
            out.writeNumberField("events", r.events());
            out.writeNumberField("service", s.service());
            out.writeNumberField("whole", s.whole());
            out.writeNumberField("worst_window", s.worstWindow());
            out.writeNumberField("worst_class", s.worstClass());
            out.writeNumberField("worst_tenant", s.worstTenant());
            out.writeNumberField("goodput", r.goodput());
            out.writeNumberField("requests", s.asks());
            out.writeObjectFieldStart("prices");
            for (Map.Entry<String, Double> e : s.prices().entrySet()) {
                out.writeNumberField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            parts(out, "classes", s.classes());
            parts(out, "tenants", s.tenants());
            out.writeArrayFieldStart("windows");
            for (ServiceReport.Window w : s.windows()) {
                out.writeStartObject();
                out.writeNumberField("at_us", w.atUs());
                out.writeNumberField("asked", w.asked());
                out.writeNumberField("service", w.share());
                out.writeEndObject();
            }
            out.writeEndArray();
            counts(out, "tries", s.tries());
            counts(out, "attempts", s.outcomes());
            out.writeObjectFieldStart("given_up");
            for (UnservedReason.Cause c : UnservedReason.Cause.values()) {
                out.writeNumberField(c.outputName(), s.unserved().of(c));
            }
            out.writeEndObject();
            counts(out, "counts", s.counts());
            out.writeArrayFieldStart("servers");
            for (ServiceReport.Server v : s.servers()) {
                server(out, v);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("faults");
            for (ServiceReport.Happened h : s.faults()) {
                out.writeStartObject();
                out.writeNumberField("at_us", h.atUs());
                out.writeNumberField("for_us", h.forUs());
                out.writeStringField("what", h.what());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeNumberField("breach_count", r.breachCount());
            out.writeArrayFieldStart("breaches");
            for (Auditor.Breach b : r.breaches()) {
                out.writeStartObject();
                out.writeStringField("rule", b.rule().words());
                out.writeNumberField("at_us", b.atUs());
                out.writeNumberField("proxy", b.proxy());
                out.writeStringField("request", b.request());
                out.writeStringField("what", b.what());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void parts(JsonGenerator out, String name, Iterable<Part> parts) throws IOException {
        out.writeArrayFieldStart(name);
        for (Part p : parts) {
            out.writeStartObject();
            out.writeStringField("name", p.name());
            out.writeNumberField("asked", p.asked());
            out.writeNumberField("on_time", p.onTime());
            out.writeNumberField("served", p.served());
            out.writeNumberField("service", p.share());
            out.writeNumberField("p50_us", p.p50Us());
            out.writeNumberField("p99_us", p.p99Us());
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

    private static void server(JsonGenerator out, ServiceReport.Server v) throws IOException {
        ServerModel.Figures f = v.figures();
        out.writeStartObject();
        out.writeStringField("name", v.name());
        out.writeNumberField("lives", v.lives());
        out.writeNumberField("offered", f.offered);
        out.writeNumberField("served", f.served);
        out.writeNumberField("errors", f.errors);
        out.writeNumberField("turned_away", f.turnedAway);
        out.writeNumberField("expired", f.expired);
        out.writeNumberField("cancelled", f.cancelled);
        out.writeNumberField("repeats_dropped", f.repeatsDropped);
        out.writeNumberField("key_hits", f.keyHits);
        out.writeNumberField("probes", f.probes);
        out.writeNumberField("handshakes", f.handshakes);
        out.writeNumberField("connections_refused", f.connectionsRefused);
        out.writeNumberField("most_connections", f.mostConnections);
        out.writeNumberField("most_held", f.mostHeld);
        out.writeNumberField("paused_us", f.pausedUs);
        out.writeNumberField("lingered_us", f.lingeredUs);
        out.writeBooleanField("fell", f.fell);
        out.writeNumberField("work_done", f.workDone);
        out.writeNumberField("work_wasted", f.workWasted);
        out.writeNumberField("mean_wait_us", f.begun == 0 ? 0 : f.waitSumUs / f.begun);
        out.writeNumberField("busy_core_us", f.busyCoreUs);
        out.writeEndObject();
    }
}
