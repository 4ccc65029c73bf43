package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What a fleet at its size cost and how long it took, row by row, with the budgets that are given. */
public final class ScaleReport {
    /**
     * One figure.
     *
     * @param phase what was going on
     * @param what of whom
     * @param value the figure
     * @param unit its unit
     * @param budget the most that it may be; NaN if nothing is given
     */
    public record Row(String phase, String what, double value, String unit, double budget) {
        /** Whether it is over its budget. */
        public boolean over() {
            return value > budget;
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    void add(String phase, String what, double value, String unit) {
        add(phase, what, value, unit, Double.NaN);
    }

    void add(String phase, String what, double value, String unit, double budget) {
        rows.add(new Row(phase, what, value, unit, budget));
    }

    void fail(String what) {
        failures.add(what);
    }

    /** All figures in the order in which they were taken. */
    public List<Row> rows() {
        return List.copyOf(rows);
    }

    /** What did not happen at all: a process that never got ready, a view that never came to be. */
    public List<String> failures() {
        return List.copyOf(failures);
    }

    /** Whether a figure is over its budget. */
    public boolean over() {
        return rows.stream().anyMatch(Row::over);
    }

    /** For people. */
    public String text() {
        StringBuilder out = new StringBuilder();
        String phase = "";
        for (Row r : rows) {
            if (!r.phase().equals(phase)) {
                phase = r.phase();
                out.append(phase).append('\n');
            }
            out.append(String.format(Locale.ROOT, "  %-62s %12.3f %-12s", r.what(), r.value(), r.unit()));
            if (!Double.isNaN(r.budget())) {
                out.append(String.format(Locale.ROOT, " budget %.3f%s", r.budget(), r.over() ? "  OVER" : ""));
            }
            out.append('\n');
        }
        failures.forEach(f -> out.append("FAILED  ").append(f).append('\n'));
        return out.append(!failures.isEmpty() ? "failed" : over() ? "over budget" : "within budget")
                .append('\n')
                .toString();
    }

    /** The same as one JSON object. */
    public void json(OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeArrayFieldStart("rows");
            for (Row r : rows) {
                out.writeStartObject();
                out.writeStringField("phase", r.phase());
                out.writeStringField("what", r.what());
                out.writeNumberField("value", r.value());
                out.writeStringField("unit", r.unit());
                if (!Double.isNaN(r.budget())) {
                    out.writeNumberField("budget", r.budget());
                    out.writeBooleanField("over", r.over());
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("failures");
            for (String f : failures) {
                out.writeString(f);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }
}
