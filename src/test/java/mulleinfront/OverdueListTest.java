package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinfront.Balancer.ListExpiryReason;
import mulleinfront.Balancer.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What becomes of requests while the list that is held may be out of date. */
class OverdueListTest {
    private static final int SAFE = 0;
    private static final int UNSAFE = 1;
    private static final long BUDGET_US = 1_000_000;

    private final Rig rig = new Rig(Rig.settings(true, Rig.SAFE, Rig.UNSAFE));

    @BeforeEach
    void holdsAList() {
        rig.endpoints(4);
        rig.pass(10_000_000);
    }

    private void watchEndsAndIsNotRenewed() {
        rig.balancer.onWatchEnded(rig.now);
        rig.pass(ListDeadline.WATCH_ENDED_US + 1_000);
    }

    @Test
    void nothingIsSentByItAndAnAnswerReleasesWhatIsHeld() {
        rig.balancer.onWatchEnded(rig.now);
        rig.pass(ListDeadline.WATCH_ENDED_US - 1_000);
        assertNotNull(rig.at(rig.request(SAFE, "before", BUDGET_US)), "sent while the list is valid");
        rig.pass(2_000);
        String held = rig.request(SAFE, "after", BUDGET_US);
        assertNull(rig.at(held));
        assertNull(rig.finals.get(held));
        rig.pass(100_000);
        rig.endpoints(4);
        assertNotNull(rig.at(held), "sent by the new list");
    }

    /** A request that never went anywhere may be refused whatever its effect; before half of its time is over. */
    @Test
    void whatIsNotReleasedIsRefusedInTime() {
        watchEndsAndIsNotRenewed();
        String safe = rig.request(SAFE, "a", BUDGET_US);
        String unsafe = rig.request(UNSAFE, "b", BUDGET_US);
        rig.pass(BUDGET_US / 2);
        assertEquals("refuse", rig.finals.get(safe));
        assertEquals("refuse", rig.finals.get(unsafe));
        assertEquals(0, rig.attempts(safe) + rig.attempts(unsafe));
    }

    @Test
    void aRepeatIsNotSentByItEither() {
        rig.balancer.onWatchEnded(rig.now);
        rig.pass(ListDeadline.WATCH_ENDED_US - 1_000);
        String id = rig.request(SAFE, "a", BUDGET_US);
        rig.pass(5_000);
        rig.end(id, Outcome.CONNECT_ERROR, 5_000);
        rig.pass(BUDGET_US);
        assertEquals(1, rig.attempts(id));
        assertEquals("refuse", rig.finals.get(id));
    }

    @Test
    void itIsSaidOnceAndWhichTimeHasRunOut() {
        watchEndsAndIsNotRenewed();
        rig.pass(500_000);
        assertEquals(
                1, rig.log.stream().filter(l -> l.startsWith("list-overdue")).count());
        assertTrue(rig.log.contains("list-overdue " + ListExpiryReason.WATCH_ENDED));
    }

    /** Discovery is down: what it has can not be told, and clients are served by the list that there is. */
    @Test
    void whileNobodyTakesCallsTheListHolds() {
        rig.balancer.onWatchEnded(rig.now);
        for (int i = 0; i < 20; i++) {
            rig.pass(1_000_000);
            rig.balancer.onDiscoveryUnreachable(rig.now);
            assertNotNull(rig.serve(SAFE, "k" + i));
        }
    }

    @Test
    void aMoveThatIsNotAnsweredCountsFromTheMove() {
        rig.balancer.onDiscoveryMoved(rig.now, 500_000);
        rig.pass(ListDeadline.MOVED_US - 501_000);
        assertNotNull(rig.at(rig.request(SAFE, "before", BUDGET_US)));
        rig.pass(2_000);
        assertNull(rig.at(rig.request(SAFE, "after", BUDGET_US)));
    }
}
