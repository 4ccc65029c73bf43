package mulleinfront.capacity;

import java.util.List;

/**
 * What one role bears in one state of the fleet.
 *
 * @param role who
 * @param part of what it does
 * @param when the state: at rest, at the peak, or which fault
 * @param mechanism what carries it; {@link #NONE} if nothing does
 * @param cells its figures
 */
public record Row(String role, String part, String when, String mechanism, List<Cell> cells) {
    /** What a row says that nothing carries. */
    public static final String NONE = "none";

    public Row {
        cells = List.copyOf(cells);
    }

    /** Whether nothing carries it. */
    public boolean none() {
        return mechanism.equals(NONE);
    }

    /**
     * One slope's part of a figure: the slope at a size, so many times.
     *
     * @param slope its id, or {@link #COUNT}: the size itself
     * @param at a name of {@link Size}
     * @param times names of {@link Size} or numbers, multiplied
     */
    public record Term(String slope, String at, List<String> times) {
        /** In a slope's place: nothing was measured here, the size is the figure. */
        public static final String COUNT = "count";

        public Term {
            times = List.copyOf(times);
        }
    }

    /**
     * One figure.
     *
     * @param measure which column it stands in
     * @param terms what it is the sum of; empty: not measured
     * @param budget a name of {@link Size}, or null: nothing bounds it
     * @param source where the given part comes from: a constant of the program, or the command that measures
     *        it; null: all comes from the terms
     * @param given a part that no slope gives, or all of it; NaN: none
     */
    public record Cell(Measure measure, List<Term> terms, String budget, String source, double given) {
        public Cell {
            terms = List.copyOf(terms);
        }
    }

    /** What is measured. */
    public enum Measure {
        STATE("state", "bytes"),
        MESSAGES("messages", "/s"),
        BYTES("bytes", "bytes/s"),
        PROCESSOR("processor", "of a core"),
        MEMORY("memory", "bytes"),
        TIME("time", "s");

        private final String word;
        private final String unit;

        Measure(String word, String unit) {
            this.word = word;
            this.unit = unit;
        }

        public String word() {
            return word;
        }

        public String unit() {
            return unit;
        }

        /** @throws IllegalArgumentException if there is none of this name */
        public static Measure of(String word) {
            for (Measure m : values()) {
                if (m.word.equals(word)) {
                    return m;
                }
            }
            throw new IllegalArgumentException("there is no measure " + word);
        }
    }
}
