package mulleinfront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * All that can happen to three members, a step after the other, up to a depth: any datagram of any way may come next,
 * or be lost, any timer may run first, one may be killed and come back, one may stand still and go on. After each step no
 * belief has gone back, and from wherever that leads, once all that is sent arrives, all who run hold one view, and it is
 * true. More steps than CI has time for: {@code -Dexplore.depth=N}.
 */
class ExploreTest {
    private static final int MEMBERS = 3;
    private static final int DEPTH = Integer.getInteger("explore.depth", 7);
    private static final long S = 1_000_000;
    private static final int MOST_LOST = 2;
    /** Time within which views are even again: the longest suspicion, and its news. */
    private static final long EVEN_US = 60 * S;

    /** What may come next: its kind, and whom or which way it is about. */
    private record Step(char kind, int about) {}

    /** Chance that is none: the same few numbers over and over, so that states can be alike. */
    private static final class Round implements RandomGenerator {
        private int at;

        @Override
        public long nextLong() {
            at = (at + 1) % 5;
            return 0x9e3779b97f4a7c15L * (at + 1);
        }
    }

    /** Three members and what is under way between them. */
    private static final class World {
        private final Fleet[] fleets = new Fleet[MEMBERS];
        private final Round[] chances = new Round[MEMBERS];
        private final long[] wakes = new long[MEMBERS];
        private final boolean[] up = new boolean[MEMBERS];
        private final boolean[] still = new boolean[MEMBERS];
        private final List<ArrayDeque<byte[]>> ways = new ArrayList<>();
        private final byte[][] state = new byte[MEMBERS][MEMBERS];
        private final long[][] incarnation = new long[MEMBERS][MEMBERS];
        private long now;
        private int lost;
        private boolean killed;
        private boolean stopped;

        World() {
            for (int i = 0; i < MEMBERS * MEMBERS; i++) {
                ways.add(new ArrayDeque<>());
            }
            for (int i = 0; i < MEMBERS; i++) {
                start(i);
            }
            settle(4 * S);
        }

        private void start(int i) {
            chances[i] = new Round();
            Arrays.fill(state[i], (byte) 0);
            Arrays.fill(incarnation[i], 0);
            wakes[i] = Long.MAX_VALUE;
            up[i] = true;
            fleets[i] = new Fleet(
                    FleetSettings.defaults("t", "n" + i, i, MEMBERS, S, 600 * S),
                    chances[i],
                    now,
                    1_000_000 + now / 1_000,
                    new Fleet.Actions() {
                        @Override
                        public void send(int member, byte[] bytes, int length) {
                            ways.get(i * MEMBERS + member).add(Arrays.copyOf(bytes, length));
                        }

                        @Override
                        public void wakeAt(long atUs) {
                            wakes[i] = atUs;
                        }
                    });
            fleets[i].listen(change -> {
                int m = change.member();
                assertTrue(
                        change.incarnation() > incarnation[i][m]
                                || change.incarnation() == incarnation[i][m]
                                        && change.to().ordinal() > state[i][m],
                        "member " + i + " went back on " + m);
                incarnation[i][m] = change.incarnation();
                state[i][m] = (byte) change.to().ordinal();
            });
            fleets[i].start(now);
        }

        private List<Step> next() {
            List<Step> steps = new ArrayList<>();
            for (int way = 0; way < ways.size(); way++) {
                if (!ways.get(way).isEmpty()) {
                    steps.add(new Step('d', way));
                    if (lost < MOST_LOST) {
                        steps.add(new Step('l', way));
                    }
                }
            }
            if (first() >= 0) {
                steps.add(new Step('t', first()));
            }
            for (int i = 0; i < MEMBERS; i++) {
                if (up[i] && !killed) {
                    steps.add(new Step('k', i));
                }
                if (!up[i]) {
                    steps.add(new Step('r', i));
                }
                if (up[i] && !stopped) {
                    steps.add(new Step('s', i));
                }
                if (up[i] && still[i]) {
                    steps.add(new Step('g', i));
                }
            }
            return steps;
        }

        /** Whose timer is due first. */
        private int first() {
            int first = -1;
            for (int i = 0; i < MEMBERS; i++) {
                if (up[i] && !still[i] && wakes[i] != Long.MAX_VALUE && (first < 0 || wakes[i] < wakes[first])) {
                    first = i;
                }
            }
            return first;
        }

        private void take(Step step) {
            switch (step.kind()) {
                case 'd' -> deliver(step.about());
                case 'l' -> {
                    ways.get(step.about()).poll();
                    lost++;
                }
                case 't' -> fire(step.about());
                case 'k' -> {
                    up[step.about()] = false;
                    still[step.about()] = false;
                    killed = true;
                }
                case 'r' -> start(step.about());
                case 's' -> {
                    still[step.about()] = true;
                    stopped = true;
                }
                default -> go(step.about());
            }
        }

        private void deliver(int way) {
            byte[] bytes = ways.get(way).poll();
            int to = way % MEMBERS;
            if (up[to] && still[to]) {
                ways.get(way).addFirst(bytes);
            } else if (up[to]) {
                fleets[to].onDatagram(now, way / MEMBERS, bytes, bytes.length);
            }
        }

        private void fire(int i) {
            now = Math.max(now, wakes[i]);
            wakes[i] = Long.MAX_VALUE;
            fleets[i].onTimer(now);
        }

        private void go(int i) {
            still[i] = false;
            if (wakes[i] <= now) {
                wakes[i] = now;
            }
        }

        /** All that is sent arrives, for so long. */
        private void settle(long us) {
            for (long end = now + us; now < end; ) {
                boolean any = true;
                while (any) {
                    any = false;
                    for (int way = 0; way < ways.size(); way++) {
                        if (!ways.get(way).isEmpty()) {
                            deliver(way);
                            any = true;
                        }
                    }
                }
                if (first() < 0) {
                    return;
                }
                fire(first());
            }
        }

        private String describe() {
            StringBuilder out = new StringBuilder();
            out.append(lost).append(killed).append(stopped);
            for (int i = 0; i < MEMBERS; i++) {
                out.append('\n')
                        .append(up[i])
                        .append(still[i])
                        .append(chances[i].at)
                        .append(' ');
                if (up[i]) {
                    fleets[i].describe(out, now);
                }
            }
            for (ArrayDeque<byte[]> way : ways) {
                out.append('\n');
                way.forEach(bytes -> out.append(Arrays.hashCode(bytes)).append(' '));
            }
            return out.toString();
        }

        private void even(List<Step> path) {
            for (int i = 0; i < MEMBERS; i++) {
                if (still[i]) {
                    go(i);
                }
            }
            settle(EVEN_US);
            for (int i = 0; i < MEMBERS; i++) {
                for (int m = 0; up[i] && m < MEMBERS; m++) {
                    assertEquals(up[m], fleets[i].state(m).present(), () -> "after " + path);
                    assertTrue(!up[m] || fleets[m].digest() == fleets[i].digest(), () -> "after " + path);
                }
            }
        }
    }

    private static World after(List<Step> path) {
        World w = new World();
        path.forEach(w::take);
        return w;
    }

    @Test
    void noBeliefGoesBackAndNoTwoViewsStayApart() {
        Set<String> seen = new HashSet<>();
        List<List<Step>> edge = List.of(List.of());
        seen.add(after(List.of()).describe());
        for (int depth = 1; depth <= DEPTH; depth++) {
            List<List<Step>> wider = new ArrayList<>();
            for (List<Step> path : edge) {
                for (Step step : after(path).next()) {
                    List<Step> longer = new ArrayList<>(path);
                    longer.add(step);
                    if (seen.add(after(longer).describe())) {
                        wider.add(longer);
                    }
                }
            }
            edge = wider;
        }
        edge.forEach(path -> after(path).even(path));
        System.out.println("explored " + seen.size() + " states of three members, " + DEPTH + " steps deep, "
                + edge.size() + " of them at the edge");
        assertTrue(seen.size() > 1_000);
    }
}
