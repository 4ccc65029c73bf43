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
 * No effect happens twice, as a table: how each attempt ended, how many there were, where in the window for repeats the
 * last one ended, and whom of its group the list still has. Each cell says what the module must do, and not only what
 * it must not.
 */
class EffectTableTest {
    private static final long WINDOW_US = 100_000;
    private static final int MOST_ATTEMPTS = 3;

    /** What the protocol's table says of each outcome; read off the page and not off the program. */
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

    /** Time of the last end, from the first attempt that may have run. */
    private enum Window {
        INSIDE(WINDOW_US - 1),
        AT_ITS_END(WINDOW_US),
        AFTER(WINDOW_US + 50_000);

        final long at;

        Window(long at) {
            this.at = at;
        }
    }

    /** Who is left when the last attempt ends; all that were tried stand in zone 0 and cell 0. */
    private enum Left {
        SAME(0, 0),
        SAME_ZONE(0, 1),
        SAME_CELL(1, 0),
        NEITHER(1, 1),
        NOBODY(-1, -1);

        final int zone;
        final int cell;

        Left(int zone, int cell) {
            this.zone = zone;
            this.cell = cell;
        }

        boolean inGroup(RequestClass type) {
            return this != NOBODY
                    && (type.effect() != Effect.DEDUP
                            || switch (type.scope()) {
                                case ALL -> true;
                                case ZONE -> zone == 0;
                                case CELL -> cell == 0;
                            });
        }
    }

    private static RequestClass keyed(DedupScope scope) {
        return new RequestClass("keyed " + scope, Effect.DEDUP, scope, WINDOW_US, 1, 0, 500_000, 0, 2_000_000);
    }

    private static final List<RequestClass> TYPES =
            List.of(Rig.SAFE, Rig.UNSAFE, keyed(DedupScope.ALL), keyed(DedupScope.ZONE), keyed(DedupScope.CELL));

    private static List<List<Outcome>> histories() {
        List<List<Outcome>> all = new ArrayList<>(List.of(List.of()));
        for (int from = 0, n = 0; n < MOST_ATTEMPTS; n++) {
            int to = all.size();
            for (; from < to; from++) {
                for (Outcome o : MAY_HAVE_RUN.keySet()) {
                    List<Outcome> longer = new ArrayList<>(all.get(from));
                    longer.add(o);
                    all.add(longer);
                }
            }
        }
        return all.subList(1, all.size());
    }

    private static Rig rig(RequestClass type) {
        Rig rig = new Rig(type);
        List<Endpoint> first = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            first.add(new Endpoint("tried" + i, 0, 0, 0, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, first);
        return rig;
    }

    private static void only(Rig rig, Left left) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 4 && left != Left.NOBODY; i++) {
            list.add(new Endpoint("left" + i, left.zone, left.cell, 0, Availability.READY, 1, 0));
        }
        rig.balancer.onEndpoints(rig.now, Source.FULL, list);
    }

    /** Whether a request of this history may go out again at this time to somebody of its group; and to whom it may. */
    private static boolean mayGoAgain(RequestClass type, boolean mayHaveRun, Window window) {
        return !mayHaveRun
                || type.effect() == Effect.RETRYABLE
                || type.effect() == Effect.DEDUP && window == Window.INSIDE;
    }

    private static String lastWord(RequestClass type, boolean mayHaveRun) {
        boolean harmless = !mayHaveRun
                || type.effect() == Effect.RETRYABLE
                || type.effect() == Effect.DEDUP && type.scope() == DedupScope.ALL;
        return harmless ? "refuse" : "fail";
    }

    @Test
    void everyCellOfTheTableHolds() {
        int cells = 0;
        for (RequestClass type : TYPES) {
            for (List<Outcome> history : histories()) {
                for (Window window : Window.values()) {
                    for (Left left : Left.values()) {
                        cells += cell(type, history, window, left) ? 1 : 0;
                    }
                }
            }
        }
        assertTrue(cells > 15_000, "cells that can come about: " + cells);
    }

    /** Plays one cell; false if it can't come about, since an earlier attempt was the last. */
    private static boolean cell(RequestClass type, List<Outcome> history, Window window, Left left) {
        String what = type.name() + " " + history + " " + window + ", left " + left;
        Rig rig = rig(type);
        String id = rig.request(0, null, 1_000_000);
        long boundAt = -1;
        for (int i = 0; i < history.size(); i++) {
            assertEquals(i + 1, rig.attempts(id), what);
            Outcome o = history.get(i);
            boundAt = boundAt < 0 && MAY_HAVE_RUN.get(o) ? rig.now : boundAt;
            if (i < history.size() - 1) {
                rig.now += 1_000;
                rig.end(id, o, 1_000);
                if (!mayGoAgain(type, boundAt >= 0, Window.INSIDE)) {
                    assertEquals("fail", rig.finals.get(id), what);
                    return false;
                }
            }
        }
        int attempts = history.size();
        boolean mayHaveRun = boundAt >= 0;
        only(rig, left);
        long before = rig.now;
        rig.now = Math.max(before, (mayHaveRun ? boundAt : before) + window.at);
        rig.end(id, history.get(attempts - 1), rig.now - before);
        // A group binds only what may have run: who has surely not run may go anywhere.
        boolean somebody = mayHaveRun ? left.inGroup(type) : left != Left.NOBODY;
        boolean again = attempts < MOST_ATTEMPTS && somebody && mayGoAgain(type, mayHaveRun, window);
        if (again) {
            assertEquals(attempts + 1, rig.attempts(id), what);
            assertTrue(rig.at(id).startsWith("left"), what);
            assertEquals(null, rig.finals.get(id), what);
        } else {
            assertEquals(attempts, rig.attempts(id), what);
            assertEquals(lastWord(type, mayHaveRun), rig.finals.get(id), what);
        }
        // Whatever comes late changes nothing, and nothing more goes out.
        int sent = rig.log.size();
        if (!again) {
            rig.balancer.onAttemptEnded(rig.now, new Balancer.AttemptEnd(id, attempts - 1, Outcome.FAILED, true, 0));
            rig.pass(3_000_000);
            assertEquals(
                    Set.of(),
                    Set.copyOf(rig.log.subList(sent, rig.log.size()).stream()
                            .filter(l -> l.contains(id))
                            .toList()),
                    what);
        }
        return true;
    }

    @Test
    void whatIsServedGoesNowhereAgain() {
        for (RequestClass type : TYPES) {
            Rig rig = rig(type);
            String id = rig.request(0, null, 1_000_000);
            rig.now += 1_000;
            rig.end(id, Outcome.OK, 1_000);
            rig.pass(3_000_000);
            assertEquals(1, rig.attempts(id), type.name());
            assertEquals(null, rig.finals.get(id), type.name());
        }
    }

    @Test
    void theTableNamesEveryOutcome() {
        for (Outcome o : Outcome.values()) {
            assertTrue(o == Outcome.OK || MAY_HAVE_RUN.containsKey(o), o.name());
        }
    }
}
