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
 * The members of a fleet on virtual time, with what can happen to them and to the way between them, and a judge of
 * what they say. It may be part of a world, or be all there is.
 */
public final class FleetRun implements PeerFaults {
    /** When every world begins, milliseconds since 1970: members need some date. */
    private static final long EPOCH_MS = 1_796_083_200_000L;
    /** Parts of the judge's bound after which it looks. */
    private static final int LOOKS = 4;

    /** Told of what members say, beside the judge. */
    public interface Watch {
        void changed(int observer, Change change);

        /** What an observer has in reach, or whether it finds its view settled, is not as it was. */
        default void reach(int observer, long now, Reachability reach, boolean settled) {}
    }

    private final EventQueue queue;
    private final Chance chance;
    private final PeerNetwork network;
    private final IntFunction<FleetSettings> settings;
    private final Maker maker;
    private final Peer[] peers;
    private final long[] clockMs;
    private final FleetAuditor judge;
    private final long lookEveryUs;
    private final List<Watch> watches = new ArrayList<>();
    private int cuts;
    private Figures ended = new Figures(0, 0, 0, 0, 0);

    /** Makes a member; a test's own can be broken on purpose. */
    public interface Maker {
        /** The arguments are those of {@link Fleet}'s own. */
        Fleet make(FleetSettings settings, RandomGenerator random, long now, long wallClockMs, Fleet.Actions out);
    }

    /** What members have sent and read, and what they did not read. */
    public record Figures(long datagrams, long bytes, long read, long dropped, long withheld) {
        private Figures plus(Fleet f) {
            long lost = f.drops().values().stream().mapToLong(Long::longValue).sum();
            return new Figures(
                    datagrams + f.sentDatagrams(),
                    bytes + f.sentBytes(),
                    read + f.received(),
                    dropped + lost,
                    withheld + f.rateLimitedDatagrams());
        }
    }

    /** A fleet by itself: a way of 0.1 to 2 ms between any two. */
    public static FleetRun alone(int members, long seed, IntFunction<FleetSettings> settings) {
        return alone(members, seed, settings, Fleet::new);
    }

    /** The same of members of another make. */
    public static FleetRun alone(int members, long seed, IntFunction<FleetSettings> settings, Maker maker) {
        EventQueue queue = new EventQueue();
        Chance way = Chance.of(seed, "way");
        return new FleetRun(queue, Chance.of(seed, "fleet"), members, settings, maker, (from, to) ->
                (long) way.between(100, 2_000));
    }

    /**
     * @param settings those of each member, by its number
     */
    FleetRun(
            EventQueue queue,
            Chance chance,
            int members,
            IntFunction<FleetSettings> settings,
            Maker maker,
            PeerNetwork.Way way) {
        this.queue = queue;
        this.chance = chance;
        this.network = new PeerNetwork(queue, chance, members, way);
        this.settings = settings;
        this.maker = maker;
        this.peers = new Peer[members];
        this.clockMs = new long[members];
        long bound = settings.apply(0).convergenceBoundUs(members);
        this.judge = new FleetAuditor(members, bound, new FleetAuditor.Links() {
            @Override
            public boolean pass(int from, int to) {
                return network.troubles().passes(from, to);
            }

            @Override
            public boolean whole() {
                return cuts == 0;
            }
        });
        this.lookEveryUs = bound / LOOKS;
        queue.after(lookEveryUs, this::look);
    }

    private void look() {
        judge.look(queue.now());
        queue.after(lookEveryUs, this::look);
    }

    public void watch(Watch watch) {
        watches.add(watch);
    }

    public FleetAuditor judge() {
        return judge;
    }

    public long now() {
        return queue.now();
    }

    /** Plays on for so long. */
    public void run(long us) {
        queue.runUntil(queue.now() + us);
    }

    /** Runs something later. */
    public void after(long us, Runnable task) {
        queue.after(us, task);
    }

    public int members() {
        return peers.length;
    }

    /** The member that runs, or ran last; null if none ever did. */
    public Fleet member(int number) {
        return peers[number] == null ? null : peers[number].fleet();
    }

    public boolean up(int number) {
        return peers[number] != null && peers[number].alive();
    }

    // ---- what happens to members -----------------------------------------------------------------------

    /** A process begins, in place of the one before. */
    public void start(int number) {
        start(number, maker);
    }

    /** The same of another make. */
    public void start(int number, Maker its) {
        RandomGenerator random = new SplittableRandom(chance.nextLong());
        Peer peer = new Peer(
                queue,
                network,
                number,
                out -> its.make(
                        settings.apply(number),
                        random,
                        queue.now(),
                        EPOCH_MS + queue.now() / 1000 + clockMs[number],
                        out));
        if (peers[number] != null) {
            ended = ended.plus(peers[number].fleet());
        }
        peers[number] = peer;
        judge.began(number, queue.now());
        peer.fleet().listen(new Fleet.Listener() {
            @Override
            public void changed(Change change) {
                judge.changed(number, change);
                watches.forEach(w -> w.changed(number, change));
            }

            @Override
            public void reach(long now, Reachability reach, boolean settled, long digest) {
                watches.forEach(w -> w.reach(number, now, reach, settled));
            }
        });
        peer.start();
    }

    /** SIGKILL. */
    public void kill(int number) {
        if (up(number)) {
            peers[number].kill();
            judge.ended(number, queue.now());
        }
    }

    /** It says that it leaves; whoever owns it kills it later. */
    public void leave(int number) {
        if (up(number)) {
            judge.leaves(number, queue.now());
            peers[number].leave();
        }
    }

    /** SIGSTOP, for so long. */
    public void stop(int number, long us) {
        stop(number);
        Peer stopped = peers[number];
        queue.after(us, () -> {
            if (peers[number] == stopped) {
                go(number);
            }
        });
    }

    void stop(int number) {
        if (up(number)) {
            peers[number].stop();
            judge.stands(number, true, queue.now());
        }
    }

    void go(int number) {
        if (up(number) && peers[number].still()) {
            judge.stands(number, false, queue.now());
            peers[number].go();
        }
    }

    @Override
    public void clockJumps(int number, long ms) {
        clockMs[number] += ms;
    }

    // ---- what happens on the way -----------------------------------------------------------------------

    @Override
    public End beginFault(
            BitSet from, BitSet to, double lose, double twice, double overtaken, double change, Range late) {
        DatagramFaults.DatagramFault t =
                new DatagramFaults.DatagramFault(from, to, lose, twice, overtaken, change, late);
        network.troubles().begin(t);
        links(t.cut() ? 1 : 0);
        return () -> {
            network.troubles().end(t);
            links(t.cut() ? -1 : 0);
        };
    }

    private void links(int more) {
        cuts += more;
        if (more != 0) {
            judge.linksChanged(queue.now());
        }
    }

    @Override
    public void repeat(long rememberUs, double perSecond, long us) {
        network.troubles().remember(true);
        queue.after(rememberUs, () -> {
            network.troubles().remember(false);
            every(perSecond, us, () -> {
                DatagramFaults.Past p = network.troubles().past();
                if (p != null) {
                    network.deliver(p.from(), p.to(), p.bytes(), 0);
                }
            });
        });
    }

    @Override
    public void strangers(double perSecond, long us) {
        every(
                perSecond,
                us,
                () -> network.deliver(
                        PeerNetwork.STRANGER,
                        network.troubles().anybody(peers.length),
                        network.troubles().randomBytes(),
                        0));
    }

    /** A datagram comes to a member from a peer's address, or from nobody's: -1. */
    public void inject(int from, int to, byte[] bytes) {
        network.deliver(from, to, bytes, 0);
    }

    private void every(double perSecond, long us, Runnable what) {
        long until = queue.now() + us;
        long[] gap = {(long) Math.max(1, 1e6 / perSecond)};
        queue.after(gap[0], new Runnable() {
            @Override
            public void run() {
                if (queue.now() < until) {
                    what.run();
                    queue.after(gap[0], this);
                }
            }
        });
    }

    // ---- what comes of it ------------------------------------------------------------------------------

    /** All members' so far, ended ones included. */
    public Figures figures() {
        Figures sum = ended;
        for (Peer p : peers) {
            sum = p == null ? sum : sum.plus(p.fleet());
        }
        return sum;
    }

    /** Datagrams that members did not read, by reason. */
    public long dropped(DropReason why) {
        long sum = 0;
        for (Peer p : peers) {
            sum += p == null ? 0 : p.fleet().drops().getOrDefault(why, 0L);
        }
        return sum;
    }

    /** How it went so far. */
    public FleetReport report() {
        Figures f = figures();
        return new FleetReport(judge.breaches(), judge.breachCount(), f, members(), queue.now(), even());
    }

    /** Whether all who run, and do not stand still, hold one view. */
    public boolean even() {
        long digest = 0;
        boolean any = false;
        for (Peer p : peers) {
            if (p != null && p.alive() && !p.still()) {
                if (any && p.fleet().digest() != digest) {
                    return false;
                }
                digest = p.fleet().digest();
                any = true;
            }
        }
        return true;
    }

    /** How many of those who run believe this of a member. */
    public int believing(int member, MemberState state) {
        int n = 0;
        for (Peer p : peers) {
            n += p != null && p.alive() && p.fleet().state(member) == state ? 1 : 0;
        }
        return n;
    }
}
