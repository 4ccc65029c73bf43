package mulleinfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The capacity model: the cost slopes, the cost rows and the requirements at one fleet size, with the estimates that
 * follow from them.
 */
public final class Capacity {
    /** Placeholder cell of a row without a mechanism, where there is nothing to measure. */
    private static final Row.Cell PLACEHOLDER_CELL = new Row.Cell(Row.Measure.TIME, List.of(), null, null, Double.NaN);

    private final Size size;
    private final Map<String, Slope> slopes = new TreeMap<>();
    private final Map<String, Fit> fits = new TreeMap<>();
    private final List<Row> rows;
    private final List<Requirement> requirements;

    /**
     * @throws IllegalArgumentException if a row names an unknown slope, size or budget, a name is not unique, or a
     *        slope can't be fitted
     */
    public Capacity(Size size, List<Slope> slopes, List<Row> rows, List<Requirement> requirements) {
        this.size = size;
        this.rows = List.copyOf(rows);
        this.requirements = List.copyOf(requirements);
        for (Slope slope : slopes) {
            try {
                if (!slope.points().isEmpty()) {
                    fits.put(slope.id(), slope.fit());
                }
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("slope " + slope.id() + ": " + e.getMessage(), e);
            }
            if (this.slopes.put(slope.id(), slope) != null) {
                throw new IllegalArgumentException("slope " + slope.id() + " is defined twice");
            }
        }
        Set<String> rowNames = new HashSet<>();
        for (Row row : rows) {
            if (!rowNames.add(row.role() + "/" + row.part() + "/" + row.when())) {
                throw new IllegalArgumentException(
                        "row " + row.role() + ", " + row.part() + ", " + row.when() + " is defined twice");
            }
        }
        estimates();
        requirements.forEach(r -> r.faults().forEach(size::of));
    }

    public Size size() {
        return size;
    }

    public List<Slope> slopes() {
        return List.copyOf(slopes.values());
    }

    /** Returns the curve fitted to a slope; null if the slope has no measurements. */
    public Fit fit(String slope) {
        return fits.get(slope);
    }

    public List<Row> rows() {
        return rows;
    }

    public List<Requirement> requirements() {
        return requirements;
    }

    /** Returns a copy with these slopes added; they replace slopes of the same id. */
    public Capacity withSlopes(List<Slope> measured) {
        Map<String, Slope> merged = new TreeMap<>(slopes);
        measured.forEach(s -> merged.put(s.id(), s));
        return new Capacity(size, List.copyOf(merged.values()), rows, requirements);
    }

    /** Returns a copy at another fleet size. */
    public Capacity withSize(Size newSize) {
        return new Capacity(newSize, slopes(), rows, requirements);
    }

    /** Returns the estimate of each cell of each row, in the order of the rows. */
    public List<Estimate> estimates() {
        List<Estimate> estimates = new ArrayList<>();
        for (Row row : rows) {
            for (Row.Cell cell : row.cells()) {
                estimates.add(estimate(row, cell));
            }
            if (row.hasNoMechanism() && row.cells().isEmpty()) {
                estimates.add(estimate(row, PLACEHOLDER_CELL));
            }
        }
        return estimates;
    }

    Estimate estimate(Row row, Row.Cell cell) {
        double value = cell.terms().isEmpty() || !Double.isNaN(cell.given()) ? cell.given() : 0;
        for (Row.Term term : cell.terms()) {
            boolean isCount = term.slope().equals(Row.Term.COUNT);
            Fit fit = isCount ? null : fits.get(term.slope());
            if (!isCount && !slopes.containsKey(term.slope())) {
                throw new IllegalArgumentException("row " + row.role() + ", " + row.part() + ", " + row.when()
                        + ": unknown slope " + term.slope());
            }
            double summand =
                    !isCount && fit == null ? Double.NaN : isCount ? size.of(term.at()) : fit.at(size.of(term.at()));
            for (String factor : term.times()) {
                summand *= factor(factor);
            }
            value += summand;
        }
        return new Estimate(row, cell, value, cell.budget() == null ? Double.NaN : size.of(cell.budget()));
    }

    private double factor(String text) {
        char first = text.isEmpty() ? 'x' : text.charAt(0);
        if (first == '/') {
            return 1 / factor(text.substring(1));
        }
        return first >= '0' && first <= '9' ? Double.parseDouble(text) : size.of(text);
    }

    /**
     * Returns the estimate of each row that takes the largest share of its budget, largest share first. Rows without a
     * budgeted estimate are left out.
     */
    public List<Estimate> byBudgetShare() {
        List<Estimate> worst = new ArrayList<>();
        for (Row row : rows) {
            List<Row.Cell> cells =
                    row.hasNoMechanism() && row.cells().isEmpty() ? List.of(PLACEHOLDER_CELL) : row.cells();
            cells.stream()
                    .map(c -> estimate(row, c))
                    .max(Comparator.comparingDouble(Estimate::budgetShare))
                    .filter(e -> e.budgetShare() > 0)
                    .ifPresent(worst::add);
        }
        worst.sort(Comparator.comparingDouble(Estimate::budgetShare).reversed());
        return worst;
    }

    /** Returns the number of fault types of an ordinary day that need the mechanism. */
    public int faultTypes(Requirement requirement) {
        return (int) requirement.faults().stream().distinct().count();
    }

    /** Returns how often on an ordinary day the mechanism is needed. */
    public double occurrencesPerDay(Requirement requirement) {
        return requirement.faults().stream().distinct().mapToDouble(size::of).sum();
    }

    /** Returns the rows without a mechanism that this one would serve. */
    public List<Row> unsupportedRows(Requirement requirement) {
        return rows.stream()
                .filter(r -> r.hasNoMechanism() && r.part().equals(requirement.rows()))
                .toList();
    }

    /** Returns the largest share of a budget among the rows that the mechanism serves or would serve. */
    public double maxBudgetShare(Requirement requirement) {
        return byBudgetShare().stream()
                .filter(e -> e.row().part().equals(requirement.rows()))
                .mapToDouble(Estimate::budgetShare)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns the mechanisms by urgency: the largest share of a budget first, then the number of fault types and the
     * daily occurrences that need the mechanism.
     */
    public List<Requirement> requirementsByUrgency() {
        List<Requirement> sorted = new ArrayList<>(requirements);
        sorted.sort(Comparator.<Requirement>comparingDouble(r -> -maxBudgetShare(r))
                .thenComparingInt(r -> -faultTypes(r))
                .thenComparingDouble(r -> -occurrencesPerDay(r)));
        return sorted;
    }
}
