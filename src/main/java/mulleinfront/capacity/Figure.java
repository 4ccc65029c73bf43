package mulleinfront.capacity;

/**
 * One figure at the size.
 *
 * @param value in the measure's unit; NaN: not measured
 * @param budget in the same; NaN: nothing bounds it
 */
public record Figure(Row row, Row.Cell cell, double value, double budget) {
    /**
     * The figure over its budget: infinite where nothing carries the row, 0 where one of the two is not
     * known.
     */
    public double share() {
        if (row.none()) {
            return Double.POSITIVE_INFINITY;
        }
        return Double.isNaN(value) || Double.isNaN(budget) ? 0 : value / budget;
    }

    public boolean over() {
        return share() > 1;
    }

    /** What is left of the budget, as a part of it; below 0 where it is over. */
    public double margin() {
        return 1 - value / budget;
    }
}
