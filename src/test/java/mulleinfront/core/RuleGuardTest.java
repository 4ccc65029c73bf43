package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.core.RuleGuard.Check;
import org.junit.jupiter.api.Test;

/** Prevented actions and violations are counted separately, and checks allocate no memory. */
class RuleGuardTest {
    private final RuleGuard guard = new RuleGuard();

    @Test
    void preventedActionIsNoViolation() {
        assertTrue(guard.allows(Check.REPEAT_UNSAFE, true));
        assertFalse(guard.allows(Check.REPEAT_UNSAFE, false));
        assertEquals(1, guard.prevented(Check.REPEAT_UNSAFE));
        assertEquals(0, guard.violations());
    }

    @Test
    void violationIsCountedAndReported() {
        List<String> reported = new ArrayList<>();
        guard.setListener((check, requestId) -> reported.add(check + " " + requestId));
        guard.verify(Check.ANSWER_OVERDUE, true, "a");
        guard.verify(Check.ANSWER_OVERDUE, false, "b");
        guard.verify(Check.CLOSE_UNANSWERED, false, null);
        assertEquals(List.of("ANSWER_OVERDUE b", "CLOSE_UNANSWERED null"), reported);
        assertEquals(1, guard.violations(Check.ANSWER_OVERDUE));
        assertEquals(2, guard.violations());
        StringBuilder summary = new StringBuilder();
        guard.appendTo(summary);
        assertEquals(" violations.answer_overdue=1 violations.close_unanswered=1", summary.toString());
    }

    @Test
    void checksAllocateNoMemory() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (int round = 0; round < 2; round++) {
            long before = threads.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < 10_000; i++) {
                guard.allows(Check.SEND_AFTER_ANSWER, i % 2 == 0);
                guard.verify(Check.ANSWER_OVERDUE, true, "a");
            }
            long allocated = threads.getCurrentThreadAllocatedBytes() - before;
            // Class loading allocates memory in the first round.
            assertTrue(round == 0 || allocated < 1_000, allocated + " bytes");
        }
    }
}
