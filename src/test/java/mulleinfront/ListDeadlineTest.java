package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mulleinfront.Balancer.ListExpiryReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The time until which an instance may send by its current list, whatever becomes of its discovery calls. */
class ListDeadlineTest {
    private static final long SECOND_US = 1_000_000;
    private static final long LOST_AT_US = 100 * SECOND_US;

    private final ListDeadline deadline = new ListDeadline(10 * SECOND_US, 0);

    @BeforeEach
    void openWatch() {
        deadline.called(SECOND_US);
        deadline.renewed();
    }

    /** Guards against a call in progress, or a failed one, that postpones the deadline set by the end of the watch. */
    @Test
    void callsDoNotPostponeTheDeadlineOfAClosedWatch() {
        deadline.watchEnded(LOST_AT_US);
        assertEquals(LOST_AT_US + ListDeadline.WATCH_ENDED_US, deadline.propagationDeadline());
        deadline.called(LOST_AT_US + SECOND_US);
        assertEquals(LOST_AT_US + ListDeadline.WATCH_ENDED_US, deadline.propagationDeadline());
        deadline.callRejected();
        deadline.called(LOST_AT_US + 2 * SECOND_US);
        deadline.callTimedOut();
        assertEquals(LOST_AT_US + ListDeadline.WATCH_ENDED_US, deadline.propagationDeadline());
        assertEquals(ListExpiryReason.WATCH_ENDED, deadline.expiryReason());
    }

    @Test
    void shorterPollIntervalLimitAppliesAfterAClosedWatch() {
        ListDeadline shortDeadline = new ListDeadline(SECOND_US, 0);
        shortDeadline.renewed();
        shortDeadline.watchEnded(LOST_AT_US);
        assertEquals(LOST_AT_US + SECOND_US, shortDeadline.propagationDeadline());
    }

    @Test
    void deadlineOfABrokenWatchCountsFromItsLastData() {
        deadline.watchLost(LOST_AT_US - 2 * SECOND_US, LOST_AT_US);
        deadline.called(LOST_AT_US + SECOND_US);
        deadline.callRejected();
        assertEquals(LOST_AT_US - 2 * SECOND_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
        assertEquals(ListExpiryReason.REACHABLE, deadline.expiryReason());
    }

    @Test
    void pollIntervalLimitCountsFromTheLastCall() {
        ListDeadline shortDeadline = new ListDeadline(SECOND_US, 0);
        shortDeadline.renewed();
        shortDeadline.watchLost(LOST_AT_US, LOST_AT_US);
        assertEquals(LOST_AT_US + SECOND_US, shortDeadline.propagationDeadline());
        shortDeadline.called(LOST_AT_US + SECOND_US / 2);
        assertEquals(LOST_AT_US + SECOND_US / 2 + SECOND_US, shortDeadline.propagationDeadline());
        assertEquals(ListExpiryReason.ASK_WITHIN, shortDeadline.expiryReason());
        shortDeadline.callRejected();
        assertEquals(LOST_AT_US + SECOND_US / 2 + 4 * SECOND_US, shortDeadline.propagationDeadline());
    }

    @Test
    void unreachableDiscoveryResetsTheDeadlines() {
        deadline.watchEnded(LOST_AT_US);
        deadline.called(LOST_AT_US + SECOND_US);
        deadline.callUnreachable();
        assertEquals(LOST_AT_US + SECOND_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
    }

    @Test
    void consecutiveTimeoutsCountAsUnreachable() {
        deadline.watchLost(LOST_AT_US, LOST_AT_US);
        long now = LOST_AT_US;
        for (int timeouts = 1; timeouts < ListDeadline.TIMEOUTS_UNTIL_UNREACHABLE; timeouts++) {
            now += 3 * SECOND_US;
            deadline.called(now);
            deadline.callTimedOut();
            assertEquals(LOST_AT_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
        }
        now += 3 * SECOND_US;
        deadline.called(now);
        deadline.callTimedOut();
        assertEquals(
                now + ListDeadline.PROPAGATION_US,
                deadline.propagationDeadline(),
                "counted from the start of the last call");
    }

    @Test
    void rejectionsBetweenTimeoutsShowThatDiscoveryIsReachable() {
        deadline.watchLost(LOST_AT_US, LOST_AT_US);
        for (int timeouts = 1; timeouts < 3 * ListDeadline.TIMEOUTS_UNTIL_UNREACHABLE; timeouts++) {
            deadline.callTimedOut();
            deadline.callRejected();
            assertEquals(LOST_AT_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
        }
    }

    @Test
    void moreTimeoutsAreNeededAfterAClosedWatch() {
        deadline.watchEnded(LOST_AT_US);
        for (int timeouts = 1; timeouts < ListDeadline.TIMEOUTS_AFTER_WATCH_ENDED; timeouts++) {
            deadline.called(LOST_AT_US + 3 * timeouts * SECOND_US);
            deadline.callTimedOut();
            assertEquals(LOST_AT_US + ListDeadline.WATCH_ENDED_US, deadline.propagationDeadline());
        }
        deadline.called(LOST_AT_US + 15 * SECOND_US);
        deadline.callTimedOut();
        assertEquals(LOST_AT_US + 15 * SECOND_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
    }

    /**
     * Guards against taking an overloaded discovery for an unreachable one: the calls of all instances together may
     * take twice as long as discovery lets one of them wait.
     */
    @Test
    void timeoutsAfterARejectionDoNotCountAsUnreachable() {
        deadline.watchLost(LOST_AT_US, LOST_AT_US);
        deadline.called(LOST_AT_US + SECOND_US);
        deadline.callRejected();
        for (int timeouts = 1; timeouts < 3 * ListDeadline.TIMEOUTS_UNTIL_UNREACHABLE; timeouts++) {
            deadline.called(LOST_AT_US + 3 * timeouts * SECOND_US);
            deadline.callTimedOut();
            assertEquals(LOST_AT_US + ListDeadline.PROPAGATION_US, deadline.propagationDeadline());
        }
    }

    /** The process starts before its own code can read a clock, so deadlines count from the launch. */
    @Test
    void deadlineCountsFromTheStartOfTheProcess() {
        ListDeadline started = new ListDeadline(10 * SECOND_US, LOST_AT_US);
        started.processStarted(LOST_AT_US - SECOND_US);
        started.called(LOST_AT_US + SECOND_US);
        assertEquals(LOST_AT_US - SECOND_US + ListDeadline.PROPAGATION_US, started.propagationDeadline());
        started.renewed();
        started.watchLost(LOST_AT_US + 9 * SECOND_US, LOST_AT_US + 9 * SECOND_US);
        started.processStarted(LOST_AT_US - SECOND_US);
        assertEquals(LOST_AT_US + 9 * SECOND_US + ListDeadline.PROPAGATION_US, started.propagationDeadline());
    }

    @Test
    void movedDeadlineCountsFromTheFirstUnansweredMove() {
        deadline.moved(LOST_AT_US);
        deadline.called(LOST_AT_US + SECOND_US);
        assertEquals(LOST_AT_US + ListDeadline.MOVED_US, deadline.propagationDeadline());
        assertEquals(ListExpiryReason.MOVED, deadline.expiryReason());
        deadline.moved(LOST_AT_US + 2 * SECOND_US);
        assertEquals(LOST_AT_US + ListDeadline.MOVED_US, deadline.propagationDeadline());
        deadline.renewed();
        assertEquals(Long.MAX_VALUE, deadline.propagationDeadline());
    }
}
