package mulleinfront;

import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;

/**
 * An instance's subscription to discovery: when it calls, whether a watch is open, and until when requests may be
 * sent by the list that is held. Where lists come by themselves it never calls, and every list is valid.
 */
final class Subscription {
    private final boolean asked;
    private final CallSchedule calls;
    private final Actions out;
    /** A call is out, or a watch is open. */
    private boolean asking;

    private boolean subscribed;
    /** When to call next, while neither is so. */
    private long askAt;

    private long validUntil = Long.MAX_VALUE;
    /** It was said that this time has come. */
    private boolean overdue;

    /** @param few instances up to which a start calls at once */
    Subscription(Settings settings, int few, long seed, long now, Actions out) {
        this.asked = settings.subscribe();
        this.calls = new CallSchedule(settings, few, seed, now);
        this.out = out;
        this.askAt = calls.atStart(now, false);
    }

    /** The process of this instance had started so long ago. */
    void processStarted(long now, long agoUs) {
        calls.processStarted(now - agoUs);
    }

    /** A list has come. */
    void listed(long now, Source source, boolean empty) {
        if (source != Source.CACHED && asking) {
            asking = false;
            subscribed = true;
            calls.answered(now);
            renewValidity();
        } else if (source == Source.CACHED && !asking && !subscribed && !empty) {
            askAt = calls.atStart(now, true);
        }
    }

    /** A call has failed before anything came of it. */
    void failed(long now) {
        callAgainAt(subscribed ? calls.afterWatch(now, 0) : calls.afterCall(now, false));
    }

    /**
     * The watch has broken or fallen silent, or a call that was answered has before its list was whole.
     *
     * @param quietUs since when nothing had come of it, microseconds
     */
    void lost(long now, long quietUs) {
        callAgainAt(subscribed ? calls.afterWatch(now, quietUs) : calls.afterAnsweredCall(now));
    }

    /** Nobody took the call. */
    void unreachable(long now) {
        callAgainAt(subscribed ? calls.afterWatch(now, 0) : calls.afterCall(now, true));
    }

    /** Discovery has ended the watch in order. */
    void ended(long now) {
        callAgainAt(subscribed ? calls.afterEnd(now) : calls.afterAnsweredCall(now));
    }

    /** Discovery is called elsewhere, where it has moved to so long ago. */
    void moved(long now, long movedAgoUs) {
        asking = true;
        subscribed = false;
        calls.moved(now - movedAgoUs, now);
    }

    private void callAgainAt(long at) {
        askAt = at;
        asking = false;
        subscribed = false;
    }

    /** Whether nothing may be sent by the list that is held: changes may count as told that it lacks. */
    boolean overdue(long now) {
        return now >= validUntil;
    }

    /** How long until another list may have come, as far as can be told, microseconds; 0 while this one is valid. */
    long renewedInUs(long now) {
        return overdue(now) ? calls.answerInUs(now, asking ? 0 : askAt) : 0;
    }

    /**
     * Calls if that is due, and says what has become of the list.
     *
     * @return when this is to be done next; {@link Long#MAX_VALUE}: after the next event
     */
    long act(long now) {
        boolean mustAsk = asked && !asking && !subscribed;
        if (mustAsk && now >= askAt) {
            asking = true;
            mustAsk = false;
            calls.called(now);
            out.subscribe(calls.patienceUs());
        }
        renewValidity();
        if (!overdue && overdue(now)) {
            overdue = true;
            out.onListExpired(calls.bound());
        }
        return Math.min(mustAsk ? askAt : Long.MAX_VALUE, overdue ? Long.MAX_VALUE : validUntil);
    }

    private void renewValidity() {
        long until = asked && !subscribed ? calls.toldBy() : Long.MAX_VALUE;
        if (until != validUntil) {
            validUntil = until;
            overdue = false;
            out.listValidUntil(until);
        }
    }
}
