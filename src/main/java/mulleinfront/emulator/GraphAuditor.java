package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer.Effect;

/**
 * Checks invariants along a path of calls, in addition to the four rules that each service's own auditor checks: a call
 * has no later deadline than the request that it is made for, no attempt is sent for a request that has ended, a call
 * has no stronger effect than its request, and an effect that must not be repeated is not repeated because a request
 * further up the path was.
 */
public final class GraphAuditor {
    private static final int MAX_RECORDED_BREACHES = 100;
    /** Effects are remembered for at least this time, and at most twice as long, microseconds. */
    private static final long EFFECT_RETENTION_US = 30_000_000;

    /** Rules that the auditor checks. */
    public enum Rule {
        DEADLINE("the deadline is passed on"),
        CANCEL("what is cancelled above is cancelled below"),
        EFFECT("no call has more of an effect than its request"),
        TWICE("no effect happens twice along a path");

        private final String description;

        Rule(String description) {
            this.description = description;
        }

        /** Description of the rule. */
        public String description() {
            return description;
        }
    }

    /**
     * A violation of a rule.
     *
     * @param atUs when the violation was detected
     * @param service the service that was called
     */
    public record Breach(Rule rule, long atUs, String service, String description) {
        @Override
        public String toString() {
            return "rule broken: " + rule.description() + ": " + description + ", call of " + service + ", at "
                    + String.format(Locale.ROOT, "%.6f", atUs / 1e6) + " s";
        }
    }

    private final GraphWorld graph;
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    private Map<String, Integer> recentExecutions = new HashMap<>();
    private Map<String, Integer> previousExecutions = new HashMap<>();
    private long executionsSince;
    /** Keyed effects that ran again in another deduplication group, because of a repeat further up the path. */
    private long repeatedKeyedEffects;

    GraphAuditor(GraphWorld graph) {
        this.graph = graph;
    }

    List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    int breachCount() {
        return breachCount;
    }

    long repeatedKeyedEffects() {
        return repeatedKeyedEffects;
    }

    private void addBreach(Rule rule, GraphCall graphCall, String description) {
        breachCount++;
        if (breaches.size() < MAX_RECORDED_BREACHES) {
            breaches.add(new Breach(
                    rule,
                    graph.queue.now(),
                    graph.nodes().get(graphCall.edge.to()).name(),
                    description));
        }
    }

    /** An application makes a call. */
    void callMade(GraphCall graphCall) {
        if (graphCall.deadlineAt > graphCall.caller.endsAt) {
            addBreach(
                    Rule.DEADLINE,
                    graphCall,
                    "it may take " + (graphCall.deadlineAt - graphCall.caller.endsAt)
                            + " us longer than the request that it is made for");
        }
        Effect effect = effect(graphCall.classIndex);
        Effect strongestAllowed = graphCall.caller.incoming == null
                ? effect(graphCall.caller.request.classIndex)
                : effect(graphCall.caller.incoming.classIndex);
        if (strength(effect) > strength(strongestAllowed)) {
            addBreach(Rule.EFFECT, graphCall, "a " + strongestAllowed + " request makes a " + effect + " call");
        }
    }

    private Effect effect(int classIndex) {
        return graph.spec.world().classes().get(classIndex).type().effect();
    }

    private static int strength(Effect effect) {
        return switch (effect) {
            case RETRYABLE -> 0;
            case DEDUP -> 1;
            case FRAGILE -> 2;
        };
    }

    /** An attempt's first byte leaves a client proxy. */
    void attemptSent(GraphCall graphCall, long now) {
        if (graphCall.caller.overAt() >= 0 && now > graphCall.caller.overAt()) {
            addBreach(
                    Rule.CANCEL,
                    graphCall,
                    "sent " + (now - graphCall.caller.overAt()) + " us after the request that it is made for was over");
        }
        if (now > graphCall.deadlineAt) {
            addBreach(Rule.DEADLINE, graphCall, "sent " + (now - graphCall.deadlineAt) + " us after its time");
        }
    }

    /** A server has begun to execute this effect. */
    void effectRan(String effect, boolean dropped) {
        char kind = effect.charAt(0);
        if (dropped || kind == GraphWorld.SAFE) {
            return;
        }
        long now = graph.queue.now();
        if (now - executionsSince > EFFECT_RETENTION_US) {
            previousExecutions = recentExecutions;
            recentExecutions = new HashMap<>();
            executionsSince = now;
        }
        int times = recentExecutions.merge(effect, 1, Integer::sum) + previousExecutions.getOrDefault(effect, 0);
        if (times < 2) {
            return;
        }
        if (kind == GraphWorld.KEYED) {
            repeatedKeyedEffects++;
        } else {
            breachCount++;
            if (breaches.size() < MAX_RECORDED_BREACHES) {
                breaches.add(new Breach(Rule.TWICE, now, "any", "the effect " + effect + " ran " + times + " times"));
            }
        }
    }
}
