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

/** What the module says of requests that it gives up, and that saying it changes nothing. */
class RefusalTest {
    private final List<UnservedReason> told = new ArrayList<>();

    private Rig rig(boolean many) {
        Rig rig = new Rig(
                many
                        ? Rig.oneOfMany(false, Rig.SAFE, Rig.KEYED, Rig.UNSAFE)
                        : Rig.settings(false, Rig.SAFE, Rig.KEYED, Rig.UNSAFE),
                5);
        rig.balancer.observe((now, why) -> told.add(why));
        return rig;
    }

    private UnservedReason last(Rig rig, String id) {
        rig.pass(600_000);
        assertTrue(rig.finals.containsKey(id), id + " is still open");
        return told.stream()
                .filter(r -> r.requestId().equals(id))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @Test
    void eachCauseIsSaidByItsName() {
        Rig none = rig(true);
        assertEquals(Cause.NO_LIST, last(none, none.request(0, "k", 1_000_000)).cause());

        Rig drained = rig(true).endpoints(1);
        drained.balancer.onEndpoints(
                drained.now, Source.DELTA, List.of(new Endpoint("e0", 0, 0, 0, Availability.DRAINING, 1, 0)));
        assertEquals(
                Cause.NO_HOST, last(drained, drained.request(0, "k", 1_000_000)).cause());

        Rig full = rig(true).endpoints(1);
        full.end(full.request(2, "k", 1_000_000), Outcome.QUEUE_FULL, 1_000);
        assertEquals(Cause.FULL, last(full, full.request(2, "k", 300_000)).cause());

        Rig cold = rig(true);
        for (int i = 0; i < 3; i++) {
            cold.starts("e" + i);
        }
        UnservedReason short1 = null;
        for (int i = 0; i < 40 && (short1 == null || short1.cause() != Cause.COLD); i++) {
            String id = cold.request(0, "k" + i, 1_000_000);
            if (cold.at(id) == null) {
                short1 = last(cold, id);
            }
        }
        assertEquals(Cause.COLD, short1.cause());

        Rig busy = rig(true).endpoints(3);
        busy.serve(0, "k");
        for (int i = 0; i < 3; i++) {
            busy.balancer.onLoadReport(busy.now, "e" + i, 90);
        }
        busy.pass(100_000);
        UnservedReason refused = last(busy, busy.request(0, "k", 1_000_000));
        assertEquals(Cause.ADMISSION, refused.cause());
        assertTrue(refused.limitReached() < 0.2, "the share admitted: " + refused.limitReached());

        Rig owners = rig(true).endpoints(80);
        List<String> held = new ArrayList<>();
        String taken = owners.request(0, "k", 1_000_000);
        while (owners.at(taken) != null) {
            owners.end(taken, Outcome.OK, 20_000);
            held.add(owners.at(taken));
            held.forEach(e -> owners.balancer.onLoadReport(owners.now, e, 12));
            for (int i = 0; i < 80; i++) {
                if (!held.contains("e" + i)) {
                    owners.balancer.onLoadReport(owners.now, "e" + i, 0);
                }
            }
            owners.pass(30_000);
            taken = owners.request(0, "k", 1_000_000);
        }
        UnservedReason overload = last(owners, taken);
        assertEquals(Cause.OVERLOAD, overload.cause());
        assertEquals(1, overload.worth());

        Rig limits = rig(false).endpoints(1);
        limits.request(0, "a", 1_000_000);
        limits.request(0, "b", 1_000_000);
        String third = limits.request(0, "c", 1_000_000);
        limits.pass(250_000);
        assertEquals(third, told.get(told.size() - 1).requestId());
        assertEquals(Cause.LIMITS, told.get(told.size() - 1).cause());

        Rig late = rig(true).endpoints(3);
        assertEquals(Cause.TIME, last(late, late.request(0, "k", 20_000)).cause());
    }

    @Test
    void whyARequestIsNotSentAgainIsSaid() {
        Rig unsafe = rig(true).endpoints(3);
        String id = unsafe.request(2, "k", 1_000_000);
        unsafe.end(id, Outcome.RESET, 1_000);
        assertEquals(Cause.EFFECT, last(unsafe, id).cause());
        assertEquals("fail", unsafe.finals.get(id));

        Rig attempts = rig(true).endpoints(9);
        String safe = attempts.request(0, "k", 2_000_000);
        for (int i = 0; i < 3; i++) {
            attempts.end(safe, Outcome.FAILED, 1_000);
        }
        assertEquals(Cause.ATTEMPTS, last(attempts, safe).cause());
    }

    @Test
    void whoListensChangesNoDecision() {
        List<String> quiet = day(false);
        assertEquals(quiet, day(true));
        assertTrue(told.size() > 20, told.size() + " told");
    }

    /** Some hundred requests against hosts of which some are cold, full, busy or failing. */
    private List<String> day(boolean observed) {
        Rig rig = observed ? rig(true) : new Rig(Rig.oneOfMany(false, Rig.SAFE, Rig.KEYED, Rig.UNSAFE), 5);
        rig.endpoints(5);
        rig.starts("e7");
        rig.starts("e8");
        for (int i = 0; i < 400; i++) {
            String id = rig.request(i % 3, "k" + i % 17, 1_000_000);
            if (rig.at(id) != null) {
                rig.pass(7_000 + i % 5 * 40_000);
                rig.balancer.onLoadReport(rig.now, rig.at(id), i % 23);
                rig.end(id, i % 7 == 0 ? Outcome.QUEUE_FULL : i % 11 == 0 ? Outcome.RESET : Outcome.OK, 7_000);
            }
            rig.pass(3_000);
        }
        return rig.log;
    }
}
