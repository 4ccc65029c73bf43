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

/** One small test for each decision and for each failure found. */
class LogicTest {

    @Test
    void aKeyStaysWithItsOwnerAcrossInstances() {
        Rig a = new Rig(Rig.SAFE).endpoints(9);
        Rig b = new Rig(Rig.SAFE).endpoints(9);
        for (int k = 0; k < 200; k++) {
            String owner = a.serve(0, "k" + k);
            assertEquals(owner, a.serve(0, "k" + k));
            assertEquals(owner, b.serve(0, "k" + k));
        }
    }

    @Test
    void hostsAndKeysSeenOnceLeaveNothingBehind() throws Exception {
        // Guards a day on which all is new all the time: also an end told of a host that was never listed.
        Rig rig = new Rig(Rig.SAFE).endpoints(9);
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
        for (java.lang.reflect.Field f : rig.balancer.getClass().getDeclaredFields()) {
            f.setAccessible(true);
            if (f.get(rig.balancer) instanceof Map<?, ?> m) {
                assertTrue(m.size() <= 9, f.getName() + " holds " + m.size());
            } else if (f.get(rig.balancer) instanceof java.util.Collection<?> c) {
                assertTrue(c.size() <= 9, f.getName() + " holds " + c.size());
            }
        }
    }

    @Test
    void aListChangeMovesOnlyTheKeysItMust() {
        Rig rig = new Rig(Rig.SAFE).endpoints(9);
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
        Rig rig = new Rig(Rig.SAFE).endpoints(6);
        rig.serve(0, null);
        Set<String> unconnected = new HashSet<>();
        Set<String> known = new HashSet<>(Set.of(rig.sends.get("r0").get(0)));
        for (int i = 0; i < 3; i++) {
            String to = rig.at(rig.request(0, null, 1_000_000));
            if (!known.contains(to)) {
                unconnected.add(to);
            }
        }
        assertTrue(unconnected.size() <= 1, "opened " + unconnected);
    }

    @Test
    void aDrainingOrGoneEndpointGetsNothingNew() {
        for (Availability state : List.of(Availability.DRAINING, Availability.GONE)) {
            Rig rig = new Rig(Rig.SAFE).endpoints(4);
            rig.balancer.onEndpoints(rig.now, Source.DELTA, List.of(new Endpoint("e2", 2, 2, 0, state, 1, 0)));
            for (int k = 0; k < 100; k++) {
                assertNotEquals("e2", rig.serve(0, "k" + k));
            }
        }
    }

    @Test
    void anEndpointMissingFromACompleteListIsGoneAndMayComeBack() {
        Rig rig = new Rig(Rig.SAFE).endpoints(4);
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
    void aFragileRequestIsResentOnlyOnProof() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Rig rig = new Rig(Rig.UNSAFE).endpoints(4);
            String id = rig.request(0, "k", 1_000_000);
            rig.now += 1_000;
            rig.end(id, outcome, 1_000);
            assertEquals(outcome.neverRan() ? 2 : 1, rig.attempts(id), outcome.name());
            assertEquals(outcome.neverRan() ? null : "fail", rig.finals.get(id), outcome.name());
        }
    }

    @Test
    void aDedupRequestStaysInItsZoneAndWindow() {
        Rig rig = new Rig(Rig.KEYED).endpoints(9);
        String id = rig.request(0, "k", 2_000_000);
        int zone = Integer.parseInt(rig.at(id).substring(1)) % 3;
        rig.now += 1_000;
        rig.end(id, Outcome.FAILED, 1_000);
        assertEquals(2, rig.attempts(id));
        assertEquals(zone, Integer.parseInt(rig.at(id).substring(1)) % 3);
        rig.now += 1_000_000;
        rig.end(id, Outcome.FAILED, 1_000_000);
        assertEquals(2, rig.attempts(id));
        assertEquals("fail", rig.finals.get(id));
    }

    @Test
    void aDedupRequestThatNeverRanMayGoAnywhereAndBeRefused() {
        Rig rig = new Rig(Rig.KEYED).endpoints(1);
        String id = rig.request(0, "k", 2_000_000);
        rig.end(id, Outcome.QUEUE_FULL, 1_000);
        assertEquals("refuse", rig.finals.get(id));
    }

    @Test
    void noEndpointStillGivesATimelyAnswerHoweverShortTheBudget() {
        for (long budget : List.of(0L, 1L, 3_000L, 40_000L, 2_000_000L)) {
            for (RequestClass type : List.of(Rig.SAFE, Rig.KEYED, Rig.UNSAFE)) {
                Rig rig = new Rig(type);
                String id = rig.request(0, "k", budget);
                rig.pass(budget);
                assertEquals("refuse", rig.finals.get(id), type.name() + " " + budget);
            }
        }
    }

    @Test
    void aHeldRequestGoesOutWhenAnEndpointAppears() {
        Rig rig = new Rig(Rig.SAFE);
        String id = rig.request(0, "k", 1_000_000);
        assertNull(rig.at(id));
        rig.endpoints(2);
        assertEquals(1, rig.attempts(id));
    }

    @Test
    void failuresEjectAndGoodTrialsReadmit() {
        Rig rig = new Rig(Rig.SAFE).endpoints(5);
        String bad = rig.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            String id = rig.request(0, "k", 1_000_000);
            rig.now += 1_000;
            rig.end(id, Outcome.FAILED, 1_000);
            rig.now += 1_000;
            rig.end(id, Outcome.OK, 1_000);
        }
        assertNotEquals(bad, rig.serve(0, "k"));
        rig.pass(3_000_000);
        for (int i = 0; i < 4; i++) {
            rig.serve(0, "k");
        }
        assertEquals(bad, rig.serve(0, "k"));
    }

    @Test
    void whenEverythingFailsEjectionStops() {
        Rig rig = new Rig(Rig.SAFE).endpoints(5);
        for (int i = 0; i < 100; i++) {
            String id = rig.request(0, "k" + i, 1_000_000);
            for (int a = 0; a < 3 && rig.finals.get(id) == null; a++) {
                rig.now += 1_000;
                rig.end(id, Outcome.FAILED, 1_000);
            }
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            String id = rig.request(0, "k" + i, 1_000_000);
            used.add(rig.at(id));
            rig.now += 1_000;
            rig.end(id, Outcome.OK, 1_000);
        }
        assertTrue(used.size() >= 3, "used " + used);
    }

    @Test
    void aSilentEndpointIsLeftBeforeTimeOuts() {
        Rig rig = new Rig(Rig.SAFE).endpoints(5);
        for (int k = 0; k < 200; k++) {
            rig.serve(0, "k" + k);
        }
        String id = rig.request(0, "k1", 1_000_000);
        String silent = rig.at(id);
        rig.pass(290_000);
        assertTrue(rig.log.contains("cancel " + id + " 0"));
        rig.end(id, Outcome.CANCELED, 290_000);
        assertNotEquals(silent, rig.at(id));
        assertNotEquals(silent, rig.serve(0, "k1"));
    }

    @Test
    void aHotKeySpillsToFewEndpoints() {
        Rig rig = new Rig(Rig.SAFE).endpoints(9);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String to = rig.at(rig.request(0, "hot", 1_000_000));
            if (to != null) {
                used.add(to);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 3, "used " + used);
    }

    @Test
    void crowdingCutsWhatIsOutAndHoldsTheRest() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        for (int k = 0; k < 100; k++) {
            rig.serve(0, "k" + k);
        }
        for (int k = 0; k < 60; k++) {
            String id = rig.request(0, "k" + k, 1_000_000);
            if (rig.at(id) != null) {
                rig.now += 300_000;
                rig.end(id, Outcome.OK, 300_000);
            }
        }
        int out = 0;
        for (int k = 0; k < 60; k++) {
            out += rig.at(rig.request(0, "k" + k, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(out < 12, "out " + out);
    }

    /** Warms the rig up, starts the endpoint afresh and counts what it then serves. */
    private static int servedByFresh(Rig rig, int before, String endpoint, int after) {
        for (int k = 0; k < before; k++) {
            rig.serve(0, "k" + k);
        }
        rig.starts(endpoint);
        int served = 0;
        for (int k = 0; k < after; k++) {
            served += rig.serve(0, "k" + k).equals(endpoint) ? 1 : 0;
        }
        return served;
    }

    @Test
    void aColdEndpointTakesItsRampShareOnly() {
        Rig rig = new Rig(Rig.SAFE).endpoints(4);
        int cold = servedByFresh(rig, 400, "cold", 200);
        assertTrue(cold > 0 && cold < 25, "cold got " + cold);
    }

    @Test
    void aRestartUnderTheSameIdIsColdAgain() {
        Rig rig = new Rig(Rig.SAFE).endpoints(2);
        int first = servedByFresh(rig, 200, "e0", 100);
        assertTrue(first < 30, "restarted got " + first);
    }

    @Test
    void aStartIsColdWhereverTheWallClockWasSteppedTo() {
        // An hour back, an hour ahead: discovery's word of the start is no time of this instance's clock.
        for (long step : new long[] {-3_600_000_000L, 3_600_000_000L}) {
            Rig rig = new Rig(Rig.settings(true, Rig.SAFE)).endpoints(4);
            rig.pass(30_000_000);
            rig.balancer.onEndpoints(
                    rig.now,
                    Source.DELTA,
                    List.of(new Balancer.Endpoint("stepped", 0, 0, 0, Balancer.Availability.READY, 1, rig.now + step)));
            int first = share(rig, "stepped", 200);
            assertTrue(first < 25, "cold at first, by " + step + ": " + first + " of 200");
            rig.pass(30_000_000);
            int later = share(rig, "stepped", 200);
            assertTrue(later > 25, "and warm after its time: " + later + " of 200");
        }
    }

    private static int share(Rig rig, String endpoint, int requests) {
        int there = 0;
        for (int i = 0; i < requests; i++) {
            there += endpoint.equals(rig.serve(0, "k" + i)) ? 1 : 0;
        }
        return there;
    }

    @Test
    void discoveryIsAskedAgainAfterEachFailure() {
        Rig rig = new Rig(Rig.settings(true, Rig.SAFE));
        assertEquals(1, rig.subscribes);
        for (int i = 0; i < 5; i++) {
            rig.balancer.onDiscoveryFailed(rig.now);
            rig.pass(4_000_000);
            assertEquals(i + 2, rig.subscribes);
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(1)));
        rig.pass(20_000_000);
        assertEquals(6, rig.subscribes);
    }

    @Test
    void unknownAndRepeatedEventsDoNoHarm() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        rig.end("nobody", Outcome.FAILED, 1);
        rig.balancer.onRequestAbandoned(rig.now, "nobody");
        rig.balancer.onStreamStarted(rig.now, "nobody", 3);
        String id = rig.request(0, "k", 1_000_000);
        rig.end(id, Outcome.OK, 1_000);
        int before = rig.log.size();
        rig.end(id, Outcome.OK, 1_000);
        rig.end(id, Outcome.FAILED, 1_000);
        rig.balancer.onRequestAbandoned(rig.now, id);
        assertEquals(before, rig.log.size());
    }

    @Test
    void repeatsWaitBehindFirstTriesAndForLess() {
        Rig rig = new Rig(Rig.SAFE);
        String first = rig.request(0, "a", 1_000_000);
        rig.balancer.onRequest(rig.now, new Balancer.Request("again", 0, "b", 1_000_000, 0, 0, true));
        rig.pass(100_000);
        assertEquals("refuse", rig.finals.get("again"));
        assertNull(rig.finals.get(first));
        rig.pass(150_000);
        assertEquals("refuse", rig.finals.get(first));
    }

    @Test
    void timeOutsCutALimitToASmallShareOfRequests() {
        Rig rig = new Rig(Rig.UNSAFE).endpoints(1);
        for (int i = 0; i < 12; i++) {
            String id = rig.request(0, "k", 1_000_000);
            if (rig.at(id) != null) {
                rig.now += 90_000;
                rig.end(id, Outcome.TIMED_OUT, 500_000);
            }
            rig.pass(300_000);
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += rig.at(rig.request(0, "k" + i, 1_000_000)) == null ? 0 : 1;
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    @Test
    void aStaleCachedListServesUntilTheTrueOneComes() {
        Rig rig = new Rig(Rig.settings(true, Rig.SAFE));
        rig.balancer.onEndpoints(rig.now, Source.CACHED, List.of(Rig.ready(0), Rig.ready(1)));
        assertEquals(1, rig.attempts(rig.request(0, "k", 1_000_000)));
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(2)));
        for (int k = 0; k < 20; k++) {
            assertEquals("e2", rig.serve(0, "k" + k));
        }
    }

    @Test
    void aStartedStreamIsNeverCancelled() {
        Rig rig = new Rig(Rig.SAFE).endpoints(4);
        String id = rig.request(0, "k", 1_000_000);
        rig.balancer.onStreamStarted(rig.now + 10_000, id, 0);
        rig.pass(3_000_000);
        rig.balancer.onRequestAbandoned(rig.now, id);
        assertFalse(rig.log.contains("cancel " + id + " 0"), rig.log.toString());
    }

    @Test
    void nonsensicalSettingsAreRejectedByName() {
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
            Rig rig = new Rig(Rig.SAFE, Rig.UNSAFE).endpoints(7);
            for (int i = 0; i < 300; i++) {
                String id = rig.request(i % 2, i % 5 == 0 ? null : "k" + i % 40, 1_000_000);
                rig.pass(7_000);
                if (rig.at(id) != null) {
                    rig.end(id, i % 9 == 0 ? Outcome.FAILED : Outcome.OK, 7_000);
                }
            }
            logs.add(rig.log);
        }
        assertEquals(logs.get(0), logs.get(1));
        assertFalse(logs.get(0).isEmpty());
    }

    /** Requests of as many keys at once; gives how many were sent on, and ends them after a lag. */
    private static int sentAtOnce(Rig rig, int count, long lag) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(rig.request(0, "k" + i, 1_000_000));
        }
        int sent = (int) ids.stream().filter(id -> rig.at(id) != null).count();
        rig.pass(lag);
        ids.stream()
                .filter(id -> rig.at(id) != null && rig.finals.get(id) == null)
                .forEach(id -> rig.end(id, Outcome.OK, lag));
        return sent;
    }

    @Test
    void jitterOfAMillisecondIsNoCrowding() {
        // Guards hosts that answer at once: ten times their usual lag is still nothing against the aim.
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        for (int i = 0; i < 600; i++) {
            sentAtOnce(rig, 60, i % 3 == 0 ? 2_000 : 200);
        }
        assertEquals(60, sentAtOnce(rig, 60, 2_000), "limits have grown by good answers and were never cut");
        assertEquals(60, sentAtOnce(rig, 60, 200));
    }

    @Test
    void whatIsFeltIsCrowdingHoweverFastHostsUsuallyAre() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        for (int i = 0; i < 600; i++) {
            sentAtOnce(rig, 60, 200);
        }
        for (int i = 0; i < 40; i++) {
            sentAtOnce(rig, 60, 60_000);
        }
        int sent = sentAtOnce(rig, 60, 60_000);
        assertTrue(sent < 20, "limits were cut: only a few go out at once, " + sent);
    }
}
