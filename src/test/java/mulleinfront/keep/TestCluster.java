package mulleinfront.keep;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.FreePorts;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/** Three replicas on loopback sockets, each with its own event loop and directory. */
final class TestCluster implements AutoCloseable {
    static final String[] NAMES = {"k1", "k2", "k3"};
    private static final int TIMEOUT_SECONDS = 20;
    private static final int DECISION_TIMEOUT_SECONDS = 60;

    final SortedMap<String, InetSocketAddress> addresses = new TreeMap<>();
    final Map<String, ReplicaNode> nodes = new HashMap<>();
    /** The versions that each replica has reported since it was last started, in order. */
    final Map<String, BlockingQueue<Version>> reportedVersions = new HashMap<>();

    private final Map<String, EventLoopGroup> loops = new HashMap<>();
    private final Path baseDirectory;

    TestCluster(Path baseDirectory) throws Exception {
        this.baseDirectory = baseDirectory;
        for (String name : NAMES) {
            loops.put(name, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
            addresses.put(name, new InetSocketAddress("127.0.0.1", FreePorts.next()));
        }
    }

    static TestCluster startAll(Path baseDirectory) throws Exception {
        TestCluster cluster = new TestCluster(baseDirectory);
        for (String name : NAMES) {
            cluster.start(name);
        }
        return cluster;
    }

    Path directory(String name) {
        return baseDirectory.resolve(name);
    }

    ReplicaNode start(String name) throws Exception {
        ReplicaNode node = new ReplicaNode(
                new ReplicaSettings(name, addresses, directory(name)),
                loops.get(name).next());
        nodes.put(name, node);
        BlockingQueue<Version> queue = new LinkedBlockingQueue<>();
        reportedVersions.put(name, queue);
        runOnLoop(name, () -> {
            node.addListener(queue::add);
            node.start();
            return null;
        });
        return node;
    }

    /** Runs a task on a replica's event loop. */
    <T> T runOnLoop(String name, Callable<T> task) throws Exception {
        return loops.get(name).next().submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    void stop(String name) throws Exception {
        ReplicaNode node = nodes.remove(name);
        if (node != null) {
            runOnLoop(name, () -> {
                node.close();
                return null;
            });
            FreePorts.awaitFree(addresses.get(name).getPort());
        }
    }

    static Proposal proposal(String id, long basedOn, String value) {
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put("limit", value);
        return new Proposal(id, basedOn, entries, "because of " + id, 1_700_000_000_000L);
    }

    CompletableFuture<VersionLog.ProposalResult> proposeAsync(String replica, Proposal proposal) throws Exception {
        CompletableFuture<VersionLog.ProposalResult> result = new CompletableFuture<>();
        ReplicaNode node = nodes.get(replica);
        runOnLoop(replica, () -> {
            node.propose(proposal, result::complete);
            return null;
        });
        return result;
    }

    VersionLog.ProposalResult propose(String replica, Proposal proposal) throws Exception {
        return proposeAsync(replica, proposal).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Repeats a proposal under its id until its result is known, for as long as some elections may take. */
    VersionLog.ProposalResult proposeUntilKnown(String replica, Proposal proposal) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DECISION_TIMEOUT_SECONDS);
        while (true) {
            VersionLog.ProposalResult result = propose(replica, proposal);
            if (result.outcome() != VersionLog.ProposalOutcome.UNKNOWN) {
                return result;
            }
            if (System.nanoTime() - deadline >= 0) {
                throw new IOException("not decided at " + replica + ": " + result + "; the replicas: " + statuses());
            }
        }
    }

    private List<ReplicaStatus> statuses() throws Exception {
        List<ReplicaStatus> statuses = new ArrayList<>();
        for (String name : nodes.keySet()) {
            statuses.add(status(name));
        }
        return statuses;
    }

    /** The next version that a replica reports. */
    Version nextVersion(String name) throws Exception {
        Version version = reportedVersions.get(name).poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (version == null) {
            throw new IOException(name + " reported no version; its status is " + status(name));
        }
        return version;
    }

    ReplicaStatus status(String name) throws Exception {
        ReplicaNode node = nodes.get(name);
        return runOnLoop(name, node::status);
    }

    Version newest(String name) throws Exception {
        ReplicaNode node = nodes.get(name);
        return runOnLoop(name, node::newest);
    }

    /** The replica that reports itself as the leader; a proposal must have been committed before. */
    String leader() throws Exception {
        for (String name : NAMES) {
            if (nodes.containsKey(name) && status(name).role() == ReplicaStatus.Role.LEADER) {
                return name;
            }
        }
        throw new IOException("no replica is the leader");
    }

    String runningReplicaExcept(String... excluded) {
        for (String name : NAMES) {
            if (nodes.containsKey(name) && !List.of(excluded).contains(name)) {
                return name;
            }
        }
        throw new IllegalStateException("no other replica is running");
    }

    @Override
    public void close() throws Exception {
        for (String name : NAMES) {
            stop(name);
            loops.get(name).shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
