package mulleinfront.fleet;

import static mulleinfront.fleet.Rounds.NO_TIME;
import static mulleinfront.fleet.Rounds.S;
import static mulleinfront.fleet.Rounds.bound;
import static mulleinfront.fleet.Rounds.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.random.RandomGenerator;
import mulleinfront.emulator.FleetAuditor.Rule;
import mulleinfront.emulator.FleetRun;
import org.junit.jupiter.api.Test;

/** Members that are broken on purpose: the judge has to find each, and to call it by its name. */
class BrokenFleetTest {
    private static final int MEMBERS = 12;

    private static FleetRun of(FleetRun.Maker maker) {
        return Rounds.settle(FleetRun.alone(MEMBERS, 1, i -> settings(i, MEMBERS), maker));
    }

    private static void caught(FleetRun run, Rule rule) {
        List<Rule> found =
                run.judge().breaches().stream().map(b -> b.rule()).distinct().toList();
        assertTrue(found.contains(rule), "found " + found + " instead of " + rule);
    }

    private static void whole(FleetRun run) {
        assertTrue(
                run.judge().breachCount() == 0,
                () -> "too early: " + run.judge().breaches().get(0));
    }

    @Test
    void oneThatNeverSuspects() {
        FleetRun run = of((s, random, now, wall, out) -> new Fleet(s, random, now, wall, out) {
            @Override
            void take(int member, long its, MemberState state, int word, Change.Cause cause, long at) {
                if (state != MemberState.SUSPECTED) {
                    super.take(member, its, state, word, cause, at);
                }
            }
        });
        whole(run);
        run.kill(3);
        run.run(2 * bound(MEMBERS));
        caught(run, Rule.CALLED_ALIVE);
    }

    @Test
    void oneThatNeverRefutes() {
        FleetRun run = of((s, random, now, wall, out) -> new Fleet(s, random, now, wall, out) {
            @Override
            void ofUs(long incarnation, MemberState state, long at) {}
        });
        whole(run);
        run.stop(3, 20 * S);
        run.run(20 * S + 2 * bound(MEMBERS));
        caught(run, Rule.CALLED_FAILED);
    }

    @Test
    void oneThatForgetsIncarnations() {
        FleetRun run = of((s, random, now, wall, out) -> new Fleet(s, random, now, wall, out) {
            @Override
            boolean later(int member, long incarnation, MemberState state) {
                return incarnation(member) != incarnation || state(member) != state;
            }
        });
        run.repeat(30 * S, 20, 60 * S);
        run.kill(3);
        run.run(20 * S);
        run.start(3);
        run.run(60 * S);
        caught(run, Rule.WENT_BACK);
    }

    @Test
    void oneThatBelievesStrangers() {
        FleetRun run = of((s, random, now, wall, out) -> new Fleet(s, random, now, wall, out) {
            @Override
            public void onDatagram(long at, int from, byte[] bytes, int length) {
                // Whatever address it came from, the sender is who it says that it is.
                super.onDatagram(at, from < 0 ? 0 : from, bytes, length);
            }
        });
        whole(run);
        Datagram.Writer writer = new Datagram.Writer(Datagram.VERSION, Datagram.fleet("test"), 0);
        for (int i = 0; i < 4_000; i++) {
            int lie = i;
            run.after(i * S / 20, () -> {
                long mine = run.member(0).incarnation(0);
                writer.begin(Datagram.Kind.GOSSIP, 1 + lie % 11, mine, false, 0)
                        .rumour(5, MemberState.FAILED, 0, run.member(5).incarnation(5));
                byte[] bytes = java.util.Arrays.copyOf(writer.bytes, writer.finish());
                run.inject(-1, 1 + lie % 11, bytes);
            });
        }
        run.run(200 * S);
        caught(run, Rule.CALLED_FAILED);
    }

    @Test
    void theTrueOneDoesNotBelieveThem() {
        FleetRun run = of(Fleet::new);
        Datagram.Writer writer = new Datagram.Writer(Datagram.VERSION, Datagram.fleet("test"), 0);
        for (int i = 0; i < 4_000; i++) {
            writer.begin(Datagram.Kind.GOSSIP, 1 + i % 11, run.member(0).incarnation(0), false, 0)
                    .rumour(5, MemberState.FAILED, 0, run.member(5).incarnation(5));
            run.inject(-1, 1 + i % 11, java.util.Arrays.copyOf(writer.bytes, writer.finish()));
            run.run(S / 20);
        }
        whole(run);
    }

    @Test
    void oneThatTellsNobodyAnything() {
        int members = 40;
        FleetRun run = Rounds.settle(FleetRun.alone(
                members,
                1,
                i -> settings(i, members),
                (s, random, now, wall, out) -> new Fleet(s, random, now, wall, out) {
                    @Override
                    void send(int to, long at, boolean withNews) {
                        super.send(to, at, false);
                    }

                    @Override
                    boolean mayCompare(long at) {
                        return false;
                    }
                }));
        run.run(bound(members));
        run.kill(3);
        run.run(2 * bound(members));
        caught(run, Rule.CALLED_ALIVE);
    }

    @Test
    void oneThatCountsItsChangesWrongly() {
        FleetRun run = of((s, random, now, wall, out) -> new Miscounting(s, random, now, wall, out));
        run.kill(3);
        run.run(20 * S);
        caught(run, Rule.OUT_OF_ORDER);
    }

    /** Tells every second change alone. */
    private static final class Miscounting extends Fleet {
        Miscounting(FleetSettings s, RandomGenerator random, long now, long wall, Actions out) {
            super(s, random, now, wall, out);
        }

        @Override
        public void listen(Listener listener) {
            super.listen(new Listener() {
                @Override
                public void changed(Change change) {
                    if (change.number() % 2 == 0) {
                        listener.changed(change);
                    }
                }
            });
        }
    }

    @Test
    void aBaselineWithoutSuspicionIsFarWorseAtLoss() {
        int[] full = {0};
        int[] plain = {0};
        for (long seed = 1; seed <= 3; seed++) {
            for (boolean p : new boolean[] {false, true}) {
                FleetRun run = Rounds.settle(
                        FleetRun.alone(30, seed, i -> p ? settings(i, 30).withoutSuspicion() : settings(i, 30)));
                run.watch((observer, c) -> {
                    if (c.to() == MemberState.FAILED && run.up(c.member())) {
                        (p ? plain : full)[0]++;
                    }
                });
                run.beginFault(null, null, 0.3, 0, 0, 0, NO_TIME);
                run.run(60 * S);
            }
        }
        assertTrue(20 * full[0] <= plain[0], full[0] + " against " + plain[0]);
    }
}
