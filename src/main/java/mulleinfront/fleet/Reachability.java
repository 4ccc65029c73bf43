package mulleinfront.fleet;

import java.util.Locale;

/** The part of the last converged fleet that is reachable from one instance, which counts itself. */
public enum Reachability {
    /** The view of this instance has never converged. */
    UNSETTLED,
    /** All members that have not left or expired. */
    ALL,
    /** More than half of the members. */
    MAJORITY,
    /** Half of the members or less: the others may form a majority. */
    MINORITY,
    /** No other member. */
    ALONE;

    /** The name written to logs and operator output. */
    public String outputName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
