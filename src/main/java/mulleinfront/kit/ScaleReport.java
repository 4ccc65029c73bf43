package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of a scale test: resource costs and durations, row by row, some with a budget. */
public final class ScaleReport {
    /**
     * One metric.
     *
     * @param phase the phase of the test
     * @param metric the name of the metric
     * @param value the measured value
     * @param unit its unit
     * @param budget the upper limit of the value; NaN if there is none
     */
    public record Row(String phase, String metric, double value, String unit, double budget) {
        /** Whether the value exceeds its budget. */
        public boolean overBudget() {
            return value > budget;
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    void add(String phase, String metric, double value, String unit) {
        add(phase, metric, value, unit, Double.NaN);
    }

    void add(String phase, String metric, double value, String unit, double budget) {
        rows.add(new Row(phase, metric, value, unit, budget));
    }

    void addFailure(String description) {
        failures.add(description);
    }

    /** All metrics in the order in which they were added. */
    public List<Row> rows() {
        return List.copyOf(rows);
    }

    /** Conditions that never came about, such as a process that never got ready or views that did not converge. */
    public List<String> failures() {
        return List.copyOf(failures);
    }

    /** Whether any value exceeds its budget. */
    public boolean anyOverBudget() {
        return rows.stream().anyMatch(Row::overBudget);
    }

    /** The report as text. */
    public String text() {
        StringBuilder out = new StringBuilder();
        String phase = "";
        for (Row row : rows) {
            if (!row.phase().equals(phase)) {
                phase = row.phase();
                out.append(phase).append('\n');
            }
            out.append(String.format(Locale.ROOT, "  %-62s %12.3f %-12s", row.metric(), row.value(), row.unit()));
            if (!Double.isNaN(row.budget())) {
                out.append(
                        String.format(Locale.ROOT, " budget %.3f%s", row.budget(), row.overBudget() ? "  OVER" : ""));
            }
            out.append('\n');
        }
        failures.forEach(f -> out.append("FAILED  ").append(f).append('\n'));
        return out.append(!failures.isEmpty() ? "failed" : anyOverBudget() ? "over budget" : "within budget")
                .append('\n')
                .toString();
    }

    /** Writes the report as one JSON object. */
    public void json(OutputStream to) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeArrayFieldStart("rows");
            for (Row row : rows) {
                out.writeStartObject();
                out.writeStringField("phase", row.phase());
                out.writeStringField("what", row.metric());
                out.writeNumberField("value", row.value());
                out.writeStringField("unit", row.unit());
                if (!Double.isNaN(row.budget())) {
                    out.writeNumberField("budget", row.budget());
                    out.writeBooleanField("over", row.overBudget());
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
