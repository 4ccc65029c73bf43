package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer.Effect;

/**
 * Judges what must hold along a path of calls, beside the four rules that each service's own auditor judges:
 * nobody below has more time than whoever waits above, nothing is sent for a request that is over, no call
 * has more of an effect than the request that it is made for, and an effect that may not be repeated is not
 * repeated by a repeat above it.
 */
public final class GraphAuditor {
    private static final int MOST_KEPT = 100;
    /** Effects are remembered for so long, microseconds, and at most twice that. */
    private static final long REMEMBERED_US = 30_000_000;

    /** What is judged, by the name of what is broken. */
    public enum Rule {
        DEADLINE("the deadline is passed on"),
        CANCEL("what is cancelled above is cancelled below"),
        EFFECT("no call has more of an effect than its request"),
        TWICE("no effect happens twice along a path");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        /** The rule in words. */
        public String words() {
            return words;
        }
    }

    /**
     * A broken rule.
     *
     * @param atUs when it was broken
     * @param service the service that was called
     */
    public record Breach(Rule rule, long atUs, String service, String what) {
        @Override
        public String toString() {
            return "rule broken: " + rule.words() + ": " + what + ", call of " + service + ", at "
                    + String.format(Locale.ROOT, "%.6f", atUs / 1e6) + " s";
        }
    }

    private final GraphWorld graph;
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    private Map<String, Integer> ran = new HashMap<>();
    private Map<String, Integer> ranBefore = new HashMap<>();
    private long ranSince;
    /** Keyed effects that a repeat above brought to another group, where they ran again. */
    private long keyedAgain;

    GraphAuditor(GraphWorld graph) {
        this.graph = graph;
    }

    List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    int breachCount() {
        return breachCount;
    }

    long keyedAgain() {
        return keyedAgain;
    }

    private void breach(Rule rule, Hop hop, String what) {
        breachCount++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(new Breach(
                    rule, graph.queue.now(), graph.nodes().get(hop.edge.to()).name(), what));
        }
    }

    /** An application makes a call. */
    void called(Hop hop) {
        if (hop.endAt > hop.above.endsAt) {
            breach(
                    Rule.DEADLINE,
                    hop,
                    "it may take " + (hop.endAt - hop.above.endsAt)
                            + " us longer than the request that it is made for");
        }
        Effect effect = effect(hop.classIndex);
        Effect most =
                hop.above.above == null ? effect(hop.above.request.classIndex) : effect(hop.above.above.classIndex);
        if (strength(effect) > strength(most)) {
            breach(Rule.EFFECT, hop, "a " + most + " request makes a " + effect + " call");
        }
    }

    private Effect effect(int classIndex) {
        return graph.spec.world().classes().get(classIndex).type().effect();
    }

    private static int strength(Effect e) {
        return switch (e) {
            case RETRYABLE -> 0;
            case DEDUP -> 1;
            case FRAGILE -> 2;
        };
    }

    /** An attempt's first byte leaves a client proxy. */
    void sent(Hop hop, long now) {
        if (hop.above.overAt() >= 0 && now > hop.above.overAt()) {
            breach(
                    Rule.CANCEL,
                    hop,
                    "sent " + (now - hop.above.overAt()) + " us after the request that it is made for was over");
        }
        if (now > hop.endAt) {
            breach(Rule.DEADLINE, hop, "sent " + (now - hop.endAt) + " us after its time");
        }
    }

    /** A server has begun to run this effect. */
    void ran(String effect, boolean dropped) {
        char kind = effect.charAt(0);
        if (dropped || kind == GraphWorld.SAFE) {
            return;
        }
        long now = graph.queue.now();
        if (now - ranSince > REMEMBERED_US) {
            ranBefore = ran;
            ran = new HashMap<>();
            ranSince = now;
        }
        int times = ran.merge(effect, 1, Integer::sum) + ranBefore.getOrDefault(effect, 0);
        if (times < 2) {
            return;
        }
        if (kind == GraphWorld.KEYED) {
            keyedAgain++;
        } else {
            breachCount++;
            if (breaches.size() < MOST_KEPT) {
                breaches.add(new Breach(Rule.TWICE, now, "any", "the effect " + effect + " ran " + times + " times"));
            }
        }
    }
}
