package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Source;
import mulleinfront.UnservedReason.Cause;
import org.junit.jupiter.api.Test;

/** The reasons reported for unserved requests, and that observing them changes no decision. */
class UnservedReasonTest {
    private final List<UnservedReason> reasons = new ArrayList<>();

    private Rig rig(boolean manyInstances) {
        Rig rig = new Rig(
                manyInstances
                        ? Rig.oneOfMany(false, Rig.RETRYABLE, Rig.DEDUP, Rig.FRAGILE)
                        : Rig.settings(false, Rig.RETRYABLE, Rig.DEDUP, Rig.FRAGILE),
                5);
        rig.balancer.observe((now, reason) -> reasons.add(reason));
        return rig;
    }

    private UnservedReason reasonFor(Rig rig, String id) {
        rig.advance(600_000);
        assertTrue(rig.finalAnswers.containsKey(id), id + " is still open");
        return reasons.stream()
                .filter(reason -> reason.requestId().equals(id))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @Test
    void eachCauseIsReported() {
        Rig none = rig(true);
        assertEquals(
                Cause.NO_LIST, reasonFor(none, none.request(0, "k", 1_000_000)).cause());

        Rig drained = rig(true).endpoints(1);
        drained.balancer.onEndpoints(
                drained.now, Source.DELTA, List.of(new Endpoint("e0", 0, 0, 0, Availability.DRAINING, 1, 0)));
        assertEquals(
                Cause.NO_HOST,
                reasonFor(drained, drained.request(0, "k", 1_000_000)).cause());

        Rig full = rig(true).endpoints(1);
        full.endAttempt(full.request(2, "k", 1_000_000), Outcome.QUEUE_FULL, 1_000);
        assertEquals(Cause.FULL, reasonFor(full, full.request(2, "k", 300_000)).cause());

        Rig cold = rig(true);
        for (int i = 0; i < 3; i++) {
            cold.startEndpoint("e" + i);
        }
        UnservedReason unserved = null;
        for (int i = 0; i < 40 && (unserved == null || unserved.cause() != Cause.COLD); i++) {
            String id = cold.request(0, "k" + i, 1_000_000);
            if (cold.endpointOf(id) == null) {
                unserved = reasonFor(cold, id);
            }
        }
        assertEquals(Cause.COLD, unserved.cause());

        Rig busy = rig(true).endpoints(3);
        busy.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            busy.balancer.onLoadReport(busy.now, "e" + i, 90);
        }
        busy.advance(100_000);
        UnservedReason refused = reasonFor(busy, busy.request(0, "k", 1_000_000));
        assertEquals(Cause.ADMISSION, refused.cause());
        assertTrue(refused.limitReached() < 0.2, "the share admitted: " + refused.limitReached());

        Rig owners = rig(true).endpoints(80);
        List<String> busyEndpoints = new ArrayList<>();
        String latest = owners.request(0, "k", 1_000_000);
        while (owners.endpointOf(latest) != null) {
            owners.endAttempt(latest, Outcome.OK, 20_000);
            busyEndpoints.add(owners.endpointOf(latest));
            busyEndpoints.forEach(e -> owners.balancer.onLoadReport(owners.now, e, 12));
            for (int i = 0; i < 80; i++) {
                if (!busyEndpoints.contains("e" + i)) {
                    owners.balancer.onLoadReport(owners.now, "e" + i, 0);
                }
            }
            owners.advance(30_000);
            latest = owners.request(0, "k", 1_000_000);
        }
        UnservedReason overload = reasonFor(owners, latest);
        assertEquals(Cause.OVERLOAD, overload.cause());
        assertEquals(1, overload.worth());

        Rig limits = rig(false).endpoints(1);
        limits.request(0, "a", 1_000_000);
        limits.request(0, "b", 1_000_000);
        String third = limits.request(0, "c", 1_000_000);
        limits.advance(250_000);
        assertEquals(third, reasons.get(reasons.size() - 1).requestId());
        assertEquals(Cause.LIMITS, reasons.get(reasons.size() - 1).cause());

        Rig late = rig(true).endpoints(3);
        assertEquals(Cause.TIME, reasonFor(late, late.request(0, "k", 20_000)).cause());
    }

    @Test
    void causeOfAMissingRetryIsReported() {
        Rig unsafe = rig(true).endpoints(3);
        String id = unsafe.request(2, "k", 1_000_000);
        unsafe.endAttempt(id, Outcome.RESET, 1_000);
        assertEquals(Cause.EFFECT, reasonFor(unsafe, id).cause());
        assertEquals("fail", unsafe.finalAnswers.get(id));

        Rig attempts = rig(true).endpoints(9);
        String safe = attempts.request(0, "k", 2_000_000);
        for (int i = 0; i < 3; i++) {
            attempts.endAttempt(safe, Outcome.FAILED, 1_000);
        }
        assertEquals(Cause.ATTEMPTS, reasonFor(attempts, safe).cause());
    }

    @Test
    void observingChangesNoDecision() {
        List<String> unobserved = runRequests(false);
        assertEquals(unobserved, runRequests(true));
        assertTrue(reasons.size() > 20, reasons.size() + " reasons reported");
    }

    /** Runs 400 requests against endpoints of which some are cold, full, busy or failing. */
    private List<String> runRequests(boolean observed) {
        Rig rig = observed ? rig(true) : new Rig(Rig.oneOfMany(false, Rig.RETRYABLE, Rig.DEDUP, Rig.FRAGILE), 5);
        rig.endpoints(5);
        rig.startEndpoint("e7");
        rig.startEndpoint("e8");
        for (int i = 0; i < 400; i++) {
            String id = rig.request(i % 3, "k" + i % 17, 1_000_000);
            if (rig.endpointOf(id) != null) {
                rig.advance(7_000 + i % 5 * 40_000);
                rig.balancer.onLoadReport(rig.now, rig.endpointOf(id), i % 23);
                rig.endAttempt(id, i % 7 == 0 ? Outcome.QUEUE_FULL : i % 11 == 0 ? Outcome.RESET : Outcome.OK, 7_000);
            }
            rig.advance(3_000);
        }
        return rig.log;
    }
}
