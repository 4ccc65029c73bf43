package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import org.junit.jupiter.api.Test;

/** Failures that occur only where each of hundreds of instances sends little. */
class FleetTest {
    private static final RequestClass VALUABLE =
            new RequestClass("valuable", Effect.RETRYABLE, null, 0, 10, 0, 500_000, 0, 2_000_000);

    /** Sends requests that are all lost, whichever endpoint they go to. */
    private static void loseRequests(Rig rig, int requests) {
        for (int i = 0; i < requests; i++) {
            String id = rig.request(0, "lost" + i, 2_000_000);
            while (rig.finalAnswers.get(id) == null && rig.endpointOf(id) != null) {
                rig.advance(400_000);
                rig.endAttempt(id, Outcome.TIMED_OUT, 400_000);
            }
            rig.advance(100_000);
        }
    }

    @Test
    void manyInstancesDoNotOverloadAColdEndpoint() {
        int instances = 500;
        int toCold = 0;
        int all = 0;
        for (int i = 0; i < instances; i++) {
            Rig rig = new Rig(Rig.oneOfMany(false, Rig.RETRYABLE), i).endpoints(9);
            rig.startEndpoint("cold");
            for (int k = 0; k < 3; k++) {
                toCold += rig.serve(0, "key" + (7 * i + k) % 400).equals("cold") ? 1 : 0;
                all++;
            }
        }
        // The cold endpoint has a fifth of its capacity: 0.2 of 9.2 is 33 of 1500 requests; warm, it would take 150.
        double share = 0.2 / 9.2 * all;
        assertTrue(toCold > 0 && toCold < 1.3 * share, toCold + " sent to the cold endpoint, its share is " + share);
    }

    @Test
    void coldEndpointIsSentNoMoreThanItsTokens() {
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            Rig rig = new Rig(Rig.oneOfMany(false, Rig.RETRYABLE), i);
            rig.balancer.onEndpoints(
                    rig.now,
                    Source.FULL,
                    List.of(Rig.ready(1), new Endpoint("cold", 0, 0, 0, Availability.READY, 1, rig.now)));
            for (int k = 0; k < 2; k++) {
                sent += rig.serve(0, "k" + k).equals("cold") ? 1 : 0;
            }
        }
        assertTrue(sent < 0.3 * 400, "sent " + sent);
    }

    @Test
    void hotKeySpillsUnderOverload() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.RETRYABLE)).endpoints(20);
        loseRequests(rig, 8);
        rig.advance(20_000_000);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = rig.request(0, "hot", 2_000_000);
            if (rig.endpointOf(id) != null) {
                owners.add(rig.endpointOf(id));
                rig.advance(20_000);
                rig.endAttempt(id, i % 6 == 0 ? Outcome.TIMED_OUT : Outcome.OK, i % 6 == 0 ? 450_000 : 20_000);
            }
            rig.advance(200_000);
        }
        assertTrue(owners.size() >= 2, "hot key on " + owners);
    }

    @Test
    void hotKeyStaysWithItsOwnerWithoutOverload() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.RETRYABLE)).endpoints(20);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            owners.add(rig.serve(0, "hot"));
            rig.advance(100_000);
        }
        assertEquals(1, owners.size());
        assertTrue(rig.probes.isEmpty(), "no overload, no probe");
    }

    @Test
    void fleetWideLossAdmitsAShareByPriority() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.RETRYABLE, VALUABLE)).endpoints(4);
        loseRequests(rig, 30);
        int cheap = 0;
        int valuable = 0;
        for (int i = 0; i < 40; i++) {
            String cheapId = rig.request(0, "c" + i, 2_000_000);
            String valuableId = rig.request(1, "d" + i, 2_000_000);
            cheap += rig.endpointOf(cheapId) == null ? 0 : 1;
            valuable += rig.endpointOf(valuableId) == null ? 0 : 1;
            rig.advance(400_000);
            for (String id : List.of(cheapId, valuableId)) {
                if (rig.endpointOf(id) != null && rig.finalAnswers.get(id) == null) {
                    rig.endAttempt(id, Outcome.TIMED_OUT, 400_000);
                }
            }
        }
        assertTrue(cheap < 10 && valuable > cheap, "admitted " + cheap + " cheap, " + valuable + " valuable");
        // Admission recovers with its cause: timely responses raise the admitted share.
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = rig.request(0, "good" + i, 2_000_000);
            if (rig.endpointOf(id) != null) {
                rig.advance(20_000);
                rig.endAttempt(id, Outcome.OK, 20_000);
                served = i >= 300 ? served + 1 : served;
            }
            rig.advance(300_000);
        }
        assertTrue(served > 90, "served of the last hundred: " + served);
    }

    @Test
    void endpointWithASlowProbeIsPassedOverUnderOverload() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.RETRYABLE)).endpoints(5);
        for (int i = 0; rig.probes.isEmpty() && i < 40; i++) {
            String id = rig.request(0, "k" + i, 2_000_000);
            if (rig.endpointOf(id) != null) {
                rig.advance(450_000);
                rig.endAttempt(id, Outcome.TIMED_OUT, 450_000);
            }
        }
        assertEquals(1, rig.probes.size());
        String slow = rig.probes.get(0);
        int before = rig.log.size();
        rig.advance(300_000);
        List<String> after = rig.log.subList(before, rig.log.size());
        assertTrue(
                after.stream()
                        .anyMatch(line ->
                                line.startsWith("probe") || line.startsWith("send") || line.startsWith("refuse")),
                "waits for a probe result that does not arrive: " + after);
        assertTrue(
                after.stream().noneMatch(line -> line.contains("send") && line.contains(" " + slow + " ")), "" + after);
    }

    @Test
    void ownStallDoesNotMakeEndpointsUnresponsive() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        String id = rig.request(0, "k", 2_000_000);
        String owner = rig.endpointOf(id);
        rig.now += 1_200_000;
        rig.balancer.onTimer(rig.now);
        assertEquals(List.of("send " + id + " " + owner + " " + rig.lastTimeoutUs), rig.log);
        rig.endAttempt(id, Outcome.OK, 1_200_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(owner, rig.serve(0, "k"), "the owner keeps its key after a pause of this process");
        }
    }

    @Test
    void firstErrorAfterAStallGetsAFinalAnswer() {
        Rig rig = new Rig(Rig.FRAGILE).endpoints(3);
        String id = rig.request(0, "k", 2_000_000);
        rig.now += 3_000_000;
        rig.endAttempt(id, Outcome.TIMED_OUT, 500_000);
        assertEquals("fail", rig.finalAnswers.get(id));
    }

    @Test
    void oneLargeBudgetDoesNotMarkLaterTriesAsRepeats() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        rig.request(0, "k", 1_900_000);
        for (int i = 0; i < 2_000; i++) {
            rig.balancer.onRequest(rig.now, new Request("x" + i, 0, "k" + i, 1_000_000, 0, 0, false));
            rig.balancer.onRequestAbandoned(rig.now, "x" + i);
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of());
        String id = rig.request(0, "k", 1_000_000);
        rig.advance(100_000);
        assertNull(rig.finalAnswers.get(id), "queued as a first try, not as a repeat");
    }

    @Test
    void thousandsOfConcurrentRequestsEachGetOneTimelyAnswer() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.RETRYABLE)).endpoints(3);
        for (int i = 0; i < 5_000; i++) {
            rig.request(0, "k" + i % 50, i % 7 == 0 ? 0 : 400_000);
        }
        rig.advance(400_000);
        for (int i = 0; i < 5_000; i++) {
            String id = "r" + i;
            if (rig.finalAnswers.get(id) == null) {
                assertEquals(1, rig.attempts(id), "neither answered nor outstanding: " + id);
                rig.endAttempt(id, Outcome.TIMED_OUT, 400_000);
                assertTrue(rig.finalAnswers.get(id) != null, "lost " + id);
            }
        }
    }

    @Test
    void timeJumpLosesNoRequest() {
        Rig rig = new Rig(Rig.RETRYABLE);
        String queued = rig.request(0, "k", 5_000_000);
        rig.now += 4_000_000;
        rig.balancer.onTimer(rig.now);
        assertEquals("refuse", rig.finalAnswers.get(queued));
        rig.balancer.onProbeEnded(rig.now, "never-listed", Outcome.OK, 1);
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of());
    }

    @Test
    void abandonedRequestsDoNotAffectTheEndpoint() {
        Rig rig = new Rig(Rig.RETRYABLE).endpoints(3);
        String owner = rig.serve(0, "k");
        for (int i = 0; i < 20; i++) {
            String id = rig.request(0, "k", 130_000);
            assertEquals(owner, rig.endpointOf(id));
            rig.advance(130_000);
            rig.balancer.onRequestAbandoned(rig.now, id);
            rig.endAttempt(id, Outcome.CANCELED, 130_000);
        }
        assertEquals(owner, rig.serve(0, "k"));
    }

    @Test
    void slowServerTypeTakesLessUnderOverload() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.RETRYABLE));
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Endpoint("e" + i, 0, 0, i % 2, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, list);
        int[] sent = new int[2];
        for (int i = 0; i < 1_500; i++) {
            String id = rig.request(0, "k" + i % 300, 2_000_000);
            if (rig.endpointOf(id) != null) {
                int kind = Integer.parseInt(rig.endpointOf(id).substring(1)) % 2;
                sent[kind] += i < 500 ? 0 : 1;
                long latencyUs = kind == 0 ? 20_000 : 180_000;
                rig.advance(latencyUs);
                rig.endAttempt(id, Outcome.OK, latencyUs);
            }
            rig.advance(50_000);
        }
        assertTrue(sent[0] > sent[1], sent[0] + " to the fast kind, " + sent[1] + " to the slow");
    }

    @Test
    void removedEndpointsAndRequestsAreNotRetained() throws Exception {
        Rig rig = new Rig(Rig.RETRYABLE);
        for (int i = 0; i < 3_000; i++) {
            rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(i), Rig.ready(i + 1)));
            rig.serve(0, "k" + i);
        }
        for (String field :
                List.of("endpoints", "openRequests", "endedRequests", "queued", "awaitingProbe", "listed")) {
            java.lang.reflect.Field reflected = Logic.class.getDeclaredField(field);
            reflected.setAccessible(true);
            Object value = reflected.get(rig.balancer);
            int size = value instanceof java.util.Map<?, ?> map ? map.size() : ((java.util.Collection<?>) value).size();
            assertTrue(size <= 3, field + " keeps " + size);
        }
        assertNotEquals(0, rig.sends.size());
    }
}
