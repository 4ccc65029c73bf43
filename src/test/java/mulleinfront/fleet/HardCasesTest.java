package mulleinfront.fleet;

import static mulleinfront.fleet.Rounds.NO_TIME;
import static mulleinfront.fleet.Rounds.S;
import static mulleinfront.fleet.Rounds.bound;
import static mulleinfront.fleet.Rounds.members;
import static mulleinfront.fleet.Rounds.one;
import static mulleinfront.fleet.Rounds.settings;
import static mulleinfront.fleet.Rounds.settled;
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

/** What is hard for a fleet, on virtual time, each under several seeds. */
class HardCasesTest {
    private static void kept(FleetRun run) {
        assertEquals(List.of(), run.judge().breaches());
    }

    private static int[] falselyFailed(FleetRun run) {
        int[] count = {0};
        run.watch((observer, c) -> count[0] += c.to() == MemberState.FAILED && run.up(c.member()) ? 1 : 0);
        return count;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void threeOfNineKilledInTheSameTenthOfASecond(long seed) {
        FleetRun run = settled(9, seed);
        for (int i = 0; i < 3; i++) {
            int victim = (int) (seed + 3 * i) % 9;
            run.after(i * S / 30, () -> run.kill(victim));
        }
        run.run(bound(9) + 5 * S);
        for (int i = 0; i < 3; i++) {
            assertEquals(6, run.believing((int) (seed + 3 * i) % 9, MemberState.FAILED));
        }
        assertTrue(run.even());
        kept(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aCutOfFiveToFourThatHealsAfterTwentySeconds(long seed) {
        FleetRun run = settled(9, seed);
        assertEquals(Reachability.ALL, run.member(0).reach());
        PeerFaults.End cut = run.partition(members(0, 5), members(5, 9), false);
        run.run(20 * S);
        assertEquals(Reachability.MAJORITY, run.member(0).reach());
        assertEquals(Reachability.MINORITY, run.member(8).reach());
        assertEquals(9, run.member(0).liveMembers(run.now()), "the unseen may be on the other side, and use the hosts");
        assertEquals(9, run.member(8).liveMembers(run.now()));
        cut.end();
        run.run(20 * S);
        assertEquals(9, run.member(4).count(MemberState.ALIVE));
        assertEquals(Reachability.ALL, run.member(8).reach());
        run.run(bound(9));
        kept(run);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneCutOffInOneDirectionOnly(boolean hears) {
        FleetRun run = settled(9, 1);
        PeerFaults.End cut = hears ? run.partition(one(3), inverse(3), true) : run.partition(inverse(3), one(3), true);
        run.run(bound(9) + 10 * S);
        // Whom others can't have an answer from is not there, whichever way is cut.
        assertEquals(8, run.believing(3, MemberState.FAILED));
        cut.end();
        run.run(bound(9) + 10 * S);
        assertEquals(9, run.believing(3, MemberState.ALIVE));
        kept(run);
    }

    private static java.util.BitSet inverse(int member) {
        java.util.BitSet all = members(0, 9);
        all.clear(member);
        return all;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void twoThatCannotReachEachOtherAreHeldAliveByOthersWord(long seed) {
        FleetRun run = settled(9, seed);
        int[] wrong = falselyFailed(run);
        run.partition(one(0), one(1), false);
        run.run(120 * S);
        assertEquals(0, wrong[0]);
        assertEquals(MemberState.ALIVE, run.member(0).state(1));
        kept(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 5, 30})
    void oneThatStandsStillBlamesNobodyForIt(long seconds) {
        FleetRun run = settled(9, 1);
        List<Integer> blamed = new ArrayList<>();
        run.watch((observer, c) -> {
            if (observer == 4 && c.to() == MemberState.FAILED) {
                blamed.add(c.member());
            }
        });
        run.stop(4, seconds * S);
        run.run(seconds * S + 2 * S);
        assertTrue(seconds < 5 || run.member(4).localHealth() > 0, "it doubts itself");
        run.run(20 * S);
        assertEquals(List.of(), blamed);
        assertEquals(9, run.believing(4, MemberState.ALIVE));
        run.run(bound(9));
        kept(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allRestartedByTenthsWhileAFifthOfDatagramsIsLost(long seed) {
        FleetRun run = settled(20, seed);
        run.beginFault(null, null, 0.2, 0, 0, 0, NO_TIME);
        for (int i = 0; i < 20; i++) {
            int number = i;
            long at = 3 * S * (i / 2);
            run.after(at, () -> run.leave(number));
            run.after(at + S, () -> run.kill(number));
            run.after(at + 2 * S, () -> run.start(number));
        }
        run.run(40 * S + bound(20));
        assertTrue(run.even());
        assertEquals(20, run.member(7).count(MemberState.ALIVE));
        kept(run);
    }

    @Test
    void oneThatComesBackBeforeAnybodyNoticedIsKnownToBeAnotherProcess() {
        FleetRun run = settled(9, 1);
        int[] reborn = {0};
        run.watch((observer, c) -> reborn[0] += c.member() == 2 && c.newIncarnation() ? 1 : 0);
        run.kill(2);
        run.run(S / 10);
        run.start(2);
        run.run(5 * S);
        assertEquals(8, reborn[0]);
        assertEquals(9, run.believing(2, MemberState.ALIVE));
        run.run(bound(9));
        kept(run);
    }

    @Test
    void twoProcessesOfOneNumberAndTwoOfOneNameAreSaidAndChangeNothing() {
        int members = 9;
        FleetRun run = FleetRun.alone(
                members,
                1,
                i -> i == 7 ? FleetSettings.defaults("test", "n5", 7, members, S, 600 * S) : settings(i, members));
        List<String> said = new ArrayList<>();
        Rounds.settle(run);
        run.member(0).listen(new Fleet.Listener() {
            @Override
            public void changed(Change change) {}

            @Override
            public void duplicateName(long now, String name, int one, int other) {
                said.add(name + " " + Math.min(one, other) + " " + Math.max(one, other));
            }
        });
        // A stray one of number 3 at the address of 8, whose process has gone.
        run.kill(8);
        run.start(8, (s, random, now, wall, out) -> new Fleet(settings(3, members), random, now, wall, out));
        run.run(bound(members) + 20 * S);
        assertEquals(MemberState.ALIVE, run.member(0).state(3));
        assertEquals(MemberState.FAILED, run.member(0).state(8));
        assertTrue(run.dropped(DropReason.NOT_ITS_ADDRESS) > 0);
        assertTrue(said.isEmpty() || said.contains("n5 5 7"), said.toString());
        assertEquals("n5", run.member(0).name(5));
        assertEquals("n5", run.member(0).name(7));
    }

    @Test
    void anAddressTakenOverByAnotherIsNotTakenForTheOneBefore() {
        FleetRun run = settled(9, 1);
        run.kill(6);
        run.run(S);
        // Somebody of another fleet has the address now, and answers whatever comes.
        run.start(
                6,
                (s, random, now, wall, out) ->
                        new Fleet(FleetSettings.defaults("other", "x", 6, 9, S, 600 * S), random, now, wall, out));
        run.run(bound(9));
        assertEquals(8, run.believing(6, MemberState.FAILED));
        assertTrue(run.dropped(DropReason.OTHER_FLEET) > 0);
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 3_600_000})
    void aClockThatJumpsBetweenTwoLivesTakesNobodyOut(long ms) {
        FleetRun run = settled(9, 1);
        run.clockJumps(5, ms);
        run.kill(5);
        run.run(2 * S);
        run.start(5);
        run.run(20 * S);
        assertEquals(9, run.believing(5, MemberState.ALIVE));
        // And back: what it said with the clock ahead is still older than what it says now.
        run.clockJumps(5, -ms);
        run.kill(5);
        run.run(30 * S);
        run.start(5);
        run.run(20 * S);
        assertEquals(9, run.believing(5, MemberState.ALIVE));
        run.run(bound(9));
        kept(run);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMinuteOfLosingThreeInTenTakesNobodyOut(long seed) {
        FleetRun run = settled(20, seed);
        int[] wrong = falselyFailed(run);
        PeerFaults.End loss = run.beginFault(null, null, 0.3, 0, 0, 0, NO_TIME);
        run.run(60 * S);
        loss.end();
        run.run(20 * S);
        assertEquals(0, wrong[0]);
        assertTrue(run.even());
        kept(run);
    }

    @Test
    void oldDatagramsOfAnHourAgoChangeNothing() {
        FleetRun run = settled(9, 1);
        // Among what is remembered is a death and a return.
        run.repeat(60 * S, 50, 4_200 * S);
        run.kill(2);
        run.run(50 * S);
        run.start(2);
        run.run(3_600 * S);
        long changes = run.member(0).changes();
        run.run(300 * S);
        assertEquals(changes, run.member(0).changes());
        assertEquals(9, run.believing(2, MemberState.ALIVE));
        kept(run);
    }

    @Test
    void aFloodOfStrangersChangesNothingButTheirCount() {
        FleetRun run = settled(9, 1);
        long changes = run.member(4).changes();
        run.strangers(20_000, 20 * S);
        run.run(40 * S);
        assertEquals(changes, run.member(4).changes());
        assertTrue(run.figures().dropped() > 300_000);
        assertEquals(Reachability.ALL, run.member(4).reach());
        kept(run);
    }

    @Test
    void aListOfWhichNineInTenAreGone() {
        int listed = 60;
        FleetRun run = Rounds.fleet(listed, 1);
        for (int i = 0; i < 6; i++) {
            run.start(10 * i + 3);
        }
        run.run(30 * S);
        assertTrue(run.even());
        assertEquals(6, run.member(3).count(MemberState.ALIVE));
        assertEquals(Reachability.ALL, run.member(3).reach(), "nobody was ever there whom it has lost");
        assertEquals(listed, run.member(3).liveMembers(run.now()), "for now they may be there and cut off");
        run.run(600 * S);
        assertEquals(6, run.member(3).liveMembers(run.now()));
        kept(run);
    }

    @Test
    void membersOfTwoVersionsOfTheWireLeaveEachOtherAlone() {
        FleetRun run = Rounds.fleet(10, 1);
        for (int i = 0; i < 10; i++) {
            int version = i < 5 ? Datagram.VERSION : Datagram.VERSION + 1;
            run.start(i, (s, random, now, wall, out) -> new Fleet(s, version, random, now, wall, out));
        }
        run.run(60 * S);
        for (int i = 0; i < 10; i++) {
            assertEquals(5, run.member(i).count(MemberState.ALIVE), "member " + i);
            assertTrue(run.member(i).drops().get(DropReason.OTHER_VERSION) > 0);
            assertEquals(10, run.member(i).liveMembers(run.now()), "the others may use the hosts all the same");
        }
    }

    @Test
    void fiveHundredStartingInTheSameSecond() {
        FleetRun run = settled(500, 1);
        assertTrue(run.even());
        assertEquals(500, run.member(123).count(MemberState.ALIVE));
        kept(run);
    }

    @Test
    void halfOfTwoHundredCutFromTheOtherHalfAndHealed() {
        FleetRun run = settled(200, 1);
        PeerFaults.End cut = run.partition(members(0, 100), members(100, 200), false);
        run.run(bound(200) + 10 * S);
        assertEquals(100, run.member(0).count(MemberState.FAILED));
        assertEquals(Reachability.MINORITY, run.member(0).reach(), "a half is no majority");
        cut.end();
        run.run(40 * S);
        assertTrue(run.even());
        assertEquals(200, run.member(199).count(MemberState.ALIVE));
        kept(run);
    }

    @Test
    void oneThatLeavesIsGoneAtOnceAndTakesItsPartAlong() {
        FleetRun run = settled(20, 1);
        run.leave(7);
        run.run(2 * S);
        assertEquals(20, run.believing(7, MemberState.LEFT));
        assertEquals(19, run.member(0).liveMembers(run.now()));
        assertEquals(Reachability.ALL, run.member(0).reach());
        run.kill(7);
        run.run(bound(20));
        assertEquals(0, run.believing(7, MemberState.FAILED));
        run.start(7);
        run.run(10 * S);
        assertEquals(20, run.believing(7, MemberState.ALIVE));
        assertEquals(20, run.member(0).liveMembers(run.now()));
        kept(run);
    }

    @Test
    void whoeverIsNotSeenForLongCountsNoMoreWhereAMajorityIs() {
        int members = 9;
        FleetRun run = FleetRun.alone(members, 1, i -> FleetSettings.defaults("test", "n" + i, i, members, S, 60 * S));
        Rounds.settle(run);
        run.partition(members(0, 5), members(5, 9), false);
        run.run(50 * S);
        assertEquals(9, run.member(0).liveMembers(run.now()));
        run.run(60 * S);
        assertEquals(5, run.member(0).liveMembers(run.now()), "the time that a cut may last is over");
        assertEquals(9, run.member(8).liveMembers(run.now()), "a minority never takes itself for all");
    }

    @Test
    void newsOfAnOlderViewComeUnderALowerNumber() {
        FleetRun run = settled(5, 1);
        List<Long> numbers = new ArrayList<>();
        run.watch((observer, c) -> {
            if (observer == 0) {
                numbers.add(c.number());
            }
        });
        run.kill(1);
        run.run(20 * S);
        run.start(1);
        run.run(20 * S);
        assertFalse(numbers.isEmpty());
        for (int i = 1; i < numbers.size(); i++) {
            assertEquals(numbers.get(i - 1) + 1, numbers.get(i));
        }
        assertEquals(numbers.get(numbers.size() - 1), run.member(0).changes());
    }
}
