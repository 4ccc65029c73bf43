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
 * Explores all sequences of steps of three members up to a depth: a datagram on any link is delivered or lost, the next
 * timer fires, one member is killed and restarted, one is paused and resumed. After each step no recorded state may
 * have gone back. From each state at the final depth, once datagrams arrive without loss, all running members must
 * converge on one correct view. {@code -Dexplore.depth=N} explores deeper than CI has time for.
 */
class ExploreTest {
    private static final int MEMBERS = 3;
    private static final int DEPTH = Integer.getInteger("explore.depth", 7);
    private static final long SECOND_US = 1_000_000;
    private static final int MAX_LOST = 2;
    /** Time within which views converge again: the longest suspicion timeout, and gossip about its end. */
    private static final long CONVERGENCE_US = 60 * SECOND_US;

    /** A possible step: its type, and the number of the member or link that it concerns. */
    private record Step(char type, int subject) {}

    /** Repeats a short sequence of numbers, so that different paths can lead to equal states. */
    private static final class CyclingRandom implements RandomGenerator {
        private int position;

        @Override
        public long nextLong() {
            position = (position + 1) % 5;
            return 0x9e3779b97f4a7c15L * (position + 1);
        }
    }

    /** Three members and the datagrams in transit between them. */
    private static final class World {
        private final Fleet[] fleets = new Fleet[MEMBERS];
        private final CyclingRandom[] randoms = new CyclingRandom[MEMBERS];
        private final long[] timers = new long[MEMBERS];
        private final boolean[] up = new boolean[MEMBERS];
        private final boolean[] paused = new boolean[MEMBERS];
        private final List<ArrayDeque<byte[]>> links = new ArrayList<>();
        private final byte[][] state = new byte[MEMBERS][MEMBERS];
        private final long[][] incarnation = new long[MEMBERS][MEMBERS];
        private long now;
        private int lostCount;
        private boolean wasKilled;
        private boolean wasPaused;

        World() {
            for (int i = 0; i < MEMBERS * MEMBERS; i++) {
                links.add(new ArrayDeque<>());
            }
            for (int i = 0; i < MEMBERS; i++) {
                start(i);
            }
            runWithoutLoss(4 * SECOND_US);
        }

        private void start(int i) {
            randoms[i] = new CyclingRandom();
            Arrays.fill(state[i], (byte) 0);
            Arrays.fill(incarnation[i], 0);
            timers[i] = Long.MAX_VALUE;
            up[i] = true;
            fleets[i] = new Fleet(
                    FleetSettings.defaults("t", "n" + i, i, MEMBERS, SECOND_US, 600 * SECOND_US),
                    randoms[i],
                    now,
                    1_000_000 + now / 1_000,
                    new Fleet.Actions() {
                        @Override
                        public void send(int member, byte[] bytes, int length) {
                            links.get(i * MEMBERS + member).add(Arrays.copyOf(bytes, length));
                        }

                        @Override
                        public void wakeAt(long atUs) {
                            timers[i] = atUs;
                        }
                    });
            fleets[i].addListener(change -> {
                int member = change.member();
                assertTrue(
                        change.incarnation() > incarnation[i][member]
                                || change.incarnation() == incarnation[i][member]
                                        && change.to().ordinal() > state[i][member],
                        "member " + i + " reverted its recorded state of member " + member);
                incarnation[i][member] = change.incarnation();
                state[i][member] = (byte) change.to().ordinal();
            });
            fleets[i].start(now);
        }

        private List<Step> possibleSteps() {
            List<Step> steps = new ArrayList<>();
            for (int link = 0; link < links.size(); link++) {
                if (!links.get(link).isEmpty()) {
                    steps.add(new Step('d', link));
                    if (lostCount < MAX_LOST) {
                        steps.add(new Step('l', link));
                    }
                }
            }
            if (nextTimerMember() >= 0) {
                steps.add(new Step('t', nextTimerMember()));
            }
            for (int i = 0; i < MEMBERS; i++) {
                if (up[i] && !wasKilled) {
                    steps.add(new Step('k', i));
                }
                if (!up[i]) {
                    steps.add(new Step('r', i));
                }
                if (up[i] && !wasPaused) {
                    steps.add(new Step('s', i));
                }
                if (up[i] && paused[i]) {
                    steps.add(new Step('g', i));
                }
            }
            return steps;
        }

        /** The member whose timer is due first; -1 if no timer is set. */
        private int nextTimerMember() {
            int earliest = -1;
            for (int i = 0; i < MEMBERS; i++) {
                if (up[i]
                        && !paused[i]
                        && timers[i] != Long.MAX_VALUE
                        && (earliest < 0 || timers[i] < timers[earliest])) {
                    earliest = i;
                }
            }
            return earliest;
        }

        private void apply(Step step) {
            switch (step.type()) {
                case 'd' -> deliver(step.subject());
                case 'l' -> {
                    links.get(step.subject()).poll();
                    lostCount++;
                }
                case 't' -> fireTimer(step.subject());
                case 'k' -> {
                    up[step.subject()] = false;
                    paused[step.subject()] = false;
                    wasKilled = true;
                }
                case 'r' -> start(step.subject());
                case 's' -> {
                    paused[step.subject()] = true;
                    wasPaused = true;
                }
                default -> resume(step.subject());
            }
        }

        private void deliver(int link) {
            byte[] bytes = links.get(link).poll();
            int to = link % MEMBERS;
            if (up[to] && paused[to]) {
                links.get(link).addFirst(bytes);
            } else if (up[to]) {
                fleets[to].onDatagram(now, link / MEMBERS, bytes, bytes.length);
            }
        }

        private void fireTimer(int i) {
            now = Math.max(now, timers[i]);
            timers[i] = Long.MAX_VALUE;
            fleets[i].onTimer(now);
        }

        private void resume(int i) {
            paused[i] = false;
            if (timers[i] <= now) {
                timers[i] = now;
            }
        }

        /** Runs for this time and delivers all datagrams. */
        private void runWithoutLoss(long durationUs) {
            for (long end = now + durationUs; now < end; ) {
                boolean delivered = true;
                while (delivered) {
                    delivered = false;
                    for (int link = 0; link < links.size(); link++) {
                        if (!links.get(link).isEmpty()) {
                            deliver(link);
                            delivered = true;
                        }
                    }
                }
                if (nextTimerMember() < 0) {
                    return;
                }
                fireTimer(nextTimerMember());
            }
        }

        private String describe() {
            StringBuilder description = new StringBuilder();
            description.append(lostCount).append(wasKilled).append(wasPaused);
            for (int i = 0; i < MEMBERS; i++) {
                description
                        .append('\n')
                        .append(up[i])
                        .append(paused[i])
                        .append(randoms[i].position)
                        .append(' ');
                if (up[i]) {
                    fleets[i].describe(description, now);
                }
            }
            for (ArrayDeque<byte[]> link : links) {
                description.append('\n');
                link.forEach(bytes -> description.append(Arrays.hashCode(bytes)).append(' '));
            }
            return description.toString();
        }

        private void assertConverged(List<Step> path) {
            for (int i = 0; i < MEMBERS; i++) {
                if (paused[i]) {
                    resume(i);
                }
            }
            runWithoutLoss(CONVERGENCE_US);
            for (int i = 0; i < MEMBERS; i++) {
                for (int member = 0; up[i] && member < MEMBERS; member++) {
                    assertEquals(up[member], fleets[i].state(member).isPresent(), () -> "after " + path);
                    assertTrue(!up[member] || fleets[member].digest() == fleets[i].digest(), () -> "after " + path);
                }
            }
        }
    }

    private static World simulate(List<Step> path) {
        World simulation = new World();
        path.forEach(simulation::apply);
        return simulation;
    }

    @Test
    void recordedStatesNeverGoBackAndViewsConverge() {
        Set<String> seen = new HashSet<>();
        List<List<Step>> frontier = List.of(List.of());
        seen.add(simulate(List.of()).describe());
        for (int depth = 1; depth <= DEPTH; depth++) {
            List<List<Step>> nextFrontier = new ArrayList<>();
            for (List<Step> path : frontier) {
                for (Step step : simulate(path).possibleSteps()) {
                    List<Step> extended = new ArrayList<>(path);
                    extended.add(step);
                    if (seen.add(simulate(extended).describe())) {
                        nextFrontier.add(extended);
                    }
                }
            }
            frontier = nextFrontier;
        }
        frontier.forEach(path -> simulate(path).assertConverged(path));
        System.out.println("explored " + seen.size() + " states of three members, " + DEPTH + " steps deep, "
                + frontier.size() + " of them at the edge");
        assertTrue(seen.size() > 1_000);
    }
}
