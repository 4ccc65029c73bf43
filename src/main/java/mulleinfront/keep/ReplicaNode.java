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
 * A keeper: consensus, log on disk and wire to the others, on one event loop of NIO. Every method but
 * {@link #KeeperNode} is called on that loop, and what is given to it is called back there. Saves are forced
 * to the disk on the loop too: it stands still meanwhile (some ms a decision).
 */
public final class ReplicaNode implements VersionLog, AutoCloseable {
    private final DiskLog log;
    private final KeeperWire wire;
    private final Keeper keeper;

    /**
     * Opens the log and listens; takes part from {@link #start} on.
     *
     * @param loop on which all of it runs; stays the caller's
     * @throws IOException one line: the log can't be read whole or is another keeper's, or the address is
     *        taken
     */
    public ReplicaNode(ReplicaSettings settings, EventLoop loop) throws IOException {
        log = new DiskLog(
                settings.directory(), settings.name(), settings.keepers().keySet());
        try {
            wire = new KeeperWire(settings, loop, log);
            keeper = new Keeper(
                    settings.name(),
                    settings.keepers().keySet(),
                    timers(loop),
                    new Random(),
                    log,
                    wire,
                    Keeper.SNAPSHOT_ENTRIES);
            wire.bind(keeper);
        } catch (IOException e) {
            log.close();
            throw e;
        }
    }

    private static Timers timers(EventLoop loop) {
        return new Timers() {
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

    /** Where it hears the other keepers. */
    public InetSocketAddress address() {
        return wire.address();
    }

    /** Takes part from now on. */
    public void start() {
        keeper.start();
    }

    /** What it is now. */
    public ReplicaStatus status() {
        return keeper.status();
    }

    /** Bytes sent to other keepers so far, heads of messages included. */
    public long bytesSent() {
        return wire.bytesSent();
    }

    /**
     * Takes part no longer, lets go of address and directory. Proposals that wait are answered as unknown.
     */
    @Override
    public void close() {
        keeper.close();
        wire.close();
        log.close();
    }

    @Override
    public Version newest() {
        return keeper.newest();
    }

    @Override
    public Version at(long number) {
        return keeper.at(number);
    }

    @Override
    public void propose(Proposal proposal, Consumer<ProposalResult> answer) {
        keeper.propose(proposal, answer);
    }

    /** It leads, or has heard its leader within the time after which one is given up. */
    @Override
    public boolean hasQuorumContact() {
        ReplicaStatus.Role role = status().role();
        return role == ReplicaStatus.Role.LEADER || role == ReplicaStatus.Role.FOLLOWER;
    }

    @Override
    public void listen(Consumer<Version> decided) {
        keeper.listen(decided);
    }
}
