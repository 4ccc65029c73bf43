package mulleinfront;

/**
 * By when an instance has to have called discovery, and by when it has to hold its list anew. Both are properties of the
 * instance: they count from when its list may first have been out of date, whatever has become of calls since, and this
 * is the only place that computes them.
 *
 * <ul>
 * <li>What discovery has counts as told {@link #REACHABLE_US} after it had it and could be reached.
 * <li>One without a watch has to ask within the settings' time, counted from the end of its watch, its last call or its
 * start; after a call that failed it has four times as long.
 * </ul>
 */
final class ListDeadline {
    /** Time after which a change counts as told, counted from when discovery had it and could be reached, microseconds. */
    static final long REACHABLE_US = 6_000_000;
    private static final int AFTER_FAILURE = 4;

    private final long askWithinUs;
    /** A watch is open, so that changes come by themselves. */
    private boolean current;
    /** Since when the list may be out of date. */
    private long staleSince;
    /** The end of the last watch, the last call, or the start, whichever was last. */
    private long askedAt;
    private boolean failed;

    ListDeadline(long askWithinUs, long startedAt) {
        this.askWithinUs = askWithinUs;
        this.staleSince = startedAt;
        this.askedAt = startedAt;
    }

    /** Discovery has answered: a watch is open. */
    void renewed() {
        current = true;
        failed = false;
    }

    /**
     * The watch has ended or fallen silent.
     *
     * @param heardAt when anything had come of it last
     */
    void lost(long heardAt, long now) {
        if (current) {
            current = false;
            staleSince = heardAt;
            askedAt = now;
        }
    }

    void called(long now) {
        askedAt = now;
        failed = false;
    }

    /**
     * A call has failed.
     *
     * @param unreachable whether discovery could not be reached: then its time begins anew
     */
    void callFailed(long now, boolean unreachable) {
        failed = true;
        if (unreachable) {
            staleSince = now;
        }
    }

    boolean current() {
        return current;
    }

    /** When the next call has to have begun. */
    long callBy() {
        return current ? Long.MAX_VALUE : askedAt + askWithinUs * (failed ? AFTER_FAILURE : 1);
    }

    /** When the list has to have been renewed. */
    long listBy() {
        return current ? Long.MAX_VALUE : Math.min(staleSince + REACHABLE_US, callBy());
    }
}
