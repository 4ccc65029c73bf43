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

/** Writes the result of a fault-injection test as text, as JSON with the same metrics, and as JUnit XML. */
public final class Report {
    private Report() {}

    /** The text report; the verdict is the last line. */
    public static String text(KitResult result, boolean anyVersion) {
        StringBuilder out = new StringBuilder();
        if (result.sockets() != null) {
            out.append(ReportWriter.text(result.sockets())).append('\n');
            if (result.virtual() != null) {
                line(
                        out,
                        "service on sockets %.3f, on virtual time %.3f, difference %+.3f",
                        result.sockets().service().service(),
                        result.virtual().service().service(),
                        result.sockets().service().service()
                                - result.virtual().service().service());
            }
            line(
                    out,
                    "stand-ins late: median %.1f ms, p99 %.1f ms, worst %.1f ms",
                    result.latenessMs()[0],
                    result.latenessMs()[1],
                    result.latenessMs()[2]);
            int number = 1;
            for (KitResult.Quarter quarter : result.quarters()) {
                line(
                        out,
                        "quarter %d: at most %d descriptors and %.1f MB in a client proxy, %.0f%% of a core each",
                        number++,
                        quarter.descriptors(),
                        quarter.residentKb() / 1024.0,
                        100 * quarter.cpuShare());
            }
        }
        result.failures().forEach(f -> line(out, "failed: %s", f));
        if (!result.daemonVersion().equals(result.kitVersion())) {
            line(
                    out,
                    "versions differ: the daemon says %s, this kit is %s",
                    result.daemonVersion(),
                    result.kitVersion());
        }
        line(out, "verdict: %s", description(result, anyVersion));
        return out.toString();
    }

    /** Writes one JSON object; {@code sockets} is the emulator's report, absent if the run did not take place. */
    public static void json(KitResult result, boolean anyVersion, OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField(
                    "verdict",
                    result.verdict(anyVersion).name().toLowerCase(Locale.ROOT).replace('_', '-'));
            out.writeStringField("daemon_version", result.daemonVersion());
            out.writeStringField("kit_version", result.kitVersion());
            out.writeArrayFieldStart("failures");
            for (String failure : result.failures()) {
                out.writeString(failure);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("quarters");
            for (KitResult.Quarter quarter : result.quarters()) {
                out.writeStartObject();
                out.writeNumberField("descriptors", quarter.descriptors());
                out.writeNumberField("resident_kb", quarter.residentKb());
                out.writeNumberField("cpu_part", quarter.cpuShare());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeObjectFieldStart("late_ms");
            out.writeNumberField("p50", result.latenessMs()[0]);
            out.writeNumberField("p99", result.latenessMs()[1]);
            out.writeNumberField("worst", result.latenessMs()[2]);
            out.writeEndObject();
            if (result.virtual() != null) {
                out.writeNumberField(
                        "virtual_service", result.virtual().service().service());
            }
            if (result.sockets() != null) {
                ByteArrayOutputStream simulation = new ByteArrayOutputStream();
                ReportWriter.json(result.sockets(), simulation);
                out.writeFieldName("sockets");
                out.writeRawValue(simulation.toString(StandardCharsets.UTF_8));
            }
            out.writeEndObject();
        }
    }

    /** Writes a test case for each rule, one for the processes, and one for whether the run was conclusive. */
    public static void junit(String name, KitResult result, boolean anyVersion, OutputStream to) throws IOException {
        KitResult.Verdict verdict = result.verdict(anyVersion);
        boolean checked = result.sockets() != null
                && verdict != KitResult.Verdict.TOO_BUSY
                && verdict != KitResult.Verdict.WRONG_VERSION;
        try {
            XMLStreamWriter out = XMLOutputFactory.newInstance().createXMLStreamWriter(to, "UTF-8");
            out.writeStartDocument("UTF-8", "1.0");
            out.writeStartElement("testsuite");
            out.writeAttribute("name", "rehearsal " + name);
            for (Auditor.Rule rule : Auditor.Rule.values()) {
                String first = result.sockets() == null
                        ? null
                        : result.sockets().breaches().stream()
                                .filter(b -> b.rule() == rule)
                                .map(Object::toString)
                                .findFirst()
                                .orElse(null);
                testCase(out, name, rule.description(), first, checked || first != null);
            }
            testCase(
                    out,
                    name,
                    "client proxies start, stay and end",
                    result.failures().isEmpty() ? null : String.join("; ", result.failures()),
                    true);
            testCase(
                    out,
                    name,
                    "the run says something",
                    checked || verdict == KitResult.Verdict.FAILED ? null : description(result, anyVersion),
                    true);
            out.writeEndElement();
            out.writeEndDocument();
            out.close();
        } catch (XMLStreamException e) {
            throw new IOException(e);
        }
    }

    private static void testCase(XMLStreamWriter out, String suite, String name, String failure, boolean checked)
            throws XMLStreamException {
        out.writeStartElement("testcase");
        out.writeAttribute("classname", suite);
        out.writeAttribute("name", name);
        if (failure != null) {
            out.writeStartElement("failure");
            out.writeAttribute("message", failure);
            out.writeEndElement();
        } else if (!checked) {
            out.writeEmptyElement("skipped");
        }
        out.writeEndElement();
    }

    private static String description(KitResult result, boolean anyVersion) {
        return switch (result.verdict(anyVersion)) {
            case KEPT -> "all four rules kept";
            case RULE_BROKEN -> result.sockets().totalBreachCount() + " broken rules, the first of them above";
            case FAILED -> "a client proxy failed";
            case TOO_BUSY ->
                String.format(
                        Locale.ROOT,
                        "none: the machine was too busy (stand-ins %.1f ms late at p99,"
                                + " %.0f ms at most); end what else runs, or take a smaller scenario",
                        result.latenessMs()[1],
                        KitResult.MAX_P99_LATENESS_MS);
            case WRONG_VERSION ->
                "none: use the kit in the daemon's own jar (java -jar ITS-JAR kit ...), or" + " --any-version";
        };
    }

    private static void line(StringBuilder out, String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
