package mulleinfront.fleet;

import java.util.Locale;

/** Which part of the fleet, as it was last settled, one instance has in reach, itself included. */
public enum Reachability {
    /** No fleet was ever settled here: nothing can be said. */
    UNSETTLED,
    /** All that have not left. */
    ALL,
    /** More than half. */
    MAJORITY,
    /** Half or less: the others may be a majority. */
    MINORITY,
    /** Nobody else. */
    ALONE;

    /** One word for people and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
