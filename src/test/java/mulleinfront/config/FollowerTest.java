package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A follower by itself, against machines that do what they should not. */
class FollowerTest {
    private static final long S = 1_000_000;

    private final List<String> did = new ArrayList<>();
    private ConfigSubscriber follower;
    private long now;
    private long wake;

    private static Version version(long number) {
        return new Version(number, new TreeMap<>(Map.of("k", "v" + number)), "", 0);
    }

    @BeforeEach
    void begin() {
        follower = new ConfigSubscriber(
                SubscriberSettings.defaults(3), version(5), new SplittableRandom(1), new ConfigSubscriber.Actions() {
                    @Override
                    public void ask(int machine, long after, long checksum) {
                        did.add("ask " + machine + " after " + after);
                    }

                    @Override
                    public void closeWatch() {
                        did.add("hang up");
                    }

                    @Override
                    public void onActiveVersion(Version version) {
                        did.add("in force " + version.number());
                    }

                    @Override
                    public void report(long number, long checksum) {
                        did.add("report " + number);
                    }

                    @Override
                    public void wakeAt(long us) {
                        wake = us;
                    }
                });
        follower.start(now);
        now = wake;
        follower.onTimer(now);
        assertEquals(List.of("ask " + follower.machine() + " after 5"), did);
        follower.heard(now);
        follower.heartbeat(now, 5, true);
        did.clear();
    }

    /** Lets time pass with its timers on time. */
    private void pass(long us) {
        long end = now + us;
        while (wake <= end) {
            now = wake;
            wake = Long.MAX_VALUE;
            follower.onTimer(now);
        }
        now = end;
    }

    /** Lets time pass until it asks, which it must within a second. */
    private void passUntilItAsks() {
        long end = now + S;
        while (follower.state() != ConfigSubscriber.State.ASKING && wake <= end) {
            now = wake;
            wake = Long.MAX_VALUE;
            follower.onTimer(now);
        }
        assertEquals(ConfigSubscriber.State.ASKING, follower.state());
    }

    @Test
    void anOlderVersionIsNotTakenWhoeverSendsIt() {
        follower.difference(now, Difference.whole(version(3)));
        follower.difference(now, Difference.between(version(2), version(4)));
        follower.difference(now, Difference.whole(version(5)));
        assertEquals(List.of(), did);
        assertEquals(version(5), follower.activeVersion());
        follower.difference(now, Difference.between(version(5), version(6)));
        assertEquals(List.of("in force 6", "report 6"), did);
    }

    @Test
    void whatDoesNotFitIsNotTakenAndAnotherMachineIsAskedForTheWhole() {
        int first = follower.machine();
        follower.difference(now, Difference.between(version(4), version(7)));
        assertEquals(List.of("hang up"), did);
        assertEquals(version(5), follower.activeVersion());
        passUntilItAsks();
        assertNotEquals(first, follower.machine());
        assertEquals("ask " + follower.machine() + " after 0", did.get(1));
        follower.heard(now);
        follower.difference(now, Difference.whole(version(7)));
        assertEquals(version(7), follower.activeVersion());
    }

    @Test
    void aSilentMachineIsLeftAfterASecondAndAHalfAndAnotherAskedWithinOneMore() {
        pass(1_499_999);
        assertEquals(List.of("report 5"), did);
        pass(1);
        assertEquals(List.of("report 5", "hang up"), did);
        passUntilItAsks();
        assertEquals("ask " + follower.machine() + " after 5", did.get(2));
        assertTrue(follower.mayBeBehind());
    }

    @Test
    void aProcessThatStoodStillReadsFirst() {
        pass(S);
        did.clear();
        // Stopped for ten seconds; its timers are late, and what came is not read yet.
        now += 10 * S;
        follower.onTimer(now);
        assertTrue(!did.contains("hang up"), did.toString());
        follower.heard(now);
        follower.difference(now, Difference.between(version(5), version(9)));
        assertEquals(9, follower.activeVersion().number());
    }

    @Test
    void aMachineOutOfTouchIsLeftAndIfAllAreOneIsStayedWithForLonger() {
        int left = 0;
        long[] at = new long[5];
        for (int i = 0; i < 100 && left < at.length; i++) {
            if (follower.state() == ConfigSubscriber.State.ASKING) {
                follower.heard(now);
            }
            if (follower.state() == ConfigSubscriber.State.WATCHING) {
                follower.heard(now);
                follower.heartbeat(now, 5, false);
                assertTrue(follower.mayBeBehind());
            }
            did.clear();
            pass(S / 2);
            if (did.contains("hang up")) {
                at[left++] = now;
            }
        }
        assertEquals(at.length, left);
        assertTrue(at[1] - at[0] <= 3 * S, "the first ones quickly");
        assertTrue(at[4] - at[3] >= 5 * S, "then there is nothing better");
    }

    @Test
    void afterItsEndItDoesNothing() {
        follower.end();
        assertEquals(List.of("hang up"), did);
        follower.difference(now, Difference.whole(version(9)));
        follower.lost(now);
        follower.onTimer(now + 10 * S);
        assertEquals(List.of("hang up"), did);
        assertEquals(5, follower.activeVersion().number());
    }
}
