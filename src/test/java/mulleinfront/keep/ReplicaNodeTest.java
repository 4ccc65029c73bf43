package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog.ProposalOutcome;
import mulleinfront.config.VersionLog.ProposalResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three replicas with sockets and files. */
class ReplicaNodeTest {
    @TempDir
    Path baseDirectory;

    @Test
    void everyReplicaAcceptsProposalsAndReportsTheSameVersions() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            long number = 0;
            for (String name : TestCluster.NAMES) {
                assertEquals(
                        new ProposalResult(ProposalOutcome.DECIDED, ++number, ""),
                        cluster.proposeUntilKnown(name, TestCluster.proposal("p-" + name, -1, name)));
            }
            for (String name : TestCluster.NAMES) {
                for (int i = 1; i <= 3; i++) {
                    Version version = cluster.nextVersion(name);
                    assertEquals(i, version.number());
                    assertEquals("k" + i, version.entries().get("limit"));
                }
                assertEquals(3, cluster.newest(name).number());
                assertTrue(cluster.reportedVersions.get(name).isEmpty());
            }
        }
    }

    @Test
    void repeatedIdCommitsOnceAndOutdatedBaseIsRefused() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            assertEquals(
                    1,
                    cluster.proposeUntilKnown("k1", TestCluster.proposal("one", 0, "a"))
                            .version());
            for (String name : TestCluster.NAMES) {
                assertEquals(
                        new ProposalResult(ProposalOutcome.DECIDED, 1, ""),
                        cluster.proposeUntilKnown(name, TestCluster.proposal("one", 0, "a")));
            }
            assertEquals(
                    new ProposalResult(ProposalOutcome.REFUSED, 1, "based on version 0, the newest is 1"),
                    cluster.proposeUntilKnown("k2", TestCluster.proposal("two", 0, "b")));
            assertEquals(
                    2,
                    cluster.proposeUntilKnown("k3", TestCluster.proposal("three", 1, "c"))
                            .version());
            assertEquals(
                    new ProposalResult(ProposalOutcome.REFUSED, 1, "based on version 0, the newest is 1"),
                    cluster.proposeUntilKnown("k1", TestCluster.proposal("two", 0, "b")));
        }
    }

    @Test
    void proposalAppendedByStoppedLeaderCommitsOnceWhenRepeated() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("before", 0, "a"));
            String leader = cluster.leader();
            ReplicaNode node = cluster.nodes.remove(leader);
            CompletableFuture<ProposalResult> answer = new CompletableFuture<>();
            cluster.runOnLoop(leader, () -> {
                // In one task of the loop: the leader appends and sends, and stops before it can receive a response.
                node.propose(TestCluster.proposal("middle", 1, "b"), answer::complete);
                node.close();
                return null;
            });
            ProposalResult first = answer.get(10, TimeUnit.SECONDS);
            assertEquals(ProposalOutcome.UNKNOWN, first.outcome(), first.toString());
            String other = cluster.runningReplicaExcept();
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    cluster.proposeUntilKnown(other, TestCluster.proposal("middle", 1, "b")));
            assertEquals(
                    3,
                    cluster.proposeUntilKnown(
                                    cluster.runningReplicaExcept(other), TestCluster.proposal("after", 2, "c"))
                            .version());
            cluster.start(leader);
            for (long number = cluster.newest(leader).number(); number < 3; ) {
                number = cluster.nextVersion(leader).number();
            }
            assertEquals("c", cluster.newest(leader).entries().get("limit"));
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    cluster.proposeUntilKnown(leader, TestCluster.proposal("middle", 1, "b")));
        }
    }

    @Test
    void followerRetriesProposalAtTheNextLeader() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("before", 0, "a"));
            String leader = cluster.leader();
            cluster.stop(leader);
            // A single proposal succeeds: the failure of the leader costs the proposer only time.
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    cluster.propose(cluster.runningReplicaExcept(), TestCluster.proposal("during", 1, "b")));
        }
    }

    @Test
    void minorityCommitsNothingAndStillServesVersions() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("one", 0, "a"));
            String leader = cluster.leader();
            String follower = cluster.runningReplicaExcept(leader);
            cluster.stop(cluster.runningReplicaExcept(leader, follower));
            cluster.stop(follower);
            ProposalResult answer = cluster.propose(leader, TestCluster.proposal("two", 1, "b"));
            assertEquals(ProposalOutcome.UNKNOWN, answer.outcome(), answer.toString());
            assertEquals(1, answer.version());
            assertEquals(1, cluster.newest(leader).number());
            assertNull(cluster.runOnLoop(leader, () -> cluster.nodes.get(leader).find(2)));
            cluster.start(follower);
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    cluster.proposeUntilKnown(leader, TestCluster.proposal("two", 1, "b")));
        }
    }

    @Test
    void restartedReplicaAloneServesAllReportedVersions() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            for (int i = 0; i < 5; i++) {
                cluster.proposeUntilKnown("k1", TestCluster.proposal("p" + i, i, "v" + i));
            }
            for (int i = 1; i <= 5; i++) {
                assertEquals(i, cluster.nextVersion("k2").number());
            }
            for (String name : TestCluster.NAMES) {
                cluster.stop(name);
            }
            cluster.start("k2");
            assertEquals(5, cluster.newest("k2").number());
            assertEquals("v4", cluster.newest("k2").entries().get("limit"));
            assertEquals(
                    "v2",
                    cluster.runOnLoop("k2", () -> cluster.nodes.get("k2").find(3))
                            .entries()
                            .get("limit"));
            cluster.start("k3");
            assertEquals(
                    6,
                    cluster.proposeUntilKnown("k3", TestCluster.proposal("p5", 5, "v5"))
                            .version());
            // Versions reported before the restart are not reported again.
            assertEquals(6, cluster.nextVersion("k2").number());
        }
    }

    @Test
    void laggingReplicaCatchesUpBySnapshot() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("p0", 0, "v0"));
            String away = cluster.runningReplicaExcept(cluster.leader());
            cluster.stop(away);
            String at = cluster.runningReplicaExcept();
            int changes = 2 * Replica.SNAPSHOT_INTERVAL_ENTRIES;
            for (int i = 1; i < changes; i++) {
                assertEquals(
                        i + 1,
                        cluster.proposeUntilKnown(at, TestCluster.proposal("p" + i, i, "v" + i))
                                .version());
            }
            cluster.start(away);
            long number = cluster.newest(away).number();
            while (number < changes) {
                Version next = cluster.nextVersion(away);
                assertEquals(number + 1, next.number());
                assertEquals("v" + number, next.entries().get("limit"));
                number++;
            }
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    cluster.proposeUntilKnown(away, TestCluster.proposal("p1", 1, "v1")));
        }
    }

    @Test
    void replicaWithOlderDirectoryCopyStops() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("one", 0, "a"));
            String old = cluster.runningReplicaExcept(cluster.leader());
            cluster.nextVersion(old);
            cluster.stop(old);
            Path copy = baseDirectory.resolve("copy");
            copy(cluster.directory(old), copy);
            cluster.start(old);
            cluster.proposeUntilKnown(old, TestCluster.proposal("two", 1, "b"));
            cluster.proposeUntilKnown(old, TestCluster.proposal("three", 2, "c"));
            cluster.stop(old);
            // One more commit after its stop: the others save the counters that they received from it.
            cluster.proposeUntilKnown(cluster.runningReplicaExcept(), TestCluster.proposal("four", 3, "d"));
            copy(copy, cluster.directory(old));
            ReplicaNode node = cluster.start(old);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (cluster.status(old).fault() == null && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            assertNotNull(cluster.status(old).fault());
            assertTrue(
                    cluster.status(old).fault().contains("your directory is an older copy"),
                    cluster.status(old).fault());
            assertEquals(ReplicaStatus.Role.STOPPED, cluster.status(old).role());
            assertEquals(
                    ProposalOutcome.UNKNOWN,
                    cluster.propose(old, TestCluster.proposal("five", 4, "e")).outcome());
            assertEquals(
                    5,
                    cluster.proposeUntilKnown(cluster.runningReplicaExcept(old), TestCluster.proposal("five", 4, "e"))
                            .version());
            assertEquals(1, cluster.runOnLoop(old, node::newest).number());
        }
    }

    @Test
    void directoryInUseOrOfAnotherReplicaIsRejected() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k1", TestCluster.proposal("one", 0, "a"));
            IOException inUse = assertThrows(IOException.class, () -> cluster.start("k1"));
            assertTrue(inUse.getMessage().contains("locked"), inUse.getMessage());
            cluster.stop("k2");
            copy(cluster.directory("k2"), baseDirectory.resolve("elsewhere"));
            DiskLog own = new DiskLog(baseDirectory.resolve("elsewhere"), "k2", cluster.addresses.keySet());
            own.close();
            IOException wrong = assertThrows(
                    IOException.class,
                    () -> new DiskLog(baseDirectory.resolve("elsewhere"), "k3", cluster.addresses.keySet()));
            assertTrue(wrong.getMessage().endsWith("belongs to replica k2, not to k3"), wrong.getMessage());
        }
    }

    /** Posts to k1 in the name of k2, with a save counter below the one that k2 has sent before. */
    private static int post(TestCluster cluster, String path, byte[] body) throws Exception {
        java.net.URI uri = java.net.URI.create(
                "http://127.0.0.1:" + cluster.addresses.get("k1").getPort() + path);
        java.net.http.HttpRequest request = java.net.http.HttpRequest.newBuilder(uri)
                .header(ReplicaTransport.SENDER_HEADER, "k2")
                .header(ReplicaTransport.SAVE_COUNT_HEADER, "0")
                .POST(java.net.http.HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return java.net.http.HttpClient.newHttpClient()
                .send(request, java.net.http.HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    @Test
    void saveCounterIsNotCheckedForForwardedProposals() throws Exception {
        try (TestCluster cluster = TestCluster.startAll(baseDirectory)) {
            cluster.proposeUntilKnown("k2", TestCluster.proposal("one", 0, "a"));
            cluster.nextVersion("k1");
            assertEquals(
                    200,
                    post(
                            cluster,
                            ReplicaTransport.PROPOSE_PATH,
                            Codec.encodeProposal(TestCluster.proposal("two", 1, "b"))));
            assertEquals(
                    409,
                    post(
                            cluster,
                            ReplicaTransport.RAFT_PATH,
                            Codec.encodeMessage(new io.microraft.model.impl.DefaultRaftModelFactory()
                                    .createPreVoteRequestBuilder()
                                    .setGroupId(Codec.GROUP_ID)
                                    .setSender(new ReplicaEndpoint("k2"))
                                    .setTerm(1)
                                    .setLastLogTerm(0)
                                    .setLastLogIndex(0)
                                    .build())));
            assertEquals(400, post(cluster, ReplicaTransport.RAFT_PATH, new byte[] {9}));
            assertEquals(404, post(cluster, "/else", new byte[0]));
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }
}
