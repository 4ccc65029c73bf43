package mulleinfront.fleet;

import static mulleinfront.fleet.FleetFixtures.NO_TIME;
import static mulleinfront.fleet.FleetFixtures.SECOND_US;
import static mulleinfront.fleet.FleetFixtures.convergedFleet;
import static mulleinfront.fleet.FleetFixtures.convergenceBoundUs;
import static mulleinfront.fleet.FleetFixtures.members;
import static mulleinfront.fleet.FleetFixtures.only;
import static mulleinfront.fleet.FleetFixtures.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.emulator.FleetRun;
import mulleinfront.emulator.PeerFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Failures, partitions, losses and configuration errors of a fleet on virtual time, most under several seeds. */
class HardCasesTest {
    private static void assertNoBreaches(FleetRun run) {
        assertEquals(List.of(), run.auditor().breaches());
    }

    private static int[] countFalseFailures(FleetRun run) {
        int[] count = {0};
        run.addListener((observer, change) ->
                count[0] += change.to() == MemberState.FAILED && run.isRunning(change.member()) ? 1 : 0);
        return count;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void threeSimultaneousFailuresOfNineAreDetected(long seed) {
        FleetRun run = convergedFleet(9, seed);
        for (int i = 0; i < 3; i++) {
            int victim = (int) (seed + 3 * i) % 9;
            run.after(i * SECOND_US / 30, () -> run.kill(victim));
        }
        run.run(convergenceBoundUs(9) + 5 * SECOND_US);
        for (int i = 0; i < 3; i++) {
            assertEquals(6, run.countRecording((int) (seed + 3 * i) % 9, MemberState.FAILED));
        }
        assertTrue(run.viewsAgree());
        assertNoBreaches(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void partitionOfFiveAndFourHeals(long seed) {
        FleetRun run = convergedFleet(9, seed);
        assertEquals(Reachability.ALL, run.member(0).reachability());
        PeerFaults.ActiveFault partition = run.partition(members(0, 5), members(5, 9), false);
        run.run(20 * SECOND_US);
        assertEquals(Reachability.MAJORITY, run.member(0).reachability());
        assertEquals(Reachability.MINORITY, run.member(8).reachability());
        assertEquals(
                9,
                run.member(0).liveMembers(run.now()),
                "members not seen may be partitioned and still use the endpoints");
        assertEquals(9, run.member(8).liveMembers(run.now()));
        partition.end();
        run.run(20 * SECOND_US);
        assertEquals(9, run.member(4).count(MemberState.ALIVE));
        assertEquals(Reachability.ALL, run.member(8).reachability());
        run.run(convergenceBoundUs(9));
        assertNoBreaches(run);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneWayPartitionIsDetectedAndHeals(boolean receives) {
        FleetRun run = convergedFleet(9, 1);
        PeerFaults.ActiveFault partition =
                receives ? run.partition(only(3), allExcept(3), true) : run.partition(allExcept(3), only(3), true);
        run.run(convergenceBoundUs(9) + 10 * SECOND_US);
        // A member from which no other member gets an ack counts as failed, whichever direction is blocked.
        assertEquals(8, run.countRecording(3, MemberState.FAILED));
        partition.end();
        run.run(convergenceBoundUs(9) + 10 * SECOND_US);
        assertEquals(9, run.countRecording(3, MemberState.ALIVE));
        assertNoBreaches(run);
    }

    private static java.util.BitSet allExcept(int member) {
        java.util.BitSet all = members(0, 9);
        all.clear(member);
        return all;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void indirectProbesKeepMutuallyUnreachableMembersAlive(long seed) {
        FleetRun run = convergedFleet(9, seed);
        int[] falseFailures = countFalseFailures(run);
        run.partition(only(0), only(1), false);
        run.run(120 * SECOND_US);
        assertEquals(0, falseFailures[0]);
        assertEquals(MemberState.ALIVE, run.member(0).state(1));
        assertNoBreaches(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 5, 30})
    void stalledMemberRecordsNoOtherAsFailed(long seconds) {
        FleetRun run = convergedFleet(9, 1);
        List<Integer> recordedAsFailed = new ArrayList<>();
        run.addListener((observer, change) -> {
            if (observer == 4 && change.to() == MemberState.FAILED) {
                recordedAsFailed.add(change.member());
            }
        });
        run.pause(4, seconds * SECOND_US);
        run.run(seconds * SECOND_US + 2 * SECOND_US);
        assertTrue(seconds < 5 || run.member(4).localHealth() > 0, "its local health is reduced");
        run.run(20 * SECOND_US);
        assertEquals(List.of(), recordedAsFailed);
        assertEquals(9, run.countRecording(4, MemberState.ALIVE));
        run.run(convergenceBoundUs(9));
        assertNoBreaches(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rollingRestartConvergesUnderLoss(long seed) {
        FleetRun run = convergedFleet(20, seed);
        run.beginFault(null, null, 0.2, 0, 0, 0, NO_TIME);
        for (int i = 0; i < 20; i++) {
            int number = i;
            long leaveAt = 3 * SECOND_US * (i / 2);
            run.after(leaveAt, () -> run.leave(number));
            run.after(leaveAt + SECOND_US, () -> run.kill(number));
            run.after(leaveAt + 2 * SECOND_US, () -> run.start(number));
        }
        run.run(40 * SECOND_US + convergenceBoundUs(20));
        assertTrue(run.viewsAgree());
        assertEquals(20, run.member(7).count(MemberState.ALIVE));
        assertNoBreaches(run);
    }

    @Test
    void quickRestartIsSeenAsANewProcess() {
        FleetRun run = convergedFleet(9, 1);
        int[] newProcessChanges = {0};
        run.addListener(
                (observer, change) -> newProcessChanges[0] += change.member() == 2 && change.newProcess() ? 1 : 0);
        run.kill(2);
        run.run(SECOND_US / 10);
        run.start(2);
        run.run(5 * SECOND_US);
        assertEquals(8, newProcessChanges[0]);
        assertEquals(9, run.countRecording(2, MemberState.ALIVE));
        run.run(convergenceBoundUs(9));
        assertNoBreaches(run);
    }

    @Test
    void duplicateNumberAndNameAreReportedAndChangeNothing() {
        int members = 9;
        FleetRun run = FleetRun.alone(
                members,
                1,
                i -> i == 7
                        ? FleetSettings.defaults("test", "n5", 7, members, SECOND_US, 600 * SECOND_US)
                        : settings(i, members));
        List<String> reported = new ArrayList<>();
        FleetFixtures.converge(run);
        run.member(0).addListener(new Fleet.Listener() {
            @Override
            public void changed(Change change) {}

            @Override
            public void duplicateName(long now, String name, int first, int second) {
                reported.add(name + " " + Math.min(first, second) + " " + Math.max(first, second));
            }
        });
        // A misconfigured process with number 3 runs at the address of member 8, whose process was killed.
        run.kill(8);
        run.start(
                8,
                (settings, random, now, wallClockMs, actions) ->
                        new Fleet(settings(3, members), random, now, wallClockMs, actions));
        run.run(convergenceBoundUs(members) + 20 * SECOND_US);
        assertEquals(MemberState.ALIVE, run.member(0).state(3));
        assertEquals(MemberState.FAILED, run.member(0).state(8));
        assertTrue(run.dropped(DropReason.NOT_ITS_ADDRESS) > 0);
        assertTrue(reported.isEmpty() || reported.contains("n5 5 7"), reported.toString());
        assertEquals("n5", run.member(0).name(5));
        assertEquals("n5", run.member(0).name(7));
    }

    @Test
    void memberOfAnotherFleetDoesNotReplaceThePeerAtItsAddress() {
        FleetRun run = convergedFleet(9, 1);
        run.kill(6);
        run.run(SECOND_US);
        // A member of another fleet now has the address, and sends datagrams from it.
        run.start(
                6,
                (settings, random, now, wallClockMs, actions) -> new Fleet(
                        FleetSettings.defaults("other", "x", 6, 9, SECOND_US, 600 * SECOND_US),
                        random,
                        now,
                        wallClockMs,
                        actions));
        run.run(convergenceBoundUs(9));
        assertEquals(8, run.countRecording(6, MemberState.FAILED));
        assertTrue(run.dropped(DropReason.OTHER_FLEET) > 0);
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 3_600_000})
    void clockJumpBetweenRestartsKeepsTheMemberAlive(long jumpMs) {
        FleetRun run = convergedFleet(9, 1);
        run.shiftClock(5, jumpMs);
        run.kill(5);
        run.run(2 * SECOND_US);
        run.start(5);
        run.run(20 * SECOND_US);
        assertEquals(9, run.countRecording(5, MemberState.ALIVE));
        // The clock jumps back again: the incarnation of the new process must still be higher than the earlier ones.
        run.shiftClock(5, -jumpMs);
        run.kill(5);
        run.run(30 * SECOND_US);
        run.start(5);
        run.run(20 * SECOND_US);
        assertEquals(9, run.countRecording(5, MemberState.ALIVE));
        run.run(convergenceBoundUs(9));
        assertNoBreaches(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void thirtyPercentLossCausesNoFalseFailures(long seed) {
        FleetRun run = convergedFleet(20, seed);
        int[] falseFailures = countFalseFailures(run);
        PeerFaults.ActiveFault lossFault = run.beginFault(null, null, 0.3, 0, 0, 0, NO_TIME);
        run.run(60 * SECOND_US);
        lossFault.end();
        run.run(20 * SECOND_US);
        assertEquals(0, falseFailures[0]);
        assertTrue(run.viewsAgree());
        assertNoBreaches(run);
    }

    @Test
    void replayedOldDatagramsChangeNothing() {
        FleetRun run = convergedFleet(9, 1);
        // The recorded datagrams, which are replayed later, include a failure and a return.
        run.repeatDatagrams(60 * SECOND_US, 50, 4_200 * SECOND_US);
        run.kill(2);
        run.run(50 * SECOND_US);
        run.start(2);
        run.run(3_600 * SECOND_US);
        long changes = run.member(0).lastChange();
        run.run(300 * SECOND_US);
        assertEquals(changes, run.member(0).lastChange());
        assertEquals(9, run.countRecording(2, MemberState.ALIVE));
        assertNoBreaches(run);
    }

    @Test
    void floodFromUnknownSendersIsOnlyCounted() {
        FleetRun run = convergedFleet(9, 1);
        long changes = run.member(4).lastChange();
        run.sendFromUnknownSenders(20_000, 20 * SECOND_US);
        run.run(40 * SECOND_US);
        assertEquals(changes, run.member(4).lastChange());
        assertTrue(run.trafficCounts().dropped() > 300_000);
        assertEquals(Reachability.ALL, run.member(4).reachability());
        assertNoBreaches(run);
    }

    @Test
    void mostlyAbsentPeersExpire() {
        int listed = 60;
        FleetRun run = FleetFixtures.fleet(listed, 1);
        for (int i = 0; i < 6; i++) {
            run.start(10 * i + 3);
        }
        run.run(30 * SECOND_US);
        assertTrue(run.viewsAgree());
        assertEquals(6, run.member(3).count(MemberState.ALIVE));
        assertEquals(
                Reachability.ALL,
                run.member(3).reachability(),
                "members that were never present are not counted as lost");
        assertEquals(
                listed,
                run.member(3).liveMembers(run.now()),
                "members never heard from may be partitioned until the expiry time");
        run.run(600 * SECOND_US);
        assertEquals(6, run.member(3).liveMembers(run.now()));
        assertNoBreaches(run);
    }

    @Test
    void membersOfDifferentProtocolVersionsIgnoreEachOther() {
        FleetRun run = FleetFixtures.fleet(10, 1);
        for (int i = 0; i < 10; i++) {
            int version = i < 5 ? Datagram.VERSION : Datagram.VERSION + 1;
            run.start(
                    i,
                    (settings, random, now, wallClockMs, actions) ->
                            new Fleet(settings, version, random, now, wallClockMs, actions));
        }
        run.run(60 * SECOND_US);
        for (int i = 0; i < 10; i++) {
            assertEquals(5, run.member(i).count(MemberState.ALIVE), "member " + i);
            assertTrue(run.member(i).dropCounts().get(DropReason.OTHER_VERSION) > 0);
            assertEquals(
                    10,
                    run.member(i).liveMembers(run.now()),
                    "members of the other version may still use the endpoints");
        }
    }

    @Test
    void fiveHundredSimultaneousStartsConverge() {
        FleetRun run = convergedFleet(500, 1);
        assertTrue(run.viewsAgree());
        assertEquals(500, run.member(123).count(MemberState.ALIVE));
        assertNoBreaches(run);
    }

    @Test
    void partitionOfTwoHalvesHeals() {
        FleetRun run = convergedFleet(200, 1);
        PeerFaults.ActiveFault partition = run.partition(members(0, 100), members(100, 200), false);
        run.run(convergenceBoundUs(200) + 10 * SECOND_US);
        assertEquals(100, run.member(0).count(MemberState.FAILED));
        assertEquals(Reachability.MINORITY, run.member(0).reachability(), "half of the members is not a majority");
        partition.end();
        run.run(40 * SECOND_US);
        assertTrue(run.viewsAgree());
        assertEquals(200, run.member(199).count(MemberState.ALIVE));
        assertNoBreaches(run);
    }

    @Test
    void leavingMemberIsRemovedAtOnce() {
        FleetRun run = convergedFleet(20, 1);
        run.leave(7);
        run.run(2 * SECOND_US);
        assertEquals(20, run.countRecording(7, MemberState.LEFT));
        assertEquals(19, run.member(0).liveMembers(run.now()));
        assertEquals(Reachability.ALL, run.member(0).reachability());
        run.kill(7);
        run.run(convergenceBoundUs(20));
        assertEquals(0, run.countRecording(7, MemberState.FAILED));
        run.start(7);
        run.run(10 * SECOND_US);
        assertEquals(20, run.countRecording(7, MemberState.ALIVE));
        assertEquals(20, run.member(0).liveMembers(run.now()));
        assertNoBreaches(run);
    }

    @Test
    void unseenMembersExpireOnTheMajoritySideOnly() {
        int members = 9;
        FleetRun run = FleetRun.alone(
                members, 1, i -> FleetSettings.defaults("test", "n" + i, i, members, SECOND_US, 60 * SECOND_US));
        FleetFixtures.converge(run);
        run.partition(members(0, 5), members(5, 9), false);
        run.run(50 * SECOND_US);
        assertEquals(9, run.member(0).liveMembers(run.now()));
        run.run(60 * SECOND_US);
        assertEquals(5, run.member(0).liveMembers(run.now()), "members not seen have expired");
        assertEquals(9, run.member(8).liveMembers(run.now()), "members do not expire on the minority side");
    }

    @Test
    void changeNumbersAreConsecutive() {
        FleetRun run = convergedFleet(5, 1);
        List<Long> numbers = new ArrayList<>();
        run.addListener((observer, change) -> {
            if (observer == 0) {
                numbers.add(change.number());
            }
        });
        run.kill(1);
        run.run(20 * SECOND_US);
        run.start(1);
        run.run(20 * SECOND_US);
        assertFalse(numbers.isEmpty());
        for (int i = 1; i < numbers.size(); i++) {
            assertEquals(numbers.get(i - 1) + 1, numbers.get(i));
        }
        assertEquals(numbers.get(numbers.size() - 1), run.member(0).lastChange());
    }
}
