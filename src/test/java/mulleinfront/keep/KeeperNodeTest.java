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

/** Three keepers on sockets, with files. */
class KeeperNodeTest {
    @TempDir
    Path home;

    @Test
    void eachOfThreeTakesAProposalAndAllHearTheSame() throws Exception {
        try (Trio trio = Trio.started(home)) {
            long number = 0;
            for (String name : Trio.NAMES) {
                assertEquals(
                        new ProposalResult(ProposalOutcome.DECIDED, ++number, ""),
                        trio.settle(name, Trio.proposal("p-" + name, -1, name)));
            }
            for (String name : Trio.NAMES) {
                for (int i = 1; i <= 3; i++) {
                    Version version = trio.next(name);
                    assertEquals(i, version.number());
                    assertEquals("k" + i, version.entries().get("limit"));
                }
                assertEquals(3, trio.newest(name).number());
                assertTrue(trio.heard.get(name).isEmpty());
            }
        }
    }

    @Test
    void anIdIsDecidedOnceAndAnOldBaseRefused() throws Exception {
        try (Trio trio = Trio.started(home)) {
            assertEquals(1, trio.settle("k1", Trio.proposal("one", 0, "a")).number());
            for (String name : Trio.NAMES) {
                assertEquals(
                        new ProposalResult(ProposalOutcome.DECIDED, 1, ""),
                        trio.settle(name, Trio.proposal("one", 0, "a")));
            }
            assertEquals(
                    new ProposalResult(ProposalOutcome.REFUSED, 1, "based on version 0, the newest is 1"),
                    trio.settle("k2", Trio.proposal("two", 0, "b")));
            assertEquals(2, trio.settle("k3", Trio.proposal("three", 1, "c")).number());
            assertEquals(
                    new ProposalResult(ProposalOutcome.REFUSED, 1, "based on version 0, the newest is 1"),
                    trio.settle("k1", Trio.proposal("two", 0, "b")));
        }
    }

    @Test
    void aProposalThatTheLeaderTookBeforeItsEndIsDecidedOnceWhenRepeated() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("before", 0, "a"));
            String leader = trio.leader();
            ReplicaNode node = trio.nodes.remove(leader);
            CompletableFuture<ProposalResult> answer = new CompletableFuture<>();
            trio.on(leader, () -> {
                // In one go of the loop: the leader appends and sends, and can hear no answer before its end.
                node.propose(Trio.proposal("middle", 1, "b"), answer::complete);
                node.close();
                return null;
            });
            ProposalResult first = answer.get(10, TimeUnit.SECONDS);
            assertEquals(ProposalOutcome.UNKNOWN, first.what(), first.toString());
            String other = trio.other();
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    trio.settle(other, Trio.proposal("middle", 1, "b")));
            assertEquals(
                    3,
                    trio.settle(trio.other(other), Trio.proposal("after", 2, "c"))
                            .number());
            trio.start(leader);
            for (long number = trio.newest(leader).number(); number < 3; ) {
                number = trio.next(leader).number();
            }
            assertEquals("c", trio.newest(leader).entries().get("limit"));
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    trio.settle(leader, Trio.proposal("middle", 1, "b")));
        }
    }

    @Test
    void aFollowerFindsTheNextLeaderByItself() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("before", 0, "a"));
            String leader = trio.leader();
            trio.stop(leader);
            // One answer, without being asked again: what a proposer sees of a leader's end is some time.
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    trio.propose(trio.other(), Trio.proposal("during", 1, "b")));
        }
    }

    @Test
    void aMinorityDecidesNothingAndStillTells() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("one", 0, "a"));
            String leader = trio.leader();
            String follower = trio.other(leader);
            trio.stop(trio.other(leader, follower));
            trio.stop(follower);
            ProposalResult answer = trio.propose(leader, Trio.proposal("two", 1, "b"));
            assertEquals(ProposalOutcome.UNKNOWN, answer.what(), answer.toString());
            assertEquals(1, answer.number());
            assertEquals(1, trio.newest(leader).number());
            assertNull(trio.on(leader, () -> trio.nodes.get(leader).at(2)));
            trio.start(follower);
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    trio.settle(leader, Trio.proposal("two", 1, "b")));
        }
    }

    @Test
    void oneAloneTellsAfterARestartWhatItHadTold() throws Exception {
        try (Trio trio = Trio.started(home)) {
            for (int i = 0; i < 5; i++) {
                trio.settle("k1", Trio.proposal("p" + i, i, "v" + i));
            }
            for (int i = 1; i <= 5; i++) {
                assertEquals(i, trio.next("k2").number());
            }
            for (String name : Trio.NAMES) {
                trio.stop(name);
            }
            trio.start("k2");
            assertEquals(5, trio.newest("k2").number());
            assertEquals("v4", trio.newest("k2").entries().get("limit"));
            assertEquals(
                    "v2",
                    trio.on("k2", () -> trio.nodes.get("k2").at(3)).entries().get("limit"));
            trio.start("k3");
            assertEquals(6, trio.settle("k3", Trio.proposal("p5", 5, "v5")).number());
            // What it had told before its restart isn't told again.
            assertEquals(6, trio.next("k2").number());
        }
    }

    @Test
    void whoWasAwayForLongIsBroughtUpByASnapshot() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("p0", 0, "v0"));
            String away = trio.other(trio.leader());
            trio.stop(away);
            String at = trio.other();
            int changes = 2 * Keeper.SNAPSHOT_ENTRIES;
            for (int i = 1; i < changes; i++) {
                assertEquals(
                        i + 1,
                        trio.settle(at, Trio.proposal("p" + i, i, "v" + i)).number());
            }
            trio.start(away);
            long number = trio.newest(away).number();
            while (number < changes) {
                Version next = trio.next(away);
                assertEquals(number + 1, next.number());
                assertEquals("v" + number, next.entries().get("limit"));
                number++;
            }
            assertEquals(
                    new ProposalResult(ProposalOutcome.DECIDED, 2, ""),
                    trio.settle(away, Trio.proposal("p1", 1, "v1")));
        }
    }

    @Test
    void anOlderCopyOfADirectoryIsFoundOutAndStops() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("one", 0, "a"));
            String old = trio.other(trio.leader());
            trio.next(old);
            trio.stop(old);
            Path copy = home.resolve("copy");
            copy(trio.directory(old), copy);
            trio.start(old);
            trio.settle(old, Trio.proposal("two", 1, "b"));
            trio.settle(old, Trio.proposal("three", 2, "c"));
            trio.stop(old);
            // A change after it has gone: the others make durable what they had heard of it.
            trio.settle(trio.other(), Trio.proposal("four", 3, "d"));
            copy(copy, trio.directory(old));
            ReplicaNode node = trio.start(old);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (trio.status(old).fault() == null && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            assertNotNull(trio.status(old).fault());
            assertTrue(
                    trio.status(old).fault().contains("your directory is an older copy"),
                    trio.status(old).fault());
            assertEquals(ReplicaStatus.Role.STOPPED, trio.status(old).role());
            assertEquals(
                    ProposalOutcome.UNKNOWN,
                    trio.propose(old, Trio.proposal("five", 4, "e")).what());
            assertEquals(
                    5,
                    trio.settle(trio.other(old), Trio.proposal("five", 4, "e")).number());
            assertEquals(1, trio.on(old, node::newest).number());
        }
    }

    @Test
    void aDirectoryInUseAndAnothersAreRefusedInOneLine() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k1", Trio.proposal("one", 0, "a"));
            IOException inUse = assertThrows(IOException.class, () -> trio.start("k1"));
            assertTrue(inUse.getMessage().contains("locked"), inUse.getMessage());
            trio.stop("k2");
            copy(trio.directory("k2"), home.resolve("elsewhere"));
            DiskLog own = new DiskLog(home.resolve("elsewhere"), "k2", trio.addresses.keySet());
            own.close();
            IOException wrong = assertThrows(
                    IOException.class, () -> new DiskLog(home.resolve("elsewhere"), "k3", trio.addresses.keySet()));
            assertTrue(wrong.getMessage().endsWith("is keeper k2's, not k3's"), wrong.getMessage());
        }
    }

    /** Posts as k2 would, with a number of saves below what it had said. */
    private static int post(Trio trio, String path, byte[] body) throws Exception {
        java.net.URI uri = java.net.URI.create(
                "http://127.0.0.1:" + trio.addresses.get("k1").getPort() + path);
        java.net.http.HttpRequest request = java.net.http.HttpRequest.newBuilder(uri)
                .header(KeeperWire.SENDER, "k2")
                .header(KeeperWire.SAVES, "0")
                .POST(java.net.http.HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return java.net.http.HttpClient.newHttpClient()
                .send(request, java.net.http.HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    @Test
    void aProposalOvertakenByLaterMessagesIsNoSignOfAnOlderDisk() throws Exception {
        try (Trio trio = Trio.started(home)) {
            trio.settle("k2", Trio.proposal("one", 0, "a"));
            trio.next("k1");
            assertEquals(200, post(trio, KeeperWire.PROPOSE, Codec.proposal(Trio.proposal("two", 1, "b"))));
            assertEquals(
                    409,
                    post(
                            trio,
                            KeeperWire.RAFT,
                            Codec.message(new io.microraft.model.impl.DefaultRaftModelFactory()
                                    .createPreVoteRequestBuilder()
                                    .setGroupId(Codec.GROUP)
                                    .setSender(new Member("k2"))
                                    .setTerm(1)
                                    .setLastLogTerm(0)
                                    .setLastLogIndex(0)
                                    .build())));
            assertEquals(400, post(trio, KeeperWire.RAFT, new byte[] {9}));
            assertEquals(404, post(trio, "/else", new byte[0]));
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
