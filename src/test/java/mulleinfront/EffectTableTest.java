package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import org.junit.jupiter.api.Test;

/**
 * No effect happens twice, as a table over the outcome of each attempt, the number of attempts, the position of the
 * last end within the deduplication window, and the endpoints that are still listed. Each cell states what the decision
 * logic must do, not only what it must not do.
 */
class EffectTableTest {
    private static final long WINDOW_US = 100_000;
    private static final int MAX_ATTEMPTS = 3;

    /** Whether a request may have been executed, by outcome, as the protocol states it; independent of the program. */
    private static final Map<Outcome, Boolean> MAY_HAVE_RUN = new EnumMap<>(Map.of(
            Outcome.FAILED,
            true,
            Outcome.QUEUE_FULL,
            false,
            Outcome.TIMED_OUT,
            true,
            Outcome.CONNECT_ERROR,
            false,
            Outcome.RESET,
            true,
            Outcome.CANCELED,
            true,
            Outcome.IGNORED,
            false));

    /** Time of the last end, counted from the first possibly executed attempt. */
    private enum Window {
        INSIDE(WINDOW_US - 1),
        AT_ITS_END(WINDOW_US),
        AFTER(WINDOW_US + 50_000);

        final long offsetUs;

        Window(long offsetUs) {
            this.offsetUs = offsetUs;
        }
    }

    /** Endpoints that are listed when the last attempt ends; the ones tried before are in zone 0 and cell 0. */
    private enum Listed {
        SAME(0, 0),
        SAME_ZONE(0, 1),
        SAME_CELL(1, 0),
        NEITHER(1, 1),
        NONE(-1, -1);

        final int zone;
        final int cell;

        Listed(int zone, int cell) {
            this.zone = zone;
            this.cell = cell;
        }

        boolean inDedupGroup(RequestClass requestClass) {
            return this != NONE
                    && (requestClass.effect() != Effect.DEDUP
                            || switch (requestClass.scope()) {
                                case ALL -> true;
                                case ZONE -> zone == 0;
                                case CELL -> cell == 0;
                            });
        }
    }

    private static RequestClass dedup(DedupScope scope) {
        return new RequestClass("keyed " + scope, Effect.DEDUP, scope, WINDOW_US, 1, 0, 500_000, 0, 2_000_000);
    }

    private static final List<RequestClass> CLASSES =
            List.of(Rig.RETRYABLE, Rig.FRAGILE, dedup(DedupScope.ALL), dedup(DedupScope.ZONE), dedup(DedupScope.CELL));

    private static List<List<Outcome>> histories() {
        List<List<Outcome>> all = new ArrayList<>(List.of(List.of()));
        for (int from = 0, length = 0; length < MAX_ATTEMPTS; length++) {
            int to = all.size();
            for (; from < to; from++) {
                for (Outcome outcome : MAY_HAVE_RUN.keySet()) {
                    List<Outcome> longer = new ArrayList<>(all.get(from));
                    longer.add(outcome);
                    all.add(longer);
                }
            }
        }
        return all.subList(1, all.size());
    }

    private static Rig rig(RequestClass requestClass) {
        Rig rig = new Rig(requestClass);
        List<Endpoint> first = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            first.add(new Endpoint("tried" + i, 0, 0, 0, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, first);
        return rig;
    }

    private static void relist(Rig rig, Listed listed) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 4 && listed != Listed.NONE; i++) {
            list.add(new Endpoint("left" + i, listed.zone, listed.cell, 0, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, list);
    }

    /** Whether a request may be sent again at this time to an endpoint of its deduplication group. */
    private static boolean mayRetry(RequestClass requestClass, boolean mayHaveRun, Window window) {
        return !mayHaveRun
                || requestClass.effect() == Effect.RETRYABLE
                || requestClass.effect() == Effect.DEDUP && window == Window.INSIDE;
    }

    private static String finalAnswer(RequestClass requestClass, boolean mayHaveRun) {
        boolean harmless = !mayHaveRun
                || requestClass.effect() == Effect.RETRYABLE
                || requestClass.effect() == Effect.DEDUP && requestClass.scope() == DedupScope.ALL;
        return harmless ? "refuse" : "fail";
    }

    @Test
    void everyCellOfTheTableHolds() {
        int cells = 0;
        for (RequestClass requestClass : CLASSES) {
            for (List<Outcome> history : histories()) {
                for (Window window : Window.values()) {
                    for (Listed listed : Listed.values()) {
                        cells += checkCell(requestClass, history, window, listed) ? 1 : 0;
                    }
                }
            }
        }
        assertTrue(cells > 15_000, "cells that can occur: " + cells);
    }

    /** Checks one cell; false if the cell cannot occur since an earlier attempt had to be the last. */
    private static boolean checkCell(RequestClass requestClass, List<Outcome> history, Window window, Listed listed) {
        String description = requestClass.name() + " " + history + " " + window + ", left " + listed;
        Rig rig = rig(requestClass);
        String id = rig.request(0, null, 1_000_000);
        long pinnedAt = -1;
        for (int i = 0; i < history.size(); i++) {
            assertEquals(i + 1, rig.attempts(id), description);
            Outcome outcome = history.get(i);
            pinnedAt = pinnedAt < 0 && MAY_HAVE_RUN.get(outcome) ? rig.now : pinnedAt;
            if (i < history.size() - 1) {
                rig.now += 1_000;
                rig.endAttempt(id, outcome, 1_000);
                if (!mayRetry(requestClass, pinnedAt >= 0, Window.INSIDE)) {
                    assertEquals("fail", rig.finalAnswers.get(id), description);
                    return false;
                }
            }
        }
        int attempts = history.size();
        boolean mayHaveRun = pinnedAt >= 0;
        relist(rig, listed);
        long before = rig.now;
        rig.now = Math.max(before, (mayHaveRun ? pinnedAt : before) + window.offsetUs);
        rig.endAttempt(id, history.get(attempts - 1), rig.now - before);
        // The group restricts only requests that may have been executed; others may go to any endpoint.
        boolean hasEndpoint = mayHaveRun ? listed.inDedupGroup(requestClass) : listed != Listed.NONE;
        boolean retried = attempts < MAX_ATTEMPTS && hasEndpoint && mayRetry(requestClass, mayHaveRun, window);
        if (retried) {
            assertEquals(attempts + 1, rig.attempts(id), description);
            assertTrue(rig.endpointOf(id).startsWith("left"), description);
            assertEquals(null, rig.finalAnswers.get(id), description);
        } else {
            assertEquals(attempts, rig.attempts(id), description);
            assertEquals(finalAnswer(requestClass, mayHaveRun), rig.finalAnswers.get(id), description);
        }
        // Late events change nothing, and nothing more is sent.
        int logged = rig.log.size();
        if (!retried) {
            rig.balancer.onAttemptEnded(rig.now, new Balancer.AttemptEnd(id, attempts - 1, Outcome.FAILED, true, 0));
            rig.advance(3_000_000);
            assertEquals(
                    Set.of(),
                    Set.copyOf(rig.log.subList(logged, rig.log.size()).stream()
                            .filter(line -> line.contains(id))
                            .toList()),
                    description);
        }
        return true;
    }

    @Test
    void servedRequestsAreNotSentAgain() {
        for (RequestClass requestClass : CLASSES) {
            Rig rig = rig(requestClass);
            String id = rig.request(0, null, 1_000_000);
            rig.now += 1_000;
            rig.endAttempt(id, Outcome.OK, 1_000);
            rig.advance(3_000_000);
            assertEquals(1, rig.attempts(id), requestClass.name());
            assertEquals(null, rig.finalAnswers.get(id), requestClass.name());
        }
    }

    @Test
    void theTableHasEveryOutcome() {
        for (Outcome outcome : Outcome.values()) {
            assertTrue(outcome == Outcome.OK || MAY_HAVE_RUN.containsKey(outcome), outcome.name());
        }
    }
}
