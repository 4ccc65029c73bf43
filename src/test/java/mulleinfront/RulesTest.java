package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Generates random sequences of valid events and checks every action against the invariants. */
class RulesTest {
    private static final long SLACK_US = 20_000;

    /** The checker's record of a request. */
    private static final class RequestRecord {
        RequestClass requestClass;
        long deadline;
        boolean done;
        final List<AttemptRecord> attempts = new ArrayList<>();
    }

    /** One attempt of a request: its endpoint, when it was sent and ends, and its planned and actual outcome. */
    private static final class AttemptRecord {
        String endpoint;
        long sentAt;
        long endsAt;
        Outcome planned;
        Outcome outcome;
    }

    /** Checks the balancer's actions as they are called. */
    private static final class Checker implements Actions {
        final Map<String, Endpoint> endpoints = new HashMap<>();
        final Map<String, RequestRecord> open = new HashMap<>();
        final Random random;
        long now = 5_000_000_000L;
        long nextWakeAt = Long.MAX_VALUE;
        int finalAnswers;
        final List<String> probes = new ArrayList<>();

        Checker(Random random) {
            this.random = random;
        }

        @Override
        public void send(String id, String endpointId, long timeoutUs) {
            RequestRecord request = open.get(id);
            assertTrue(request != null && !request.done, "sent after its final answer: " + id);
            Endpoint endpoint = endpoints.get(endpointId);
            assertTrue(
                    endpoint != null && endpoint.availability() == Availability.READY,
                    "sent to an endpoint that is not ready: " + endpointId);
            assertTrue(request.attempts.size() < 3, "too many attempts");
            for (AttemptRecord attempt : request.attempts) {
                assertTrue(attempt.outcome != null, "two attempts in flight at once");
                boolean mayHaveRun = attempt.outcome == null || !attempt.outcome.neverRan();
                if (mayHaveRun && request.requestClass.effect() == Effect.FRAGILE) {
                    throw new AssertionError("fragile request sent twice");
                }
                if (mayHaveRun && request.requestClass.effect() == Effect.DEDUP) {
                    Endpoint first = endpoints.get(attempt.endpoint);
                    assertTrue(
                            now - attempt.sentAt <= request.requestClass.dedupWindowUs(),
                            "repeated outside the deduplication window");
                    assertTrue(
                            request.requestClass.scope() == DedupScope.ALL
                                    || request.requestClass.scope() == DedupScope.ZONE
                                            && first.zone() == endpoint.zone()
                                    || request.requestClass.scope() == DedupScope.CELL
                                            && first.cell() == endpoint.cell(),
                            "repeated outside the deduplication group");
                }
            }
            AttemptRecord attempt = new AttemptRecord();
            attempt.endpoint = endpointId;
            attempt.sentAt = now;
            long limitAt = Math.min(now + (timeoutUs == 0 ? Long.MAX_VALUE / 2 : timeoutUs), request.deadline);
            long responseAt = now + (long) (20_000 * Math.exp(1.2 * random.nextGaussian()));
            boolean late = responseAt > limitAt || random.nextInt(60) == 0;
            attempt.endsAt = late ? Math.max(now, limitAt) : responseAt;
            attempt.planned = late
                    ? Outcome.TIMED_OUT
                    : random.nextInt(14) > 0
                            ? Outcome.OK
                            : Outcome.values()[random.nextInt(5) == 0 ? 4 : 1 + random.nextInt(5)];
            if (attempt.planned == Outcome.TIMED_OUT && !late) {
                attempt.planned = Outcome.FAILED;
            }
            request.attempts.add(attempt);
        }

        @Override
        public void refuse(String id, long retryAfter) {
            RequestRecord request = finish(id);
            for (AttemptRecord attempt : request.attempts) {
                boolean mayHaveRun = attempt.outcome == null || !attempt.outcome.neverRan();
                assertTrue(
                        !mayHaveRun
                                || request.requestClass.effect() == Effect.RETRYABLE
                                || request.requestClass.effect() == Effect.DEDUP
                                        && request.requestClass.scope() == DedupScope.ALL,
                        "refused although an attempt may have run");
            }
        }

        @Override
        public void fail(String id) {
            finish(id);
        }

        private RequestRecord finish(String id) {
            RequestRecord request = open.get(id);
            assertTrue(request != null && !request.done, "second final answer");
            assertTrue(now <= request.deadline + SLACK_US, "answered " + (now - request.deadline) + " us late");
            request.done = true;
            finalAnswers++;
            return request;
        }

        @Override
        public void cancel(String id, int number) {
            AttemptRecord attempt = open.get(id).attempts.get(number);
            if (attempt.outcome == null) {
                attempt.planned = Outcome.CANCELED;
                attempt.endsAt = Math.min(attempt.endsAt, now + 1_000);
            }
        }

        @Override
        public void probe(String endpoint) {
            assertTrue(endpoints.containsKey(endpoint), "probed an endpoint never listed");
            probes.add(endpoint);
        }

        @Override
        public void subscribe() {}

        @Override
        public void wakeAt(long at) {
            assertTrue(at > now, "timer in the past");
            nextWakeAt = Math.min(nextWakeAt, at);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void randomEventsViolateNoInvariant(int seed) {
        Random random = new Random(seed);
        Checker checker = new Checker(random);
        List<RequestClass> classes = new ArrayList<>(List.of(Rig.RETRYABLE, Rig.FRAGILE));
        for (DedupScope scope : DedupScope.values()) {
            classes.add(new RequestClass("d" + scope, Effect.DEDUP, scope, 100_000, 1, 0, 300_000, 0, 900_000));
        }
        RequestClass[] all = classes.toArray(new RequestClass[0]);
        Settings settings = seed > 16 ? Rig.oneOfMany(seed % 2 == 0, all) : Rig.settings(seed % 3 == 0, all);
        // With many instances, requests are further apart and the process stalls now and then.
        int maxGapUs = seed > 16 ? 40_000 : 4_000;
        Balancer balancer = Balancer.create(settings, seed, checker.now, checker);
        int created = 0;
        int ended = 0;
        for (int step = 0; step < 4_000; step++) {
            int gapUs = random.nextInt(maxGapUs);
            for (; gapUs > 4_000; gapUs -= 4_000) {
                ended += advance(checker, balancer, 4_000);
            }
            checker.now += gapUs;
            if (seed > 16 && random.nextInt(80) == 0) {
                stall(checker, balancer, random, 200_000 + random.nextInt(600_000));
            }
            ended += advance(checker, balancer, 0);
            for (String probed : List.copyOf(checker.probes)) {
                if (random.nextInt(3) > 0) {
                    checker.probes.remove(probed);
                    balancer.onProbeEnded(
                            checker.now, probed, Outcome.values()[random.nextInt(5)], random.nextInt(200_000));
                }
            }
            if (step % 150 == 0) {
                changeEndpoints(checker, balancer, random);
            }
            if (step < 3_500) {
                String id = "r" + created++;
                int classIndex = random.nextInt(classes.size());
                RequestRecord request = new RequestRecord();
                request.requestClass = classes.get(classIndex);
                long budgetUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 50_000 + random.nextInt(800_000);
                request.deadline = checker.now + budgetUs;
                checker.open.put(id, request);
                String key = random.nextInt(4) == 0 ? null : "k" + (int) Math.pow(random.nextInt(40), 1.5);
                balancer.onRequest(checker.now, new Request(id, classIndex, key, budgetUs, 0, 0, random.nextBoolean()));
                if (random.nextInt(60) == 0 && !request.done) {
                    request.done = true;
                    checker.finalAnswers++;
                    balancer.onRequestAbandoned(checker.now, id);
                }
            }
        }
        for (int i = 0; i < 1_000; i++) {
            ended += advance(checker, balancer, 4_000);
        }
        assertEquals(created, checker.finalAnswers, "requests without a final answer");
        assertTrue(ended > 1_000, "too few attempts ended: " + ended);
    }

    /** Stalls the process: clients whose budget ended have disconnected when it resumes. */
    private static void stall(Checker checker, Balancer balancer, Random random, long durationUs) {
        checker.now += durationUs;
        for (Map.Entry<String, RequestRecord> entry : new ArrayList<>(checker.open.entrySet())) {
            if (!entry.getValue().done && checker.now > entry.getValue().deadline) {
                entry.getValue().done = true;
                checker.finalAnswers++;
                balancer.onRequestAbandoned(checker.now, entry.getKey());
            }
        }
    }

    /** Advances time, then calls the timers due and ends the attempts due; returns how many ended. */
    private static int advance(Checker checker, Balancer balancer, long durationUs) {
        checker.now += durationUs;
        while (checker.nextWakeAt <= checker.now) {
            checker.nextWakeAt = Long.MAX_VALUE;
            balancer.onTimer(checker.now);
        }
        return endDueAttempts(checker, balancer);
    }

    private static int endDueAttempts(Checker checker, Balancer balancer) {
        int ended = 0;
        for (Map.Entry<String, RequestRecord> entry : new ArrayList<>(checker.open.entrySet())) {
            RequestRecord request = entry.getValue();
            boolean outstanding = false;
            for (int i = 0; i < request.attempts.size(); i++) {
                AttemptRecord attempt = request.attempts.get(i);
                if (attempt.outcome == null && attempt.endsAt <= checker.now) {
                    attempt.outcome = attempt.planned;
                    boolean served = attempt.outcome == Outcome.OK && !request.done;
                    if (served) {
                        request.done = true;
                        checker.finalAnswers++;
                    }
                    ended++;
                    balancer.onAttemptEnded(
                            checker.now,
                            new AttemptEnd(
                                    entry.getKey(), i, attempt.outcome, request.done, checker.now - attempt.sentAt));
                }
                outstanding |= attempt.outcome == null;
            }
            assertTrue(
                    request.done || checker.now <= request.deadline + SLACK_US || outstanding,
                    "lost " + entry.getKey());
            if (request.done && !outstanding) {
                checker.open.remove(entry.getKey());
            }
        }
        return ended;
    }

    /** Endpoints start, drain, disappear and return; the balancer is notified at once. */
    private static void changeEndpoints(Checker checker, Balancer balancer, Random random) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Availability state = Availability.values()[Math.max(0, random.nextInt(6) - 3)];
            Endpoint endpoint =
                    new Endpoint("e" + i, i % 3, i % 4, i % 2, state, 1, random.nextInt(5) == 0 ? checker.now : 0);
            checker.endpoints.put(endpoint.id(), endpoint);
            list.add(endpoint);
        }
        if (random.nextBoolean()) {
            list.removeIf(endpoint -> endpoint.availability() == Availability.GONE);
            balancer.onEndpoints(checker.now, Source.FULL, list);
        } else {
            balancer.onEndpoints(checker.now, Source.DELTA, list);
        }
        if (random.nextInt(3) == 0) {
            balancer.onDiscoveryFailed(checker.now);
        }
    }

    @Test
    void checkerDetectsEachViolation() {
        Checker checker = new Checker(new Random(1));
        checker.endpoints.put("up", new Endpoint("up", 0, 0, 0, Availability.READY, 1, 0));
        checker.endpoints.put("far", new Endpoint("far", 1, 1, 0, Availability.READY, 1, 0));
        checker.endpoints.put("drained", new Endpoint("drained", 0, 0, 0, Availability.DRAINING, 1, 0));
        openRequest(checker, "a", Rig.RETRYABLE);
        assertThrows(AssertionError.class, () -> checker.send("a", "drained", 0));
        checker.send("a", "up", 0);
        assertThrows(AssertionError.class, () -> checker.send("a", "far", 0), "two attempts in flight");
        checker.fail("a");
        assertThrows(AssertionError.class, () -> checker.fail("a"), "two answers");
        openRequest(checker, "b", Rig.FRAGILE);
        checker.send("b", "up", 0);
        checker.open.get("b").attempts.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> checker.send("b", "far", 0), "fragile twice");
        assertThrows(AssertionError.class, () -> checker.refuse("b", 0), "refused although an attempt may have run");
        openRequest(checker, "d", Rig.DEDUP);
        checker.send("d", "up", 0);
        checker.open.get("d").attempts.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> checker.send("d", "far", 0), "outside its zone");
        checker.now += 1_500_000;
        assertThrows(AssertionError.class, () -> checker.send("d", "up", 0), "outside its window");
        openRequest(checker, "e", Rig.RETRYABLE);
        checker.now += 3_000_000;
        assertThrows(AssertionError.class, () -> checker.fail("e"), "late");
    }

    private static void openRequest(Checker checker, String id, RequestClass requestClass) {
        RequestRecord request = new RequestRecord();
        request.requestClass = requestClass;
        request.deadline = checker.now + 2_000_000;
        checker.open.put(id, request);
    }
}
