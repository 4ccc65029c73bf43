package mulleinfront.fleet;

import static mulleinfront.fleet.FleetFixtures.NO_TIME;
import static mulleinfront.fleet.FleetFixtures.SECOND_US;
import static mulleinfront.fleet.FleetFixtures.convergenceBoundUs;
import static mulleinfront.fleet.FleetFixtures.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.random.RandomGenerator;
import mulleinfront.emulator.FleetAuditor.Rule;
import mulleinfront.emulator.FleetRun;
import org.junit.jupiter.api.Test;

/** Members with a deliberate fault: the fleet auditor must report each under the right rule. */
class BrokenFleetTest {
    private static final int MEMBERS = 12;

    private static FleetRun convergedFleet(FleetRun.MemberFactory maker) {
        return FleetFixtures.converge(FleetRun.alone(MEMBERS, 1, i -> settings(i, MEMBERS), maker));
    }

    private static void assertReported(FleetRun run, Rule rule) {
        List<Rule> reported = run.auditor().breaches().stream()
                .map(breach -> breach.rule())
                .distinct()
                .toList();
        assertTrue(reported.contains(rule), "found " + reported + " instead of " + rule);
    }

    private static void assertNoBreaches(FleetRun run) {
        assertTrue(
                run.auditor().breachCount() == 0,
                () -> "violation before the fault: " + run.auditor().breaches().get(0));
    }

    @Test
    void missingSuspicionIsReported() {
        FleetRun run = convergedFleet((settings, random, now, wallClockMs, actions) ->
                new Fleet(settings, random, now, wallClockMs, actions) {
                    @Override
                    void applyUpdate(
                            int member,
                            long memberIncarnation,
                            MemberState state,
                            int source,
                            Change.Cause cause,
                            long at) {
                        if (state != MemberState.SUSPECTED) {
                            super.applyUpdate(member, memberIncarnation, state, source, cause, at);
                        }
                    }
                });
        assertNoBreaches(run);
        run.kill(3);
        run.run(2 * convergenceBoundUs(MEMBERS));
        assertReported(run, Rule.CALLED_ALIVE);
    }

    @Test
    void missingRefutationIsReported() {
        FleetRun run = convergedFleet((settings, random, now, wallClockMs, actions) ->
                new Fleet(settings, random, now, wallClockMs, actions) {
                    @Override
                    void applyOwnUpdate(long incarnation, MemberState state, long at) {}
                });
        assertNoBreaches(run);
        run.pause(3, 20 * SECOND_US);
        run.run(20 * SECOND_US + 2 * convergenceBoundUs(MEMBERS));
        assertReported(run, Rule.CALLED_FAILED);
    }

    @Test
    void ignoredIncarnationOrderIsReported() {
        FleetRun run = convergedFleet((settings, random, now, wallClockMs, actions) ->
                new Fleet(settings, random, now, wallClockMs, actions) {
                    @Override
                    boolean isNewer(int member, long incarnation, MemberState state) {
                        return incarnation(member) != incarnation || state(member) != state;
                    }
                });
        run.repeatDatagrams(30 * SECOND_US, 20, 60 * SECOND_US);
        run.kill(3);
        run.run(20 * SECOND_US);
        run.start(3);
        run.run(60 * SECOND_US);
        assertReported(run, Rule.WENT_BACK);
    }

    @Test
    void acceptedUnknownSenderIsReported() {
        FleetRun run = convergedFleet((settings, random, now, wallClockMs, actions) ->
                new Fleet(settings, random, now, wallClockMs, actions) {
                    @Override
                    public void onDatagram(long at, int from, byte[] bytes, int length) {
                        // Accepts the sender number of a datagram from any address.
                        super.onDatagram(at, from < 0 ? 0 : from, bytes, length);
                    }
                });
        assertNoBreaches(run);
        Datagram.Writer writer = new Datagram.Writer(Datagram.VERSION, Datagram.fleetHash("test"), 0);
        for (int i = 0; i < 4_000; i++) {
            int index = i;
            run.after(i * SECOND_US / 20, () -> {
                long senderIncarnation = run.member(0).incarnation(0);
                writer.begin(Datagram.Kind.GOSSIP, 1 + index % 11, senderIncarnation, false, 0)
                        .putUpdate(5, MemberState.FAILED, 0, run.member(5).incarnation(5));
                byte[] bytes = java.util.Arrays.copyOf(writer.bytes, writer.finish());
                run.inject(-1, 1 + index % 11, bytes);
            });
        }
        run.run(200 * SECOND_US);
        assertReported(run, Rule.CALLED_FAILED);
    }

    @Test
    void correctMemberIgnoresUnknownSenders() {
        FleetRun run = convergedFleet(Fleet::new);
        Datagram.Writer writer = new Datagram.Writer(Datagram.VERSION, Datagram.fleetHash("test"), 0);
        for (int i = 0; i < 4_000; i++) {
            writer.begin(Datagram.Kind.GOSSIP, 1 + i % 11, run.member(0).incarnation(0), false, 0)
                    .putUpdate(5, MemberState.FAILED, 0, run.member(5).incarnation(5));
            run.inject(-1, 1 + i % 11, java.util.Arrays.copyOf(writer.bytes, writer.finish()));
            run.run(SECOND_US / 20);
        }
        assertNoBreaches(run);
    }

    @Test
    void missingGossipAndComparisonIsReported() {
        int members = 40;
        FleetRun run = FleetFixtures.converge(FleetRun.alone(
                members,
                1,
                i -> settings(i, members),
                (settings, random, now, wallClockMs, actions) ->
                        new Fleet(settings, random, now, wallClockMs, actions) {
                            @Override
                            void sendDatagram(int to, long at, boolean withUpdates) {
                                super.sendDatagram(to, at, false);
                            }

                            @Override
                            boolean allowsComparison(long at) {
                                return false;
                            }
                        }));
        run.run(convergenceBoundUs(members));
        run.kill(3);
        run.run(2 * convergenceBoundUs(members));
        assertReported(run, Rule.CALLED_ALIVE);
    }

    @Test
    void skippedChangeNumberIsReported() {
        FleetRun run = convergedFleet((settings, random, now, wallClockMs, actions) ->
                new SkippingChanges(settings, random, now, wallClockMs, actions));
        run.kill(3);
        run.run(20 * SECOND_US);
        assertReported(run, Rule.OUT_OF_ORDER);
    }

    /** Reports only every second change. */
    private static final class SkippingChanges extends Fleet {
        SkippingChanges(FleetSettings settings, RandomGenerator random, long now, long wallClockMs, Actions actions) {
            super(settings, random, now, wallClockMs, actions);
        }

        @Override
        public void addListener(Listener listener) {
            super.addListener(new Listener() {
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
    void suspicionPreventsFalseFailuresUnderLoss() {
        int[] failuresWithSuspicion = {0};
        int[] failuresWithoutSuspicion = {0};
        for (long seed = 1; seed <= 3; seed++) {
            for (boolean basic : new boolean[] {false, true}) {
                FleetRun run = FleetFixtures.converge(
                        FleetRun.alone(30, seed, i -> basic ? settings(i, 30).withoutSuspicion() : settings(i, 30)));
                run.addListener((observer, change) -> {
                    if (change.to() == MemberState.FAILED && run.isRunning(change.member())) {
                        (basic ? failuresWithoutSuspicion : failuresWithSuspicion)[0]++;
                    }
                });
                run.beginFault(null, null, 0.3, 0, 0, 0, NO_TIME);
                run.run(60 * SECOND_US);
            }
        }
        assertTrue(
                20 * failuresWithSuspicion[0] <= failuresWithoutSuspicion[0],
                failuresWithSuspicion[0] + " false failures with suspicion, without it " + failuresWithoutSuspicion[0]);
    }
}
