package mulleinfront;

import mulleinfront.Balancer.ListExpiryReason;

/**
 * The deadlines of an instance's endpoint list: the time by which it must have called discovery, and the time until
 * which it may send requests by its current list. The list is a lease: a response from discovery renews it, and it
 * expires at the propagation deadline of a change that it may lack. The deadlines count from the time since which the
 * list may be out of date. No other class computes them.
 *
 * <ul>
 * <li>The propagation deadline of a change is {@link #PROPAGATION_US} after discovery had the change and was reachable.
 * <li>An instance that calls discovery and has no watch has to call within the poll interval limit of the settings,
 * counted from its last call or its start; after a failed call it has four times as long. This is the only deadline
 * that does not apply where lists are pushed by an agent that the proxy watches.
 * <li>A watch that discovery has closed in the normal way is a poll that has ended: the propagation deadline of later
 * changes is {@link #WATCH_ENDED_US} after that, whatever has become of calls since.
 * <li>After a change of discovery's address the propagation deadline is {@link #MOVED_US}.
 * </ul>
 *
 * <p>Only data from discovery postpones deadlines, since only data covers the time up to it. The failure of a call
 * proves nothing of the time before it, in which discovery may have had a change and been reachable. That holds for a
 * refused connection too: it shows that discovery was out of reach at that moment, not since the last data. Nor does
 * the reset of a watch prove anything: between two heartbeats a silent watch looks like a sound one.
 */
final class ListDeadline {
    /** Propagation deadline, counted from when discovery had a change and was reachable. */
    static final long PROPAGATION_US = 6_000_000;
    /** Propagation deadline after discovery closed the watch; the poll interval limit if that is shorter. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** Propagation deadline after discovery's address changed. */
    static final long MOVED_US = 4_000_000;
    /** Multiple of the poll interval limit that applies after a failed call. */
    private static final int FAILED_CALL_FACTOR = 4;

    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final long askWithinUs;
    private final long startedAt;
    /** Whether a watch is open, so that changes arrive without a call. */
    private boolean watchOpen;
    /** Time up to which data from discovery covers all changes. */
    private long coveredUntil;
    /** The end of the last watch, the last call or the start of the instance, whichever was last. */
    private long intervalStart;
    /** Time from then until the next call must begin, and until the list expires. */
    private long callWithinUs;

    private long expiresAfterUs;
    /** Propagation deadlines after discovery closed the watch and after its address changed. */
    private long watchEndedDeadline = NO_DEADLINE;

    private long movedDeadline = NO_DEADLINE;

    ListDeadline(long askWithinUs, long startedAt) {
        this.askWithinUs = askWithinUs;
        this.startedAt = startedAt;
        this.coveredUntil = startedAt;
        this.intervalStart = startedAt;
        this.callWithinUs = askWithinUs;
        this.expiresAfterUs = askWithinUs;
    }

    /** The process of this instance started earlier, at the given time; without effect after the first list. */
    void processStarted(long at) {
        if (coveredUntil == startedAt && !watchOpen) {
            coveredUntil = at;
        }
    }

    /** Discovery has responded with a list, and a watch is open. */
    void renewed() {
        watchOpen = true;
        watchEndedDeadline = NO_DEADLINE;
        movedDeadline = NO_DEADLINE;
    }

    /**
     * The watch broke or timed out.
     *
     * @param lastDataAt time of the last data from the watch
     */
    void watchLost(long lastDataAt, long now) {
        if (watchOpen) {
            watchOpen = false;
            coveredUntil = lastDataAt;
            intervalStart = now;
            callWithinUs = Math.min(askWithinUs, WATCH_ENDED_US);
            expiresAfterUs = askWithinUs;
        }
    }

    /**
     * Discovery has closed the watch in the normal way. Whether the watch had been silent before makes no difference:
     * its own deadline is the earlier one.
     */
    void watchEnded(long now) {
        if (watchOpen) {
            watchLost(now, now);
            watchEndedDeadline = now + callWithinUs;
        }
    }

    /**
     * The address of discovery has changed, and the watch of the old address is closed.
     *
     * @param movedAt time at which the change was requested
     * @param lastDataAt time of the last data from the old address, if a watch was open
     */
    void moved(long movedAt, long lastDataAt) {
        if (watchOpen) {
            watchOpen = false;
            coveredUntil = Math.min(movedAt, lastDataAt);
        }
        movedDeadline = Math.min(movedDeadline, movedAt + MOVED_US);
    }

    /** A call starts. */
    void called(long now) {
        intervalStart = now;
        callWithinUs = askWithinUs;
        expiresAfterUs = askWithinUs;
    }

    /** The last call failed, in whatever way: discovery may have been reachable since the last data. */
    void callFailed() {
        callWithinUs = FAILED_CALL_FACTOR * askWithinUs;
        expiresAfterUs = callWithinUs;
    }

    long askWithinUs() {
        return askWithinUs;
    }

    /** Time by which the next call must have started. */
    long callBy() {
        return watchOpen ? NO_DEADLINE : intervalStart + callWithinUs;
    }

    /** Time by which the list must have been renewed, provided that calls are made in time. */
    long renewBy() {
        return watchOpen
                ? NO_DEADLINE
                : Math.min(coveredUntil + PROPAGATION_US, Math.min(watchEndedDeadline, movedDeadline));
    }

    /** Propagation deadline of changes that the list may lack: nothing may be sent by the list from then on. */
    long propagationDeadline() {
        return watchOpen ? NO_DEADLINE : Math.min(renewBy(), intervalStart + expiresAfterUs);
    }

    /** The rule that sets the propagation deadline. */
    ListExpiryReason expiryReason() {
        long deadline = propagationDeadline();
        return deadline == watchEndedDeadline
                ? ListExpiryReason.WATCH_ENDED
                : deadline == movedDeadline
                        ? ListExpiryReason.MOVED
                        : deadline == coveredUntil + PROPAGATION_US
                                ? ListExpiryReason.REACHABLE
                                : ListExpiryReason.ASK_WITHIN;
    }
}
