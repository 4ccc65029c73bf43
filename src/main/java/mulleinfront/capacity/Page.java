package mulleinfront.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import mulleinfront.capacity.Row.Measure;

/**
 * Generates the tables of docs/CAPACITY.md. Each table is between {@code <!-- begin NAME -->} and
 * {@code <!-- end NAME -->}; the text around them is left unchanged.
 */
public final class Page {
    private static final String BEGIN = "<!-- begin ";
    private static final String CLOSE = " -->";
    /** Number of rows within budget that the {@code order} table lists after those over budget. */
    private static final int MAX_ROWS_WITHIN_BUDGET = 25;

    private final Capacity capacity;

    public Page(Capacity capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns the page with its tables regenerated.
     *
     * @throws IllegalArgumentException if a table's name is unknown or its end marker is missing
     */
    public String fill(String text) {
        StringBuilder out = new StringBuilder();
        int copied = 0;
        for (int start = text.indexOf(BEGIN); start >= 0; start = text.indexOf(BEGIN, copied)) {
            int nameEnd = text.indexOf(CLOSE, start);
            String name = nameEnd < 0 ? "" : text.substring(start + BEGIN.length(), nameEnd);
            int end = text.indexOf("<!-- end " + name + CLOSE, start);
            if (nameEnd < 0 || end < 0) {
                throw new IllegalArgumentException("the table " + name + " does not end");
            }
            out.append(text, copied, nameEnd + CLOSE.length()).append('\n').append(table(name));
            copied = end;
        }
        return out.append(text, copied, text.length()).toString();
    }

    private String table(String name) {
        int separator = name.indexOf(": ");
        if (separator > 0 && name.startsWith("rows")) {
            String[] roleAndPart = name.substring(separator + 2).split(", ", 2);
            return rows(roleAndPart[0], roleAndPart.length > 1 ? roleAndPart[1] : "");
        }
        Map<String, Supplier<String>> tables = Map.of(
                "size",
                this::size,
                "slopes",
                this::slopes,
                "order",
                this::order,
                "mechanisms",
                this::mechanisms,
                "depth",
                this::depth);
        Supplier<String> table = tables.get(name);
        if (table == null) {
            throw new IllegalArgumentException("unknown table " + name);
        }
        return table.get();
    }

    private String size() {
        Size size = capacity.size();
        StringBuilder out = new StringBuilder("| what | figure |\n| --- | --- |\n");
        size.given().forEach((name, value) -> appendRow(out, name, number(value)));
        for (String name : List.of(
                "calls-per-proxy",
                "calls-per-proxy-deep",
                "hosts-per-service",
                "proxies-per-machine",
                "proxies-per-machine-one-gone",
                "zone-hosts",
                "zone-hosts-least",
                "region-hosts")) {
            appendRow(out, name + " (follows)", number(size.of(name)));
        }
        return out.toString();
    }

    /** Returns the table of the rows of one part of a role, with a column for each measure. */
    String rows(String role, String part) {
        List<Row> rows = capacity.rows().stream()
                .filter(r -> r.role().equals(role) && r.part().equals(part))
                .toList();
        if (rows.isEmpty()) {
            throw new IllegalArgumentException("there are no rows for " + role + ", " + part);
        }
        StringBuilder out = new StringBuilder("| when |");
        for (Measure measure : Measure.values()) {
            out.append(' ')
                    .append(measure.outputName())
                    .append(", ")
                    .append(measure.unit())
                    .append(" |");
        }
        out.append(" carried by |\n| --- |")
                .append(" --- |".repeat(Measure.values().length))
                .append(" --- |\n");
        for (Row row : rows) {
            Map<Measure, Estimate> byMeasure = new EnumMap<>(Measure.class);
            row.cells().forEach(c -> byMeasure.put(c.measure(), capacity.estimate(row, c)));
            out.append("| ").append(row.when()).append(" |");
            for (Measure measure : Measure.values()) {
                out.append(' ').append(formatCell(byMeasure.get(measure))).append(" |");
            }
            out.append(' ')
                    .append(row.hasNoMechanism() ? "**none**" : row.mechanism())
                    .append(" |\n");
        }
        return out.toString();
    }

    private static String formatCell(Estimate estimate) {
        if (estimate == null || Double.isNaN(estimate.value())) {
            return "not measured";
        }
        if (Double.isNaN(estimate.budget())) {
            return number(estimate.value());
        }
        String share = number(estimate.value()) + " (" + percent(estimate.value() / estimate.budget()) + ")";
        return estimate.value() > estimate.budget() ? "**" + share + "**" : share;
    }

    private String slopes() {
        StringBuilder out = new StringBuilder(
                "| slope | what | measured | fit | at the size |\n" + "| --- | --- | --- | --- | --- |\n");
        for (Slope slope : capacity.slopes()) {
            Fit fit = capacity.fit(slope.id());
            if (fit == null) {
                appendRow(
                        out,
                        "`" + slope.id() + "`",
                        slope.what() + ", " + slope.unit() + ", by " + slope.per(),
                        "not measured",
                        "-",
                        "-");
                continue;
            }
            StringBuilder points = new StringBuilder();
            slope.points()
                    .forEach(p -> points.append(points.isEmpty() ? "" : ", ")
                            .append(number(p.x()))
                            .append(": ")
                            .append(number(p.y())));
            String atSize = slope.per().equals("services")
                    ? number(fit.at(capacity.size().of("services"))) + " (services)"
                    : slope.per().equals("calls a second")
                            ? number(fit.at(capacity.size().of("calls-per-proxy")))
                                    + "; "
                                    + number(fit.at(capacity.size().of("calls-per-proxy-deep"))) + " (calls)"
                            : number(fit.at(capacity.size().of("hosts")));
            appendRow(
                    out,
                    "`" + slope.id() + "`",
                    slope.what() + ", " + slope.unit() + ", by " + slope.per(),
                    points.toString(),
                    fit.summary(),
                    atSize);
        }
        return out.toString();
    }

    private String order() {
        StringBuilder out = new StringBuilder("| role, part | when | figure | budget | margin | carried by"
                + " |\n| --- | --- | --- | --- | --- | --- |\n");
        int shown = 0;
        Map<String, List<String>> unsupported = new LinkedHashMap<>();
        capacity.byBudgetShare().stream()
                .map(Estimate::row)
                .filter(Row::hasNoMechanism)
                .forEach(r -> unsupported
                        .computeIfAbsent(r.role() + ", " + r.part(), p -> new ArrayList<>())
                        .add(r.when()));
        unsupported.forEach((part, when) -> appendRow(
                out, part, String.join("; ", when), "nothing to measure", "-", "none carries it", "**none**"));
        for (Estimate estimate : capacity.byBudgetShare()) {
            Row row = estimate.row();
            if (row.hasNoMechanism()) {
                continue;
            }
            if (!estimate.isOverBudget() && ++shown > MAX_ROWS_WITHIN_BUDGET) {
                break;
            }
            Measure measure = estimate.cell().measure();
            appendRow(
                    out,
                    row.role() + ", " + row.part(),
                    row.when(),
                    measure.outputName() + " " + number(estimate.value()) + " " + measure.unit(),
                    number(estimate.budget()),
                    percent(estimate.margin()),
                    row.mechanism());
        }
        return out.toString();
    }

    private String mechanisms() {
        StringBuilder out = new StringBuilder("| | mechanism | worst figure over budget | kinds of fault or"
                + " change of an ordinary day that need it | times a day | why |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        int rank = 0;
        for (Requirement requirement : capacity.requirementsByUrgency()) {
            double worst = capacity.maxBudgetShare(requirement);
            appendRow(
                    out,
                    "" + ++rank,
                    requirement.name(),
                    Double.isInfinite(worst) ? "none carries it" : percent(worst),
                    capacity.faultTypes(requirement) + ": "
                            + (requirement.faults().isEmpty() ? "-" : String.join(", ", requirement.faults())),
                    number(capacity.occurrencesPerDay(requirement)),
                    requirement.why());
        }
        return out.toString();
    }

    /** Returns the table of what a percentile of one hop means for a whole call. */
    private String depth() {
        StringBuilder out = new StringBuilder("| hops | calls with a hop beyond its p99 | the hop's part that"
                + " all hops must keep for 99 in 100 calls |\n| --- | --- | --- |\n");
        int deepest = (int) capacity.size().of("depth");
        for (int hops = 1; hops <= deepest; hops++) {
            appendRow(
                    out,
                    "" + hops,
                    percent(1 - Math.pow(0.99, hops)),
                    "p" + number(100 * Math.pow(0.99, 1.0 / hops), 5));
        }
        return out.toString();
    }

    private static void appendRow(StringBuilder out, String... cells) {
        out.append('|');
        for (String cell : cells) {
            out.append(' ').append(cell).append(" |");
        }
        out.append('\n');
    }

    static String percent(double fraction) {
        double percentage = 100 * fraction;
        return number(percentage, Math.abs(percentage) < 1 ? 2 : 3) + "%";
    }

    /** Formats a number with three significant digits and thousands separators; integers below a million are exact. */
    public static String number(double value) {
        return number(value, 3);
    }

    private static String number(double value, int digits) {
        if (!Double.isFinite(value)) {
            return Double.isNaN(value) ? "not known" : "without bound";
        }
        if (value == Math.rint(value) && Math.abs(value) < 1e6) {
            return String.format(Locale.ROOT, "%,d", (long) value);
        }
        BigDecimal rounded = new BigDecimal(value).round(new MathContext(digits, RoundingMode.HALF_UP));
        if (Math.abs(value) >= 1000) {
            return String.format(Locale.ROOT, "%,d", rounded.toBigInteger());
        }
        return rounded.stripTrailingZeros().toPlainString();
    }
}
