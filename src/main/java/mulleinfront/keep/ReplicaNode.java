package mulleinfront.keep;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/**
 * A running replica: consensus, the log on disk and the connections to the other replicas, on one NIO event
 * loop. All methods must be called on that loop, except the constructor; callbacks run on the loop too. Writes
 * are forced to the disk on the loop, which blocks it for a few milliseconds per committed proposal.
 */
public final class ReplicaNode implements VersionLog, AutoCloseable {
    private final DiskLog log;
    private final ReplicaTransport transport;
    private final Replica replica;

    /**
     * Opens the log and binds the listening socket. The replica takes part in consensus once {@link #start} is
     * called.
     *
     * @param loop the event loop on which everything runs; the caller shuts it down
     * @throws IOException with a message of one line, if the log is incomplete or belongs to another replica, or
     *        if the address is in use
     */
    public ReplicaNode(ReplicaSettings settings, EventLoop loop) throws IOException {
        log = new DiskLog(
                settings.directory(), settings.name(), settings.replicas().keySet());
        try {
            transport = new ReplicaTransport(settings, loop, log);
            replica = new Replica(
                    settings.name(),
                    settings.replicas().keySet(),
                    scheduler(loop),
                    new Random(),
                    log,
                    transport,
                    Replica.SNAPSHOT_INTERVAL_ENTRIES);
            transport.bind(replica);
        } catch (IOException e) {
            log.close();
            throw e;
        }
    }

    private static Scheduler scheduler(EventLoop loop) {
        return new Scheduler() {
            @Override
            public void execute(Runnable task) {
                if (!loop.isShuttingDown()) {
                    loop.execute(task);
                }
            }

            @Override
            public void schedule(Runnable task, long nanos) {
                if (!loop.isShuttingDown()) {
                    loop.schedule(task, nanos, TimeUnit.NANOSECONDS);
                }
            }

            @Override
            public long nanoTime() {
                return System.nanoTime();
            }
        };
    }

    /** The address on which this replica listens for the others. */
    public InetSocketAddress address() {
        return transport.address();
    }

    /** Starts to take part in consensus. */
    public void start() {
        replica.start();
    }

    /** The current status of this replica. */
    public ReplicaStatus status() {
        return replica.status();
    }

    /** Bytes sent to other replicas so far, HTTP headers included. */
    public long bytesSent() {
        return transport.bytesSent();
    }

    /**
     * Stops the replica and releases its address and directory. Open proposals end with {@link
     * VersionLog.ProposalOutcome#UNKNOWN}.
     */
    @Override
    public void close() {
        replica.close();
        transport.close();
        log.close();
    }

    @Override
    public Version newest() {
        return replica.newest();
    }

    @Override
    public Version find(long number) {
        return replica.find(number);
    }

    @Override
    public void propose(Proposal proposal, Consumer<ProposalResult> onResult) {
        replica.propose(proposal, onResult);
    }

    /** Whether this replica leads, or has heard its leader within the heartbeat timeout. */
    @Override
    public boolean hasQuorumContact() {
        ReplicaStatus.Role role = status().role();
        return role == ReplicaStatus.Role.LEADER || role == ReplicaStatus.Role.FOLLOWER;
    }

    @Override
    public void addListener(Consumer<Version> listener) {
        replica.addListener(listener);
    }
}
