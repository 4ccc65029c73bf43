package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Ids whose requests may still run. */
class UnsettledIdsTest {
    private static final long KEPT_US = 1_000;

    private final UnsettledIds ids = new UnsettledIds(KEPT_US);

    @Test
    void idIsKnownUntilItsTime() {
        ids.add("a", 0);
        assertTrue(ids.contains("a", KEPT_US - 1));
        assertFalse(ids.contains("b", KEPT_US - 1));
        assertFalse(ids.contains("a", KEPT_US));
    }

    @Test
    void idThatIsAddedAgainIsKeptFromThenOn() {
        ids.add("a", 0);
        ids.add("a", KEPT_US / 2);
        assertTrue(ids.contains("a", KEPT_US));
    }

    /** Guards against memory that grows with the ids that clients use. */
    @Test
    void oldestIdIsForgottenAtTheLimit() {
        for (int i = 0; i <= UnsettledIds.MAX_IDS; i++) {
            ids.add("id" + i, 0);
        }
        assertFalse(ids.contains("id0", 0));
        assertTrue(ids.contains("id1", 0));
        assertTrue(ids.contains("id" + UnsettledIds.MAX_IDS, 0));
    }
}
