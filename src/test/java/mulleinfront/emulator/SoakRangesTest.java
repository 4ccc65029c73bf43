package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinfront.core.Wire;
import org.junit.jupiter.api.Test;

/**
 * The ranges from which soak scenarios are generated extend below and above the program's own timeouts. Ranges that
 * end where a constant does hide faults: two defects stayed undetected that way.
 */
class SoakRangesTest {
    private static void assertWithin(String name, double low, double constant, double high) {
        assertTrue(
                low < constant && constant < high, name + ": " + constant + " is not between " + low + " and " + high);
    }

    @Test
    void callDurationsSpanThePropagationDeadlines() {
        assertWithin(
                "2 s after the end of a watch",
                GeneratedScenario.CALLS_OF_ALL_PROXIES_US[0],
                PropagationDeadlines.WATCH_ENDED_US,
                GeneratedScenario.CALLS_OF_ALL_PROXIES_US[1]);
        assertWithin(
                "6 s propagation deadline",
                GeneratedScenario.CALLS_OF_ALL_PROXIES_US[0],
                PropagationDeadlines.REACHABLE_US,
                GeneratedScenario.CALLS_OF_ALL_PROXIES_US[1]);
    }

    @Test
    void responseTimesSpanTheCallTimeouts() {
        assertWithin(
                "call timeout",
                0,
                Wire.CALL_TIMEOUT_US,
                GeneratedScenario.CALL_TIMEOUT_US[1] + GeneratedScenario.MAX_EXTRA_DELAY_US);
        assertWithin(
                "call timeout after a move",
                0,
                Wire.MOVED_CALL_TIMEOUT_US,
                GeneratedScenario.CALL_TIMEOUT_US[1] + GeneratedScenario.MAX_EXTRA_DELAY_US);
    }

    @Test
    void listPausesSpanTheWatchTimeouts() {
        assertWithin(
                "watch timeout",
                GeneratedScenario.LIST_PAUSE_US[0],
                Wire.WATCH_TIMEOUT_US,
                GeneratedScenario.LIST_PAUSE_US[1]);
        assertWithin(
                "list timeout",
                GeneratedScenario.LIST_PAUSE_US[0],
                Wire.LIST_TIMEOUT_US,
                GeneratedScenario.LIST_PAUSE_US[1]);
    }

    @Test
    void outagesExceedThePropagationDeadlineAndCallTimeout() {
        assertWithin(
                "an outage",
                0,
                PropagationDeadlines.REACHABLE_US + Wire.CALL_TIMEOUT_US,
                GeneratedScenario.MAX_OUTAGE_US);
    }
}
