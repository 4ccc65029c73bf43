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
 * The tables of docs/CAPACITY.md. Words stand in the page, figures between {@code <!-- begin NAME -->} and
 * {@code <!-- end NAME -->}, and only those are written here.
 */
public final class Page {
    private static final String BEGIN = "<!-- begin ";
    private static final String CLOSE = " -->";
    /** Rows of the order that the page shows beside those that are over. */
    private static final int SHOWN = 25;

    private final Capacity all;

    public Page(Capacity all) {
        this.all = all;
    }

    /**
     * The page with its tables as the slopes give them.
     *
     * @throws IllegalArgumentException if a table begins that there is not, or does not end
     */
    public String fill(String text) {
        StringBuilder out = new StringBuilder();
        int done = 0;
        for (int at = text.indexOf(BEGIN); at >= 0; at = text.indexOf(BEGIN, done)) {
            int named = text.indexOf(CLOSE, at);
            String name = named < 0 ? "" : text.substring(at + BEGIN.length(), named);
            int end = text.indexOf("<!-- end " + name + CLOSE, at);
            if (named < 0 || end < 0) {
                throw new IllegalArgumentException("the table " + name + " does not end");
            }
            out.append(text, done, named + CLOSE.length()).append('\n').append(table(name));
            done = end;
        }
        return out.append(text, done, text.length()).toString();
    }

    private String table(String name) {
        int of = name.indexOf(": ");
        if (of > 0 && name.startsWith("rows")) {
            String[] words = name.substring(of + 2).split(", ", 2);
            return rows(words[0], words.length > 1 ? words[1] : "");
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
            throw new IllegalArgumentException("there is no table " + name);
        }
        return table.get();
    }

    private String size() {
        Size s = all.size();
        StringBuilder out = new StringBuilder("| what | figure |\n| --- | --- |\n");
        s.given().forEach((name, value) -> line(out, name, number(value)));
        for (String name : List.of(
                "calls-per-proxy",
                "calls-per-proxy-deep",
                "hosts-per-service",
                "proxies-per-machine",
                "proxies-per-machine-one-gone",
                "zone-hosts",
                "zone-hosts-least",
                "region-hosts")) {
            line(out, name + " (follows)", number(s.of(name)));
        }
        return out.toString();
    }

    /** The rows of one role's part, a measure a column. */
    String rows(String role, String part) {
        List<Row> rows = all.rows().stream()
                .filter(r -> r.role().equals(role) && r.part().equals(part))
                .toList();
        if (rows.isEmpty()) {
            throw new IllegalArgumentException("there are no rows of " + role + ", " + part);
        }
        StringBuilder out = new StringBuilder("| when |");
        for (Measure m : Measure.values()) {
            out.append(' ').append(m.word()).append(", ").append(m.unit()).append(" |");
        }
        out.append(" carried by |\n| --- |")
                .append(" --- |".repeat(Measure.values().length))
                .append(" --- |\n");
        for (Row row : rows) {
            Map<Measure, Figure> by = new EnumMap<>(Measure.class);
            row.cells().forEach(c -> by.put(c.measure(), all.figure(row, c)));
            out.append("| ").append(row.when()).append(" |");
            for (Measure m : Measure.values()) {
                out.append(' ').append(cell(by.get(m))).append(" |");
            }
            out.append(' ').append(row.none() ? "**none**" : row.mechanism()).append(" |\n");
        }
        return out.toString();
    }

    private static String cell(Figure f) {
        if (f == null || Double.isNaN(f.value())) {
            return "not measured";
        }
        if (Double.isNaN(f.budget())) {
            return number(f.value());
        }
        String share = number(f.value()) + " (" + percent(f.value() / f.budget()) + ")";
        return f.value() > f.budget() ? "**" + share + "**" : share;
    }

    private String slopes() {
        StringBuilder out = new StringBuilder(
                "| slope | what | measured | fit | at the size |\n" + "| --- | --- | --- | --- | --- |\n");
        for (Slope s : all.slopes()) {
            Fit fit = all.fit(s.id());
            if (fit == null) {
                line(out, "`" + s.id() + "`", s.what() + ", " + s.unit() + ", by " + s.per(), "not measured", "-", "-");
                continue;
            }
            StringBuilder points = new StringBuilder();
            s.points()
                    .forEach(p -> points.append(points.isEmpty() ? "" : ", ")
                            .append(number(p.x()))
                            .append(": ")
                            .append(number(p.y())));
            String at = s.per().equals("services")
                    ? number(fit.at(all.size().of("services"))) + " (services)"
                    : s.per().equals("calls a second")
                            ? number(fit.at(all.size().of("calls-per-proxy")))
                                    + "; "
                                    + number(fit.at(all.size().of("calls-per-proxy-deep"))) + " (calls)"
                            : number(fit.at(all.size().of("hosts")));
            line(
                    out,
                    "`" + s.id() + "`",
                    s.what() + ", " + s.unit() + ", by " + s.per(),
                    points.toString(),
                    fit.text(),
                    at);
        }
        return out.toString();
    }

    private String order() {
        StringBuilder out = new StringBuilder("| role, part | when | figure | budget | margin | carried by"
                + " |\n| --- | --- | --- | --- | --- | --- |\n");
        int shown = 0;
        Map<String, List<String>> none = new LinkedHashMap<>();
        all.order().stream()
                .map(Figure::row)
                .filter(Row::none)
                .forEach(r -> none.computeIfAbsent(r.role() + ", " + r.part(), p -> new ArrayList<>())
                        .add(r.when()));
        none.forEach((part, when) ->
                line(out, part, String.join("; ", when), "nothing to measure", "-", "none carries it", "**none**"));
        for (Figure f : all.order()) {
            Row row = f.row();
            if (row.none()) {
                continue;
            }
            if (!f.over() && ++shown > SHOWN) {
                break;
            }
            Measure m = f.cell().measure();
            line(
                    out,
                    row.role() + ", " + row.part(),
                    row.when(),
                    m.word() + " " + number(f.value()) + " " + m.unit(),
                    number(f.budget()),
                    percent(f.margin()),
                    row.mechanism());
        }
        return out.toString();
    }

    private String mechanisms() {
        StringBuilder out = new StringBuilder("| | mechanism | worst figure over budget | kinds of fault or"
                + " change of an ordinary day that need it | times a day | why |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        int place = 0;
        for (Need n : all.neededFirst()) {
            double worst = all.worst(n);
            line(
                    out,
                    "" + ++place,
                    n.name(),
                    Double.isInfinite(worst) ? "none carries it" : percent(worst),
                    all.kinds(n) + ": " + (n.faults().isEmpty() ? "-" : String.join(", ", n.faults())),
                    number(all.daily(n)),
                    n.why());
        }
        return out.toString();
    }

    /** What a percentile of one hop is for a whole call. */
    private String depth() {
        StringBuilder out = new StringBuilder("| hops | calls with a hop beyond its p99 | the hop's part that"
                + " all hops must keep for 99 in 100 calls |\n| --- | --- | --- |\n");
        int deepest = (int) all.size().of("depth");
        for (int hops = 1; hops <= deepest; hops++) {
            line(out, "" + hops, percent(1 - Math.pow(0.99, hops)), "p" + number(100 * Math.pow(0.99, 1.0 / hops), 5));
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String... cells) {
        out.append('|');
        for (String cell : cells) {
            out.append(' ').append(cell).append(" |");
        }
        out.append('\n');
    }

    static String percent(double part) {
        double p = 100 * part;
        return number(p, Math.abs(p) < 1 ? 2 : 3) + "%";
    }

    /** Three significant digits, thousands apart. */
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
        BigDecimal short3 = new BigDecimal(value).round(new MathContext(digits, RoundingMode.HALF_UP));
        if (Math.abs(value) >= 1000) {
            return String.format(Locale.ROOT, "%,d", short3.toBigInteger());
        }
        return short3.stripTrailingZeros().toPlainString();
    }
}
