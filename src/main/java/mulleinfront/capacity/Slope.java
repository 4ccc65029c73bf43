package mulleinfront.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes.
 *
 * @param id name by which rows refer to it
 * @param what description of the quantity
 * @param unit unit of the quantity
 * @param per what the size counts: client proxies, hosts in a list, calls per second
 * @param points the measurements; empty if there are none
 * @param command command that repeats the measurements
 */
public record Slope(String id, String what, String unit, String per, List<Fit.Point> points, String command) {
    public Slope {
        points = List.copyOf(points);
    }

    /** Returns the curve fitted to the measurements. */
    public Fit fit() {
        return Fit.select(points);
    }
}
