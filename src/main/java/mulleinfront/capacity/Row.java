package mulleinfront.capacity;

import java.util.List;

/**
 * The cost of one part of a role's work in one state of the fleet.
 *
 * @param role process or component that has the cost
 * @param part part of the role's work
 * @param when state of the fleet: at rest, at the peak, or a fault
 * @param mechanism mechanism that handles the state; {@link #NONE} if there is none
 * @param cells the measures of the cost
 */
public record Row(String role, String part, String when, String mechanism, List<Cell> cells) {
    /** Mechanism of a row that no mechanism handles. */
    public static final String NONE = "none";

    public Row {
        cells = List.copyOf(cells);
    }

    /** Returns whether no mechanism handles this row. */
    public boolean hasNoMechanism() {
        return mechanism.equals(NONE);
    }

    /**
     * One summand of a cell: the value of a slope at a size, multiplied by factors.
     *
     * @param slope id of the slope, or {@link #COUNT} for the size itself
     * @param at name of a number in {@link Size}
     * @param times factors: names of numbers in {@link Size} or literal numbers; a leading {@code /} divides
     */
    public record Term(String slope, String at, List<String> times) {
        /** Takes the place of a slope: the value is the size itself, without a measurement. */
        public static final String COUNT = "count";

        public Term {
            times = List.copyOf(times);
        }
    }

    /**
     * One measure of a row.
     *
     * @param measure the measure
     * @param terms summands of the value; empty if no slope contributes
     * @param budget name of the budget in {@link Size}; null if there is none
     * @param source origin of {@code given}: a constant of the program, or the command that measures it; null if there
     *        is none
     * @param given constant summand that comes from no slope; NaN if there is none
     */
    public record Cell(Measure measure, List<Term> terms, String budget, String source, double given) {
        public Cell {
            terms = List.copyOf(terms);
        }
    }

    /** A measured quantity, with its unit. */
    public enum Measure {
        STATE("state", "bytes"),
        MESSAGES("messages", "/s"),
        BYTES("bytes", "bytes/s"),
        PROCESSOR("processor", "of a core"),
        MEMORY("memory", "bytes"),
        TIME("time", "s");

        private final String outputName;
        private final String unit;

        Measure(String outputName, String unit) {
            this.outputName = outputName;
            this.unit = unit;
        }

        public String outputName() {
            return outputName;
        }

        public String unit() {
            return unit;
        }

        /**
         * Returns the measure with this output name.
         *
         * @throws IllegalArgumentException if there is none
         */
        public static Measure of(String outputName) {
            for (Measure measure : values()) {
                if (measure.outputName.equals(outputName)) {
                    return measure;
                }
            }
            throw new IllegalArgumentException("unknown measure " + outputName);
        }
    }
}
