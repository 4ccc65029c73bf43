package mulleinfront.settings;

import java.util.function.DoubleBinaryOperator;

/** A number read from a file: a single value, or a range to draw random values from; {@code low <= high}. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** Returns the single value, or calls {@code generator} with both bounds to draw a value from a real range. */
    public double draw(DoubleBinaryOperator generator) {
        return low == high ? low : generator.applyAsDouble(low, high);
    }
}
