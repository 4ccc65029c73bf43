package mulleinfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The size, the slopes and the rows together, and what follows from them. */
public final class Capacity {
    /** What stands for the figure of a row that nothing carries, where there is nothing to measure. */
    private static final Row.Cell NOTHING = new Row.Cell(Row.Measure.TIME, List.of(), null, null, Double.NaN);

    private final Size size;
    private final Map<String, Slope> slopes = new TreeMap<>();
    private final Map<String, Fit> fits = new TreeMap<>();
    private final List<Row> rows;
    private final List<Need> needs;

    /**
     * @throws IllegalArgumentException if a row names a slope, size or budget that there is not, or a slope
     *        is no slope
     */
    public Capacity(Size size, List<Slope> slopes, List<Row> rows, List<Need> needs) {
        this.size = size;
        this.rows = List.copyOf(rows);
        this.needs = List.copyOf(needs);
        for (Slope s : slopes) {
            try {
                if (!s.points().isEmpty()) {
                    fits.put(s.id(), s.fit());
                }
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("slope " + s.id() + ": " + e.getMessage(), e);
            }
            if (this.slopes.put(s.id(), s) != null) {
                throw new IllegalArgumentException("slope " + s.id() + " is there twice");
            }
        }
        Set<String> seen = new HashSet<>();
        for (Row row : rows) {
            if (!seen.add(row.role() + "/" + row.part() + "/" + row.when())) {
                throw new IllegalArgumentException(
                        "row " + row.role() + ", " + row.part() + ", " + row.when() + " is there twice");
            }
        }
        figures();
        needs.forEach(n -> n.faults().forEach(size::of));
    }

    public Size size() {
        return size;
    }

    public List<Slope> slopes() {
        return List.copyOf(slopes.values());
    }

    /** The line of a slope; null if it is not measured yet. */
    public Fit fit(String slope) {
        return fits.get(slope);
    }

    public List<Row> rows() {
        return rows;
    }

    public List<Need> needs() {
        return needs;
    }

    /** The same with other slopes in place of those of their ids, or beside them. */
    public Capacity with(List<Slope> measured) {
        Map<String, Slope> all = new TreeMap<>(slopes);
        measured.forEach(s -> all.put(s.id(), s));
        return new Capacity(size, List.copyOf(all.values()), rows, needs);
    }

    /** The same at another size. */
    public Capacity at(Size other) {
        return new Capacity(other, slopes(), rows, needs);
    }

    /** Each cell of each row, in the rows' order. */
    public List<Figure> figures() {
        List<Figure> all = new ArrayList<>();
        for (Row row : rows) {
            for (Row.Cell cell : row.cells()) {
                all.add(figure(row, cell));
            }
            if (row.none() && row.cells().isEmpty()) {
                all.add(figure(row, NOTHING));
            }
        }
        return all;
    }

    Figure figure(Row row, Row.Cell cell) {
        double value = cell.terms().isEmpty() || !Double.isNaN(cell.given()) ? cell.given() : 0;
        for (Row.Term t : cell.terms()) {
            boolean counted = t.slope().equals(Row.Term.COUNT);
            Fit fit = counted ? null : fits.get(t.slope());
            if (!counted && !slopes.containsKey(t.slope())) {
                throw new IllegalArgumentException("row " + row.role() + ", " + row.part() + ", " + row.when()
                        + ": there is no slope " + t.slope());
            }
            double part = !counted && fit == null ? Double.NaN : counted ? size.of(t.at()) : fit.at(size.of(t.at()));
            for (String times : t.times()) {
                part *= factor(times);
            }
            value += part;
        }
        return new Figure(row, cell, value, cell.budget() == null ? Double.NaN : size.of(cell.budget()));
    }

    private double factor(String text) {
        char first = text.isEmpty() ? 'x' : text.charAt(0);
        if (first == '/') {
            return 1 / factor(text.substring(1));
        }
        return first >= '0' && first <= '9' ? Double.parseDouble(text) : size.of(text);
    }

    /**
     * The worst figure of each row over its budget, largest first; rows without a bounded figure are left
     * out.
     */
    public List<Figure> order() {
        List<Figure> worst = new ArrayList<>();
        for (Row row : rows) {
            List<Row.Cell> cells = row.none() && row.cells().isEmpty() ? List.of(NOTHING) : row.cells();
            cells.stream()
                    .map(c -> figure(row, c))
                    .max(Comparator.comparingDouble(Figure::share))
                    .filter(f -> f.share() > 0)
                    .ifPresent(worst::add);
        }
        worst.sort(Comparator.comparingDouble(Figure::share).reversed());
        return worst;
    }

    /** Kinds of fault of the ordinary day that need it. */
    public int kinds(Need need) {
        return (int) need.faults().stream().distinct().count();
    }

    /** Happenings of an ordinary day that need it. */
    public double daily(Need need) {
        return need.faults().stream().distinct().mapToDouble(size::of).sum();
    }

    /** Rows that nothing carries and that this would carry. */
    public List<Row> missing(Need need) {
        return rows.stream()
                .filter(r -> r.none() && r.part().equals(need.rows()))
                .toList();
    }

    /** Largest share of a budget among the rows that it carries or would carry. */
    public double worst(Need need) {
        return order().stream()
                .filter(f -> f.row().part().equals(need.rows()))
                .mapToDouble(Figure::share)
                .findFirst()
                .orElse(0);
    }

    /**
     * Mechanisms by what they are short of: figure over budget first, then how many kinds of fault and days
     * need them.
     */
    public List<Need> neededFirst() {
        List<Need> all = new ArrayList<>(needs);
        all.sort(Comparator.<Need>comparingDouble(n -> -worst(n))
                .thenComparingInt(n -> -kinds(n))
                .thenComparingDouble(n -> -daily(n)));
        return all;
    }
}
