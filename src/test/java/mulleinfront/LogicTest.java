package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import org.junit.jupiter.api.Test;

/** Each decision of the logic, and regressions of single decisions. */
class LogicTest {

    @Test
    void keysHaveTheSameOwnerInAllInstances() {
        Rig first = new Rig(Rig.RETRYABLE).endpoints(9);
        Rig second = new Rig(Rig.RETRYABLE).endpoints(9);
        for (int k = 0; k < 200; k++) {
            String owner = first.serve(0, "k" + k);
            assertEquals(owner, first.serve(0, "k" + k));
            assertEquals(owner, second.serve(0, "k" + k));
        }
    }

    @Test
    void endpointsAndKeysSeenOnceAreNotRetained() throws Exception {
        // Guards against leaks when all endpoints and keys are new and removals of unlisted endpoints are reported.
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(9);
        for (int i = 0; i < 2000; i++) {
            rig.balancer.onEndpoints(
                    rig.now,
                    Source.DELTA,
                    List.of(
                            new Endpoint("old" + i, 0, 0, 0, Availability.GONE, 1, 0),
                            new Endpoint("new" + i, 0, 0, 0, Availability.READY, 1, 0)));
            rig.serve(0, "key" + i);
            rig.balancer.onEndpoints(
                    rig.now, Source.DELTA, List.of(new Endpoint("new" + i, 0, 0, 0, Availability.GONE, 1, 0)));
        }
        for (java.lang.reflect.Field field : rig.balancer.getClass().getDeclaredFields()) {
            field.setAccessible(true);
            if (field.get(rig.balancer) instanceof Map<?, ?> map) {
                assertTrue(map.size() <= 9, field.getName() + " holds " + map.size());
            } else if (field.get(rig.balancer) instanceof java.util.Collection<?> collection) {
                assertTrue(collection.size() <= 9, field.getName() + " holds " + collection.size());
            }
        }
    }

    @Test
    void listChangeMovesOnlyKeysOfChangedEndpoints() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(9);
        Map<String, String> before = new HashMap<>();
        for (int k = 0; k < 300; k++) {
            before.put("k" + k, rig.serve(0, "k" + k));
        }
        rig.endpoints(10);
        int moved = 0;
        for (int k = 0; k < 300; k++) {
            String to = rig.serve(0, "k" + k);
            if (!to.equals(before.get("k" + k))) {
                assertEquals("e9", to);
                moved++;
            }
        }
        assertTrue(moved > 5 && moved < 75, "moved " + moved);
        rig.endpoints(9);
        for (int k = 0; k < 300; k++) {
            assertEquals(before.get("k" + k), rig.serve(0, "k" + k));
        }
    }

    @Test
    void keylessRequestsOpenOneConnectionAtATime() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(6);
        rig.serve(0, null);
        Set<String> unconnected = new HashSet<>();
        Set<String> known = new HashSet<>(Set.of(rig.sends.get("r0").get(0)));
        for (int i = 0; i < 3; i++) {
            String to = rig.endpointOf(rig.request(0, null, 1_000_000));
            if (!known.contains(to)) {
                unconnected.add(to);
            }
        }
        assertTrue(unconnected.size() <= 1, "opened " + unconnected);
    }

    @Test
    void drainingOrRemovedEndpointGetsNoNewRequests() {
        for (Availability state : List.of(Availability.DRAINING, Availability.GONE)) {
            Rig rig = new Rig(Rig.RETRYABLE).endpoints(4);
            rig.balancer.onEndpoints(rig.now, Source.DELTA, List.of(new Endpoint("e2", 2, 2, 0, state, 1, 0)));
            for (int k = 0; k < 100; k++) {
                assertNotEquals("e2", rig.serve(0, "k" + k));
            }
        }
    }

    @Test
    void endpointMissingFromAFullListIsRemovedUntilListedAgain() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(4);
        rig.endpoints(2);
        Set<String> seen = new HashSet<>();
        for (int k = 0; k < 60; k++) {
            seen.add(rig.serve(0, "k" + k));
        }
        assertEquals(Set.of("e0", "e1"), seen);
        rig.endpoints(4);
        for (int k = 0; k < 60; k++) {
            seen.add(rig.serve(0, "k" + k));
        }
        assertEquals(4, seen.size());
    }

    @Test
    void fragileRequestIsRetriedOnlyIfNotExecuted() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Rig rig = new Rig(Rig.FRAGILE).endpoints(4);
            String id = rig.request(0, "k", 1_000_000);
            rig.now += 1_000;
            rig.endAttempt(id, outcome, 1_000);
            assertEquals(outcome.neverRan() ? 2 : 1, rig.attempts(id), outcome.name());
            assertEquals(outcome.neverRan() ? null : "fail", rig.finalAnswers.get(id), outcome.name());
        }
    }

    @Test
    void dedupRequestIsRetriedInItsZoneAndWindow() {
        Rig rig = new Rig(Rig.DEDUP).endpoints(9);
        String id = rig.request(0, "k", 2_000_000);
        int zone = Integer.parseInt(rig.endpointOf(id).substring(1)) % 3;
        rig.now += 1_000;
        rig.endAttempt(id, Outcome.FAILED, 1_000);
        assertEquals(2, rig.attempts(id));
        assertEquals(zone, Integer.parseInt(rig.endpointOf(id).substring(1)) % 3);
        rig.now += 1_000_000;
        rig.endAttempt(id, Outcome.FAILED, 1_000_000);
        assertEquals(2, rig.attempts(id));
        assertEquals("fail", rig.finalAnswers.get(id));
    }

    @Test
    void unexecutedDedupRequestMayBeRefused() {
        Rig rig = new Rig(Rig.DEDUP).endpoints(1);
        String id = rig.request(0, "k", 2_000_000);
        rig.endAttempt(id, Outcome.QUEUE_FULL, 1_000);
        assertEquals("refuse", rig.finalAnswers.get(id));
    }

    @Test
    void requestsAreRefusedWithinTheirBudgetWithoutEndpoints() {
        for (long budgetUs : List.of(0L, 1L, 3_000L, 40_000L, 2_000_000L)) {
            for (RequestClass requestClass : List.of(Rig.RETRYABLE, Rig.DEDUP, Rig.FRAGILE)) {
                Rig rig = new Rig(requestClass);
                String id = rig.request(0, "k", budgetUs);
                rig.advance(budgetUs);
                assertEquals("refuse", rig.finalAnswers.get(id), requestClass.name() + " " + budgetUs);
            }
        }
    }

    @Test
    void queuedRequestIsSentWhenAnEndpointAppears() {
        Rig rig = new Rig(Rig.RETRYABLE);
        String id = rig.request(0, "k", 1_000_000);
        assertNull(rig.endpointOf(id));
        rig.endpoints(2);
        assertEquals(1, rig.attempts(id));
    }

    @Test
    void failuresEjectAndSuccessfulHalfOpenProbeReadmits() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(5);
        String failing = rig.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            String id = rig.request(0, "k", 1_000_000);
            rig.now += 1_000;
            rig.endAttempt(id, Outcome.FAILED, 1_000);
            rig.now += 1_000;
            rig.endAttempt(id, Outcome.OK, 1_000);
        }
        assertNotEquals(failing, rig.serve(0, "k"));
        rig.advance(3_000_000);
        for (int i = 0; i < 4; i++) {
            rig.serve(0, "k");
        }
        assertEquals(failing, rig.serve(0, "k"));
    }

    @Test
    void ejectionIsLimitedWhenAllEndpointsFail() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(5);
        for (int i = 0; i < 100; i++) {
            String id = rig.request(0, "k" + i, 1_000_000);
            for (int attempt = 0; attempt < 3 && rig.finalAnswers.get(id) == null; attempt++) {
                rig.now += 1_000;
                rig.endAttempt(id, Outcome.FAILED, 1_000);
            }
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            String id = rig.request(0, "k" + i, 1_000_000);
            used.add(rig.endpointOf(id));
            rig.now += 1_000;
            rig.endAttempt(id, Outcome.OK, 1_000);
        }
        assertTrue(used.size() >= 3, "used " + used);
    }

    @Test
    void unresponsiveEndpointIsAbandonedBeforeTheTimeout() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(5);
        for (int k = 0; k < 200; k++) {
            rig.serve(0, "k" + k);
        }
        String id = rig.request(0, "k1", 1_000_000);
        String unresponsive = rig.endpointOf(id);
        rig.advance(290_000);
        assertTrue(rig.log.contains("cancel " + id + " 0"));
        rig.endAttempt(id, Outcome.CANCELED, 290_000);
        assertNotEquals(unresponsive, rig.endpointOf(id));
        assertNotEquals(unresponsive, rig.serve(0, "k1"));
    }

    @Test
    void hotKeySpillsToFewEndpoints() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(9);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String to = rig.endpointOf(rig.request(0, "hot", 1_000_000));
            if (to != null) {
                used.add(to);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 3, "used " + used);
    }

    @Test
    void overloadReducesOutstandingAttempts() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        for (int k = 0; k < 100; k++) {
            rig.serve(0, "k" + k);
        }
        for (int k = 0; k < 60; k++) {
            String id = rig.request(0, "k" + k, 1_000_000);
            if (rig.endpointOf(id) != null) {
                rig.now += 300_000;
                rig.endAttempt(id, Outcome.OK, 300_000);
            }
        }
        int sent = 0;
        for (int k = 0; k < 60; k++) {
            sent += rig.endpointOf(rig.request(0, "k" + k, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(sent < 12, "sent " + sent);
    }

    /** Serves requests, then starts the endpoint and counts the requests that it serves while cold. */
    private static int servedWhileCold(Rig rig, int before, String endpoint, int after) {
        for (int k = 0; k < before; k++) {
            rig.serve(0, "k" + k);
        }
        rig.startEndpoint(endpoint);
        int served = 0;
        for (int k = 0; k < after; k++) {
            served += rig.serve(0, "k" + k).equals(endpoint) ? 1 : 0;
        }
        return served;
    }

    @Test
    void coldEndpointTakesItsSlowStartShare() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(4);
        int cold = servedWhileCold(rig, 400, "cold", 200);
        assertTrue(cold > 0 && cold < 25, "cold got " + cold);
    }

    @Test
    void restartedEndpointIsColdAgain() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(2);
        int first = servedWhileCold(rig, 200, "e0", 100);
        assertTrue(first < 30, "restarted got " + first);
    }

    @Test
    void startIsColdAfterAWallClockStep() {
        // The wall clock was stepped by an hour, so the listed start is no valid time of this instance's clock.
        for (long step : new long[] {-3_600_000_000L, 3_600_000_000L}) {
            Rig rig = new Rig(Rig.settings(true, Rig.RETRYABLE)).endpoints(4);
            rig.advance(30_000_000);
            rig.balancer.onEndpoints(
                    rig.now,
                    Source.DELTA,
                    List.of(new Balancer.Endpoint("stepped", 0, 0, 0, Balancer.Availability.READY, 1, rig.now + step)));
            int first = servedBy(rig, "stepped", 200);
            assertTrue(first < 25, "cold at first, clock stepped by " + step + ": " + first + " of 200");
            rig.advance(30_000_000);
            int later = servedBy(rig, "stepped", 200);
            assertTrue(later > 25, "warm after the slow start: " + later + " of 200");
        }
    }

    private static int servedBy(Rig rig, String endpoint, int requests) {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            served += endpoint.equals(rig.serve(0, "k" + i)) ? 1 : 0;
        }
        return served;
    }

    @Test
    void discoveryIsCalledAgainAfterEachFailure() {
        Rig rig = new Rig(Rig.settings(true, Rig.RETRYABLE));
        assertEquals(1, rig.subscribes);
        for (int i = 0; i < 5; i++) {
            rig.balancer.onDiscoveryFailed(rig.now);
            rig.advance(4_000_000);
            assertEquals(i + 2, rig.subscribes);
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(1)));
        rig.advance(20_000_000);
        assertEquals(6, rig.subscribes);
    }

    @Test
    void unknownAndRepeatedEventsAreIgnored() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        rig.endAttempt("unknown", Outcome.FAILED, 1);
        rig.balancer.onRequestAbandoned(rig.now, "unknown");
        rig.balancer.onStreamStarted(rig.now, "unknown", 3);
        String id = rig.request(0, "k", 1_000_000);
        rig.endAttempt(id, Outcome.OK, 1_000);
        int before = rig.log.size();
        rig.endAttempt(id, Outcome.OK, 1_000);
        rig.endAttempt(id, Outcome.FAILED, 1_000);
        rig.balancer.onRequestAbandoned(rig.now, id);
        assertEquals(before, rig.log.size());
    }

    @Test
    void repeatsAreQueuedForLessTimeThanFirstTries() {
        Rig rig = new Rig(Rig.RETRYABLE);
        String first = rig.request(0, "a", 1_000_000);
        rig.balancer.onRequest(rig.now, new Balancer.Request("again", 0, "b", 1_000_000, 0, 0, true));
        rig.advance(100_000);
        assertEquals("refuse", rig.finalAnswers.get("again"));
        assertNull(rig.finalAnswers.get(first));
        rig.advance(150_000);
        assertEquals("refuse", rig.finalAnswers.get(first));
    }

    @Test
    void timeoutsReduceTheLimitBelowOne() {
        Rig rig = new Rig(Rig.FRAGILE).endpoints(1);
        for (int i = 0; i < 12; i++) {
            String id = rig.request(0, "k", 1_000_000);
            if (rig.endpointOf(id) != null) {
                rig.now += 90_000;
                rig.endAttempt(id, Outcome.TIMED_OUT, 500_000);
            }
            rig.advance(300_000);
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += rig.endpointOf(rig.request(0, "k" + i, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    @Test
    void cachedListIsUsedUntilAFullListArrives() {
        Rig rig = new Rig(Rig.settings(true, Rig.RETRYABLE));
        rig.balancer.onEndpoints(rig.now, Source.CACHED, List.of(Rig.ready(0), Rig.ready(1)));
        assertEquals(1, rig.attempts(rig.request(0, "k", 1_000_000)));
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(2)));
        for (int k = 0; k < 20; k++) {
            assertEquals("e2", rig.serve(0, "k" + k));
        }
    }

    @Test
    void startedStreamIsNeverCancelled() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(4);
        String id = rig.request(0, "k", 1_000_000);
        rig.balancer.onStreamStarted(rig.now + 10_000, id, 0);
        rig.advance(3_000_000);
        rig.balancer.onRequestAbandoned(rig.now, id);
        assertFalse(rig.log.contains("cancel " + id + " 0"), rig.log.toString());
    }

    @Test
    void invalidSettingsAreRejectedByName() {
        String text = assertThrows(
                        IllegalArgumentException.class,
                        () -> new RequestClass("c", Effect.RETRYABLE, null, 0, 1, 0, -5, 0, 10))
                .getMessage();
        assertTrue(text.contains("onTimeUs"), text);
        assertThrows(IllegalArgumentException.class, () -> new Balancer.Contract(1, 2, 1));
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Rig rig = new Rig(Rig.RETRYABLE, Rig.FRAGILE).endpoints(7);
            for (int i = 0; i < 300; i++) {
                String id = rig.request(i % 2, i % 5 == 0 ? null : "k" + i % 40, 1_000_000);
                rig.advance(7_000);
                if (rig.endpointOf(id) != null) {
                    rig.endAttempt(id, i % 9 == 0 ? Outcome.FAILED : Outcome.OK, 7_000);
                }
            }
            logs.add(rig.log);
        }
        assertEquals(logs.get(0), logs.get(1));
        assertFalse(logs.get(0).isEmpty());
    }

    /** Sends requests with different keys at once and ends them after a latency; returns how many were sent. */
    private static int sentAtOnce(Rig rig, int count, long latencyUs) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(rig.request(0, "k" + i, 1_000_000));
        }
        int sent = (int) ids.stream().filter(id -> rig.endpointOf(id) != null).count();
        rig.advance(latencyUs);
        ids.stream()
                .filter(id -> rig.endpointOf(id) != null && rig.finalAnswers.get(id) == null)
                .forEach(id -> rig.endAttempt(id, Outcome.OK, latencyUs));
        return sent;
    }

    @Test
    void jitterOfAMillisecondIsNotOverload() {
        // Guards fast endpoints: ten times their baseline latency is still negligible against the target latency.
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        for (int i = 0; i < 600; i++) {
            sentAtOnce(rig, 60, i % 3 == 0 ? 2_000 : 200);
        }
        assertEquals(60, sentAtOnce(rig, 60, 2_000), "limits have grown by timely responses and were never reduced");
        assertEquals(60, sentAtOnce(rig, 60, 200));
    }

    @Test
    void noticeableLatencyIsOverloadForFastEndpoints() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        for (int i = 0; i < 600; i++) {
            sentAtOnce(rig, 60, 200);
        }
        for (int i = 0; i < 40; i++) {
            sentAtOnce(rig, 60, 60_000);
        }
        int sent = sentAtOnce(rig, 60, 60_000);
        assertTrue(sent < 20, "limits were reduced, so only a few are sent at once: " + sent);
    }
}
