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
        return new CallSchedule(Rig.settings(true, Rig.SAFE).forInstance(me, instances), 16, seed, NOW);
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
    void callsOfAllThatFailedTogetherComeEvenlyAndWithinTheTimeThatTheyTake(int instances) {
        // Nothing is known of discovery yet: a call is taken to cost 250 ms. The deadline leaves 6 s: half of it.
        long window = Math.min(ListDeadline.REACHABLE_US / 2, instances * S / 4);
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            CallSchedule one = of(i, instances, i);
            one.called(NOW - 10_000);
            long at = one.afterCall(NOW, false);
            assertTrue(at >= NOW && at < NOW + window, "after " + (at - NOW));
            calls.add(at);
            one.called(at);
            long again = one.afterCall(at + 1, false);
            assertTrue(again <= at + Math.max(window, S), "and again as soon, or after a second where that was sooner");
        }
        calls.sort(null);
        for (int i = 1; i < instances; i++) {
            long apart = calls.get(i) - calls.get(i - 1);
            assertTrue(apart >= window / instances / 2 - 2, apart + " us apart");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 16, 30})
    void threeCallsInARowMayFailAndTheFourthStillBeginsInTime(int instances) {
        // Whatever fails is quick: the deadline is the instance's, and no failure moves it.
        for (int i = 0; i < instances; i++) {
            for (long phase = 0; phase < 4; phase++) {
                CallSchedule one = of(i, instances, i);
                long now = NOW + phase * 1_100_003;
                one.called(now);
                one.answered(now + 20_000);
                long lost = now + 5 * S;
                long at = one.afterWatch(lost, 0);
                for (int failed = 0; failed < 3; failed++) {
                    one.called(at);
                    at = one.afterCall(at + 1_000, false);
                }
                assertTrue(at < lost + 5 * S, "after " + (at - lost));
                assertEquals(lost + ListDeadline.REACHABLE_US, one.toldBy());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {200_000, 1_800_000, 3_000_000, 10_000_000})
    void theTimeForAskingIsTheSettingsWhateverDiscoveryBears(long askWithinUs) {
        for (int i = 0; i < 100; i++) {
            CallSchedule one = new CallSchedule(
                    Rig.settings(true, Rig.SAFE).asking(askWithinUs).forInstance(i, 100), 16, i, NOW);
            assertTrue(one.atStart(NOW, true) < NOW + askWithinUs, "at the start");
            one.called(NOW);
            // An answer takes a second: calls of all would take far longer than there is time.
            one.answered(NOW + S);
            long lost = NOW + 20 * S;
            long at = one.afterWatch(lost, 0);
            assertTrue(at < lost + askWithinUs, "after " + (at - lost));
            one.called(at);
            assertTrue(at < lost + ListDeadline.WATCH_ENDED_US, "and within 2 s of a watch's end");
            assertEquals(Math.min(at + askWithinUs, lost + ListDeadline.REACHABLE_US), one.toldBy());
            long again = one.afterCall(at + 1_000, false);
            assertTrue(again < at + 4 * askWithinUs, "four times as long after a call that failed");
        }
    }

    /** Incident 2: a call given up before discovery answers it has lost its turn, and costs discovery another. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 20, 670})
    void aCallIsWaitedForLongerThanDiscoveryLetsItWait(int instances) {
        CallSchedule one = of(0, instances, 1);
        assertTrue(one.patienceUs() > 3 * S, "at the start");
        one.called(NOW);
        one.answered(NOW + 10_000);
        assertTrue(one.patienceUs() > 3 * S, "after a quick answer");
    }

    @Test
    void whereTheTimeForAskingIsShortPatienceGrowsUntilSomethingComesThrough() {
        CallSchedule one =
                new CallSchedule(Rig.settings(true, Rig.SAFE).asking(S).forInstance(0, 5), 16, 1, NOW);
        long now = NOW;
        for (int calls = 0; calls < 3; calls++) {
            one.called(now);
            now += one.patienceUs();
            now = one.afterCall(now, false);
        }
        assertTrue(one.patienceUs() > 3 * S, "" + one.patienceUs());
        one.called(now);
        one.answered(now + S);
        assertTrue(one.patienceUs() < S, "given up within the time for asking again");
    }

    @Test
    void whatCouldNotBeReachedHasItsTimeAnew() {
        CallSchedule one = of(0, 5, 1);
        one.called(NOW);
        one.answered(NOW + 1_000);
        long at = one.afterWatch(NOW + S, 0);
        for (int failed = 0; failed < 20; failed++) {
            one.called(at);
            long called = at;
            long ended = at + 1_000;
            at = one.afterCall(ended, true);
            assertTrue(at < ended + 1_500_001, "it goes on calling, after " + (at - ended));
            assertEquals(called + ListDeadline.REACHABLE_US, one.toldBy(), "from when it was called");
        }
    }

    @Test
    void oneThatHadToWaitCallsWithinAPeriodOfTheCallBefore() {
        for (long took = S; took <= 3 * S; took += S / 4) {
            for (int i = 0; i < 100; i++) {
                CallSchedule one = of(i, 100, i);
                one.called(NOW - took);
                long at = one.afterCall(NOW, false);
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
            tenths[(int) ((one.afterCall(NOW, false) - NOW) / (ListDeadline.REACHABLE_US / 2 / 10))]++;
        }
        for (int tenth : tenths) {
            assertTrue(tenth > 60 && tenth < 140, tenth + " of 1,000 in a tenth of the period");
        }
        assertEquals(NOW, of(0, 1, 1).afterWatch(NOW, 0));
    }
}
