package mulleinfront.bench;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Slope;

/** Figures as they are measured, by slope and size. */
final class Measured {
    private static final MathContext DIGITS = new MathContext(4);

    private final String per;
    private final String command;
    private final Map<String, String[]> words = new LinkedHashMap<>();
    private final Map<String, List<Fit.Point>> points = new LinkedHashMap<>();

    /**
     * @param per what the sizes count
     * @param command what measures them again
     */
    Measured(String per, String command) {
        this.per = per;
        this.command = command;
    }

    /** Takes down one figure at one size. */
    void add(double size, String id, String what, String unit, double figure) {
        words.put(id, new String[] {what, unit});
        points.computeIfAbsent(id, i -> new ArrayList<>())
                .add(new Fit.Point(size, new BigDecimal(figure).round(DIGITS).doubleValue()));
    }

    List<Slope> slopes() {
        List<Slope> all = new ArrayList<>();
        words.forEach((id, w) -> all.add(new Slope(id, w[0], w[1], per, points.get(id), command)));
        return all;
    }
}
