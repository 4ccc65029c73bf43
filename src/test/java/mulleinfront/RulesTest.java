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

/**
 * Plays seeded random but legal sequences of events and checks every action against the rules with
 * bookkeeping of its own.
 */
class RulesTest {
    private static final long SLACK = 20_000;

    /** One request as the checker sees it. */
    private static final class Seen {
        RequestClass type;
        long deadline;
        boolean done;
        final List<Try> tries = new ArrayList<>();
    }

    /** One attempt of a request: its endpoint, when it was sent and ends, and its planned and actual outcome. */
    private static final class Try {
        String endpoint;
        long at;
        long endsAt;
        Outcome planned;
        Outcome outcome;
    }

    /** Balancer's actions, checked as they come. */
    private static final class Checker implements Actions {
        final Map<String, Endpoint> world = new HashMap<>();
        final Map<String, Seen> open = new HashMap<>();
        final Random random;
        long now = 5_000_000_000L;
        long wake = Long.MAX_VALUE;
        int finals;
        final List<String> probes = new ArrayList<>();

        Checker(Random random) {
            this.random = random;
        }

        @Override
        public void send(String id, String endpoint, long timeout) {
            Seen s = open.get(id);
            assertTrue(s != null && !s.done, "sent after its end: " + id);
            Endpoint e = world.get(endpoint);
            assertTrue(e != null && e.availability() == Availability.READY, "sent to a drained " + endpoint);
            assertTrue(s.tries.size() < 3, "too many attempts");
            for (Try t : s.tries) {
                assertTrue(t.outcome != null, "two attempts out at once");
                boolean maybe = t.outcome == null || !t.outcome.neverRan();
                if (maybe && s.type.effect() == Effect.FRAGILE) {
                    throw new AssertionError("fragile request sent twice");
                }
                if (maybe && s.type.effect() == Effect.DEDUP) {
                    Endpoint first = world.get(t.endpoint);
                    assertTrue(now - t.at <= s.type.dedupWindowUs(), "outside the window");
                    assertTrue(
                            s.type.scope() == DedupScope.ALL
                                    || s.type.scope() == DedupScope.ZONE && first.zone() == e.zone()
                                    || s.type.scope() == DedupScope.CELL && first.cell() == e.cell(),
                            "outside the group");
                }
            }
            Try t = new Try();
            t.endpoint = endpoint;
            t.at = now;
            long limit = Math.min(now + (timeout == 0 ? Long.MAX_VALUE / 2 : timeout), s.deadline);
            long natural = now + (long) (20_000 * Math.exp(1.2 * random.nextGaussian()));
            boolean late = natural > limit || random.nextInt(60) == 0;
            t.endsAt = late ? Math.max(now, limit) : natural;
            t.planned = late
                    ? Outcome.TIMED_OUT
                    : random.nextInt(14) > 0
                            ? Outcome.OK
                            : Outcome.values()[random.nextInt(5) == 0 ? 4 : 1 + random.nextInt(5)];
            if (t.planned == Outcome.TIMED_OUT && !late) {
                t.planned = Outcome.FAILED;
            }
            s.tries.add(t);
        }

        @Override
        public void refuse(String id, long retryAfter) {
            Seen s = answer(id);
            for (Try t : s.tries) {
                boolean maybe = t.outcome == null || !t.outcome.neverRan();
                assertTrue(
                        !maybe
                                || s.type.effect() == Effect.RETRYABLE
                                || s.type.effect() == Effect.DEDUP && s.type.scope() == DedupScope.ALL,
                        "untrue refusal");
            }
        }

        @Override
        public void fail(String id) {
            answer(id);
        }

        private Seen answer(String id) {
            Seen s = open.get(id);
            assertTrue(s != null && !s.done, "second final answer");
            assertTrue(now <= s.deadline + SLACK, "answered " + (now - s.deadline) + " us late");
            s.done = true;
            finals++;
            return s;
        }

        @Override
        public void cancel(String id, int attempt) {
            Try t = open.get(id).tries.get(attempt);
            if (t.outcome == null) {
                t.planned = Outcome.CANCELED;
                t.endsAt = Math.min(t.endsAt, now + 1_000);
            }
        }

        @Override
        public void probe(String endpoint) {
            assertTrue(world.containsKey(endpoint), "probed an endpoint never listed");
            probes.add(endpoint);
        }

        @Override
        public void subscribe() {}

        @Override
        public void wakeAt(long at) {
            assertTrue(at > now, "timer in the past");
            wake = Math.min(wake, at);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void randomEventsBreakNoRule(int seed) {
        Random random = new Random(seed);
        Checker c = new Checker(random);
        List<RequestClass> classes = new ArrayList<>(List.of(Rig.SAFE, Rig.UNSAFE));
        for (DedupScope scope : DedupScope.values()) {
            classes.add(new RequestClass("d" + scope, Effect.DEDUP, scope, 100_000, 1, 0, 300_000, 0, 900_000));
        }
        RequestClass[] all = classes.toArray(new RequestClass[0]);
        Settings settings = seed > 16 ? Rig.oneOfMany(seed % 2 == 0, all) : Rig.settings(seed % 3 == 0, all);
        // One of many sees little and stands still now and then; requests are as many, only further apart.
        int pace = seed > 16 ? 40_000 : 4_000;
        Balancer balancer = Balancer.create(settings, seed, c.now, c);
        int made = 0;
        int ended = 0;
        for (int step = 0; step < 4_000; step++) {
            int gap = random.nextInt(pace);
            for (; gap > 4_000; gap -= 4_000) {
                ended += advance(c, balancer, 4_000);
            }
            c.now += gap;
            if (seed > 16 && random.nextInt(80) == 0) {
                stand(c, balancer, random, 200_000 + random.nextInt(600_000));
            }
            ended += advance(c, balancer, 0);
            for (String probed : List.copyOf(c.probes)) {
                if (random.nextInt(3) > 0) {
                    c.probes.remove(probed);
                    balancer.onProbeEnded(c.now, probed, Outcome.values()[random.nextInt(5)], random.nextInt(200_000));
                }
            }
            if (step % 150 == 0) {
                change(c, balancer, random);
            }
            if (step < 3_500) {
                String id = "r" + made++;
                int type = random.nextInt(classes.size());
                Seen s = new Seen();
                s.type = classes.get(type);
                long budget = random.nextInt(10) == 0 ? random.nextInt(3_000) : 50_000 + random.nextInt(800_000);
                s.deadline = c.now + budget;
                c.open.put(id, s);
                String key = random.nextInt(4) == 0 ? null : "k" + (int) Math.pow(random.nextInt(40), 1.5);
                balancer.onRequest(c.now, new Request(id, type, key, budget, 0, 0, random.nextBoolean()));
                if (random.nextInt(60) == 0 && !s.done) {
                    s.done = true;
                    c.finals++;
                    balancer.onRequestAbandoned(c.now, id);
                }
            }
        }
        for (int i = 0; i < 1_000; i++) {
            ended += advance(c, balancer, 4_000);
        }
        assertEquals(made, c.finals, "requests without a final answer");
        assertTrue(ended > 1_000, "too little was sent: " + ended);
    }

    /** The process stands still: clients whose time is up have left when it looks again. */
    private static void stand(Checker c, Balancer balancer, Random random, long us) {
        c.now += us;
        for (Map.Entry<String, Seen> e : new ArrayList<>(c.open.entrySet())) {
            if (!e.getValue().done && c.now > e.getValue().deadline) {
                e.getValue().done = true;
                c.finals++;
                balancer.onRequestAbandoned(c.now, e.getKey());
            }
        }
    }

    /** Lets time pass, then fires the timers due and ends the attempts due; gives how many ended. */
    private static int advance(Checker c, Balancer balancer, long us) {
        c.now += us;
        while (c.wake <= c.now) {
            c.wake = Long.MAX_VALUE;
            balancer.onTimer(c.now);
        }
        return endDue(c, balancer);
    }

    private static int endDue(Checker c, Balancer balancer) {
        int ended = 0;
        for (Map.Entry<String, Seen> e : new ArrayList<>(c.open.entrySet())) {
            Seen s = e.getValue();
            boolean out = false;
            for (int i = 0; i < s.tries.size(); i++) {
                Try t = s.tries.get(i);
                if (t.outcome == null && t.endsAt <= c.now) {
                    t.outcome = t.planned;
                    boolean served = t.outcome == Outcome.OK && !s.done;
                    if (served) {
                        s.done = true;
                        c.finals++;
                    }
                    ended++;
                    balancer.onAttemptEnded(c.now, new AttemptEnd(e.getKey(), i, t.outcome, s.done, c.now - t.at));
                }
                out |= t.outcome == null;
            }
            assertTrue(s.done || c.now <= s.deadline + SLACK || out, "lost " + e.getKey());
            if (s.done && !out) {
                c.open.remove(e.getKey());
            }
        }
        return ended;
    }

    /** Endpoints start, drain, leave and come back; what the balancer is told holds at once. */
    private static void change(Checker c, Balancer balancer, Random random) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Availability state = Availability.values()[Math.max(0, random.nextInt(6) - 3)];
            Endpoint e = new Endpoint("e" + i, i % 3, i % 4, i % 2, state, 1, random.nextInt(5) == 0 ? c.now : 0);
            c.world.put(e.id(), e);
            list.add(e);
        }
        if (random.nextBoolean()) {
            list.removeIf(e -> e.availability() == Availability.GONE);
            balancer.onEndpoints(c.now, Source.FULL, list);
        } else {
            balancer.onEndpoints(c.now, Source.DELTA, list);
        }
        if (random.nextInt(3) == 0) {
            balancer.onDiscoveryFailed(c.now);
        }
    }

    @Test
    void theCheckerReportsEachRuleBrokenOnPurpose() {
        Checker c = new Checker(new Random(1));
        c.world.put("up", new Endpoint("up", 0, 0, 0, Availability.READY, 1, 0));
        c.world.put("far", new Endpoint("far", 1, 1, 0, Availability.READY, 1, 0));
        c.world.put("drained", new Endpoint("drained", 0, 0, 0, Availability.DRAINING, 1, 0));
        open(c, "a", Rig.SAFE);
        assertThrows(AssertionError.class, () -> c.send("a", "drained", 0));
        c.send("a", "up", 0);
        assertThrows(AssertionError.class, () -> c.send("a", "far", 0), "two attempts out");
        c.fail("a");
        assertThrows(AssertionError.class, () -> c.fail("a"), "two answers");
        open(c, "b", Rig.UNSAFE);
        c.send("b", "up", 0);
        c.open.get("b").tries.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> c.send("b", "far", 0), "fragile twice");
        assertThrows(AssertionError.class, () -> c.refuse("b", 0), "untrue refusal");
        open(c, "d", Rig.KEYED);
        c.send("d", "up", 0);
        c.open.get("d").tries.get(0).outcome = Outcome.FAILED;
        assertThrows(AssertionError.class, () -> c.send("d", "far", 0), "outside its zone");
        c.now += 1_500_000;
        assertThrows(AssertionError.class, () -> c.send("d", "up", 0), "outside its window");
        open(c, "e", Rig.SAFE);
        c.now += 3_000_000;
        assertThrows(AssertionError.class, () -> c.fail("e"), "late");
    }

    private static void open(Checker c, String id, RequestClass type) {
        Seen s = new Seen();
        s.type = type;
        s.deadline = c.now + 2_000_000;
        c.open.put(id, s);
    }
}
