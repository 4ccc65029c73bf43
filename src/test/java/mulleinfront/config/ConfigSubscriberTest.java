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

/** Tests the configuration subscriber against control-plane nodes that misbehave. */
class ConfigSubscriberTest {
    private static final long SECOND_US = 1_000_000;

    private final List<String> actions = new ArrayList<>();
    private ConfigSubscriber subscriber;
    private long nowUs;
    private long timerUs;

    private static Version version(long number) {
        return new Version(number, new TreeMap<>(Map.of("k", "v" + number)), "", 0);
    }

    @BeforeEach
    void startSubscriber() {
        subscriber = new ConfigSubscriber(
                SubscriberSettings.defaults(3), version(5), new SplittableRandom(1), new ConfigSubscriber.Actions() {
                    @Override
                    public void openWatch(int machine, long baseVersion, long checksum) {
                        actions.add("watch " + machine + " after " + baseVersion);
                    }

                    @Override
                    public void closeWatch() {
                        actions.add("close watch");
                    }

                    @Override
                    public void onActiveVersion(Version version) {
                        actions.add("active " + version.number());
                    }

                    @Override
                    public void report(long number, long checksum) {
                        actions.add("report " + number);
                    }

                    @Override
                    public void wakeAt(long timeUs) {
                        timerUs = timeUs;
                    }
                });
        subscriber.start(nowUs);
        nowUs = timerUs;
        subscriber.onTimer(nowUs);
        assertEquals(List.of("watch " + subscriber.machine() + " after 5"), actions);
        subscriber.onData(nowUs);
        subscriber.onHeartbeat(nowUs, 5, true);
        actions.clear();
    }

    /** Advances the time and fires each timer when it is due. */
    private void advance(long durationUs) {
        long endUs = nowUs + durationUs;
        while (timerUs <= endUs) {
            nowUs = timerUs;
            timerUs = Long.MAX_VALUE;
            subscriber.onTimer(nowUs);
        }
        nowUs = endUs;
    }

    /** Advances the time until the subscriber requests a watch, which it must do within a second. */
    private void advanceUntilConnecting() {
        long endUs = nowUs + SECOND_US;
        while (subscriber.state() != ConfigSubscriber.State.CONNECTING && timerUs <= endUs) {
            nowUs = timerUs;
            timerUs = Long.MAX_VALUE;
            subscriber.onTimer(nowUs);
        }
        assertEquals(ConfigSubscriber.State.CONNECTING, subscriber.state());
    }

    @Test
    void olderVersionIsIgnored() {
        subscriber.onDelta(nowUs, Difference.full(version(3)));
        subscriber.onDelta(nowUs, Difference.between(version(2), version(4)));
        subscriber.onDelta(nowUs, Difference.full(version(5)));
        assertEquals(List.of(), actions);
        assertEquals(version(5), subscriber.activeVersion());
        subscriber.onDelta(nowUs, Difference.between(version(5), version(6)));
        assertEquals(List.of("active 6", "report 6"), actions);
    }

    @Test
    void mismatchedDeltaIsRejectedAndFullVersionRequestedFromAnotherNode() {
        int firstNode = subscriber.machine();
        subscriber.onDelta(nowUs, Difference.between(version(4), version(7)));
        assertEquals(List.of("close watch"), actions);
        assertEquals(version(5), subscriber.activeVersion());
        advanceUntilConnecting();
        assertNotEquals(firstNode, subscriber.machine());
        assertEquals("watch " + subscriber.machine() + " after 0", actions.get(1));
        subscriber.onData(nowUs);
        subscriber.onDelta(nowUs, Difference.full(version(7)));
        assertEquals(version(7), subscriber.activeVersion());
    }

    @Test
    void unresponsiveNodeIsLeftAfterTimeoutAndAnotherIsWatched() {
        advance(1_499_999);
        assertEquals(List.of("report 5"), actions);
        advance(1);
        assertEquals(List.of("report 5", "close watch"), actions);
        advanceUntilConnecting();
        assertEquals("watch " + subscriber.machine() + " after 5", actions.get(2));
        assertTrue(subscriber.mayBeBehind());
    }

    @Test
    void stalledProcessReadsDataBeforeTimingOut() {
        advance(SECOND_US);
        actions.clear();
        // The process stalls for 10 s: its timer is late, and received data is not read yet.
        nowUs += 10 * SECOND_US;
        subscriber.onTimer(nowUs);
        assertTrue(!actions.contains("close watch"), actions.toString());
        subscriber.onData(nowUs);
        subscriber.onDelta(nowUs, Difference.between(version(5), version(9)));
        assertEquals(9, subscriber.activeVersion().number());
    }

    @Test
    void nodeWithoutQuorumIsLeftLaterIfAllNodesLackQuorum() {
        int nodesLeft = 0;
        long[] leftAtUs = new long[5];
        for (int i = 0; i < 100 && nodesLeft < leftAtUs.length; i++) {
            if (subscriber.state() == ConfigSubscriber.State.CONNECTING) {
                subscriber.onData(nowUs);
            }
            if (subscriber.state() == ConfigSubscriber.State.WATCHING) {
                subscriber.onData(nowUs);
                subscriber.onHeartbeat(nowUs, 5, false);
                assertTrue(subscriber.mayBeBehind());
            }
            actions.clear();
            advance(SECOND_US / 2);
            if (actions.contains("close watch")) {
                leftAtUs[nodesLeft++] = nowUs;
            }
        }
        assertEquals(leftAtUs.length, nodesLeft);
        assertTrue(leftAtUs[1] - leftAtUs[0] <= 3 * SECOND_US, "the first nodes are left quickly");
        assertTrue(
                leftAtUs[4] - leftAtUs[3] >= 5 * SECOND_US,
                "then the subscriber stays longer, since all nodes are behind");
    }

    @Test
    void stoppedSubscriberDoesNothing() {
        subscriber.stop();
        assertEquals(List.of("close watch"), actions);
        subscriber.onDelta(nowUs, Difference.full(version(9)));
        subscriber.onWatchLost(nowUs);
        subscriber.onTimer(nowUs + 10 * SECOND_US);
        assertEquals(List.of("close watch"), actions);
        assertEquals(5, subscriber.activeVersion().number());
    }
}
