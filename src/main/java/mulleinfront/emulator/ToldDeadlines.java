package mulleinfront.emulator;

import java.util.HashMap;
import java.util.Map;

/**
 * Propagation deadlines: the time from which a change in discovery's list counts as known to a client proxy that has
 * not received it. A proxy with an open watch knows a change once it is sent on the watch. There is no deadline while
 * discovery is unreachable for the proxy. For a proxy without a watch the deadline is the earliest of
 *
 * <ul>
 * <li>2 s after the later of the change and the end of its watch, if discovery ended the watch in order, like a poll
 * whose wait is over. This holds whether or not the proxy has called since, unless discovery was unreachable meanwhile;
 * <li>{@code askWithinUs} after the latest of the change, the time since which discovery has been reachable, the end of
 * its watch, and its last call or start; four times as long if that call failed;
 * <li>6 s after the later of the change and the time since which discovery has been reachable, whatever calls failed. A
 * watch that became unresponsive counts as lost from that time.
 * </ul>
 */
final class ToldDeadlines {
    /** Latest propagation deadline after discovery had a change and was reachable, whatever calls failed. */
    static final long REACHABLE_US = 6_000_000;
    /** Propagation deadline after discovery ended a watch in order, like a poll whose wait is over. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** Factor on {@code askWithinUs} after a failed call. */
    private static final int AFTER_FAILURE = 4;

    private static final long NEVER = Long.MAX_VALUE;

    private final long askWithinUs;
    private final Map<Integer, Told> proxies = new HashMap<>();
    private boolean reachable = true;
    private long reachableSince;

    /** Discovery state of one process of a client proxy. */
    private static final class Told {
        private boolean watching;
        private boolean failed;
        private long calledAt;
        private long silentSince = NEVER;
        /**
         * When the last watch ended ({@code lostAt}), and when discovery ended it in order ({@code endedAt}), or
         * {@link #NEVER} if it did not.
         */
        private long lostAt = -NEVER;

        private long endedAt = NEVER;
        /** Whether the proxy runs and is not partitioned from discovery. */
        private boolean reaches = true;

        private long reachesSince;
    }

    ToldDeadlines(long askWithinUs) {
        this.askWithinUs = askWithinUs;
    }

    private Told of(int proxy) {
        return proxies.computeIfAbsent(proxy, p -> new Told());
    }

    void started(int proxy, long now) {
        boolean reaches = of(proxy).reaches;
        Told told = new Told();
        told.calledAt = now;
        told.reaches = reaches;
        told.reachesSince = now;
        proxies.put(proxy, told);
    }

    void called(int proxy, long now) {
        of(proxy).calledAt = now;
    }

    void watching(int proxy) {
        Told told = of(proxy);
        told.watching = true;
        told.failed = false;
        told.silentSince = NEVER;
        told.endedAt = NEVER;
    }

    /** Records that the proxy's watch gets no data any more, even if its connection stays open. */
    void silent(int proxy, long now) {
        Told told = of(proxy);
        told.silentSince = Math.min(told.silentSince, now);
    }

    /**
     * Records the end of a watch if the proxy had one, otherwise a failed call.
     *
     * @param inOrder whether discovery ended its response, so that a poll's wait was over; otherwise the connection
     *     broke, or the client proxy closed it
     */
    void ended(int proxy, long now, boolean inOrder) {
        Told told = of(proxy);
        told.failed = !told.watching;
        if (told.watching) {
            told.lostAt = now;
            told.endedAt = inOrder && told.silentSince == NEVER ? now : NEVER;
        }
        told.watching = false;
    }

    /** Records whether discovery is reachable for any proxy from now on. */
    void reachable(boolean can, long now) {
        reachable = can;
        reachableSince = now;
    }

    /** Records whether one client proxy runs and is not partitioned from discovery from now on. */
    void reaches(int proxy, boolean can, long now) {
        Told told = of(proxy);
        told.reaches = can;
        told.reachesSince = now;
    }

    /**
     * The propagation deadline of a change that discovery has had since {@code listedAt}; {@link #NEVER} if none
     * applies now.
     */
    long toldAt(int proxy, long listedAt) {
        Told told = of(proxy);
        if (!reachable || !told.reaches || told.watching && told.silentSince == NEVER) {
            return NEVER;
        }
        long reachedSince = Math.max(reachableSince, told.reachesSince);
        long since = Math.max(listedAt, reachedSince);
        if (told.watching) {
            return Math.max(since, told.silentSince) + REACHABLE_US;
        }
        long asked =
                Math.max(since, Math.max(told.calledAt, told.lostAt)) + askWithinUs * (told.failed ? AFTER_FAILURE : 1);
        boolean endedInReach = told.endedAt != NEVER && told.endedAt >= reachedSince;
        long ended = endedInReach ? Math.max(listedAt, told.endedAt) + WATCH_ENDED_US : NEVER;
        return Math.min(since + REACHABLE_US, Math.min(asked, ended));
    }

    /** When the proxy last called discovery, or started; for the text of a violation. */
    long calledAt(int proxy) {
        return of(proxy).calledAt;
    }
}
