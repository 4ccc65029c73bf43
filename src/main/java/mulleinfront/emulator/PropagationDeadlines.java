package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Propagation deadlines: the time from which a change in discovery's list counts as known to a client proxy that has
 * not received it. Where lists are pushed, discovery is the agent on the proxy's machine. A proxy with an open watch
 * knows a change once it is sent on the watch. A change counts from the
 * first time at which discovery had it and was reachable for the proxy since its start; a later outage does not
 * postpone its deadline. For a proxy without a watch the deadline is the earliest of
 *
 * <ul>
 * <li>2 s after the later of that time and the end of its watch, if discovery ended the watch in order, like a poll
 * whose wait is over. This holds whether or not the proxy has called since;
 * <li>where proxies call discovery: {@code askWithinUs} after the latest of the change, the time since which discovery
 * has been reachable, the end of
 * its watch, and its last call or start; four times as long if that call failed; none while discovery is unreachable;
 * <li>6 s after that time, whatever calls failed. A watch that became unresponsive counts as lost from then on.
 * </ul>
 */
final class PropagationDeadlines {
    /** Latest propagation deadline after discovery had a change and was reachable, whatever calls failed. */
    static final long REACHABLE_US = 6_000_000;
    /** Propagation deadline after discovery ended a watch in order, like a poll whose wait is over. */
    static final long WATCH_ENDED_US = 2_000_000;
    /** Poll interval limit where lists are pushed, to which none applies: above every other deadline. */
    static final long NO_POLL_LIMIT_US = 86_400_000_000L;
    /** Factor on {@code askWithinUs} after a failed call. */
    private static final int FAILED_CALL_FACTOR = 4;

    private static final long NEVER = Long.MAX_VALUE;

    private final long askWithinUs;
    private final Map<Integer, ProxyState> proxies = new HashMap<>();
    private final Outages discoveryOutages = new Outages();

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
        private long startedAt;
        /** When the proxy was paused or partitioned from discovery. */
        private Outages outages = new Outages();
    }

    /** Periods in which something was out of reach, in the order of time. */
    private static final class Outages {
        /** Begins of periods and their ends in turn. */
        private final List<Long> changes = new ArrayList<>();

        void reachable(boolean nowReachable, long now) {
            boolean inOutage = changes.size() % 2 == 1;
            if (nowReachable == inOutage) {
                changes.add(now);
            }
        }

        /** The first time from {@code at} on outside of all periods; {@link #NEVER} if there has been none. */
        long firstReachableFrom(long at) {
            for (int i = 0; i < changes.size() && changes.get(i) <= at; i += 2) {
                long end = i + 1 < changes.size() ? changes.get(i + 1) : NEVER;
                if (end > at) {
                    return end;
                }
            }
            return at;
        }

        /** The end of the last period; {@link #NEVER} if that goes on. */
        long reachableSince() {
            return changes.isEmpty() ? 0 : changes.size() % 2 == 0 ? changes.get(changes.size() - 1) : NEVER;
        }
    }

    PropagationDeadlines(long askWithinUs) {
        this.askWithinUs = askWithinUs;
    }

    private ProxyState stateOf(int proxy) {
        return proxies.computeIfAbsent(proxy, p -> new ProxyState());
    }

    void proxyStarted(int proxy, long now) {
        ProxyState state = new ProxyState();
        state.calledAt = now;
        state.startedAt = now;
        state.outages = stateOf(proxy).outages;
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
        discoveryOutages.reachable(nowReachable, now);
    }

    /** Records whether one client proxy runs and is not partitioned from discovery from now on. */
    void proxyConnected(int proxy, boolean nowConnected, long now) {
        stateOf(proxy).outages.reachable(nowConnected, now);
    }

    /**
     * The propagation deadline of a change that discovery has had since {@code listedAt}; {@link #NEVER} if none
     * applies now.
     */
    long deadline(int proxy, long listedAt) {
        ProxyState state = stateOf(proxy);
        long since = firstReachableFrom(state, Math.max(listedAt, state.startedAt));
        if (since == NEVER || state.watching && state.unresponsiveSince == NEVER) {
            return NEVER;
        }
        if (state.watching) {
            return Math.max(since, state.unresponsiveSince) + REACHABLE_US;
        }
        long watchEndDeadline = state.endedAt == NEVER ? NEVER : Math.max(since, state.endedAt) + WATCH_ENDED_US;
        return Math.min(since + REACHABLE_US, Math.min(pollDeadline(state, since), watchEndDeadline));
    }

    private long pollDeadline(ProxyState state, long since) {
        long reachableSince = Math.max(discoveryOutages.reachableSince(), state.outages.reachableSince());
        if (reachableSince == NEVER) {
            return NEVER;
        }
        return Math.max(Math.max(since, reachableSince), Math.max(state.calledAt, state.lostAt))
                + askWithinUs * (state.callFailed ? FAILED_CALL_FACTOR : 1);
    }

    /** The first time from {@code at} on at which discovery was up and the proxy ran and was not partitioned from it. */
    private long firstReachableFrom(ProxyState state, long at) {
        long from = at;
        while (from != NEVER) {
            long next = state.outages.firstReachableFrom(discoveryOutages.firstReachableFrom(from));
            if (next == from) {
                return from;
            }
            from = next;
        }
        return NEVER;
    }

    /** When the proxy last called discovery, or started; for the text of a violation. */
    long calledAt(int proxy) {
        return stateOf(proxy).calledAt;
    }
}
