package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;
import mulleinfront.emulator.Auditor;
import mulleinfront.emulator.ReportWriter;

/** A rehearsal as a page of text, as JSON with the same figures, and as JUnit's XML for whoever collects tests. */
public final class Report {
    private Report() {}

    /** The page; the verdict comes last. */
    public static String text(KitResult r, boolean anyVersion) {
        StringBuilder out = new StringBuilder();
        if (r.sockets() != null) {
            out.append(ReportWriter.text(r.sockets())).append('\n');
            if (r.virtual() != null) {
                line(
                        out,
                        "service on sockets %.3f, on virtual time %.3f, difference %+.3f",
                        r.sockets().service().service(),
                        r.virtual().service().service(),
                        r.sockets().service().service() - r.virtual().service().service());
            }
            line(
                    out,
                    "stand-ins late: median %.1f ms, p99 %.1f ms, worst %.1f ms",
                    r.lateMs()[0],
                    r.lateMs()[1],
                    r.lateMs()[2]);
            int quarter = 1;
            for (KitResult.Quarter q : r.quarters()) {
                line(
                        out,
                        "quarter %d: at most %d descriptors and %.1f MB in a client proxy, %.0f%% of a core each",
                        quarter++,
                        q.descriptors(),
                        q.residentKb() / 1024.0,
                        100 * q.cpuPart());
            }
        }
        r.failures().forEach(f -> line(out, "failed: %s", f));
        if (!r.daemonVersion().equals(r.kitVersion())) {
            line(out, "versions differ: the daemon says %s, this kit is %s", r.daemonVersion(), r.kitVersion());
        }
        line(out, "verdict: %s", words(r, anyVersion));
        return out.toString();
    }

    /** One object; {@code sockets} is the emulator's report, absent if nothing was played. */
    public static void json(KitResult r, boolean anyVersion, OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField(
                    "verdict",
                    r.verdict(anyVersion).name().toLowerCase(Locale.ROOT).replace('_', '-'));
            out.writeStringField("daemon_version", r.daemonVersion());
            out.writeStringField("kit_version", r.kitVersion());
            out.writeArrayFieldStart("failures");
            for (String failure : r.failures()) {
                out.writeString(failure);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("quarters");
            for (KitResult.Quarter q : r.quarters()) {
                out.writeStartObject();
                out.writeNumberField("descriptors", q.descriptors());
                out.writeNumberField("resident_kb", q.residentKb());
                out.writeNumberField("cpu_part", q.cpuPart());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeObjectFieldStart("late_ms");
            out.writeNumberField("p50", r.lateMs()[0]);
            out.writeNumberField("p99", r.lateMs()[1]);
            out.writeNumberField("worst", r.lateMs()[2]);
            out.writeEndObject();
            if (r.virtual() != null) {
                out.writeNumberField("virtual_service", r.virtual().service().service());
            }
            if (r.sockets() != null) {
                ByteArrayOutputStream day = new ByteArrayOutputStream();
                ReportWriter.json(r.sockets(), day);
                out.writeFieldName("sockets");
                out.writeRawValue(day.toString(StandardCharsets.UTF_8));
            }
            out.writeEndObject();
        }
    }

    /** A case for each rule, one for the processes and one for whether the run says anything. */
    public static void junit(String name, KitResult r, boolean anyVersion, OutputStream to) throws IOException {
        KitResult.Verdict verdict = r.verdict(anyVersion);
        boolean judged = r.sockets() != null
                && verdict != KitResult.Verdict.TOO_BUSY
                && verdict != KitResult.Verdict.WRONG_VERSION;
        try {
            XMLStreamWriter out = XMLOutputFactory.newInstance().createXMLStreamWriter(to, "UTF-8");
            out.writeStartDocument("UTF-8", "1.0");
            out.writeStartElement("testsuite");
            out.writeAttribute("name", "rehearsal " + name);
            for (Auditor.Rule rule : Auditor.Rule.values()) {
                String first = r.sockets() == null
                        ? null
                        : r.sockets().breaches().stream()
                                .filter(b -> b.rule() == rule)
                                .map(Object::toString)
                                .findFirst()
                                .orElse(null);
                one(out, name, rule.words(), first, judged || first != null);
            }
            one(
                    out,
                    name,
                    "client proxies start, stay and end",
                    r.failures().isEmpty() ? null : String.join("; ", r.failures()),
                    true);
            one(
                    out,
                    name,
                    "the run says something",
                    judged || verdict == KitResult.Verdict.FAILED ? null : words(r, anyVersion),
                    true);
            out.writeEndElement();
            out.writeEndDocument();
            out.close();
        } catch (XMLStreamException e) {
            throw new IOException(e);
        }
    }

    private static void one(XMLStreamWriter out, String suite, String name, String failure, boolean judged)
            throws XMLStreamException {
        out.writeStartElement("testcase");
        out.writeAttribute("classname", suite);
        out.writeAttribute("name", name);
        if (failure != null) {
            out.writeStartElement("failure");
            out.writeAttribute("message", failure);
            out.writeEndElement();
        } else if (!judged) {
            out.writeEmptyElement("skipped");
        }
        out.writeEndElement();
    }

    private static String words(KitResult r, boolean anyVersion) {
        return switch (r.verdict(anyVersion)) {
            case KEPT -> "all four rules kept";
            case RULE_BROKEN -> r.sockets().broken() + " broken rules, the first of them above";
            case FAILED -> "a client proxy failed";
            case TOO_BUSY ->
                String.format(
                        Locale.ROOT,
                        "none: the machine was too busy (stand-ins %.1f ms late at p99,"
                                + " %.0f ms at most); end what else runs, or take a smaller scenario",
                        r.lateMs()[1],
                        KitResult.BUSY_P99_MS);
            case WRONG_VERSION ->
                "none: use the kit in the daemon's own jar (java -jar ITS-JAR kit ...), or" + " --any-version";
        };
    }

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }
}
