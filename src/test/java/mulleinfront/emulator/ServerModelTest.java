package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.emulator.ServerModel.Figures;
import mulleinfront.emulator.ServerModel.Job;
import mulleinfront.emulator.ServerModel.Machine;
import mulleinfront.emulator.ServerModel.Stops;
import mulleinfront.settings.Range;
import org.junit.jupiter.api.Test;

/** The model of a server: against closed forms where there are any, and each trouble in its own figures. */
class ServerModelTest {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    private final EventQueue queue = new EventQueue();
    private final List<String> ran = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private int ids;

    /** A machine without any trouble, whose parts a test changes. */
    private static final class Parts {
        int cores = 1;
        double speed = 1;
        int slots = 1;
        int room = 1_000_000;
        int connections = 100;
        double errors;
        long reportEvery;
        double probeWork = 100;
        int probes = 2;
        boolean deep;
        double coldFrom = 1;
        long coldFor;
        double coldWork;
        double crowdAt;
        double crowdLoss;
        ServerModel.Linger linger;
        Stops stops = Stops.ALL;
        boolean dropsExpired;
        long keyMemory;
        double keySaving;
        int keys = 10;
        long pauseEvery;

        Machine machine() {
            return new Machine(
                    cores,
                    speed,
                    slots,
                    room,
                    connections,
                    0,
                    5 * S,
                    errors,
                    reportEvery,
                    probeWork,
                    probes,
                    deep,
                    coldFrom,
                    coldFor,
                    coldWork,
                    pauseEvery,
                    new Range(10 * MS, 20 * MS),
                    crowdAt,
                    crowdLoss,
                    linger,
                    stops,
                    dropsExpired,
                    keyMemory,
                    keySaving,
                    keys);
        }
    }

    private ServerModel server(Parts parts) {
        return server(parts, null);
    }

    private ServerModel server(Parts parts, ServerModel.Group group) {
        return new ServerModel(
                parts.machine(),
                queue,
                Chance.of(1, "server"),
                group,
                (job, dropped) -> ran.add(job.requestId + (dropped ? " dropped" : "")),
                true);
    }

    private Job job(double work, String key, String effect, long expiresAt) {
        String id = "r" + ids++;
        return new Job(
                id,
                work,
                key,
                effect,
                effect == null ? 0 : 20 * S,
                expiresAt,
                (end, inflight) -> ends.add(queue.now() / MS + " " + id + " " + end));
    }

    private Job job(double workMs) {
        return job(workMs * MS, null, null, Long.MAX_VALUE);
    }

    private Job offer(ServerModel server, double workMs) {
        Job job = job(workMs);
        server.offer(job);
        return job;
    }

    private void until(long ms) {
        queue.runUntil(ms * MS);
    }

    // ---- closed forms --------------------------------------------------------------------------------

    /** Mean wait of Poisson arrivals at so many a second, over some million requests. */
    private double meanWaitUs(int servers, double perSecond, boolean fixed) {
        Parts parts = new Parts();
        parts.cores = servers;
        parts.slots = servers;
        ServerModel server = server(parts);
        Chance chance = Chance.of(7, "arrivals");
        int count = 2_000_000;
        double at = 0;
        for (int i = 0; i < count; i++) {
            at += chance.exponential(1e6 / perSecond);
            queue.runUntil((long) at);
            double work = fixed ? 10 * MS : chance.exponential(10 * MS);
            server.offer(new Job("r", work, null, null, 0, Long.MAX_VALUE, (end, inflight) -> {}));
        }
        queue.runUntil((long) at + 100 * S);
        Figures f = server.figures();
        assertEquals(count, f.served);
        return f.waitSumUs / f.begun;
    }

    private static void within3Percent(double expected, double seen) {
        assertEquals(1, seen / expected, 0.03, "mean wait " + seen + " us, by the closed form " + expected);
    }

    @Test
    void anMM1QueueWaitsAsTheClosedFormSays() {
        // rho / (mu - lambda), at 70 of 100 a second
        within3Percent(0.7 / (100 - 70) * 1e6, meanWaitUs(1, 70, false));
    }

    @Test
    void anMMcQueueWaitsAsErlangCSays() {
        int c = 4;
        double a = 3.2;
        double sum = 0;
        double term = 1;
        for (int k = 0; k < c; k++) {
            sum += term;
            term *= a / (k + 1);
        }
        double last = term / (1 - a / c);
        double mustWait = last / (sum + last);
        within3Percent(mustWait / (c * 100 - 320) * 1e6, meanWaitUs(c, 320, false));
    }

    @Test
    void anMD1QueueWaitsHalfAsLong() {
        within3Percent(0.7 / (2 * (100 - 70)) * 1e6, meanWaitUs(1, 70, true));
    }

    // ---- one trouble at a time -----------------------------------------------------------------------

    @Test
    void slotsBeyondCoresShareThem() {
        Parts parts = new Parts();
        parts.slots = 2;
        ServerModel server = server(parts);
        offer(server, 10);
        offer(server, 20);
        until(100);
        assertEquals(List.of("20 r0 SERVED", "30 r1 SERVED"), ends);
        assertEquals(30 * MS, server.figures().busyCoreUs, 1);
    }

    @Test
    void beyondItsRoomItTurnsAwayUnseen() {
        Parts parts = new Parts();
        parts.room = 1;
        ServerModel server = server(parts);
        for (int i = 0; i < 3; i++) {
            offer(server, 10);
        }
        until(100);
        assertEquals(List.of("0 r2 NOT_RUN", "10 r0 SERVED", "20 r1 SERVED"), ends);
        assertEquals(List.of("r0", "r1"), ran);
        assertEquals(1, server.figures().turnedAway);
    }

    @Test
    void aPauseDelaysAllByItsLength() {
        ServerModel server = server(new Parts());
        offer(server, 10);
        until(4);
        server.pause(170 * MS);
        until(500);
        assertEquals(List.of("180 r0 SERVED"), ends);
        assertEquals(170 * MS, server.figures().pausedUs);
    }

    @Test
    void pausesComeBySchedule() {
        Parts parts = new Parts();
        parts.pauseEvery = 100 * MS;
        ServerModel server = server(parts);
        until(100_000);
        assertEquals(1000, server.figures().pausedUs / (15.0 * MS), 150, "pauses of 15 ms in the mean");
    }

    @Test
    void aHungServerTakesAllAndAnswersNone() {
        Parts parts = new Parts();
        parts.room = 1;
        ServerModel server = server(parts);
        server.hang(true);
        for (int i = 0; i < 5; i++) {
            offer(server, 10);
        }
        server.probe((end, inflight) -> ends.add("probe " + end));
        until(1_000);
        assertEquals(List.of(), ends);
        assertEquals(List.of(), ran);
        assertEquals(5, server.held());
        server.hang(false);
        until(2_000);
        assertEquals(5, ends.size());
        assertEquals(1_000 * 5 * MS + (10 * 5 + 10 * 4 + 10 * 3 + 10 * 2 + 10) * MS, server.figures().heldSumUs, 9);
    }

    @Test
    void slownessAndANeighbourTakeTheirPartWhileTheyAreThere() {
        ServerModel server = server(new Parts());
        offer(server, 100);
        server.slow(4);
        until(200);
        server.slow(1);
        server.neighbour(0.5);
        until(240);
        server.neighbour(0);
        until(1_000);
        assertEquals(List.of("270 r0 SERVED"), ends, "200 / 4 + 40 / 2 + 30 = 100");
        assertEquals(100 * MS, server.figures().workDone, 1);
    }

    @Test
    void errorsHaveRun() {
        Parts parts = new Parts();
        ServerModel server = server(parts);
        server.errors(1);
        offer(server, 10);
        until(10);
        server.errors(0);
        offer(server, 10);
        until(100);
        assertEquals(List.of("10 r0 ERROR", "20 r1 SERVED"), ends);
        assertEquals(List.of("r0", "r1"), ran);
        assertEquals(1, server.figures().errors);
        assertEquals(10 * MS, server.figures().workWasted, 1);
    }

    @Test
    void aDrainingServerFinishesWhatItHasAndTakesNothingNew() {
        ServerModel server = server(new Parts());
        offer(server, 10);
        offer(server, 10);
        server.drain();
        offer(server, 10);
        until(100);
        assertEquals(List.of("0 r2 NOT_RUN", "10 r0 SERVED", "20 r1 SERVED"), ends);
    }

    @Test
    void crowdingCostsEfficiency() {
        Parts parts = new Parts();
        parts.crowdAt = 1;
        parts.crowdLoss = 0.5;
        ServerModel server = server(parts);
        for (int i = 0; i < 10; i++) {
            offer(server, 10);
        }
        until(10_000);
        assertEquals(10, ends.size());
        // Nine of ten run while two or more are held: at half the speed, and 2/10 of 10 ms at full.
        assertEquals("190 r9 SERVED", ends.get(9));
    }

    @Test
    void slownessLingersUntilItHasRested() {
        Parts parts = new Parts();
        parts.linger = new ServerModel.Linger(1, 100 * MS, 3, 0.3, 500 * MS, 60 * S);
        ServerModel server = server(parts);
        for (int i = 0; i < 8; i++) {
            offer(server, 50);
        }
        until(200);
        assertTrue(server.lingering(), "8 held, 2 bearable");
        until(2_000);
        assertEquals(8, ends.size());
        assertTrue(Long.parseLong(ends.get(7).split(" ")[0]) > 900, "three times slower: " + ends);
        until(10_000);
        assertFalse(server.lingering(), "it has rested");
        assertTrue(server.figures().lingeredUs > 900 * MS);
        long before = queue.now() / MS;
        offer(server, 50);
        until(20_000);
        assertEquals(before + 50 + " r8 SERVED", ends.get(8));
    }

    @Test
    void slownessThatNeverRestsEndsByTime() {
        Parts parts = new Parts();
        parts.linger = new ServerModel.Linger(0, 100 * MS, 2, 0.1, 500 * MS, 3 * S);
        ServerModel server = server(parts);
        for (int i = 0; i < 200; i++) {
            offer(server, 50);
        }
        until(1_000);
        assertTrue(server.lingering());
        for (int i = 1_000; i < 30_000; i += 100) {
            until(i);
        }
        assertTrue(server.figures().lingeredUs >= 3 * S - 100 * MS);
    }

    @Test
    void itWarmsByTimeOrByWork() {
        Parts parts = new Parts();
        parts.coldFrom = 0.2;
        parts.coldFor = 10 * S;
        ServerModel byTime = server(parts);
        assertEquals(0.2, byTime.warmth(), 1e-9);
        until(5_000);
        assertEquals(0.6, byTime.warmth(), 1e-9);
        until(10_100);
        assertEquals(1, byTime.warmth());
        parts.coldWork = 100 * MS;
        ServerModel byWork = server(parts);
        until(40_000);
        assertEquals(0.2, byWork.warmth(), 1e-9, "it did nothing");
        offer(byWork, 50);
        until(60_000);
        assertEquals(0.6, byWork.warmth(), 1e-3);
    }

    @Test
    void aColdServerIsSlow() {
        Parts parts = new Parts();
        parts.coldFrom = 0.25;
        parts.coldFor = 1_000 * S;
        ServerModel server = server(parts);
        offer(server, 10);
        until(1_000);
        assertEquals(List.of("40 r0 SERVED"), ends, "a quarter of the speed");
    }

    @Test
    void aFallenServerStaysDown() {
        ServerModel server = server(new Parts());
        offer(server, 10);
        server.fall();
        offer(server, 10);
        until(1_000);
        assertEquals(List.of(), ends);
        assertTrue(server.stopped());
        assertTrue(server.figures().fell);
    }

    @Test
    void aKeyMetLatelyIsLessWork() {
        Parts parts = new Parts();
        parts.keyMemory = S;
        parts.keySaving = 0.6;
        parts.keys = 2;
        ServerModel server = server(parts);
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        until(100);
        server.offer(job(10 * MS, "b", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "c", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        until(2_000);
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        until(3_000);
        assertEquals(
                List.of(
                        "10 r0 SERVED",
                        "14 r1 SERVED",
                        "110 r2 SERVED",
                        "120 r3 SERVED",
                        "130 r4 SERVED",
                        "2010 r5 SERVED"),
                ends,
                "forgotten for room, then for age");
        assertEquals(1, server.figures().keyHits);
    }

    @Test
    void repeatsOfAnEffectAreDroppedInTheGroupAndWithinTheWindow() {
        ServerModel.Group group = new ServerModel.Group();
        ServerModel one = server(new Parts(), group);
        ServerModel other = server(new Parts(), group);
        ServerModel elsewhere = server(new Parts(), new ServerModel.Group());
        one.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        until(100);
        other.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        elsewhere.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        until(20_101);
        other.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        until(30_000);
        assertEquals(List.of("r0", "r1 dropped", "r2", "r3"), ran);
        assertEquals(1, other.figures().repeatsDropped);
    }

    @Test
    void aRequestWithAShortWindowEndsNobodyElsesLongerOne() {
        // Once many effects were kept, each request forgot all that were older than its own window.
        ServerModel one = server(new Parts(), new ServerModel.Group());
        one.offer(job(1, null, "e", Long.MAX_VALUE));
        for (int i = 0; i < 1100; i++) {
            until(1 + i);
            one.offer(job(1, null, "e" + i, Long.MAX_VALUE));
        }
        until(5_000);
        one.offer(new Job("short", 1, null, "s", S, Long.MAX_VALUE, (end, inflight) -> {}));
        until(6_000);
        one.offer(job(1, null, "e", Long.MAX_VALUE));
        until(7_000);
        assertEquals(1, one.figures().repeatsDropped);
    }

    @Test
    void connectionsAreCappedAndCounted() {
        Parts parts = new Parts();
        parts.connections = 2;
        ServerModel server = server(parts);
        assertTrue(server.connect());
        assertTrue(server.connect());
        assertFalse(server.connect());
        server.disconnect();
        assertTrue(server.connect());
        assertEquals(1, server.figures().connectionsRefused);
        assertEquals(3, server.figures().handshakes);
    }

    @Test
    void probesCostAndAreCapped() {
        Parts parts = new Parts();
        parts.probeWork = 5 * MS;
        parts.deep = true;
        ServerModel deep = server(parts);
        for (int i = 0; i < 3; i++) {
            deep.probe((end, inflight) -> ends.add(queue.now() / MS + " " + end));
        }
        until(100);
        assertEquals(List.of("0 NOT_RUN", "5 SERVED", "10 SERVED"), ends);
        ends.clear();
        parts.deep = false;
        ServerModel shallow = server(parts);
        offer(shallow, 10);
        shallow.probe((end, inflight) -> ends.add("probe " + inflight));
        offer(shallow, 10);
        until(200);
        assertEquals(List.of("probe 1", "110 r0 SERVED", "125 r1 SERVED"), ends, "its work delays the next");
        assertEquals(1, shallow.figures().probes);
    }

    @Test
    void loadReportsAreALittleOld() {
        Parts parts = new Parts();
        parts.reportEvery = 25 * MS;
        parts.slots = 10;
        parts.cores = 10;
        ServerModel server = server(parts);
        List<Integer> reports = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            server.offer(
                    new Job("r", i * 10 * MS, null, null, 0, Long.MAX_VALUE, (end, inflight) -> reports.add(inflight)));
        }
        until(1_000);
        assertEquals(List.of(3, 3, 3, 0), reports);
    }

    @Test
    void cancelledWorkStopsAsFarAsTheServerStopsIt() {
        for (Stops stops : Stops.values()) {
            ends.clear();
            ids = 0;
            long from = queue.now() / MS;
            Parts parts = new Parts();
            parts.stops = stops;
            ServerModel server = server(parts);
            Job running = offer(server, 10);
            Job waiting = offer(server, 10);
            offer(server, 10);
            until(from + 5);
            server.cancel(running);
            server.cancel(waiting);
            server.cancel(waiting);
            until(from + 100);
            assertEquals(
                    switch (stops) {
                        case NONE ->
                            List.of(from + 10 + " r0 SERVED", from + 20 + " r1 SERVED", from + 30 + " r2 SERVED");
                        case QUEUED -> List.of(from + 10 + " r0 SERVED", from + 20 + " r2 SERVED");
                        case ALL -> List.of(from + 15 + " r2 SERVED");
                    },
                    ends);
            assertEquals(stops == Stops.ALL ? 5 * MS : 0, server.figures().workWasted, 1);
        }
    }

    @Test
    void whatExpiredWhileItWaitedIsDroppedUnseen() {
        Parts parts = new Parts();
        parts.dropsExpired = true;
        ServerModel server = server(parts);
        offer(server, 10);
        server.offer(job(10 * MS, null, null, 9 * MS));
        until(100);
        assertEquals(List.of("10 r0 SERVED", "10 r1 NOT_RUN"), ends);
        assertEquals(List.of("r0"), ran);
        assertEquals(1, server.figures().expired);
    }
}
