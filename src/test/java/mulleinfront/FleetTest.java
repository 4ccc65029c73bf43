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

/** What goes wrong only where hundreds of instances each send little. */
class FleetTest {
    private static final RequestClass DEAR =
            new RequestClass("dear", Effect.RETRYABLE, null, 0, 10, 0, 500_000, 0, 2_000_000);

    /** Every request of the instance is lost, whichever endpoint it went to. */
    private static void collapse(Rig rig, int requests) {
        for (int i = 0; i < requests; i++) {
            String id = rig.request(0, "lost" + i, 2_000_000);
            while (rig.finals.get(id) == null && rig.at(id) != null) {
                rig.pass(400_000);
                rig.end(id, Outcome.TIMED_OUT, 400_000);
            }
            rig.pass(100_000);
        }
    }

    @Test
    void manyInstancesThatEachSendLittleDoNotFloodAColdEndpoint() {
        int instances = 500;
        int toCold = 0;
        int all = 0;
        for (int i = 0; i < instances; i++) {
            Rig rig = new Rig(Rig.oneOfMany(false, Rig.SAFE), i).endpoints(9);
            rig.starts("cold");
            for (int k = 0; k < 3; k++) {
                toCold += rig.serve(0, "key" + (7 * i + k) % 400).equals("cold") ? 1 : 0;
                all++;
            }
        }
        // It has a fifth of its capacity: 0.2 of 9.2 is 33 of 1500; one each would be 150.
        double part = 0.2 / 9.2 * all;
        assertTrue(toCold > 0 && toCold < 1.3 * part, toCold + " to the cold one, its part is " + part);
    }

    @Test
    void aColdEndpointThatWasEjectedGetsNoTrialBeyondItsCredit() {
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            Rig rig = new Rig(Rig.oneOfMany(false, Rig.SAFE), i);
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
    void underStrainAKeyAskedForTooOftenSpillsInExpectation() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.SAFE)).endpoints(20);
        collapse(rig, 8);
        rig.pass(20_000_000);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = rig.request(0, "hot", 2_000_000);
            if (rig.at(id) != null) {
                owners.add(rig.at(id));
                rig.pass(20_000);
                rig.end(id, i % 6 == 0 ? Outcome.TIMED_OUT : Outcome.OK, i % 6 == 0 ? 450_000 : 20_000);
            }
            rig.pass(200_000);
        }
        assertTrue(owners.size() >= 2, "hot key on " + owners);
    }

    @Test
    void withoutStrainAKeyStaysHowOftenItIsAskedFor() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.SAFE)).endpoints(20);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            owners.add(rig.serve(0, "hot"));
            rig.pass(100_000);
        }
        assertEquals(1, owners.size());
        assertTrue(rig.probes.isEmpty(), "no strain, no probe");
    }

    @Test
    void whenAllEndpointsLoseWorkOnlyAShareIsAdmittedAndTheWorthiestFirst() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.SAFE, DEAR)).endpoints(4);
        collapse(rig, 30);
        int cheap = 0;
        int dear = 0;
        for (int i = 0; i < 40; i++) {
            String c = rig.request(0, "c" + i, 2_000_000);
            String d = rig.request(1, "d" + i, 2_000_000);
            cheap += rig.at(c) == null ? 0 : 1;
            dear += rig.at(d) == null ? 0 : 1;
            rig.pass(400_000);
            for (String id : List.of(c, d)) {
                if (rig.at(id) != null && rig.finals.get(id) == null) {
                    rig.end(id, Outcome.TIMED_OUT, 400_000);
                }
            }
        }
        assertTrue(cheap < 10 && dear > cheap, "admitted " + cheap + " cheap, " + dear + " dear");
        // It ends with its cause: good answers open it again.
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = rig.request(0, "good" + i, 2_000_000);
            if (rig.at(id) != null) {
                rig.pass(20_000);
                rig.end(id, Outcome.OK, 20_000);
                served = i >= 300 ? served + 1 : served;
            }
            rig.pass(300_000);
        }
        assertTrue(served > 90, "of the last hundred only " + served);
    }

    @Test
    void underStrainAnEndpointIsProbedFirstAndPassedOverIfSlow() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.SAFE)).endpoints(5);
        for (int i = 0; rig.probes.isEmpty() && i < 40; i++) {
            String id = rig.request(0, "k" + i, 2_000_000);
            if (rig.at(id) != null) {
                rig.pass(450_000);
                rig.end(id, Outcome.TIMED_OUT, 450_000);
            }
        }
        assertEquals(1, rig.probes.size());
        String slow = rig.probes.get(0);
        int before = rig.log.size();
        rig.pass(300_000);
        List<String> after = rig.log.subList(before, rig.log.size());
        assertTrue(
                after.stream().anyMatch(l -> l.startsWith("probe") || l.startsWith("send") || l.startsWith("refuse")),
                "waits for a probe that does not come: " + after);
        assertTrue(after.stream().noneMatch(l -> l.contains("send") && l.contains(" " + slow + " ")), "" + after);
    }

    @Test
    void anOwnPauseIsNobodysSilence() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        String id = rig.request(0, "k", 2_000_000);
        String owner = rig.at(id);
        rig.now += 1_200_000;
        rig.balancer.onTimer(rig.now);
        assertEquals(List.of("send " + id + " " + owner + " " + rig.timeout), rig.log);
        rig.end(id, Outcome.OK, 1_200_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(owner, rig.serve(0, "k"), "the owner keeps its key after our own pause");
        }
    }

    @Test
    void aFirstErrorAfterALongPauseStillGetsItsFinalAnswer() {
        Rig rig = new Rig(Rig.UNSAFE).endpoints(3);
        String id = rig.request(0, "k", 2_000_000);
        rig.now += 3_000_000;
        rig.end(id, Outcome.TIMED_OUT, 500_000);
        assertEquals("fail", rig.finals.get(id));
    }

    @Test
    void oneLargeBudgetDoesNotMarkLaterTriesForGood() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        rig.request(0, "k", 1_900_000);
        for (int i = 0; i < 2_000; i++) {
            rig.balancer.onRequest(rig.now, new Request("x" + i, 0, "k" + i, 1_000_000, 0, 0, false));
            rig.balancer.onRequestAbandoned(rig.now, "x" + i);
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of());
        String id = rig.request(0, "k", 1_000_000);
        rig.pass(100_000);
        assertNull(rig.finals.get(id), "held as a first try, not as a repeat");
    }

    @Test
    void thousandsOfRequestsAtOnceEachGetOneTimelyAnswer() {
        Rig rig = new Rig(Rig.oneOfMany(true, Rig.SAFE)).endpoints(3);
        for (int i = 0; i < 5_000; i++) {
            rig.request(0, "k" + i % 50, i % 7 == 0 ? 0 : 400_000);
        }
        rig.pass(400_000);
        for (int i = 0; i < 5_000; i++) {
            String id = "r" + i;
            if (rig.finals.get(id) == null) {
                assertEquals(1, rig.attempts(id), "neither answered nor out: " + id);
                rig.end(id, Outcome.TIMED_OUT, 400_000);
                assertTrue(rig.finals.get(id) != null, "lost " + id);
            }
        }
    }

    @Test
    void timeThatJumpsBetweenTwoEventsLosesNothing() {
        Rig rig = new Rig(Rig.SAFE);
        String held = rig.request(0, "k", 5_000_000);
        rig.now += 4_000_000;
        rig.balancer.onTimer(rig.now);
        assertEquals("refuse", rig.finals.get(held));
        rig.balancer.onProbeEnded(rig.now, "never-listed", Outcome.OK, 1);
        rig.balancer.onEndpoints(rig.now, Source.FULL, List.of());
    }

    @Test
    void clientsThatLeaveEarlyTellNothingOfTheEndpoint() {
        Rig rig = new Rig(Rig.SAFE).endpoints(3);
        String owner = rig.serve(0, "k");
        for (int i = 0; i < 20; i++) {
            String id = rig.request(0, "k", 130_000);
            assertEquals(owner, rig.at(id));
            rig.pass(130_000);
            rig.balancer.onRequestAbandoned(rig.now, id);
            rig.end(id, Outcome.CANCELED, 130_000);
        }
        assertEquals(owner, rig.serve(0, "k"));
    }

    @Test
    void aKindOfMachineThatIsSlowTakesLessUnderStrain() {
        Rig rig = new Rig(Rig.oneOfMany(false, Rig.SAFE));
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Endpoint("e" + i, 0, 0, i % 2, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, list);
        int[] sent = new int[2];
        for (int i = 0; i < 1_500; i++) {
            String id = rig.request(0, "k" + i % 300, 2_000_000);
            if (rig.at(id) != null) {
                int kind = Integer.parseInt(rig.at(id).substring(1)) % 2;
                sent[kind] += i < 500 ? 0 : 1;
                long lag = kind == 0 ? 20_000 : 180_000;
                rig.pass(lag);
                rig.end(id, Outcome.OK, lag);
            }
            rig.pass(50_000);
        }
        assertTrue(sent[0] > sent[1], sent[0] + " to the fast kind, " + sent[1] + " to the slow");
    }

    @Test
    void endpointsAndRequestsThatWentLeaveNothingBehind() throws Exception {
        Rig rig = new Rig(Rig.SAFE);
        for (int i = 0; i < 3_000; i++) {
            rig.balancer.onEndpoints(rig.now, Source.FULL, List.of(Rig.ready(i), Rig.ready(i + 1)));
            rig.serve(0, "k" + i);
        }
        for (String field : List.of("nodes", "open", "ended", "held", "probing", "listed")) {
            java.lang.reflect.Field f = Logic.class.getDeclaredField(field);
            f.setAccessible(true);
            Object kept = f.get(rig.balancer);
            int size = kept instanceof java.util.Map<?, ?> m ? m.size() : ((java.util.Collection<?>) kept).size();
            assertTrue(size <= 3, field + " keeps " + size);
        }
        assertNotEquals(0, rig.sends.size());
    }
}
