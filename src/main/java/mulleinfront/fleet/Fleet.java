package mulleinfront.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import mulleinfront.fleet.Change.Cause;
import mulleinfront.fleet.Datagram.Kind;
import mulleinfront.fleet.TokenBucket.Priority;

/**
 * One member of the fleet: holds the local view of all members and runs the failure detector. It has no clock, thread
 * or I/O: its owner calls it on one thread with datagrams and the time, and sends the datagrams that it produces.
 *
 * <p>In each period it probes one other member with a ping. If no ack arrives, it pings the target again and asks other
 * members for indirect probes. A target that answers none of them is suspected, and is recorded as failed unless it
 * refutes the suspicion in time (SWIM, DSN 2002). A member that misses expected acks lowers its own local health and
 * so gives others more time, and after a stall it ignores the acks missed during the stall (Lifeguard, DSN 2018).
 *
 * <p>Updates about members are piggybacked on pings, acks and requests for indirect probes, and sent in gossip rounds
 * while there are any. Views that still differ are reconciled by anti-entropy over a tree of digests; each of its
 * messages is complete in itself, so any of them may be lost. Failed members are pinged at long intervals, so that the
 * two sides of a network partition find each other after it heals.
 */
public class Fleet {
    /**
     * Mean interval between pings to peers that were never heard from: it starts at this value and grows by
     * {@link #JOIN_INTERVAL_GROWTH} each time, up to {@link #MAX_JOIN_INTERVAL_US}.
     */
    private static final long INITIAL_JOIN_INTERVAL_US = 500_000;

    private static final long MAX_JOIN_INTERVAL_US = 5_000_000;
    private static final double JOIN_INTERVAL_GROWTH = 1.5;
    /** Peers never heard from that are pinged at once. */
    private static final int JOIN_PINGS = 3;
    /** Gossip messages that a leaving member sends at once. */
    private static final int LEAVE_MESSAGES = 8;
    /** Indirect probes for other members that may be pending at once. */
    private static final int MAX_INDIRECT_PROBES = 64;
    /** A timer late by more than the period divided by this number indicates a stall of this instance. */
    private static final int STALL_PERIOD_DIVISOR = 4;
    /** Largest rate of pings to one failed or unknown peer from all members together. */
    private static final double MAX_RECONNECT_PINGS_PER_S = 1;

    /** Sends datagrams and sets the timer; called only during a call to the fleet. */
    public interface Actions {
        /**
         * Sends a datagram; it may be lost.
         *
         * @param member number of a listed peer
         * @param bytes a reused buffer: it must be read or copied before this method returns
         */
        void send(int member, byte[] bytes, int length);

        /** Requests a call to {@link Fleet#onTimer} at this time or soon after. */
        void wakeAt(long atUs);
    }

    /** Notified of changes in the order of their numbers; must not call methods that change the fleet. */
    public interface Listener {
        /** The recorded state of a member, or the process that it belongs to, has changed. */
        void changed(Change change);

        /** The reachable part of the fleet has changed, or the view has converged or ceased to be converged. */
        default void reachabilityChanged(long now, Reachability reachability, boolean converged, long digest) {}

        /** Two members have the same name, which is a configuration error. */
        default void duplicateName(long now, String name, int first, int second) {}

        /** This instance stalled for this time, microseconds. */
        default void stalled(long now, long stallUs) {}
    }

    private final FleetSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final List<Listener> listeners = new ArrayList<>();
    private final Members members;
    private final GossipQueue gossipQueue = new GossipQueue();
    private final Suspicions suspicions = new Suspicions();
    private final LocalHealth localHealth;
    private final TokenBucket tokenBucket;
    private final Convergence convergence;
    private final AntiEntropy antiEntropy;
    private final Datagram.Writer writer;
    private final Datagram.Reader reader;
    private final Map<Integer, String> names = new HashMap<>();
    private final BitSet nameReceivedBy = new BitSet();
    private final Map<DropReason, Long> dropCounts = new EnumMap<>(DropReason.class);
    private final int[] selectedMembers = new int[Datagram.MAX_BYTES / Datagram.UPDATE_BYTES];
    private long incarnation;
    private boolean leaving;
    private long lastChange;
    private long sentDatagrams;
    private long sentBytes;
    private long receivedDatagrams;

    /** Other members in the order in which they are probed. */
    private int[] probeOrder = new int[0];

    private int probeOrderSize;
    private int probeOrderPosition;
    private Probe probe;
    private final Map<Integer, IndirectProbe> indirectProbes = new HashMap<>();
    private long nextProbeAt;
    private long nextGossipAt;
    private long nextReconnectAt;
    private long nextJoinAt;
    private long joinIntervalUs = INITIAL_JOIN_INTERVAL_US;
    private long timerAt = Long.MAX_VALUE;

    /** The probe of the current period, waiting for its ack. */
    private static final class Probe {
        private final int target;
        private final int nonce;
        private final long indirectAt;
        private final long deadlineAt;
        private boolean indirectSent;
        private int helperCount;
        private int nackCount;

        Probe(int target, int nonce, long indirectAt, long deadlineAt) {
            this.target = target;
            this.nonce = nonce;
            this.indirectAt = indirectAt;
            this.deadlineAt = deadlineAt;
        }
    }

    /** An indirect probe on behalf of another member, the origin. */
    private record IndirectProbe(int origin, int nonce, int target, long deadlineAt) {}

    /**
     * @param settings parameters of this member
     * @param random source of randomness of this member only
     * @param now time of a monotonic clock with any origin, microseconds
     * @param wallClockMs wall-clock time of this machine, milliseconds since 1970
     */
    public Fleet(FleetSettings settings, RandomGenerator random, long now, long wallClockMs, Actions actions) {
        this(settings, Datagram.VERSION, random, now, wallClockMs, actions);
    }

    /** Creates a member with a given protocol version. */
    Fleet(FleetSettings settings, int version, RandomGenerator random, long now, long wallClockMs, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        this.members = new Members(settings.peers());
        this.localHealth = new LocalHealth(settings.localHealth());
        this.tokenBucket = new TokenBucket(settings.datagramsPerS(), settings.bytesPerS(), now);
        this.convergence = new Convergence(settings, members, now);
        int fleetHash = Datagram.fleetHash(settings.fleet());
        this.writer = new Datagram.Writer(version, fleetHash, settings.number());
        this.reader = new Datagram.Reader(version, fleetHash);
        this.antiEntropy = new AntiEntropy(this, members, random);
        this.incarnation = Incarnation.ofProcessStart(wallClockMs);
        this.nextProbeAt = now + (long) (settings.periodUs() * random.nextDouble());
        this.nextReconnectAt = now + settings.reconnectIntervalUs();
        this.nextJoinAt = now;
        this.nextGossipAt = now;
    }

    /** Adds a listener, which is notified of all later changes. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Joins the fleet. */
    public void start(long now) {
        timerAt = Long.MAX_VALUE;
        members.record(settings.number(), incarnation, MemberState.ALIVE, settings.number(), now);
        notifyChange(now, settings.number(), MemberState.UNKNOWN, false, Cause.OWN);
        scheduleTimer(now);
    }

    /** Announces that this member leaves on purpose; it keeps answering until its process ends. */
    public void leave(long now) {
        if (leaving) {
            return;
        }
        leaving = true;
        probe = null;
        record(settings.number(), incarnation, MemberState.LEFT, settings.number(), Cause.OWN, now);
        for (int i = 0; i < LEAVE_MESSAGES; i++) {
            int to = randomPresentPeer(-1);
            if (to >= 0) {
                sendGossip(to, now);
            }
        }
        scheduleTimer(now);
    }

    /** Joins the fleet again after {@link #leave}, in the same process. */
    public void rejoin(long now) {
        if (leaving) {
            leaving = false;
            incarnation = Incarnation.next(incarnation);
            nextProbeAt = now;
            record(settings.number(), incarnation, MemberState.ALIVE, settings.number(), Cause.OWN, now);
            scheduleTimer(now);
        }
    }

    // ---- local view ----------------------------------------------------------------------------------

    /** Number of this member. */
    public int number() {
        return settings.number();
    }

    /** Size of the view by member number from 0: listed peers, and higher numbers found in updates. */
    public int size() {
        return members.size();
    }

    public MemberState state(int member) {
        return members.state(member);
    }

    /** Incarnation of a member; 0 if it was never heard from. */
    public long incarnation(int member) {
        return members.incarnation(member);
    }

    /** Start time of a member's process by its own clock, milliseconds since 1970; 0 if it was never heard from. */
    public long startedMs(int member) {
        return Incarnation.startedMs(members.incarnation(member));
    }

    /** Time of the last change of a member's recorded state, microseconds of the owner's clock. */
    public long stateSince(int member) {
        return members.stateSince(member);
    }

    /** The member from which the recorded state came. */
    public int sourceMember(int member) {
        return members.sourceMember(member);
    }

    /** Name of a member; null if this instance has not received it. */
    public String name(int member) {
        return member == settings.number() ? settings.name() : names.get(member);
    }

    /** Number of members recorded in this state. */
    public int count(MemberState state) {
        return members.count(state);
    }

    /** Digest of the local view; equal views have equal digests. */
    public long digest() {
        return members.digest();
    }

    /** Number of the last change; comparing it tells whether the view has changed since. */
    public long lastChange() {
        return lastChange;
    }

    /** Number of members whose last message carried a view equal to the local one, including this member. */
    public int agreeingMembers() {
        return convergence.agreeingMembers() + 1;
    }

    /** Whether the view has been stable for some time and the members heard from since then have an equal view. */
    public boolean converged() {
        return convergence.converged();
    }

    /** The part of the last converged fleet that is reachable. */
    public Reachability reachability() {
        return convergence.reachability();
    }

    /**
     * Number of members that may be using the endpoints now: the present ones, and those not seen that may only be
     * partitioned.
     */
    public int liveMembers(long now) {
        return convergence.liveMembers(now);
    }

    /** Local health score of this member: 0 when healthy, higher when expected messages are missing. */
    public int localHealth() {
        return localHealth.score();
    }

    /** Number of discarded datagrams, by reason. */
    public Map<DropReason, Long> dropCounts() {
        return new EnumMap<>(dropCounts);
    }

    public long sentDatagrams() {
        return sentDatagrams;
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** Number of valid datagrams received. */
    public long receivedDatagrams() {
        return receivedDatagrams;
    }

    /** Number of datagrams that the token bucket did not allow. */
    public long rateLimitedDatagrams() {
        return tokenBucket.rejectedDatagrams();
    }

    /**
     * Appends the state that determines what this member does next, except for randomness and the token bucket: members
     * with equal descriptions behave alike. Times are relative to now.
     */
    void describe(StringBuilder description, long now) {
        description
                .append(incarnation)
                .append(leaving ? 'l' : 'h')
                .append(localHealth.score())
                .append(' ')
                .append(joinIntervalUs);
        for (long time :
                new long[] {nextProbeAt, nextGossipAt, nextReconnectAt, nextJoinAt, timerAt, suspicions.nextDeadline()
                }) {
            description.append(',').append(time == Long.MAX_VALUE ? -1 : Math.max(-1, time - now));
        }
        for (int member = 0; member < members.size(); member++) {
            description
                    .append(';')
                    .append(members.state(member).ordinal())
                    .append('/')
                    .append(members.incarnation(member))
                    .append('/')
                    .append(suspicions.lastConfirmingMember(member))
                    .append('/')
                    .append(gossipQueue.sendCount(member));
        }
        if (probe != null) {
            description
                    .append('p')
                    .append(probe.target)
                    .append(probe.indirectSent)
                    .append(probe.helperCount)
                    .append(probe.nackCount)
                    .append(probe.deadlineAt - now);
        }
        indirectProbes.values().stream()
                .sorted(Comparator.comparingLong(IndirectProbe::deadlineAt))
                .forEach(indirectProbe -> description
                        .append('r')
                        .append(indirectProbe.origin())
                        .append(indirectProbe.target())
                        .append(indirectProbe.deadlineAt() - now));
        description.append('o').append(probeOrderPosition);
        for (int i = 0; i < probeOrderSize; i++) {
            description.append(probeOrder[i]);
        }
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** Called when the requested time has come; an early or additional call does no harm. */
    public void onTimer(long now) {
        detectStall(now);
        if (now >= timerAt) {
            timerAt = Long.MAX_VALUE;
        }
        if (probe != null && now >= probe.deadlineAt) {
            onProbeTimeout(now);
        } else if (probe != null && !probe.indirectSent && now >= probe.indirectAt) {
            sendIndirectProbes(now);
        }
        if (now >= nextProbeAt && !leaving) {
            startProbe(now);
        }
        for (int member; (member = suspicions.expireNext(now)) >= 0; ) {
            record(
                    member,
                    members.incarnation(member),
                    MemberState.FAILED,
                    members.sourceMember(member),
                    Cause.TIME,
                    now);
        }
        if (!indirectProbes.isEmpty()) {
            indirectProbes
                    .values()
                    .removeIf(indirectProbe -> now >= indirectProbe.deadlineAt() && sendNack(indirectProbe, now));
        }
        if (now >= nextGossipAt && !gossipQueue.isEmpty()) {
            nextGossipAt = now + settings.gossipIntervalUs();
            sendGossipRound(now);
        }
        if (now >= nextJoinAt && isJoining()) {
            pingUnknownPeers(now);
        }
        if (!leaving && now >= nextReconnectAt) {
            pingAbsentPeer(now);
        }
        updateConvergence(now);
        scheduleTimer(now);
    }

    /** Detects a stall of this instance by an overdue timer; missed acks of that time must not cause suspicions. */
    private void detectStall(long now) {
        long overdueUs = now - timerAt;
        if (timerAt == Long.MAX_VALUE || overdueUs <= settings.periodUs() / STALL_PERIOD_DIVISOR) {
            return;
        }
        timerAt = now;
        listeners.forEach(listener -> listener.stalled(now, overdueUs));
        if (!settings.localHealth()) {
            return;
        }
        localHealth.degrade((int) Math.min(LocalHealth.MAX_SCORE, 1 + overdueUs / settings.periodUs()));
        suspicions.extendDeadlines(overdueUs);
        convergence.onStall(now);
        probe = null;
        nextProbeAt = Math.max(nextProbeAt, now);
        indirectProbes.clear();
    }

    private void scheduleTimer(long now) {
        long nextAt = Math.min(suspicions.nextDeadline(), convergence.nextAt(now));
        if (probe != null) {
            nextAt = Math.min(nextAt, probe.indirectSent ? probe.deadlineAt : probe.indirectAt);
        }
        if (!gossipQueue.isEmpty()) {
            nextAt = Math.min(nextAt, nextGossipAt);
        }
        if (!leaving) {
            nextAt = Math.min(nextAt, Math.min(nextProbeAt, nextReconnectAt));
            nextAt = isJoining() ? Math.min(nextAt, nextJoinAt) : nextAt;
        }
        for (IndirectProbe indirectProbe : indirectProbes.values()) {
            nextAt = Math.min(nextAt, indirectProbe.deadlineAt());
        }
        nextAt = Math.max(nextAt, now + 1);
        if (nextAt < timerAt) {
            timerAt = nextAt;
            actions.wakeAt(nextAt);
        }
    }

    // ---- probes --------------------------------------------------------------------------------------

    private void startProbe(long now) {
        nextProbeAt = now + localHealth.scaled(settings.periodUs());
        int target = nextProbeTarget();
        if (target < 0 || !tokenBucket.allows(Priority.PROBE, now)) {
            return;
        }
        probe = new Probe(
                target,
                random.nextInt(),
                now + localHealth.scaled(settings.ackTimeoutUs()),
                now + localHealth.scaled(settings.probeTimeoutUs()));
        sendPing(target, probe.nonce, now);
    }

    /** Next present member in the probe order, which is shuffled again after each round; -1 if there is none. */
    private int nextProbeTarget() {
        for (int pass = 0; pass < 2; pass++) {
            while (probeOrderPosition < probeOrderSize) {
                int member = probeOrder[probeOrderPosition++];
                if (members.state(member).isPresent()) {
                    return member;
                }
            }
            shuffleProbeOrder();
        }
        return -1;
    }

    private void shuffleProbeOrder() {
        probeOrderSize = 0;
        probeOrderPosition = 0;
        for (int member = 0; member < settings.peers(); member++) {
            if (members.state(member).isPresent()) {
                insertIntoProbeOrder(member);
            }
        }
    }

    /** Inserts a member at a random position of the rest of the probe order. */
    private void insertIntoProbeOrder(int member) {
        if (member == settings.number() || member >= settings.peers()) {
            return;
        }
        if (probeOrderSize == probeOrder.length) {
            probeOrder = Arrays.copyOf(probeOrder, Math.max(8, 2 * probeOrderSize));
        }
        int position = probeOrderPosition + random.nextInt(probeOrderSize - probeOrderPosition + 1);
        probeOrder[probeOrderSize++] = probeOrder[position];
        probeOrder[position] = member;
    }

    private void sendPing(int to, int nonce, long now) {
        beginDatagram(Kind.PING, to).putInt(nonce).putName(nameReceivedBy.get(to) ? null : settings.name());
        sendDatagram(to, now, true);
    }

    private void sendIndirectProbes(long now) {
        probe.indirectSent = true;
        if (tokenBucket.allows(Priority.PROBE, now)) {
            sendPing(probe.target, probe.nonce, now);
        }
        BitSet chosen = new BitSet();
        for (int i = 0; i < settings.indirectProbes() && tokenBucket.allows(Priority.GOSSIP, now); i++) {
            int helper = randomPresentPeer(probe.target);
            if (helper >= 0 && !chosen.get(helper)) {
                chosen.set(helper);
                probe.helperCount++;
                beginDatagram(Kind.ASK, helper).putInt(probe.nonce).putShort(probe.target);
                sendDatagram(helper, now, true);
            }
        }
    }

    /** Ends a probe without any ack. If no helper sent a nack either, the fault may be at this member. */
    private void onProbeTimeout(long now) {
        Probe unanswered = probe;
        probe = null;
        if (unanswered.nackCount == 0) {
            localHealth.degrade(1);
        }
        MemberState recordedState = members.state(unanswered.target);
        if (recordedState == MemberState.ALIVE || recordedState == MemberState.SUSPECTED) {
            applyUpdate(
                    unanswered.target,
                    members.incarnation(unanswered.target),
                    settings.suspicion() ? MemberState.SUSPECTED : MemberState.FAILED,
                    settings.number(),
                    Cause.NO_ANSWER,
                    now);
        }
    }

    private void onAck(int target, int nonce) {
        if (probe != null && probe.nonce == nonce && probe.target == target) {
            probe = null;
            localHealth.recover();
        }
    }

    private boolean sendNack(IndirectProbe indirectProbe, long now) {
        if (tokenBucket.allows(Priority.GOSSIP, now)) {
            beginDatagram(Kind.NACK, indirectProbe.origin())
                    .putInt(indirectProbe.nonce())
                    .putShort(indirectProbe.target());
            sendDatagram(indirectProbe.origin(), now, false);
        }
        return true;
    }

    /** Pings peers that were never heard from: often at first, and for as long as no other member is present. */
    private void pingUnknownPeers(long now) {
        nextJoinAt = now + (long) (joinIntervalUs * (0.5 + random.nextDouble()));
        joinIntervalUs = (long) Math.min(MAX_JOIN_INTERVAL_US, joinIntervalUs * JOIN_INTERVAL_GROWTH);
        for (int i = 0; i < JOIN_PINGS && members.count(MemberState.UNKNOWN) > 0; i++) {
            pingRandomPeer(member -> members.state(member) == MemberState.UNKNOWN, now);
        }
        if (members.presentCount() == 1 && members.count(MemberState.UNKNOWN) == 0) {
            pingRandomPeer(member -> members.state(member) == MemberState.FAILED, now);
        }
    }

    private boolean isJoining() {
        return !leaving
                && (members.presentCount() == 1
                        || joinIntervalUs < MAX_JOIN_INTERVAL_US && members.count(MemberState.UNKNOWN) > 0);
    }

    /** Pings one failed or unknown peer: it may be back, or a network partition may have healed. */
    private void pingAbsentPeer(long now) {
        int absent = members.count(MemberState.FAILED) + members.count(MemberState.UNKNOWN);
        double intervalUs = absent == 0 ? 0 : members.presentCount() / (absent * MAX_RECONNECT_PINGS_PER_S) * 1e6;
        nextReconnectAt =
                now + (long) (Math.max(settings.reconnectIntervalUs(), intervalUs) * (0.5 + random.nextDouble()));
        if (absent > 0) {
            pingRandomPeer(
                    member ->
                            members.state(member) == MemberState.FAILED || members.state(member) == MemberState.UNKNOWN,
                    now);
        }
    }

    /** Pings the first matching peer from a random position of the list; no probe waits for its ack. */
    private void pingRandomPeer(IntPredicate matches, long now) {
        int first = random.nextInt(settings.peers());
        for (int i = 0; i < settings.peers(); i++) {
            int member = (first + i) % settings.peers();
            if (matches.test(member)) {
                if (tokenBucket.allows(Priority.PROBE, now)) {
                    sendPing(member, random.nextInt(), now);
                }
                return;
            }
        }
    }

    // ---- messages ------------------------------------------------------------------------------------

    /**
     * Handles a received datagram.
     *
     * @param from number of the peer whose address it came from; -1 if the address belongs to no peer
     */
    public void onDatagram(long now, int from, byte[] bytes, int length) {
        detectStall(now);
        DropReason reason = reader.read(bytes, length);
        if (reason == null) {
            reason = reader.sender == settings.number()
                    ? DropReason.OUR_NUMBER
                    : from < 0
                            ? DropReason.STRANGER
                            : reader.sender != from
                                    ? DropReason.NOT_ITS_ADDRESS
                                    : reader.recipient != settings.number() ? DropReason.NOT_FOR_US : null;
        }
        if (reason != null) {
            dropCounts.merge(reason, 1L, Long::sum);
            return;
        }
        receivedDatagrams++;
        applySenderState(now, from);
        switch (reader.kind) {
            case PING -> {
                recordName(now, from);
                int nonce = reader.nonce;
                applyUpdates(now);
                if (tokenBucket.allows(Priority.PROBE, now)) {
                    beginDatagram(Kind.ACK, from)
                            .putInt(nonce)
                            .putName(nameReceivedBy.get(from) ? null : settings.name());
                    sendDatagram(from, now, true);
                }
            }
            case ACK -> {
                nameReceivedBy.set(from);
                recordName(now, from);
                applyUpdates(now);
                onAck(from, reader.nonce);
                onIndirectProbeAck(now, from);
            }
            case ASK -> {
                int target = reader.target;
                int nonce = reader.nonce;
                applyUpdates(now);
                onIndirectProbeRequest(now, from, target, nonce);
            }
            case ACK_FOR -> {
                applyUpdate(reader.target, reader.targetIncarnation, MemberState.ALIVE, from, Cause.HEARSAY, now);
                onAck(reader.target, reader.nonce);
            }
            case NACK -> {
                if (probe != null && probe.nonce == reader.nonce && probe.target == reader.target) {
                    probe.nackCount = Math.min(probe.helperCount, probe.nackCount + 1);
                }
            }
            case GOSSIP -> applyUpdates(now);
            case NODES -> antiEntropy.onNodes(now, from, reader);
            case RECORDS -> antiEntropy.onRecords(now, from, reader);
        }
        compareViews(now, from);
        updateConvergence(now);
        scheduleTimer(now);
    }

    /** Applies the state of the sender, which each message carries. */
    private void applySenderState(long now, int from) {
        MemberState reportedState = reader.leaving ? MemberState.LEFT : MemberState.ALIVE;
        applyUpdate(from, reader.incarnation, reportedState, from, Cause.ITS_WORD, now);
        boolean mustRefute = members.state(from) == MemberState.SUSPECTED || members.state(from) == MemberState.FAILED;
        if (mustRefute && reader.kind != Kind.PING && tokenBucket.allows(Priority.GOSSIP, now)) {
            // The sender is alive, but only its own refutation can clear the recorded state, so it must learn of it. A
            // ping is answered with an ack, which carries the recorded state.
            sendGossip(from, now);
        }
    }

    /** Compares the sender's view as of this message with the current local view. */
    private void compareViews(long now, int from) {
        boolean sameView = reader.viewDigest == (int) members.digest();
        convergence.onMessage(now, from, sameView);
        if (!sameView && reader.kind != Kind.NODES && reader.kind != Kind.RECORDS) {
            antiEntropy.onDifferentView(now, from);
        }
    }

    private void recordName(long now, int from) {
        if (reader.name == null || reader.name.equals(names.put(from, reader.name))) {
            return;
        }
        String name = reader.name;
        for (int member = 0; member < members.size(); member++) {
            if (member != from && members.state(member).isPresent() && name.equals(name(member))) {
                int other = member;
                listeners.forEach(listener -> listener.duplicateName(now, name, other, from));
            }
        }
    }

    private void applyUpdates(long now) {
        for (int i = 0; i < reader.entryCount; i++) {
            applyUpdate(
                    reader.entryMember[i],
                    reader.entryIncarnation[i],
                    reader.entryState[i],
                    reader.entrySource[i],
                    Cause.HEARSAY,
                    now);
        }
    }

    private void onIndirectProbeRequest(long now, int origin, int target, int nonce) {
        if (target == settings.number()) {
            sendIndirectAck(now, origin, nonce, target);
        } else if (target < settings.peers()
                && indirectProbes.size() < MAX_INDIRECT_PROBES
                && tokenBucket.allows(Priority.GOSSIP, now)) {
            int ownNonce = random.nextInt();
            indirectProbes.put(ownNonce, new IndirectProbe(origin, nonce, target, now + settings.ackTimeoutUs()));
            sendPing(target, ownNonce, now);
        }
    }

    private void onIndirectProbeAck(long now, int from) {
        IndirectProbe indirectProbe = indirectProbes.get(reader.nonce);
        if (indirectProbe != null && indirectProbe.target() == from) {
            indirectProbes.remove(reader.nonce);
            sendIndirectAck(now, indirectProbe.origin(), indirectProbe.nonce(), from);
        }
    }

    private void sendIndirectAck(long now, int to, int nonce, int target) {
        if (members.incarnation(target) != Incarnation.NONE && tokenBucket.allows(Priority.GOSSIP, now)) {
            beginDatagram(Kind.ACK_FOR, to).putInt(nonce).putShort(target).putLong(members.incarnation(target));
            sendDatagram(to, now, false);
        }
    }

    // ---- gossip --------------------------------------------------------------------------------------

    /** Sends gossip to some present members. */
    private void sendGossipRound(long now) {
        for (int i = 0; i < settings.gossipFanout() && !gossipQueue.isEmpty(); i++) {
            int to = randomPresentPeer(-1);
            if (to >= 0 && tokenBucket.allows(Priority.GOSSIP, now)) {
                sendGossip(to, now);
            }
        }
    }

    private void sendGossip(int to, long now) {
        beginDatagram(Kind.GOSSIP, to);
        sendDatagram(to, now, true);
    }

    /** A random present peer other than this member and the excluded one; -1 if none was found. */
    private int randomPresentPeer(int excluded) {
        for (int attempt = 0; attempt < 2 * settings.peers() && members.presentCount() > 1; attempt++) {
            // The probe order holds mostly present members, and choosing from it is as uniform as from all peers.
            int member = probeOrderSize > 0 && attempt < probeOrderSize
                    ? probeOrder[random.nextInt(probeOrderSize)]
                    : random.nextInt(settings.peers());
            if (member != settings.number()
                    && member != excluded
                    && members.state(member).isPresent()) {
                return member;
            }
        }
        return -1;
    }

    Datagram.Writer beginDatagram(Kind kind, int to) {
        return writer.begin(kind, to, incarnation, leaving, (int) members.digest());
    }

    boolean allowsComparison(long now) {
        return tokenBucket.allows(Priority.ANTI_ENTROPY, now);
    }

    long comparisonIntervalUs() {
        return settings.comparisonIntervalUs();
    }

    /** Sends the datagram that was begun, with piggybacked updates if they are wanted and fit. */
    void sendDatagram(int to, long now, boolean withUpdates) {
        if (withUpdates) {
            MemberState recordedState = members.state(to);
            boolean mustRefute = recordedState == MemberState.SUSPECTED || recordedState == MemberState.FAILED;
            if (mustRefute && writer.remainingBytes() >= Datagram.UPDATE_BYTES) {
                putUpdate(to);
            }
            int selected = gossipQueue.select(
                    selectedMembers,
                    writer.remainingBytes() / Datagram.UPDATE_BYTES,
                    settings.updateTransmissions(members.presentCount()));
            for (int i = 0; i < selected; i++) {
                putUpdate(selectedMembers[i]);
            }
        }
        int length = writer.finish();
        tokenBucket.spend(length);
        sentDatagrams++;
        sentBytes += length;
        actions.send(to, writer.bytes, length);
    }

    private void putUpdate(int member) {
        int confirmingMember = suspicions.lastConfirmingMember(member);
        writer.putUpdate(
                member,
                members.state(member),
                confirmingMember >= 0 ? confirmingMember : members.sourceMember(member),
                members.incarnation(member));
    }

    // ---- updates of the view -------------------------------------------------------------------------

    /**
     * Applies an update about a member if it is newer than the recorded state, or confirms a suspicion. A record of
     * anti-entropy confirms none, since it doesn't name the member that suspects.
     */
    void applyUpdate(int member, long memberIncarnation, MemberState state, int source, Cause cause, long now) {
        if (member == settings.number()) {
            applyOwnUpdate(memberIncarnation, state, now);
        } else if (isNewer(member, memberIncarnation, state)) {
            record(member, memberIncarnation, state, source, cause, now);
        } else if (state == MemberState.SUSPECTED
                && cause != Cause.EXCHANGE
                && memberIncarnation == members.incarnation(member)
                && suspicions.confirm(member, source)) {
            gossipQueue.add(member);
        }
    }

    /** Whether an update is newer than the recorded state. */
    boolean isNewer(int member, long memberIncarnation, MemberState state) {
        return members.isNewer(member, memberIncarnation, state);
    }

    private void record(int member, long memberIncarnation, MemberState state, int source, Cause cause, long now) {
        MemberState previousState = members.state(member);
        boolean newProcess = previousState != MemberState.UNKNOWN
                && !Incarnation.sameProcess(memberIncarnation, members.incarnation(member));
        long previousDigest = members.digest();
        members.record(member, memberIncarnation, state, source, now);
        if (state == MemberState.SUSPECTED) {
            long minTimeoutUs = settings.minSuspicionUs(members.presentCount());
            // The suspected member and the source can't confirm. The limit is one below the number of members that are
            // left, and 0 for up to three present members: the shortest timeout then applies from the start.
            int neededConfirmations = Math.max(0, Math.min(settings.confirmations(), members.presentCount() - 3));
            suspicions.begin(
                    member,
                    source,
                    now,
                    minTimeoutUs,
                    (long) (neededConfirmations == 0 ? minTimeoutUs : settings.maxSuspicionRatio() * minTimeoutUs),
                    neededConfirmations);
        } else {
            suspicions.end(member);
        }
        if (newProcess) {
            nameReceivedBy.clear(member);
        }
        gossipQueue.add(member);
        if (state.isPresent() && !previousState.isPresent()) {
            insertIntoProbeOrder(member);
        }
        if (previousDigest != members.digest()) {
            convergence.onViewChanged(now, member, previousState, state);
        }
        if (previousState != state || newProcess) {
            notifyChange(now, member, previousState, newProcess, cause);
        }
    }

    private void notifyChange(long now, int member, MemberState previousState, boolean newProcess, Cause cause) {
        Change change = new Change(
                ++lastChange,
                now,
                member,
                previousState,
                members.state(member),
                members.incarnation(member),
                newProcess,
                members.sourceMember(member),
                cause,
                members.digest());
        listeners.forEach(listener -> listener.changed(change));
    }

    /**
     * Handles an update about this member. A higher incarnation than its own comes from an earlier process, before the
     * clock went back, and this member continues after it. A suspicion, failure or leave at its own incarnation is
     * refuted; it lowers the local health, because it shows that messages of this member did not arrive.
     */
    void applyOwnUpdate(long reportedIncarnation, MemberState state, long now) {
        long ownIncarnation = incarnation;
        if (reportedIncarnation > ownIncarnation) {
            incarnation = Incarnation.ofNextProcess(reportedIncarnation);
        } else if (reportedIncarnation == ownIncarnation && state.ordinal() > MemberState.ALIVE.ordinal() && !leaving) {
            incarnation = Incarnation.next(ownIncarnation);
            localHealth.degrade(1);
        } else {
            return;
        }
        record(
                settings.number(),
                incarnation,
                leaving ? MemberState.LEFT : MemberState.ALIVE,
                settings.number(),
                Cause.OWN,
                now);
    }

    private void updateConvergence(long now) {
        if (convergence.update(now, suspicions.isEmpty())) {
            listeners.forEach(listener -> listener.reachabilityChanged(
                    now, convergence.reachability(), convergence.converged(), members.digest()));
        }
    }
}
