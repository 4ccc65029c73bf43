package mulleinfront;

import mulleinfront.Balancer.ListExpiryReason;

/**
 * By when an instance has to have called discovery, and until when it may send by the list that it holds. The list is a
 * lease: it is renewed by an answer, and it runs out when a change that is not known may count as told. Both are
 * properties of the instance, count from when its list may first have been out of date, and this is the only place that
 * computes them.
 *
 * <ul>
 * <li>What discovery has counts as told {@link #REACHABLE_US} after it had it and could be reached.
 * <li>One without a watch has to ask within the settings' time, counted from its last call or its start; after a
 * call that failed it has four times as long.
 * <li>A watch that discovery has ended in order is a poll whose wait is over: what it missed counts as told
 * {@link #WATCH_ENDED_US} after that, whatever has become of calls since.
 * <li>After a move of discovery it is {@link #MOVED_US}.
 * </ul>
 *
 * <p>All of them count anew when discovery could not be reached. That is seen of a call that nobody took. One that
 * failed after a wait may have met a crowd as well as a discovery that is down: {@link #WAITS_OF_DOWN} of them in a
 * row count as down ({@link #WAITS_AFTER_END} after a watch that ended in order), unless there was a quick refusal
 * since the last answer.
 */
final class ListDeadline {
    /**
     * Time after which a change counts as told, counted from when discovery had it and could be reached, microseconds.
     */
    static final long REACHABLE_US = 6_000_000;
    /** The same after discovery ended the watch, where the settings' time for asking is not less, microseconds. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** The same after discovery moved, microseconds. */
    static final long MOVED_US = 4_000_000;
    /** Calls in a row that waited in vain and after which discovery is taken for down. */
    static final int WAITS_OF_DOWN = 2;
    /** The same after discovery ended the watch in order: it was there then. */
    static final int WAITS_AFTER_END = 4;

    private static final int AFTER_FAILURE = 4;
    private static final long NONE = Long.MAX_VALUE;

    private final long askWithinUs;
    private final long startedAt;
    /** A watch is open, so that changes come by themselves. */
    private boolean current;
    /** Since when the list may be out of date. */
    private long staleSince;
    /** The end of the last watch, the last call, or the start, whichever was last. */
    private long askedAt;
    /** The time for asking from then, and the time for which the list holds from then. */
    private long withinUs;

    private long holdsForUs;
    /** When the list runs out because the watch has ended in order, or discovery has moved. */
    private long endedBy = NONE;

    private long movedBy = NONE;
    private int waitsInARow;
    /** Discovery has turned a call away since it answered last: it is there, and too many call. */
    private boolean turnedAway;

    ListDeadline(long askWithinUs, long startedAt) {
        this.askWithinUs = askWithinUs;
        this.startedAt = startedAt;
        this.staleSince = startedAt;
        this.askedAt = startedAt;
        this.withinUs = askWithinUs;
        this.holdsForUs = askWithinUs;
    }

    /** The process of this instance started earlier than was known; of no effect once a list has been renewed. */
    void processStarted(long at) {
        if (staleSince == startedAt && !current) {
            staleSince = at;
        }
    }

    /** Discovery has answered: a watch is open. */
    void renewed() {
        current = true;
        countAnew();
    }

    private void countAnew() {
        endedBy = NONE;
        movedBy = NONE;
        waitsInARow = 0;
        turnedAway = false;
    }

    /**
     * The watch broke or fell silent.
     *
     * @param heardAt when anything had come of it last
     */
    void lost(long heardAt, long now) {
        if (current) {
            current = false;
            staleSince = heardAt;
            askedAt = now;
            withinUs = Math.min(askWithinUs, WATCH_ENDED_US);
            holdsForUs = askWithinUs;
        }
    }

    /** Discovery has ended the watch in order. */
    void ended(long now) {
        if (current) {
            lost(now, now);
            endedBy = now + withinUs;
        }
    }

    /**
     * Discovery is called elsewhere from now on.
     *
     * @param movedAt when that was asked for
     */
    void moved(long movedAt) {
        if (current) {
            current = false;
            staleSince = movedAt;
        }
        movedBy = Math.min(movedBy, movedAt + MOVED_US);
    }

    void called(long now) {
        askedAt = now;
        withinUs = askWithinUs;
        holdsForUs = askWithinUs;
    }

    /** A call has failed that nobody took: all counts anew, from when it was made. */
    void unreachable() {
        callFailed();
        staleSince = askedAt;
        countAnew();
    }

    /** A call has failed after a wait: discovery is down, or too many wait. */
    void waitedInVain() {
        int waits = waitsInARow + 1;
        callFailed();
        if (waits >= (endedBy == NONE ? WAITS_OF_DOWN : WAITS_AFTER_END) && !turnedAway) {
            unreachable();
        }
        waitsInARow = waits;
    }

    /**
     * A call was refused at once or broke off: discovery is there, and no waits say otherwise before it has answered.
     */
    void refused() {
        callFailed();
        waitsInARow = 0;
        turnedAway = true;
    }

    private void callFailed() {
        withinUs = AFTER_FAILURE * askWithinUs;
        holdsForUs = withinUs;
    }

    long askWithinUs() {
        return askWithinUs;
    }

    /** When the next call has to have begun. */
    long callBy() {
        return current ? NONE : askedAt + withinUs;
    }

    /** When the list has to have been renewed, if calls are made in time. */
    long renewBy() {
        return current ? NONE : Math.min(staleSince + REACHABLE_US, Math.min(endedBy, movedBy));
    }

    /** When changes may count as told that are not known, as things stand: nothing is sent by the list from then on. */
    long toldBy() {
        return current ? NONE : Math.min(renewBy(), askedAt + holdsForUs);
    }

    /** Which of the times is the first to run out. */
    ListExpiryReason bound() {
        long by = toldBy();
        return by == endedBy
                ? ListExpiryReason.WATCH_ENDED
                : by == movedBy
                        ? ListExpiryReason.MOVED
                        : by == staleSince + REACHABLE_US ? ListExpiryReason.REACHABLE : ListExpiryReason.ASK_WITHIN;
    }
}
