package mulleinfront.settings;

import java.util.function.DoubleBinaryOperator;

/** A figure of a file: one value, or a range to draw from; {@code low <= high}. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** The value, or one drawn by {@code between}, which is given both ends and asked only for a range. */
    public double draw(DoubleBinaryOperator between) {
        return low == high ? low : between.applyAsDouble(low, high);
    }
}
