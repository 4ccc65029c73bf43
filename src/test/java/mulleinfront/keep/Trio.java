package mulleinfront.keep;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/** Three keepers on loopback sockets, each on an event loop and in a directory of its own. */
final class Trio implements AutoCloseable {
    static final String[] NAMES = {"k1", "k2", "k3"};
    private static final int PATIENCE_SECONDS = 20;

    final SortedMap<String, InetSocketAddress> addresses = new TreeMap<>();
    final Map<String, ReplicaNode> nodes = new HashMap<>();
    /** What each heard since it was started, in order. */
    final Map<String, BlockingQueue<Version>> heard = new HashMap<>();

    private final Map<String, EventLoopGroup> loops = new HashMap<>();
    private final Path home;

    Trio(Path home) throws Exception {
        this.home = home;
        for (String name : NAMES) {
            loops.put(name, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                addresses.put(name, (InetSocketAddress) probe.getLocalSocketAddress());
            }
        }
    }

    static Trio started(Path home) throws Exception {
        Trio trio = new Trio(home);
        for (String name : NAMES) {
            trio.start(name);
        }
        return trio;
    }

    Path directory(String name) {
        return home.resolve(name);
    }

    ReplicaNode start(String name) throws Exception {
        ReplicaNode node = new ReplicaNode(
                new ReplicaSettings(name, addresses, directory(name)),
                loops.get(name).next());
        nodes.put(name, node);
        BlockingQueue<Version> queue = new LinkedBlockingQueue<>();
        heard.put(name, queue);
        on(name, () -> {
            node.listen(queue::add);
            node.start();
            return null;
        });
        return node;
    }

    /** Runs something on a keeper's loop. */
    <T> T on(String name, Callable<T> what) throws Exception {
        return loops.get(name).next().submit(what).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    void stop(String name) throws Exception {
        ReplicaNode node = nodes.remove(name);
        if (node != null) {
            on(name, () -> {
                node.close();
                return null;
            });
        }
    }

    static Proposal proposal(String id, long basedOn, String value) {
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put("limit", value);
        return new Proposal(id, basedOn, entries, "because of " + id, 1_700_000_000_000L);
    }

    CompletableFuture<VersionLog.ProposalResult> proposing(String at, Proposal proposal) throws Exception {
        CompletableFuture<VersionLog.ProposalResult> answer = new CompletableFuture<>();
        ReplicaNode node = nodes.get(at);
        on(at, () -> {
            node.propose(proposal, answer::complete);
            return null;
        });
        return answer;
    }

    VersionLog.ProposalResult propose(String at, Proposal proposal) throws Exception {
        return proposing(at, proposal).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    /** Proposes under one id until it is known what became of it. */
    VersionLog.ProposalResult settle(String at, Proposal proposal) throws Exception {
        VersionLog.ProposalResult answer;
        do {
            answer = propose(at, proposal);
        } while (answer.what() == VersionLog.ProposalOutcome.UNKNOWN);
        return answer;
    }

    /** The next version that a keeper hears of. */
    Version next(String name) throws Exception {
        Version version = heard.get(name).poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        if (version == null) {
            throw new IOException(name + " heard of nothing; it is " + status(name));
        }
        return version;
    }

    ReplicaStatus status(String name) throws Exception {
        ReplicaNode node = nodes.get(name);
        return on(name, node::status);
    }

    Version newest(String name) throws Exception {
        ReplicaNode node = nodes.get(name);
        return on(name, node::newest);
    }

    /** The one that leads by its own word; a change must have been decided before. */
    String leader() throws Exception {
        for (String name : NAMES) {
            if (nodes.containsKey(name) && status(name).role() == ReplicaStatus.Role.LEADER) {
                return name;
            }
        }
        throw new IOException("nobody leads");
    }

    String other(String... than) {
        for (String name : NAMES) {
            if (nodes.containsKey(name) && !java.util.List.of(than).contains(name)) {
                return name;
            }
        }
        throw new IllegalStateException("no other is started");
    }

    @Override
    public void close() throws Exception {
        for (String name : NAMES) {
            stop(name);
            loops.get(name).shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
