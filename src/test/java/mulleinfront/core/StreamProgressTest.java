package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinfront.core.StreamProgress.Transfer;
import org.junit.jupiter.api.Test;

/** Which streamed responses go on after the time by which an ordinary one has to be whole. */
class StreamProgressTest {
    private static final long NOW = 10_000_000;
    private static final long S = 1_000_000;
    private static final int KIB = 1024;

    private final StreamProgress progress = new StreamProgress();

    @Test
    void ordinaryResponseHasToBeWhole() {
        assertEquals(StreamProgress.END, progress.check(NOW, new Transfer(64 * KIB, 63 * KIB, S, 0)));
    }

    @Test
    void responseWithoutABodyEnds() {
        assertEquals(StreamProgress.END, progress.check(NOW, new Transfer(200 * KIB, 0, 0, 0)));
    }

    @Test
    void bothSidesOfTheMinimumRate() {
        long rate = 64 * KIB / 3;
        assertTrue(progress.check(NOW, new Transfer(-1, 2 * rate + KIB, 2 * S, 0)) > 0);
        assertEquals(StreamProgress.END, new StreamProgress().check(NOW, new Transfer(-1, 2 * rate - KIB, 2 * S, 0)));
    }

    /** Guards against a response that came fast and then stands still. */
    @Test
    void responseThatStandsStillEnds() {
        assertEquals(StreamProgress.END, progress.check(NOW, new Transfer(-1, 500 * KIB, 2 * S, S + 1)));
    }

    @Test
    void laterIntervalsAreMeasuredByThemselves() {
        assertEquals(S, progress.check(NOW, new Transfer(-1, 500 * KIB, 2 * S, 0)));
        assertEquals(S / 2, progress.check(NOW + S / 2, new Transfer(-1, 500 * KIB, 3 * S, 0)), "asked too early");
        assertEquals(S, progress.check(NOW + S, new Transfer(-1, 530 * KIB, 3 * S, 0)));
        assertEquals(StreamProgress.END, progress.check(NOW + 2 * S, new Transfer(-1, 540 * KIB, 4 * S, 0)));
    }

    @Test
    void bodyThatHasJustBegunIsMeasuredLater() {
        long nextCheckUs = progress.check(NOW, new Transfer(-1, 16, S / 10, 0));
        assertTrue(nextCheckUs > 0 && nextCheckUs < S / 4);
        assertEquals(
                StreamProgress.END, progress.check(NOW + nextCheckUs, new Transfer(-1, 48, S / 10 + nextCheckUs, 0)));
    }
}
