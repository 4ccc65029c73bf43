package mulleinfront.capacity;

/**
 * The estimate of one cell at the fleet size.
 *
 * @param row the cell's row
 * @param cell the cell
 * @param value the estimate in the measure's unit; NaN if it was not measured
 * @param budget the budget in the same unit; NaN if there is none
 */
public record Estimate(Row row, Row.Cell cell, double value, double budget) {
    /**
     * Returns the estimate as a share of its budget: infinite if the row has no mechanism, 0 if the estimate or the
     * budget is unknown.
     */
    public double budgetShare() {
        if (row.hasNoMechanism()) {
            return Double.POSITIVE_INFINITY;
        }
        return Double.isNaN(value) || Double.isNaN(budget) ? 0 : value / budget;
    }

    /** Returns whether the estimate exceeds its budget. */
    public boolean isOverBudget() {
        return budgetShare() > 1;
    }

    /** Returns the unused share of the budget; negative if the estimate exceeds it. */
    public double margin() {
        return 1 - value / budget;
    }
}
