package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import mulleinfront.config.DistributionSimulation.Proxy;
import mulleinfront.config.DistributionSimulation.ProxyDefect;
import mulleinfront.settings.DifferenceLine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests configuration distribution in unusual and faulty situations, on virtual time. */
class ConfigDistributionTest {
    private static final long SECOND_US = 1_000_000;
    private static final long PROPAGATION_BOUND_US = 6 * SECOND_US;

    private static DistributionSimulation startedSimulation(long seed, int proxies, int keys) {
        DistributionSimulation simulation = new DistributionSimulation(seed, proxies);
        simulation.propose(simulation.randomConfiguration(keys));
        simulation.startAll();
        simulation.run(15 * SECOND_US);
        assertActiveWithin(simulation, 1, Long.MAX_VALUE - 1);
        return simulation;
    }

    /** Asserts that each live client proxy had the version or a later one within the given time of its proposal. */
    private static void assertActiveWithin(DistributionSimulation simulation, long version, long limitUs) {
        for (Proxy proxy : simulation.proxies) {
            if (proxy.alive) {
                assertTrue(
                        proxy.activeSinceUs(version) != Long.MAX_VALUE,
                        "client proxy " + proxy.number + " lacks version "
                                + version
                                + ": " + proxy.activeVersions + " " + proxy.subscriber.state());
                long tookUs = proxy.activeSinceUs(version) - simulation.proposedUs.get((int) version);
                assertTrue(tookUs <= limitUs, "version " + version + " took " + tookUs + " us at " + proxy.number);
            }
        }
    }

    @Test
    void changeEverySecondForTenMinutes() {
        DistributionSimulation simulation = startedSimulation(1, 167, 100);
        for (int i = 0; i < 600; i++) {
            simulation.propose(simulation.newestWithRandomChanges(5));
            simulation.run(SECOND_US);
        }
        simulation.run(PROPAGATION_BOUND_US);
        for (int v = 2; v <= 601; v++) {
            assertActiveWithin(simulation, v, PROPAGATION_BOUND_US);
        }
        simulation.check();
        assertTrue(simulation.maxBytesInOneSecond <= 12_000, simulation.maxBytesInOneSecond + " bytes in a second");
    }

    @Test
    void wholeFleetStartsAtOnceWithoutCachedCopy() {
        DistributionSimulation simulation = new DistributionSimulation(2, 670);
        simulation.propose(simulation.randomConfiguration(700));
        simulation.run(2 * SECOND_US);
        simulation.startAll();
        simulation.run(PROPAGATION_BOUND_US);
        for (Proxy proxy : simulation.proxies) {
            assertEquals(List.of(1L), proxy.activeVersions, "client proxy " + proxy.number);
        }
        assertTrue(simulation.maxBytesInOneSecond <= 12_000, simulation.maxBytesInOneSecond + " bytes in a second");
        assertTrue(
                simulation.encodedDeltas <= DistributionSimulation.NODES,
                simulation.encodedDeltas + " deltas encoded for all client proxies");
    }

    @Test
    void allKeysReplacedInOneChange() {
        DistributionSimulation simulation = startedSimulation(3, 670, 670);
        Map<String, String> replacement = new TreeMap<>();
        simulation.randomConfiguration(670).forEach((k, v) -> replacement.put("new-" + k, v));
        simulation.propose(replacement);
        simulation.run(PROPAGATION_BOUND_US);
        assertActiveWithin(simulation, 2, PROPAGATION_BOUND_US);
        simulation.check();
    }

    @Test
    void unretainedOrDivergedVersionIsReplacedByFullVersion() {
        DistributionSimulation simulation = startedSimulation(4, 3, 20);
        Proxy outdated = simulation.proxies.get(0);
        Proxy diverged = simulation.proxies.get(1);
        outdated.kill(false);
        diverged.kill(false);
        diverged.cachedVersion = new Version(1, new TreeMap<>(Map.of("a", "of another history")), "", 0);
        for (int i = 0; i < DistributionSimulation.RETAINED_VERSIONS + 10; i++) {
            simulation.propose(simulation.newestWithRandomChanges(2));
            simulation.run(SECOND_US / 10);
        }
        simulation.run(SECOND_US);
        int fullBefore = simulation.encodedFullVersions;
        outdated.start();
        simulation.run(SECOND_US);
        assertEquals(
                fullBefore + 1,
                simulation.encodedFullVersions,
                "the full configuration, since the base version is not retained");
        diverged.start();
        simulation.run(SECOND_US);
        assertActiveWithin(simulation, DistributionSimulation.RETAINED_VERSIONS + 11, Long.MAX_VALUE - 1);
        assertEquals(List.of(1L, 1L, DistributionSimulation.RETAINED_VERSIONS + 11L), outdated.activeVersions);
        simulation.check();
    }

    @Test
    void divergedVersionWithRetainedNumberIsReplacedByFullVersion() {
        DistributionSimulation simulation = startedSimulation(5, 3, 20);
        Proxy diverged = simulation.proxies.get(1);
        diverged.kill(false);
        diverged.cachedVersion = new Version(1, new TreeMap<>(Map.of("a", "of another history")), "", 0);
        diverged.start();
        simulation.run(SECOND_US);
        assertTrue(
                simulation.nodes.stream()
                        .flatMap(node -> node.publisher().subscribers().stream())
                        .anyMatch(status -> status.name().equals("n1")
                                && status.watching()
                                && status.activeVersion() == 1
                                && !status.checksumMatches()),
                "the mismatch shows in the subscriber status");
        simulation.propose(simulation.newestWithRandomChanges(2));
        simulation.run(SECOND_US);
        assertActiveWithin(simulation, 2, PROPAGATION_BOUND_US);
        simulation.check();
    }

    @Test
    void subscriberBehindGetsOneDeltaOrFullVersionIfFarBehind() {
        DistributionSimulation simulation = startedSimulation(6, 12, 200);
        Proxy slightlyBehind = simulation.proxies.get(3);
        Proxy farBehind = simulation.proxies.get(4);
        farBehind.kill(false);
        for (int i = 0; i < 100; i++) {
            if (i == 80) {
                slightlyBehind.kill(false);
            }
            simulation.propose(simulation.newestWithRandomChanges(2));
            simulation.run(SECOND_US / 2);
        }
        int deltasBefore = simulation.encodedDeltas;
        int fullBefore = simulation.encodedFullVersions;
        slightlyBehind.start();
        simulation.run(SECOND_US);
        assertEquals(deltasBefore + 1, simulation.encodedDeltas, "one delta over twenty versions");
        assertEquals(fullBefore, simulation.encodedFullVersions);
        farBehind.start();
        simulation.run(SECOND_US);
        assertEquals(fullBefore + 1, simulation.encodedFullVersions);
        assertEquals(101, slightlyBehind.subscriber.activeVersion().number());
        assertEquals(101, farBehind.subscriber.activeVersion().number());
        simulation.check();
    }

    @Test
    void pausedProxyCatchesUpAfterThreeChanges() {
        DistributionSimulation simulation = startedSimulation(7, 20, 50);
        Proxy proxy = simulation.proxies.get(5);
        proxy.pause();
        for (int i = 0; i < 3; i++) {
            simulation.propose(simulation.newestWithRandomChanges(2));
            simulation.run(3 * SECOND_US);
        }
        assertEquals(List.of(1L), proxy.activeVersions);
        assertTrue(
                simulation.nodes.stream()
                        .flatMap(node -> node.publisher().subscribers().stream())
                        .anyMatch(status ->
                                status.name().equals("n5") && !status.watching() && status.activeVersion() == 1),
                "the status shows that it is behind");
        proxy.resume();
        long resumedUs = simulation.eventQueue.now();
        simulation.run(PROPAGATION_BOUND_US);
        assertEquals(4, proxy.subscriber.activeVersion().number());
        assertTrue(proxy.activeSinceUs(4) - resumedUs <= 3 * SECOND_US, "took " + (proxy.activeSinceUs(4) - resumedUs));
        simulation.check();
    }

    @Test
    void partitionedRegionCatchesUpAfterTenChanges() {
        for (int seed = 1; seed <= 5; seed++) {
            DistributionSimulation simulation = startedSimulation(seed, 167, 100);
            simulation.regionsPartitioned = true;
            simulation.run(2 * SECOND_US);
            for (int i = 0; i < 10; i++) {
                simulation.propose(simulation.newestWithRandomChanges(3));
                simulation.run(2 * SECOND_US);
            }
            simulation.run(3 * SECOND_US);
            for (Proxy proxy : simulation.proxies) {
                if (DistributionSimulation.region(proxy.zone) == 0) {
                    assertEquals(
                            11,
                            proxy.subscriber.activeVersion().number(),
                            "in the region of the majority: " + proxy.number);
                    assertFalse(proxy.subscriber.mayBeBehind());
                } else {
                    assertEquals(1, proxy.subscriber.activeVersion().number(), "cut off: " + proxy.number);
                    assertTrue(proxy.subscriber.mayBeBehind(), "reports that it may be behind: " + proxy.number);
                }
            }
            simulation.regionsPartitioned = false;
            simulation.replicateFromLeader();
            long healedUs = simulation.eventQueue.now();
            simulation.run(PROPAGATION_BOUND_US);
            for (Proxy proxy : simulation.proxies) {
                assertTrue(
                        proxy.activeSinceUs(11) <= healedUs + PROPAGATION_BOUND_US,
                        "client proxy " + proxy.number + ": " + proxy.activeVersions);
            }
            simulation.check();
        }
    }

    @Test
    void nodeRestoredFromOldBackupRevertsNoProxy() {
        DistributionSimulation simulation = startedSimulation(8, 60, 50);
        for (int i = 0; i < 5; i++) {
            simulation.propose(simulation.newestWithRandomChanges(2));
            simulation.run(SECOND_US);
        }
        simulation.nodes.get(1).newest = 2;
        simulation.run(10 * SECOND_US);
        simulation.check();
        simulation.propose(simulation.newestWithRandomChanges(2));
        simulation.run(PROPAGATION_BOUND_US);
        assertActiveWithin(simulation, 7, PROPAGATION_BOUND_US);
        simulation.check();
    }

    @Test
    void activeVersionStaysWithoutQuorumAndChangesResumeWithQuorum() {
        DistributionSimulation simulation = startedSimulation(9, 167, 50);
        simulation.nodes.get(0).kill();
        simulation.nodes.get(1).kill();
        simulation.run(4 * SECOND_US);
        simulation.propose(simulation.newestWithRandomChanges(2));
        simulation.run(30 * SECOND_US);
        for (Proxy proxy : simulation.proxies) {
            assertEquals(List.of(1L), proxy.activeVersions);
            assertTrue(proxy.subscriber.mayBeBehind());
        }
        simulation.nodes.get(0).start();
        simulation.nodes.get(1).start();
        long restartedUs = simulation.eventQueue.now();
        simulation.run(PROPAGATION_BOUND_US);
        for (Proxy proxy : simulation.proxies) {
            assertTrue(
                    proxy.activeSinceUs(2) <= restartedUs + PROPAGATION_BOUND_US,
                    "client proxy " + proxy.number + ": " + proxy.activeVersions);
        }
        simulation.check();
    }

    @Test
    void changeIsActiveWithinBoundUnderCombinedFaults() {
        for (int seed = 1; seed <= 5; seed++) {
            DistributionSimulation simulation = startedSimulation(seed, 335, 100);
            simulation.regionsPartitioned = true;
            simulation.run(5 * SECOND_US);
            simulation.propose(simulation.newestWithRandomChanges(3));
            simulation.run(2 * SECOND_US);
            simulation.regionsPartitioned = false;
            simulation.replicateFromLeader();
            simulation.propose(simulation.newestWithRandomChanges(3));
            simulation.nodes.get(1).kill();
            for (int i = 0; i < 18; i++) {
                Proxy proxy = simulation.proxies.get(simulation.random.nextInt(335));
                proxy.kill(false);
                simulation.eventQueue.after(simulation.random.nextLong(SECOND_US), () -> {
                    if (!proxy.alive) {
                        proxy.start();
                    }
                });
            }
            simulation.run(PROPAGATION_BOUND_US);
            assertActiveWithin(simulation, 3, PROPAGATION_BOUND_US);
            simulation.check();
        }
    }

    @ParameterizedTest
    @EnumSource(value = ProxyDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void proxyDefectsAreDetected(ProxyDefect defect) {
        DistributionSimulation simulation = startedSimulation(10, 30, 400);
        simulation.proxyDefect = defect;
        simulation.propose(simulation.newestWithRandomChanges(300));
        simulation.run(PROPAGATION_BOUND_US);
        simulation.nodes.get(1).newest = 1;
        simulation.run(PROPAGATION_BOUND_US);
        AssertionError found = assertThrows(AssertionError.class, simulation::check);
        String expectedMessage = switch (defect) {
            case APPLIES_PARTIAL_DELTA -> "that differs from the committed one";
            case REVERTS_TO_OLDER_VERSION -> "went back to an older version: ";
            case REPORTS_VERSION_IT_LACKS -> "reported version";
            case NONE -> "";
        };
        assertTrue(found.getMessage().contains(expectedMessage), found.getMessage());
    }

    // ---- the publisher alone -------------------------------------------------------------------------

    /** Version log in memory that commits each proposal at once. */
    private static final class InMemoryLog implements VersionLog {
        final List<Version> versions = new ArrayList<>(List.of(Version.NONE));

        @Override
        public Version newest() {
            return versions.get(versions.size() - 1);
        }

        @Override
        public Version find(long number) {
            return number < versions.size() ? versions.get((int) number) : null;
        }

        @Override
        public void propose(Proposal proposal, Consumer<ProposalResult> onResult) {
            versions.add(
                    new Version(versions.size(), proposal.entries(), proposal.description(), proposal.proposedAtMs()));
        }

        @Override
        public void addListener(Consumer<Version> onCommitted) {}
    }

    /** Records the bytes sent to each watch, the closed watches and the number of encoded deltas. */
    private static final class RecordingWire implements ConfigPublisher.Wire {
        final Map<Long, Long> sentBytes = new TreeMap<>();
        final List<String> closedWatches = new ArrayList<>();
        int encodedDeltas;

        @Override
        public byte[] encodeDelta(Difference delta) {
            encodedDeltas++;
            return DifferenceLine.write(delta);
        }

        @Override
        public byte[] encodeHeartbeat(long newest, boolean quorumContact) {
            return "{}\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        }

        @Override
        public void send(long watchId, byte[] line, int from, int to) {
            sentBytes.merge(watchId, (long) to - from, Long::sum);
        }

        @Override
        public void close(long watchId, String reason) {
            closedWatches.add(watchId + " " + reason);
        }

        @Override
        public void wakeAt(long timeUs) {}
    }

    @Test
    void slowSubscriberIsDisconnectedWithoutDelayingOthers() {
        InMemoryLog versionLog = new InMemoryLog();
        RecordingWire wire = new RecordingWire();
        ConfigPublisher publisher = new ConfigPublisher(PublisherSettings.DEFAULTS, versionLog, wire);
        SplittableRandom random = new SplittableRandom(1);
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = 0; i < 300; i++) {
            entries.put("key-" + i, Long.toHexString(random.nextLong()));
        }
        versionLog.propose(new Proposal("a", -1, entries, "", 0), result -> {});
        long nowUs = 0;
        assertTrue(publisher.openWatch(nowUs, 1, "slow", 0, 0));
        assertTrue(publisher.openWatch(nowUs, 2, "quick", 0, 0));
        // The slow connection accepts what fits into the socket buffers, and then almost nothing.
        publisher.onWritabilityChanged(1, false);
        long slowBytes = wire.sentBytes.get(1L);
        for (int second = 1; second <= 40; second++) {
            for (int tick = 0; tick < 20; tick++) {
                nowUs += SECOND_US / 20;
                if (tick == 0) {
                    publisher.onReport(nowUs, 1, 0, 0);
                    publisher.onReport(nowUs, 2, 0, 0);
                    entries.put("key-" + second, "new");
                    versionLog.propose(new Proposal("b" + second, -1, entries, "", 0), result -> {});
                    publisher.onVersionCommitted(nowUs);
                }
                publisher.onTimer(nowUs);
            }
        }
        assertEquals(slowBytes, wire.sentBytes.get(1L), "nothing is sent on a connection that is not writable");
        assertEquals(List.of("1 it does not read"), wire.closedWatches);
        assertEquals(1, publisher.openWatchCount());
        assertTrue(wire.sentBytes.get(2L) > 10_000, "the other subscriber receives everything: " + wire.sentBytes);
        assertTrue(wire.encodedDeltas <= 42, wire.encodedDeltas + " deltas encoded for a fast and a slow subscriber");
    }

    @Test
    void subscriberAheadOfNodeIsSentNoOlderVersion() {
        InMemoryLog versionLog = new InMemoryLog();
        RecordingWire wire = new RecordingWire();
        ConfigPublisher publisher = new ConfigPublisher(PublisherSettings.DEFAULTS, versionLog, wire);
        versionLog.propose(new Proposal("a", -1, new TreeMap<>(Map.of("k", "v")), "", 0), result -> {});
        assertTrue(publisher.openWatch(0, 1, "ahead", 3, 77));
        for (long nowUs = 0; nowUs < 3 * SECOND_US; nowUs += SECOND_US / 20) {
            publisher.onTimer(nowUs);
        }
        assertEquals(0, wire.encodedDeltas, "version 1 is older than the subscriber's version");
        assertTrue(wire.sentBytes.get(1L) > 0, "the subscriber receives heartbeats");
    }

    @Test
    void newWatchReplacesOldOneAndUnresponsiveWatchIsClosed() {
        InMemoryLog versionLog = new InMemoryLog();
        RecordingWire wire = new RecordingWire();
        ConfigPublisher publisher = new ConfigPublisher(PublisherSettings.DEFAULTS, versionLog, wire);
        assertTrue(publisher.openWatch(0, 1, "n", 0, 0));
        assertTrue(publisher.openWatch(SECOND_US, 2, "n", 0, 0));
        assertEquals(List.of("1 it watches anew"), wire.closedWatches);
        publisher.onWatchClosed(1);
        assertEquals(1, publisher.openWatchCount(), "the end of the old watch must not close the new one");
        publisher.onTimer(8 * SECOND_US);
        assertEquals(List.of("1 it watches anew", "2 silent"), wire.closedWatches);
        assertEquals(1, publisher.subscribers().size(), "the subscriber is still known");
        assertFalse(publisher.subscribers().get(0).watching());
    }

    @Test
    void numberOfSubscribersIsLimited() {
        ConfigPublisher publisher = new ConfigPublisher(
                new PublisherSettings(SECOND_US, 1_000, 1_000, SECOND_US, SECOND_US, 2),
                new InMemoryLog(),
                new RecordingWire());
        assertTrue(publisher.openWatch(0, 1, "a", 0, 0));
        assertTrue(publisher.openWatch(0, 2, "b", 0, 0));
        assertFalse(publisher.openWatch(0, 3, "c", 0, 0));
        assertTrue(publisher.openWatch(0, 4, "b", 0, 0), "a subscriber whose watch is open replaces it");
        publisher.onWatchClosed(1);
        for (int i = 5; i < 100; i++) {
            assertTrue(publisher.openWatch(0, i, "x" + i, 0, 0));
            publisher.onWatchClosed(i);
        }
        assertTrue(publisher.subscribers().size() <= 5, publisher.subscribers().size() + " subscribers retained");
    }
}
