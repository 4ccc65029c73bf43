package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The limit of what peers can make the proxy hold, and each connection's share of it. */
class MemoryAccountTest {
    private static final long LIMIT_BYTES = 8_000_000;
    private static final int CONNECTIONS = 1_000;

    @Test
    void limitFollowsTheMemoryThatIsLeftBesideTheProcess() {
        assertEquals(16_000_000, MemoryAccount.limitBytes(192, 1_024, 1));
        assertEquals(MemoryAccount.limitBytes(96, 1_024, 1), MemoryAccount.limitBytes(192, 1_024, 2));
        assertTrue(MemoryAccount.limitBytes(96, 1_024, 1) < MemoryAccount.limitBytes(144, 1_024, 1));
        assertEquals(2_000_000, MemoryAccount.limitBytes(32, 1_024, 1), "the least that usual clients need");
    }

    /** Guards against a crowd whose members together hold more than the limit, each within its share. */
    @Test
    void greedyConnectionsStayWithinTheLimitAndLeaveRoomForSmallRequests() {
        MemoryAccount account = new MemoryAccount(LIMIT_BYTES);
        long[] held = new long[CONNECTIONS];
        for (int round = 0; round < CONNECTIONS; round++) {
            for (int i = 0; i < CONNECTIONS; i++) {
                long more = Math.max(0, account.allowanceBytes() - held[i]) / 2;
                held[i] += more;
                account.add(more);
            }
        }
        assertTrue(account.usedBytes() <= LIMIT_BYTES + CONNECTIONS * MemoryAccount.MIN_ALLOWANCE_BYTES);
        assertTrue(account.allowanceBytes() >= MemoryAccount.MIN_ALLOWANCE_BYTES);
    }

    @Test
    void releasedBytesAreFreeAgainAndThePeakStays() {
        MemoryAccount account = new MemoryAccount(LIMIT_BYTES);
        long allowance = account.allowanceBytes();
        account.add(LIMIT_BYTES);
        assertTrue(account.isFull());
        account.add(-LIMIT_BYTES);
        assertFalse(account.isFull());
        assertEquals(allowance, account.allowanceBytes());
        assertEquals(LIMIT_BYTES, account.peakBytes());
    }
}
