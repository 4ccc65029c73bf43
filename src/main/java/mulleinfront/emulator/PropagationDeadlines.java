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
final class PropagationDeadlines {
    /** Latest propagation deadline after discovery had a change and was reachable, whatever calls failed. */
    static final long REACHABLE_US = 6_000_000;
    /** Propagation deadline after discovery ended a watch in order, like a poll whose wait is over. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** Factor on {@code askWithinUs} after a failed call. */
    private static final int FAILED_CALL_FACTOR = 4;

    private static final long NEVER = Long.MAX_VALUE;

    private final long askWithinUs;
    private final Map<Integer, ProxyState> proxies = new HashMap<>();
    private boolean reachable = true;
    private long reachableSince;

    /** Discovery state of one process of a client proxy. */
    private static final class ProxyState {
        private boolean watching;
        private boolean callFailed;
        private long calledAt;
        private long unresponsiveSince = NEVER;
        /**
         * When the last watch ended ({@code lostAt}), and when discovery ended it in order ({@code endedAt}), or
         * {@link #NEVER} if it did not.
         */
        private long lostAt = -NEVER;

        private long endedAt = NEVER;
        /** Whether the proxy runs and is not partitioned from discovery. */
        private boolean connected = true;

        private long connectedSince;
    }

    PropagationDeadlines(long askWithinUs) {
        this.askWithinUs = askWithinUs;
    }

    private ProxyState stateOf(int proxy) {
        return proxies.computeIfAbsent(proxy, p -> new ProxyState());
    }

    void proxyStarted(int proxy, long now) {
        boolean connected = stateOf(proxy).connected;
        ProxyState state = new ProxyState();
        state.calledAt = now;
        state.connected = connected;
        state.connectedSince = now;
        proxies.put(proxy, state);
    }

    void discoveryCalled(int proxy, long now) {
        stateOf(proxy).calledAt = now;
    }

    void watching(int proxy) {
        ProxyState state = stateOf(proxy);
        state.watching = true;
        state.callFailed = false;
        state.unresponsiveSince = NEVER;
        state.endedAt = NEVER;
    }

    /** Records that the proxy's watch gets no data any more, even if its connection stays open. */
    void watchUnresponsive(int proxy, long now) {
        ProxyState state = stateOf(proxy);
        state.unresponsiveSince = Math.min(state.unresponsiveSince, now);
    }

    /**
     * Records the end of a watch if the proxy had one, otherwise a failed call.
     *
     * @param inOrder whether discovery ended its response, so that a poll's wait was over; otherwise the connection
     *     broke, or the client proxy closed it
     */
    void watchEnded(int proxy, long now, boolean inOrder) {
        ProxyState state = stateOf(proxy);
        state.callFailed = !state.watching;
        if (state.watching) {
            state.lostAt = now;
            state.endedAt = inOrder && state.unresponsiveSince == NEVER ? now : NEVER;
        }
        state.watching = false;
    }

    /** Records whether discovery is reachable for any proxy from now on. */
    void discoveryReachable(boolean nowReachable, long now) {
        reachable = nowReachable;
        reachableSince = now;
    }

    /** Records whether one client proxy runs and is not partitioned from discovery from now on. */
    void proxyConnected(int proxy, boolean nowConnected, long now) {
        ProxyState state = stateOf(proxy);
        state.connected = nowConnected;
        state.connectedSince = now;
    }

    /**
     * The propagation deadline of a change that discovery has had since {@code listedAt}; {@link #NEVER} if none
     * applies now.
     */
    long deadline(int proxy, long listedAt) {
        ProxyState state = stateOf(proxy);
        if (!reachable || !state.connected || state.watching && state.unresponsiveSince == NEVER) {
            return NEVER;
        }
        long reachableFrom = Math.max(reachableSince, state.connectedSince);
        long since = Math.max(listedAt, reachableFrom);
        if (state.watching) {
            return Math.max(since, state.unresponsiveSince) + REACHABLE_US;
        }
        long pollDeadline = Math.max(since, Math.max(state.calledAt, state.lostAt))
                + askWithinUs * (state.callFailed ? FAILED_CALL_FACTOR : 1);
        boolean endedWhileReachable = state.endedAt != NEVER && state.endedAt >= reachableFrom;
        long watchEndDeadline = endedWhileReachable ? Math.max(listedAt, state.endedAt) + WATCH_ENDED_US : NEVER;
        return Math.min(since + REACHABLE_US, Math.min(pollDeadline, watchEndDeadline));
    }

    /** When the proxy last called discovery, or started; for the text of a violation. */
    long calledAt(int proxy) {
        return stateOf(proxy).calledAt;
    }
}
