package mulleinfront;

import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;

/**
 * An instance's subscription to discovery: it makes discovery calls, tracks the watch and reports when the current list
 * expires. Where lists are pushed, it makes no calls. The proxy then reports its calls to the agent that has the lists,
 * and the current list expires as elsewhere; without any such call lists arrive by themselves and do not expire.
 */
final class Subscription {
    /** Whether this class makes the discovery calls. */
    private final boolean makesCalls;
    /** Whether lists come in response to calls, whoever makes them, so that a list without a watch expires. */
    private boolean listsExpire;

    private final CallSchedule schedule;
    private final Actions actions;
    /** Whether a call is in progress. */
    private boolean callInProgress;
    /** Whether a watch is open. */
    private boolean watchOpen;
    /** Time of the next call, if no call is in progress and no watch is open. */
    private long nextCallAt;
    /** Expiry of the current list, as last reported. */
    private long expiresAt = Long.MAX_VALUE;
    /** Whether the expiry has been reported. */
    private boolean expired;

    /** @param maxFewInstances most instances with which the first call is made at once */
    Subscription(Settings settings, int maxFewInstances, long seed, long now, Actions actions) {
        this.makesCalls = settings.subscribe();
        this.listsExpire = makesCalls;
        this.schedule = new CallSchedule(settings, maxFewInstances, seed, now);
        this.actions = actions;
        this.nextCallAt = schedule.firstCallAt(now, false);
    }

    /** The process of this instance started before the instance. */
    void processStarted(long now, long startedAgoUs) {
        schedule.processStarted(now - startedAgoUs);
    }

    /** A list or delta has arrived. */
    void listReceived(long now, Source source, boolean empty) {
        if (source != Source.CACHED && callInProgress) {
            callInProgress = false;
            watchOpen = true;
            schedule.answered(now);
            updateExpiry();
        } else if (source == Source.CACHED && !callInProgress && !watchOpen && !empty) {
            nextCallAt = schedule.firstCallAt(now, true);
        }
    }

    /** The proxy has called discovery itself. */
    void called(long now) {
        listsExpire = true;
        if (!watchOpen) {
            callInProgress = true;
            schedule.called(now);
        }
    }

    /** A call failed without any response. */
    void callFailed(long now) {
        scheduleCall(now, watchOpen ? schedule.afterWatchLost(now, 0) : schedule.afterFailedCall(now, false));
    }

    /**
     * The watch broke or timed out, or a response broke off before its list was complete.
     *
     * @param quietUs time since the last data, microseconds
     */
    void watchLost(long now, long quietUs) {
        scheduleCall(now, watchOpen ? schedule.afterWatchLost(now, quietUs) : schedule.afterAnsweredCall(now));
    }

    /** The call did not reach discovery: its connection was refused. */
    void unreachable(long now) {
        scheduleCall(now, watchOpen ? schedule.afterWatchLost(now, 0) : schedule.afterFailedCall(now, true));
    }

    /** Discovery closed the watch in the normal way. */
    void watchEnded(long now) {
        scheduleCall(now, watchOpen ? schedule.afterWatchEnded(now) : schedule.afterAnsweredCall(now));
    }

    /**
     * The address of discovery changed, and a call to the new address is in progress.
     *
     * @param quietUs time since the last data from the old address, microseconds
     */
    void moved(long now, long movedAgoUs, long quietUs) {
        listsExpire = true;
        callInProgress = true;
        watchOpen = false;
        schedule.moved(now - movedAgoUs, now, quietUs);
    }

    /** A call that had failed by its timeout has been answered, and takes the place of any later one. */
    void timedOutCallAnswered(long now, long startedAgoUs) {
        if (!watchOpen) {
            callInProgress = true;
            schedule.timedOutCallAnswered(now - startedAgoUs);
        }
    }

    /** No call is in progress any more; where the proxy makes the calls, the next one comes soon and is reported. */
    private void scheduleCall(long now, long at) {
        nextCallAt = makesCalls ? at : now;
        callInProgress = false;
        watchOpen = false;
    }

    /** Whether the current list has expired: the propagation deadline of changes that it may lack has passed. */
    boolean expired(long now) {
        return now >= expiresAt;
    }

    /** Estimated time until a new list arrives, microseconds; 0 while the current list has not expired. */
    long renewalInUs(long now) {
        return expired(now) ? schedule.responseInUs(now, callInProgress ? 0 : nextCallAt) : 0;
    }

    /**
     * Makes a call if one is due, and reports the expiry of the list.
     *
     * @return the time at which this method is to be called next; {@link Long#MAX_VALUE}: after the next event
     */
    long update(long now) {
        boolean callNeeded = makesCalls && !callInProgress && !watchOpen;
        if (callNeeded && now >= nextCallAt) {
            callInProgress = true;
            callNeeded = false;
            schedule.called(now);
            actions.subscribe(schedule.callTimeoutUs());
        }
        updateExpiry();
        if (!expired && expired(now)) {
            expired = true;
            actions.onListExpired(schedule.expiryReason());
        }
        return Math.min(callNeeded ? nextCallAt : Long.MAX_VALUE, expired ? Long.MAX_VALUE : expiresAt);
    }

    private void updateExpiry() {
        long newExpiry = listsExpire && !watchOpen ? schedule.propagationDeadline() : Long.MAX_VALUE;
        if (newExpiry != expiresAt) {
            expiresAt = newExpiry;
            expired = false;
            actions.onListExpiryChanged(newExpiry, schedule.expiryReason());
        }
    }
}
