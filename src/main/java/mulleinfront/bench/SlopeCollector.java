package mulleinfront.bench;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Slope;

/** Collects measured values by slope and size. */
final class SlopeCollector {
    private static final MathContext PRECISION = new MathContext(4);

    private final String per;
    private final String command;
    private final Map<String, String[]> labels = new LinkedHashMap<>();
    private final Map<String, List<Fit.Point>> points = new LinkedHashMap<>();

    /**
     * @param per the unit of the sizes
     * @param command the command that repeats the measurement
     */
    SlopeCollector(String per, String command) {
        this.per = per;
        this.command = command;
    }

    /** Adds one measured value at one size. */
    void add(double size, String id, String description, String unit, double value) {
        labels.put(id, new String[] {description, unit});
        points.computeIfAbsent(id, i -> new ArrayList<>())
                .add(new Fit.Point(size, new BigDecimal(value).round(PRECISION).doubleValue()));
    }

    List<Slope> slopes() {
        List<Slope> all = new ArrayList<>();
        labels.forEach((id, label) -> all.add(new Slope(id, label[0], label[1], per, points.get(id), command)));
        return all;
    }
}
