package mulleinfront.capacity;

import java.util.List;

/**
 * One figure as it was measured at several sizes.
 *
 * @param id its name in rows
 * @param what in words
 * @param unit of the figure
 * @param per what is counted by the size: client proxies, hosts in a list, calls a second
 * @param points size and figure; none: not measured yet
 * @param command what measures it again
 */
public record Slope(String id, String what, String unit, String per, List<Fit.Point> points, String command) {
    public Slope {
        points = List.copyOf(points);
    }

    /** The line through its points. */
    public Fit fit() {
        return Fit.of(points);
    }
}
