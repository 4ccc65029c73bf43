package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinfront.core.Wire;
import org.junit.jupiter.api.Test;

/**
 * What the soak draws goes beyond what the program waits for, on both sides: in two incidents it ended where the
 * program's own constants did, and found nothing.
 */
class SoakRangesTest {
    private static void within(String what, double low, double constant, double high) {
        assertTrue(
                low < constant && constant < high, what + ": " + constant + " is not between " + low + " and " + high);
    }

    @Test
    void callsOfAllTakeLessAndMoreThanWhatCountsFromTheEndOfAWatch() {
        within(
                "2 s after the end of a watch",
                GeneratedScenario.ALL_CALL_US[0],
                ToldDeadlines.WATCH_ENDED_US,
                GeneratedScenario.ALL_CALL_US[1]);
        within(
                "6 s in which all is told",
                GeneratedScenario.ALL_CALL_US[0],
                ToldDeadlines.REACHABLE_US,
                GeneratedScenario.ALL_CALL_US[1]);
    }

    @Test
    void answersComeBeforeAndAfterACallIsGivenUp() {
        within(
                "patience of a call",
                0,
                Wire.CALL_TIMEOUT_US,
                GeneratedScenario.CALL_TIMEOUT_US[1] + GeneratedScenario.MOST_LATE_US);
        within(
                "patience of a call after a move",
                0,
                Wire.MOVED_CALL_TIMEOUT_US,
                GeneratedScenario.CALL_TIMEOUT_US[1] + GeneratedScenario.MOST_LATE_US);
    }

    @Test
    void listsStopForLessAndMoreThanTheSilenceOfAWatch() {
        within(
                "silence of a watch",
                GeneratedScenario.LIST_PAUSE_US[0],
                Wire.WATCH_TIMEOUT_US,
                GeneratedScenario.LIST_PAUSE_US[1]);
        within(
                "patience of a list",
                GeneratedScenario.LIST_PAUSE_US[0],
                Wire.LIST_TIMEOUT_US,
                GeneratedScenario.LIST_PAUSE_US[1]);
    }

    @Test
    void outagesAreLongerThanWhatIsToldAndAllWaitsTogether() {
        within("an outage", 0, ToldDeadlines.REACHABLE_US + Wire.CALL_TIMEOUT_US, GeneratedScenario.MOST_OUTAGE_US);
    }
}
