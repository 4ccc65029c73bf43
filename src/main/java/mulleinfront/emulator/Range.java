package mulleinfront.emulator;

/** A figure of a scenario: one value, or a range to draw from; {@code low <= high}. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    public double draw(Chance chance) {
        return low == high ? low : chance.between(low, high);
    }
}
