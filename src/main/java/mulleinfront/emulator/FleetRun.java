package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.DropReason;
import mulleinfront.fleet.Fleet;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.fleet.MemberState;
import mulleinfront.fleet.Reachability;
import mulleinfront.settings.Range;

/**
 * Simulates the members of a fleet on virtual time, with faults of members and of the network between them, and
 * audits their reports. It is part of a scenario's simulation or runs alone.
 */
public final class FleetRun implements PeerFaults {
    /** Wall clock at the start of every simulation, milliseconds since 1970: members need a date. */
    private static final long EPOCH_MS = 1_796_083_200_000L;
    /** Checks of the auditor per convergence bound. */
    private static final int CHECKS_PER_BOUND = 4;

    /** Is notified of what members report, in addition to the auditor. */
    public interface MemberListener {
        void changed(int observer, Change change);

        /** The reachability that an observer reports, or whether its view has converged, changed. */
        default void reachabilityChanged(int observer, long now, Reachability reach, boolean converged) {}
    }

    private final EventQueue queue;
    private final RandomStream chance;
    private final PeerNetwork network;
    private final IntFunction<FleetSettings> settings;
    private final MemberFactory memberFactory;
    private final Peer[] peers;
    private final long[] clockMs;
    private final FleetAuditor auditor;
    private final long checkIntervalUs;
    private final List<MemberListener> listeners = new ArrayList<>();
    private int activePartitions;
    private TrafficCounts endedMemberCounts = new TrafficCounts(0, 0, 0, 0, 0);

    /** Creates a member; tests may create deliberately broken ones. */
    public interface MemberFactory {
        /** Creates a member; the arguments are those of {@link Fleet}'s constructor. */
        Fleet create(FleetSettings settings, RandomGenerator random, long now, long wallClockMs, Fleet.Actions out);
    }

    /** Counts of datagrams and bytes that members sent, and of datagrams that they read, dropped or rate-limited. */
    public record TrafficCounts(long datagrams, long bytes, long read, long dropped, long rateLimited) {
        private TrafficCounts plus(Fleet fleet) {
            long lost = fleet.dropCounts().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            return new TrafficCounts(
                    datagrams + fleet.sentDatagrams(),
                    bytes + fleet.sentBytes(),
                    read + fleet.receivedDatagrams(),
                    dropped + lost,
                    rateLimited + fleet.rateLimitedDatagrams());
        }
    }

    /** A fleet without other parts of a scenario: 0.1 to 2 ms delay between any two members. */
    public static FleetRun alone(int members, long seed, IntFunction<FleetSettings> settings) {
        return alone(members, seed, settings, Fleet::new);
    }

    /** A fleet without other parts of a scenario, with members from a factory. */
    public static FleetRun alone(
            int members, long seed, IntFunction<FleetSettings> settings, MemberFactory memberFactory) {
        EventQueue queue = new EventQueue();
        RandomStream delayChance = RandomStream.of(seed, "way");
        return new FleetRun(queue, RandomStream.of(seed, "fleet"), members, settings, memberFactory, (from, to) ->
                (long) delayChance.uniformBetween(100, 2_000));
    }

    /**
     * @param settings settings of a member, by its number
     */
    FleetRun(
            EventQueue queue,
            RandomStream chance,
            int members,
            IntFunction<FleetSettings> settings,
            MemberFactory memberFactory,
            PeerNetwork.Delay delay) {
        this.queue = queue;
        this.chance = chance;
        this.network = new PeerNetwork(queue, chance, members, delay);
        this.settings = settings;
        this.memberFactory = memberFactory;
        this.peers = new Peer[members];
        this.clockMs = new long[members];
        long bound = settings.apply(0).convergenceBoundUs(members);
        this.auditor = new FleetAuditor(members, bound, new FleetAuditor.LinkState() {
            @Override
            public boolean passes(int from, int to) {
                return network.faults().passes(from, to);
            }

            @Override
            public boolean fullyConnected() {
                return activePartitions == 0;
            }
        });
        this.checkIntervalUs = bound / CHECKS_PER_BOUND;
        queue.after(checkIntervalUs, this::check);
    }

    private void check() {
        auditor.check(queue.now());
        queue.after(checkIntervalUs, this::check);
    }

    public void addListener(MemberListener listener) {
        listeners.add(listener);
    }

    public FleetAuditor auditor() {
        return auditor;
    }

    public long now() {
        return queue.now();
    }

    /** Advances the simulation by a duration. */
    public void run(long durationUs) {
        queue.runUntil(queue.now() + durationUs);
    }

    /** Runs a task after a delay. */
    public void after(long delayUs, Runnable task) {
        queue.after(delayUs, task);
    }

    public int members() {
        return peers.length;
    }

    /** The member that runs under this number or ran last; null if none ever did. */
    public Fleet member(int number) {
        return peers[number] == null ? null : peers[number].fleet();
    }

    public boolean isRunning(int number) {
        return peers[number] != null && peers[number].alive();
    }

    // ---- faults of members -----------------------------------------------------------------------------

    /** Starts a process, in place of the previous one. */
    public void start(int number) {
        start(number, memberFactory);
    }

    /** Starts a process whose member comes from the given factory. */
    public void start(int number, MemberFactory factory) {
        RandomGenerator random = new SplittableRandom(chance.nextLong());
        Peer peer = new Peer(
                queue,
                network,
                number,
                out -> factory.create(
                        settings.apply(number),
                        random,
                        queue.now(),
                        EPOCH_MS + queue.now() / 1000 + clockMs[number],
                        out));
        if (peers[number] != null) {
            endedMemberCounts = endedMemberCounts.plus(peers[number].fleet());
        }
        peers[number] = peer;
        auditor.started(number, queue.now());
        peer.fleet().addListener(new Fleet.Listener() {
            @Override
            public void changed(Change change) {
                auditor.changed(number, change);
                listeners.forEach(w -> w.changed(number, change));
            }

            @Override
            public void reachabilityChanged(long now, Reachability reach, boolean converged, long digest) {
                listeners.forEach(w -> w.reachabilityChanged(number, now, reach, converged));
            }
        });
        peer.start();
    }

    /** Ends a process without notice, as SIGKILL does. */
    public void kill(int number) {
        if (isRunning(number)) {
            peers[number].kill();
            auditor.ended(number, queue.now());
        }
    }

    /** Lets a member announce that it leaves; its owner kills the process later. */
    public void leave(int number) {
        if (isRunning(number)) {
            auditor.leaves(number, queue.now());
            peers[number].leave();
        }
    }

    /** Pauses a process for a duration, as SIGSTOP does. */
    public void pause(int number, long durationUs) {
        pause(number);
        Peer stopped = peers[number];
        queue.after(durationUs, () -> {
            if (peers[number] == stopped) {
                resume(number);
            }
        });
    }

    void pause(int number) {
        if (isRunning(number)) {
            peers[number].pause();
            auditor.pauseChanged(number, true, queue.now());
        }
    }

    void resume(int number) {
        if (isRunning(number) && peers[number].paused()) {
            auditor.pauseChanged(number, false, queue.now());
            peers[number].resume();
        }
    }

    @Override
    public void shiftClock(int number, long ms) {
        clockMs[number] += ms;
    }

    // ---- faults of the network -------------------------------------------------------------------------

    @Override
    public ActiveFault beginFault(
            BitSet from,
            BitSet to,
            double lossShare,
            double duplicateShare,
            double overtakenShare,
            double corruptedShare,
            Range extraDelayUs) {
        DatagramFaults.DatagramFault fault = new DatagramFaults.DatagramFault(
                from, to, lossShare, duplicateShare, overtakenShare, corruptedShare, extraDelayUs);
        network.faults().begin(fault);
        partitionsChanged(fault.isPartition() ? 1 : 0);
        return () -> {
            network.faults().end(fault);
            partitionsChanged(fault.isPartition() ? -1 : 0);
        };
    }

    private void partitionsChanged(int change) {
        activePartitions += change;
        if (change != 0) {
            auditor.linksChanged(queue.now());
        }
    }

    @Override
    public void repeatDatagrams(long recordUs, double perSecond, long durationUs) {
        network.faults().setRecording(true);
        queue.after(recordUs, () -> {
            network.faults().setRecording(false);
            every(perSecond, durationUs, () -> {
                DatagramFaults.RecordedDatagram recorded = network.faults().recorded();
                if (recorded != null) {
                    network.deliver(recorded.from(), recorded.to(), recorded.bytes(), 0);
                }
            });
        });
    }

    @Override
    public void sendFromUnknownSenders(double perSecond, long durationUs) {
        every(
                perSecond,
                durationUs,
                () -> network.deliver(
                        PeerNetwork.UNKNOWN_SENDER,
                        network.faults().randomMember(peers.length),
                        network.faults().randomBytes(),
                        0));
    }

    /** Delivers a datagram to a member from a peer's address, or from an unknown sender: -1. */
    public void inject(int from, int to, byte[] bytes) {
        network.deliver(from, to, bytes, 0);
    }

    private void every(double perSecond, long durationUs, Runnable task) {
        long until = queue.now() + durationUs;
        long[] gap = {(long) Math.max(1, 1e6 / perSecond)};
        queue.after(gap[0], new Runnable() {
            @Override
            public void run() {
                if (queue.now() < until) {
                    task.run();
                    queue.after(gap[0], this);
                }
            }
        });
    }

    // ---- results ---------------------------------------------------------------------------------------

    /** Counts of all members so far, including processes that ended. */
    public TrafficCounts trafficCounts() {
        TrafficCounts sum = endedMemberCounts;
        for (Peer peer : peers) {
            sum = peer == null ? sum : sum.plus(peer.fleet());
        }
        return sum;
    }

    /** Datagrams that members did not read, by reason. */
    public long dropped(DropReason reason) {
        long sum = 0;
        for (Peer peer : peers) {
            sum += peer == null ? 0 : peer.fleet().dropCounts().getOrDefault(reason, 0L);
        }
        return sum;
    }

    /** The report of the run so far. */
    public FleetReport report() {
        TrafficCounts counts = trafficCounts();
        return new FleetReport(auditor.breaches(), auditor.breachCount(), counts, members(), queue.now(), viewsAgree());
    }

    /** Whether all members that run and are not paused have the same view. */
    public boolean viewsAgree() {
        long digest = 0;
        boolean any = false;
        for (Peer peer : peers) {
            if (peer != null && peer.alive() && !peer.paused()) {
                if (any && peer.fleet().digest() != digest) {
                    return false;
                }
                digest = peer.fleet().digest();
                any = true;
            }
        }
        return true;
    }

    /** Number of running members that record a member in this state. */
    public int countRecording(int member, MemberState state) {
        int count = 0;
        for (Peer peer : peers) {
            count += peer != null && peer.alive() && peer.fleet().state(member) == state ? 1 : 0;
        }
        return count;
    }
}
