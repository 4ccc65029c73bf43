package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When instances call discovery: soon enough each, and evenly all together. */
class CallScheduleTest {
    private static final long S = 1_000_000;
    private static final long NOW = 1_796_169_600L * S + 123_457;

    private static CallSchedule of(int me, int instances, long seed) {
        return new CallSchedule(Rig.settings(true, Rig.SAFE).of(me, instances), 16, seed);
    }

    @Test
    void fewThatStartCallAtOnceAndManyAreSpread() {
        assertEquals(NOW, of(3, 16, 1).atStart(NOW, false));
        for (boolean holdsList : new boolean[] {true, false}) {
            int[] perS = new int[20];
            for (int i = 0; i < 5_000; i++) {
                perS[(int) ((of(i, 5_000, i).atStart(NOW, holdsList) - NOW) / S)]++;
            }
            int used = holdsList ? 4 : 2;
            for (int s = 0; s < perS.length; s++) {
                assertTrue(perS[s] < 1.1 * 5_000 / used, "second " + s + ": " + perS[s]);
                assertEquals(s < used, perS[s] > 0, "second " + s + ": " + perS[s]);
            }
        }
        int[] tenths = new int[10];
        for (int i = 0; i < 500; i++) {
            tenths[(int) ((of(i, 60, i).atStart(NOW, true) - NOW) / (3 * S / 10))]++;
        }
        for (int tenth : tenths) {
            assertTrue(tenth > 20 && tenth < 90, "60 instances call within 3 s, " + tenth + " in a tenth of it");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100, 200, 670})
    void callsOfAllThatFailedTogetherComeEvenlyAndWithinAPeriod(int instances) {
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            CallSchedule one = of(i, instances, i);
            one.called(NOW - 10_000);
            long at = one.afterCall(NOW);
            assertTrue(at >= NOW && at < NOW + CallSchedule.PERIOD_US, "after " + (at - NOW));
            calls.add(at);
            one.called(at);
            assertEquals(at + CallSchedule.PERIOD_US, one.afterCall(at + 1), "and once in each period");
        }
        calls.sort(null);
        for (int i = 1; i < instances; i++) {
            long apart = calls.get(i) - calls.get(i - 1);
            assertTrue(apart >= CallSchedule.PERIOD_US / instances / 2 - 2, apart + " us apart");
        }
    }

    @Test
    void oneThatHadToWaitCallsWithinAPeriodOfTheCallBefore() {
        for (long took = S; took <= 3 * S; took += S / 4) {
            for (int i = 0; i < 100; i++) {
                CallSchedule one = of(i, 100, i);
                one.called(NOW - took);
                long at = one.afterCall(NOW);
                assertTrue(at >= NOW && at < NOW - took + CallSchedule.PERIOD_US, "after " + (at - NOW));
            }
        }
    }

    @Test
    void afterSilenceACallBeginsWithinAPeriodOfWhatWasHeardLast() {
        for (long quiet = 0; quiet <= 3 * S; quiet += S / 4) {
            for (int i = 0; i < 100; i++) {
                long at = of(i, 100, i).afterWatch(NOW, quiet);
                assertTrue(at >= NOW && at < NOW - quiet + CallSchedule.PERIOD_US, "after " + (at - NOW));
            }
        }
    }

    @Test
    void whereAnswersAreQuickAWatchThatEndedIsAskedForSoon() {
        for (int i = 0; i < 6; i++) {
            CallSchedule one = of(i, 6, i);
            one.called(NOW);
            one.answered(NOW + 130_000);
            long at = one.afterWatch(NOW + 5 * S, 0);
            assertTrue(at < NOW + 5 * S + 6 * 130_000, "after " + (at - NOW - 5 * S));
        }
    }

    @Test
    void withoutANumberPlacesAreDrawnAndOneAloneWaitsForNobody() {
        int[] tenths = new int[10];
        for (int i = 0; i < 1_000; i++) {
            CallSchedule one = of(-1, 100, i);
            one.called(NOW);
            tenths[(int) ((one.afterCall(NOW) - NOW) / (CallSchedule.PERIOD_US / 10))]++;
        }
        for (int tenth : tenths) {
            assertTrue(tenth > 60 && tenth < 140, tenth + " of 1,000 in a tenth of the period");
        }
        assertEquals(NOW, of(0, 1, 1).afterWatch(NOW, 0));
    }
}
