package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mulleinfront.Balancer.ListExpiryReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Until when an instance may send by the list that it holds, whatever becomes of its calls. */
class ListDeadlineTest {
    private static final long S = 1_000_000;
    private static final long LOST = 100 * S;

    private final ListDeadline deadline = new ListDeadline(10 * S, 0);

    @BeforeEach
    void watches() {
        deadline.called(S);
        deadline.renewed();
    }

    /** Incident 2: a call that was out, or had failed, put off what counts from the end of the watch. */
    @Test
    void theEndOfAWatchCountsWhateverCallsAreOutOrFailed() {
        deadline.ended(LOST);
        assertEquals(LOST + ListDeadline.WATCH_ENDED_US, deadline.toldBy());
        deadline.called(LOST + S);
        assertEquals(LOST + ListDeadline.WATCH_ENDED_US, deadline.toldBy());
        deadline.refused();
        deadline.called(LOST + 2 * S);
        deadline.waitedInVain();
        assertEquals(LOST + ListDeadline.WATCH_ENDED_US, deadline.toldBy());
        assertEquals(ListExpiryReason.WATCH_ENDED, deadline.bound());
    }

    @Test
    void aShorterTimeForAskingHoldsForTheEndOfAWatchToo() {
        ListDeadline brief = new ListDeadline(S, 0);
        brief.renewed();
        brief.ended(LOST);
        assertEquals(LOST + S, brief.toldBy());
    }

    @Test
    void aWatchThatBrokeOrFellSilentCountsFromWhatWasHeardLast() {
        deadline.lost(LOST - 2 * S, LOST);
        deadline.called(LOST + S);
        deadline.refused();
        assertEquals(LOST - 2 * S + ListDeadline.REACHABLE_US, deadline.toldBy());
        assertEquals(ListExpiryReason.REACHABLE, deadline.bound());
    }

    @Test
    void theTimeForAskingCountsFromTheLastCallAndIsLongerAfterAFailure() {
        ListDeadline brief = new ListDeadline(S, 0);
        brief.renewed();
        brief.lost(LOST, LOST);
        assertEquals(LOST + S, brief.toldBy());
        brief.called(LOST + S / 2);
        assertEquals(LOST + S / 2 + S, brief.toldBy());
        assertEquals(ListExpiryReason.ASK_WITHIN, brief.bound());
        brief.refused();
        assertEquals(LOST + S / 2 + 4 * S, brief.toldBy());
    }

    @Test
    void allCountsAnewWhenNobodyTookACall() {
        deadline.ended(LOST);
        deadline.called(LOST + S);
        deadline.unreachable();
        assertEquals(LOST + S + ListDeadline.REACHABLE_US, deadline.toldBy());
    }

    @Test
    void callsThatWaitInVainInARowAreADiscoveryThatIsDown() {
        deadline.lost(LOST, LOST);
        long now = LOST;
        for (int waits = 1; waits < ListDeadline.WAITS_OF_DOWN; waits++) {
            now += 3 * S;
            deadline.called(now);
            deadline.waitedInVain();
            assertEquals(LOST + ListDeadline.REACHABLE_US, deadline.toldBy());
        }
        now += 3 * S;
        deadline.called(now);
        deadline.waitedInVain();
        assertEquals(now + ListDeadline.REACHABLE_US, deadline.toldBy(), "from when the last of them was made");
    }

    @Test
    void aQuickRefusalBetweenShowsThatDiscoveryIsThere() {
        deadline.lost(LOST, LOST);
        for (int waits = 1; waits < 3 * ListDeadline.WAITS_OF_DOWN; waits++) {
            deadline.waitedInVain();
            deadline.refused();
            assertEquals(LOST + ListDeadline.REACHABLE_US, deadline.toldBy());
        }
    }

    @Test
    void afterTheEndOfAWatchItTakesMoreOfThem() {
        deadline.ended(LOST);
        for (int waits = 1; waits < ListDeadline.WAITS_AFTER_END; waits++) {
            deadline.called(LOST + 3 * waits * S);
            deadline.waitedInVain();
            assertEquals(LOST + ListDeadline.WATCH_ENDED_US, deadline.toldBy());
        }
        deadline.called(LOST + 15 * S);
        deadline.waitedInVain();
        assertEquals(LOST + 15 * S + ListDeadline.REACHABLE_US, deadline.toldBy());
    }

    /** Soak seeds 120 and 140: calls of all took twice as long as discovery lets one wait. */
    @Test
    void afterAQuickRefusalNoNumberOfWaitsIsADiscoveryThatIsDown() {
        deadline.lost(LOST, LOST);
        deadline.called(LOST + S);
        deadline.refused();
        for (int waits = 1; waits < 3 * ListDeadline.WAITS_OF_DOWN; waits++) {
            deadline.called(LOST + 3 * waits * S);
            deadline.waitedInVain();
            assertEquals(LOST + ListDeadline.REACHABLE_US, deadline.toldBy());
        }
    }

    /** Soak seed 12: a process is launched before its own code can look at a clock. */
    @Test
    void aStartCountsFromTheLaunchOfTheProcess() {
        ListDeadline started = new ListDeadline(10 * S, LOST);
        started.processStarted(LOST - S);
        started.called(LOST + S);
        assertEquals(LOST - S + ListDeadline.REACHABLE_US, started.toldBy());
        started.renewed();
        started.lost(LOST + 9 * S, LOST + 9 * S);
        started.processStarted(LOST - S);
        assertEquals(LOST + 9 * S + ListDeadline.REACHABLE_US, started.toldBy());
    }

    @Test
    void aMoveOfDiscoveryCountsFromTheFirstThatIsNotAnsweredYet() {
        deadline.moved(LOST);
        deadline.called(LOST + S);
        assertEquals(LOST + ListDeadline.MOVED_US, deadline.toldBy());
        assertEquals(ListExpiryReason.MOVED, deadline.bound());
        deadline.moved(LOST + 2 * S);
        assertEquals(LOST + ListDeadline.MOVED_US, deadline.toldBy());
        deadline.renewed();
        assertEquals(Long.MAX_VALUE, deadline.toldBy());
    }
}
