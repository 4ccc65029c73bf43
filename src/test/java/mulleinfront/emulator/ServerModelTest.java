package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.emulator.ServerModel.CancelPolicy;
import mulleinfront.emulator.ServerModel.Job;
import mulleinfront.emulator.ServerModel.Spec;
import mulleinfront.emulator.ServerModel.Statistics;
import mulleinfront.settings.Range;
import org.junit.jupiter.api.Test;

/** The server model: queueing against closed-form results, and each fault with its effect on the metrics. */
class ServerModelTest {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    private final EventQueue queue = new EventQueue();
    private final List<String> executed = new ArrayList<>();
    private final List<String> completions = new ArrayList<>();
    private int ids;

    /** Builds a server spec without faults; tests change single values. */
    private static final class SpecBuilder {
        int cores = 1;
        double speed = 1;
        int slots = 1;
        int queueCapacity = 1_000_000;
        int connections = 100;
        double errors;
        long reportIntervalUs;
        double probeWork = 100;
        int maxProbes = 2;
        boolean deep;
        double coldFrom = 1;
        long coldForUs;
        double coldWork;
        double crowdAt;
        double crowdLoss;
        ServerModel.MetastableSlowdown linger;
        CancelPolicy stops = CancelPolicy.ALL;
        boolean dropsExpired;
        long keyMemoryUs;
        double keySaving;
        int keys = 10;
        long pauseIntervalUs;

        Spec build() {
            return new Spec(
                    cores,
                    speed,
                    slots,
                    queueCapacity,
                    connections,
                    0,
                    5 * S,
                    errors,
                    reportIntervalUs,
                    probeWork,
                    maxProbes,
                    deep,
                    coldFrom,
                    coldForUs,
                    coldWork,
                    pauseIntervalUs,
                    new Range(10 * MS, 20 * MS),
                    crowdAt,
                    crowdLoss,
                    linger,
                    stops,
                    dropsExpired,
                    keyMemoryUs,
                    keySaving,
                    keys);
        }
    }

    private ServerModel server(SpecBuilder spec) {
        return server(spec, null);
    }

    private ServerModel server(SpecBuilder spec, ServerModel.DedupGroup group) {
        return new ServerModel(
                spec.build(),
                queue,
                RandomStream.of(1, "server"),
                group,
                (job, dropped) -> executed.add(job.requestId + (dropped ? " dropped" : "")),
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
                (end, inflight) -> completions.add(queue.now() / MS + " " + id + " " + end));
    }

    private Job job(double workMs) {
        return job(workMs * MS, null, null, Long.MAX_VALUE);
    }

    private Job offer(ServerModel server, double workMs) {
        Job job = job(workMs);
        server.offer(job);
        return job;
    }

    private void runUntilMs(long ms) {
        queue.runUntil(ms * MS);
    }

    // ---- closed forms --------------------------------------------------------------------------------

    /** Mean wait of two million Poisson arrivals at the given rate. */
    private double meanWaitUs(int servers, double perSecond, boolean fixedWork) {
        SpecBuilder spec = new SpecBuilder();
        spec.cores = servers;
        spec.slots = servers;
        ServerModel server = server(spec);
        RandomStream chance = RandomStream.of(7, "arrivals");
        int count = 2_000_000;
        double at = 0;
        for (int i = 0; i < count; i++) {
            at += chance.exponential(1e6 / perSecond);
            queue.runUntil((long) at);
            double work = fixedWork ? 10 * MS : chance.exponential(10 * MS);
            server.offer(new Job("r", work, null, null, 0, Long.MAX_VALUE, (end, inflight) -> {}));
        }
        queue.runUntil((long) at + 100 * S);
        Statistics figures = server.statistics();
        assertEquals(count, figures.served);
        return figures.waitSumUs / figures.begun;
    }

    private static void assertWithinThreePercent(double expected, double measured) {
        assertEquals(1, measured / expected, 0.03, "mean wait " + measured + " us, by the closed form " + expected);
    }

    @Test
    void mm1QueueWaitMatchesClosedForm() {
        // rho / (mu - lambda), at 70 requests per second of 100
        assertWithinThreePercent(0.7 / (100 - 70) * 1e6, meanWaitUs(1, 70, false));
    }

    @Test
    void mmcQueueWaitMatchesErlangC() {
        int servers = 4;
        double offeredLoad = 3.2;
        double sum = 0;
        double term = 1;
        for (int k = 0; k < servers; k++) {
            sum += term;
            term *= offeredLoad / (k + 1);
        }
        double last = term / (1 - offeredLoad / servers);
        double mustWait = last / (sum + last);
        assertWithinThreePercent(mustWait / (servers * 100 - 320) * 1e6, meanWaitUs(servers, 320, false));
    }

    @Test
    void md1QueueWaitMatchesClosedForm() {
        assertWithinThreePercent(0.7 / (2 * (100 - 70)) * 1e6, meanWaitUs(1, 70, true));
    }

    // ---- one fault at a time -------------------------------------------------------------------------

    @Test
    void slotsBeyondCoresShareThem() {
        SpecBuilder spec = new SpecBuilder();
        spec.slots = 2;
        ServerModel server = server(spec);
        offer(server, 10);
        offer(server, 20);
        runUntilMs(100);
        assertEquals(List.of("20 r0 SERVED", "30 r1 SERVED"), completions);
        assertEquals(30 * MS, server.statistics().busyCoreUs, 1);
    }

    @Test
    void fullQueueRejectsWithoutExecution() {
        SpecBuilder spec = new SpecBuilder();
        spec.queueCapacity = 1;
        ServerModel server = server(spec);
        for (int i = 0; i < 3; i++) {
            offer(server, 10);
        }
        runUntilMs(100);
        assertEquals(List.of("0 r2 NOT_RUN", "10 r0 SERVED", "20 r1 SERVED"), completions);
        assertEquals(List.of("r0", "r1"), executed);
        assertEquals(1, server.statistics().rejected);
    }

    @Test
    void pauseDelaysRequestsByItsLength() {
        ServerModel server = server(new SpecBuilder());
        offer(server, 10);
        runUntilMs(4);
        server.pause(170 * MS);
        runUntilMs(500);
        assertEquals(List.of("180 r0 SERVED"), completions);
        assertEquals(170 * MS, server.statistics().pausedUs);
    }

    @Test
    void pausesFollowTheirSchedule() {
        SpecBuilder spec = new SpecBuilder();
        spec.pauseIntervalUs = 100 * MS;
        ServerModel server = server(spec);
        runUntilMs(100_000);
        assertEquals(1000, server.statistics().pausedUs / (15.0 * MS), 150, "pauses of 15 ms in the mean");
    }

    @Test
    void hungServerAcceptsRequestsAndAnswersNone() {
        SpecBuilder spec = new SpecBuilder();
        spec.queueCapacity = 1;
        ServerModel server = server(spec);
        server.setHung(true);
        for (int i = 0; i < 5; i++) {
            offer(server, 10);
        }
        server.probe((end, inflight) -> completions.add("probe " + end));
        runUntilMs(1_000);
        assertEquals(List.of(), completions);
        assertEquals(List.of(), executed);
        assertEquals(5, server.inFlight());
        server.setHung(false);
        runUntilMs(2_000);
        assertEquals(5, completions.size());
        assertEquals(
                1_000 * 5 * MS + (10 * 5 + 10 * 4 + 10 * 3 + 10 * 2 + 10) * MS, server.statistics().inFlightSumUs, 9);
    }

    @Test
    void slownessAndNoisyNeighbourReduceSpeedWhileTheyLast() {
        ServerModel server = server(new SpecBuilder());
        offer(server, 100);
        server.setSlowdown(4);
        runUntilMs(200);
        server.setSlowdown(1);
        server.setNeighbourShare(0.5);
        runUntilMs(240);
        server.setNeighbourShare(0);
        runUntilMs(1_000);
        assertEquals(List.of("270 r0 SERVED"), completions, "200 / 4 + 40 / 2 + 30 = 100");
        assertEquals(100 * MS, server.statistics().workDone, 1);
    }

    @Test
    void errorsAreReturnedAfterExecution() {
        SpecBuilder spec = new SpecBuilder();
        ServerModel server = server(spec);
        server.setErrorProbability(1);
        offer(server, 10);
        runUntilMs(10);
        server.setErrorProbability(0);
        offer(server, 10);
        runUntilMs(100);
        assertEquals(List.of("10 r0 ERROR", "20 r1 SERVED"), completions);
        assertEquals(List.of("r0", "r1"), executed);
        assertEquals(1, server.statistics().errors);
        assertEquals(10 * MS, server.statistics().workWasted, 1);
    }

    @Test
    void drainingServerFinishesItsRequestsAndRejectsNewOnes() {
        ServerModel server = server(new SpecBuilder());
        offer(server, 10);
        offer(server, 10);
        server.drain();
        offer(server, 10);
        runUntilMs(100);
        assertEquals(List.of("0 r2 NOT_RUN", "10 r0 SERVED", "20 r1 SERVED"), completions);
    }

    @Test
    void overloadReducesEfficiency() {
        SpecBuilder spec = new SpecBuilder();
        spec.crowdAt = 1;
        spec.crowdLoss = 0.5;
        ServerModel server = server(spec);
        for (int i = 0; i < 10; i++) {
            offer(server, 10);
        }
        runUntilMs(10_000);
        assertEquals(10, completions.size());
        // The first nine run while two or more are in flight, at half speed: 20 ms each. The last takes 10 ms.
        assertEquals("190 r9 SERVED", completions.get(9));
    }

    @Test
    void metastableSlowdownLastsUntilTheServerIsIdle() {
        SpecBuilder spec = new SpecBuilder();
        spec.linger = new ServerModel.MetastableSlowdown(1, 100 * MS, 3, 0.3, 500 * MS, 60 * S);
        ServerModel server = server(spec);
        for (int i = 0; i < 8; i++) {
            offer(server, 50);
        }
        runUntilMs(200);
        assertTrue(server.inSlowdown(), "8 in flight, slowdown above 2");
        runUntilMs(2_000);
        assertEquals(8, completions.size());
        assertTrue(Long.parseLong(completions.get(7).split(" ")[0]) > 900, "three times slower: " + completions);
        runUntilMs(10_000);
        assertFalse(server.inSlowdown(), "the slowdown has ended");
        assertTrue(server.statistics().slowedDownUs > 900 * MS);
        long before = queue.now() / MS;
        offer(server, 50);
        runUntilMs(20_000);
        assertEquals(before + 50 + " r8 SERVED", completions.get(8));
    }

    @Test
    void metastableSlowdownEndsAfterItsLongestTime() {
        SpecBuilder spec = new SpecBuilder();
        spec.linger = new ServerModel.MetastableSlowdown(0, 100 * MS, 2, 0.1, 500 * MS, 3 * S);
        ServerModel server = server(spec);
        for (int i = 0; i < 200; i++) {
            offer(server, 50);
        }
        runUntilMs(1_000);
        assertTrue(server.inSlowdown());
        for (int i = 1_000; i < 30_000; i += 100) {
            runUntilMs(i);
        }
        assertTrue(server.statistics().slowedDownUs >= 3 * S - 100 * MS);
    }

    @Test
    void warmsUpByTimeOrByWork() {
        SpecBuilder spec = new SpecBuilder();
        spec.coldFrom = 0.2;
        spec.coldForUs = 10 * S;
        ServerModel byTime = server(spec);
        assertEquals(0.2, byTime.warmth(), 1e-9);
        runUntilMs(5_000);
        assertEquals(0.6, byTime.warmth(), 1e-9);
        runUntilMs(10_100);
        assertEquals(1, byTime.warmth());
        spec.coldWork = 100 * MS;
        ServerModel byWork = server(spec);
        runUntilMs(40_000);
        assertEquals(0.2, byWork.warmth(), 1e-9, "it did no work, so it is still cold");
        offer(byWork, 50);
        runUntilMs(60_000);
        assertEquals(0.6, byWork.warmth(), 1e-3);
    }

    @Test
    void coldServerIsSlow() {
        SpecBuilder spec = new SpecBuilder();
        spec.coldFrom = 0.25;
        spec.coldForUs = 1_000 * S;
        ServerModel server = server(spec);
        offer(server, 10);
        runUntilMs(1_000);
        assertEquals(List.of("40 r0 SERVED"), completions, "a quarter of the speed");
    }

    @Test
    void crashedServerStaysDown() {
        ServerModel server = server(new SpecBuilder());
        offer(server, 10);
        server.crash();
        offer(server, 10);
        runUntilMs(1_000);
        assertEquals(List.of(), completions);
        assertTrue(server.stopped());
        assertTrue(server.statistics().crashed);
    }

    @Test
    void recentKeyNeedsLessWork() {
        SpecBuilder spec = new SpecBuilder();
        spec.keyMemoryUs = S;
        spec.keySaving = 0.6;
        spec.keys = 2;
        ServerModel server = server(spec);
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        runUntilMs(100);
        server.offer(job(10 * MS, "b", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "c", null, Long.MAX_VALUE));
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        runUntilMs(2_000);
        server.offer(job(10 * MS, "a", null, Long.MAX_VALUE));
        runUntilMs(3_000);
        assertEquals(
                List.of(
                        "10 r0 SERVED",
                        "14 r1 SERVED",
                        "110 r2 SERVED",
                        "120 r3 SERVED",
                        "130 r4 SERVED",
                        "2010 r5 SERVED"),
                completions,
                "evicted for space, then expired");
        assertEquals(1, server.statistics().keyHits);
    }

    @Test
    void repeatsAreDroppedWithinTheGroupAndTheWindow() {
        ServerModel.DedupGroup group = new ServerModel.DedupGroup();
        ServerModel one = server(new SpecBuilder(), group);
        ServerModel other = server(new SpecBuilder(), group);
        ServerModel elsewhere = server(new SpecBuilder(), new ServerModel.DedupGroup());
        one.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        runUntilMs(100);
        other.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        elsewhere.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        runUntilMs(20_101);
        other.offer(job(10 * MS, null, "e", Long.MAX_VALUE));
        runUntilMs(30_000);
        assertEquals(List.of("r0", "r1 dropped", "r2", "r3"), executed);
        assertEquals(1, other.statistics().repeatsDropped);
    }

    @Test
    void shortWindowDoesNotEndLongerOnes() {
        // Guards against a purge that, once many effects are stored, drops all that are older than the request's own
        // window.
        ServerModel one = server(new SpecBuilder(), new ServerModel.DedupGroup());
        one.offer(job(1, null, "e", Long.MAX_VALUE));
        for (int i = 0; i < 1100; i++) {
            runUntilMs(1 + i);
            one.offer(job(1, null, "e" + i, Long.MAX_VALUE));
        }
        runUntilMs(5_000);
        one.offer(new Job("short", 1, null, "s", S, Long.MAX_VALUE, (end, inflight) -> {}));
        runUntilMs(6_000);
        one.offer(job(1, null, "e", Long.MAX_VALUE));
        runUntilMs(7_000);
        assertEquals(1, one.statistics().repeatsDropped);
    }

    @Test
    void connectionsAreCappedAndCounted() {
        SpecBuilder spec = new SpecBuilder();
        spec.connections = 2;
        ServerModel server = server(spec);
        assertTrue(server.connect());
        assertTrue(server.connect());
        assertFalse(server.connect());
        server.disconnect();
        assertTrue(server.connect());
        assertEquals(1, server.statistics().connectionsRefused);
        assertEquals(3, server.statistics().handshakes);
    }

    @Test
    void probesCostWorkAndAreCapped() {
        SpecBuilder spec = new SpecBuilder();
        spec.probeWork = 5 * MS;
        spec.deep = true;
        ServerModel deep = server(spec);
        for (int i = 0; i < 3; i++) {
            deep.probe((end, inflight) -> completions.add(queue.now() / MS + " " + end));
        }
        runUntilMs(100);
        assertEquals(List.of("0 NOT_RUN", "5 SERVED", "10 SERVED"), completions);
        completions.clear();
        spec.deep = false;
        ServerModel shallow = server(spec);
        offer(shallow, 10);
        shallow.probe((end, inflight) -> completions.add("probe " + inflight));
        offer(shallow, 10);
        runUntilMs(200);
        assertEquals(
                List.of("probe 1", "110 r0 SERVED", "125 r1 SERVED"),
                completions,
                "the probe's work delays the next request");
        assertEquals(1, shallow.statistics().probes);
    }

    @Test
    void loadReportsAreRefreshedPeriodically() {
        SpecBuilder spec = new SpecBuilder();
        spec.reportIntervalUs = 25 * MS;
        spec.slots = 10;
        spec.cores = 10;
        ServerModel server = server(spec);
        List<Integer> reports = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            server.offer(
                    new Job("r", i * 10 * MS, null, null, 0, Long.MAX_VALUE, (end, inflight) -> reports.add(inflight)));
        }
        runUntilMs(1_000);
        assertEquals(List.of(3, 3, 3, 0), reports);
    }

    @Test
    void cancellationStopsWorkAsConfigured() {
        for (CancelPolicy stops : CancelPolicy.values()) {
            completions.clear();
            ids = 0;
            long from = queue.now() / MS;
            SpecBuilder spec = new SpecBuilder();
            spec.stops = stops;
            ServerModel server = server(spec);
            Job running = offer(server, 10);
            Job waiting = offer(server, 10);
            offer(server, 10);
            runUntilMs(from + 5);
            server.cancel(running);
            server.cancel(waiting);
            server.cancel(waiting);
            runUntilMs(from + 100);
            assertEquals(
                    switch (stops) {
                        case NONE ->
                            List.of(from + 10 + " r0 SERVED", from + 20 + " r1 SERVED", from + 30 + " r2 SERVED");
                        case QUEUED -> List.of(from + 10 + " r0 SERVED", from + 20 + " r2 SERVED");
                        case ALL -> List.of(from + 15 + " r2 SERVED");
                    },
                    completions);
            assertEquals(stops == CancelPolicy.ALL ? 5 * MS : 0, server.statistics().workWasted, 1);
        }
    }

    @Test
    void expiredQueuedRequestsAreDroppedWithoutExecution() {
        SpecBuilder spec = new SpecBuilder();
        spec.dropsExpired = true;
        ServerModel server = server(spec);
        offer(server, 10);
        server.offer(job(10 * MS, null, null, 9 * MS));
        runUntilMs(100);
        assertEquals(List.of("10 r0 SERVED", "10 r1 NOT_RUN"), completions);
        assertEquals(List.of("r0"), executed);
        assertEquals(1, server.statistics().expired);
    }
}
