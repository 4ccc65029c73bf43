package mulleinfront;

/**
 * By when an instance has to have called discovery, and by when it has to hold its list anew. Both are properties of the
 * instance: they count from when its list may first have been out of date, whatever has become of calls since, and this
 * is the only place that computes them.
 *
 * <ul>
 * <li>What discovery has counts as told {@link #REACHABLE_US} after it had it and could be reached.
 * <li>One without a watch has to ask within the settings' time, counted from its last call or its start; after a call that
 * failed it has four times as long.
 * <li>What a watch would have told counts as told {@link #WATCH_ENDED_US} after its end to one that has not asked by then:
 * it is a poll whose wait is over.
 * </ul>
 */
final class ListDeadline {
    /** Time after which a change counts as told, counted from when discovery had it and could be reached, microseconds. */
    static final long REACHABLE_US = 6_000_000;
    /** Time after the end of a watch within which to ask, where the settings do not state less, microseconds. */
    static final long WATCH_ENDED_US = 2_000_000;
    private static final int AFTER_FAILURE = 4;

    private final long askWithinUs;
    /** A watch is open, so that changes come by themselves. */
    private boolean current;
    /** Since when the list may be out of date. */
    private long staleSince;
    /** The end of the last watch, the last call, or the start, whichever was last; and the time for asking from then. */
    private long askedAt;
    private long withinUs;

    ListDeadline(long askWithinUs, long startedAt) {
        this.askWithinUs = askWithinUs;
        this.staleSince = startedAt;
        this.askedAt = startedAt;
        this.withinUs = askWithinUs;
    }

    /** Discovery has answered: a watch is open. */
    void renewed() {
        current = true;
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
            withinUs = Math.min(askWithinUs, WATCH_ENDED_US);
        }
    }

    void called(long now) {
        askedAt = now;
        withinUs = askWithinUs;
    }

    /**
     * A call has failed.
     *
     * @param unreachable whether discovery could not be reached: then its time begins anew
     */
    void callFailed(long now, boolean unreachable) {
        withinUs = AFTER_FAILURE * askWithinUs;
        if (unreachable) {
            staleSince = now;
        }
    }

    long askWithinUs() {
        return askWithinUs;
    }

    /** When the next call has to have begun. */
    long callBy() {
        return current ? Long.MAX_VALUE : askedAt + withinUs;
    }

    /** When the list has to have been renewed, if calls are made in time. */
    long renewBy() {
        return current ? Long.MAX_VALUE : staleSince + REACHABLE_US;
    }

    /** When changes may count as told that are not known, as things stand. */
    long toldBy() {
        return Math.min(renewBy(), callBy());
    }
}
