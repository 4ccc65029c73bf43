package mulleinfront.emulator;

import java.util.HashMap;
import java.util.Map;

/**
 * From when a change that discovery has counts as told to a client proxy, though it has not been told it. An open watch
 * is told when it is written to. One without a watch counts as told
 *
 * <ul>
 * <li>2 s after the end of its watch, if that ended in order, as a poll whose wait is over; whether or not it has called
 * since, unless discovery could not be reached meanwhile;
 * <li>the settings' time for asking after the change, the end of its watch, its last call or its start, four times as long
 * if that call failed;
 * <li>6 s after discovery had the change and could be reached, whatever calls failed. A watch that fell silent counts as
 * lost from then.
 * </ul>
 */
final class ToldDeadlines {
    /** Told at the latest so long after discovery had a change and could be reached, whatever calls failed. */
    static final long REACHABLE_US = 6_000_000;
    /** A watch that has ended is a poll whose wait is over: what it missed counts as told so long after. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** A call that failed binds for this many times as long. */
    private static final int AFTER_FAILURE = 4;

    private static final long NEVER = Long.MAX_VALUE;

    private final long askWithinUs;
    private final Map<Integer, Told> proxies = new HashMap<>();
    private boolean reachable = true;
    private long reachableSince;

    /** What is known of one process of a client proxy. */
    private static final class Told {
        private boolean watching;
        private boolean failed;
        private long calledAt;
        private long silentSince = NEVER;
        /** When its last watch was over, and when discovery ended it in order; {@link #NEVER} if it did not. */
        private long lostAt = -NEVER;

        private long endedAt = NEVER;
        /** It can reach discovery itself, and runs. */
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

    /** Its watch says nothing any more, also where its connection stays open. */
    void silent(int proxy, long now) {
        Told told = of(proxy);
        told.silentSince = Math.min(told.silentSince, now);
    }

    /**
     * A call has failed, or a watch has ended: which of both goes by whether there was a watch.
     *
     * @param inOrder whether discovery ended its answer, so that a poll's wait was over; else the connection broke, or the
     *        client proxy ended it
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

    /** Whether discovery can be reached by anybody, from now on. */
    void reachable(boolean can, long now) {
        reachable = can;
        reachableSince = now;
    }

    /** Whether one client proxy runs and is not cut off from discovery, from now on. */
    void reaches(int proxy, boolean can, long now) {
        Told told = of(proxy);
        told.reaches = can;
        told.reachesSince = now;
    }

    /** When a change that discovery has since an instant counts as told, if it is not told before. */
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

    /** When it last called, or started; for the words of a breach. */
    long calledAt(int proxy) {
        return of(proxy).calledAt;
    }
}
