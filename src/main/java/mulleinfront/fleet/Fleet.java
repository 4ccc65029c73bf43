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
import mulleinfront.fleet.Allowance.Use;
import mulleinfront.fleet.Change.Cause;
import mulleinfront.fleet.Datagram.Kind;

/**
 * One member of a fleet: who is there, who has failed, who left. It has no clock, thread or I/O; whoever owns it
 * tells it of datagrams and of time, on one thread, and sends what it is given.
 *
 * <p>In each period it pings one other. Who does not answer is pinged again and by some others; who answers none
 * of them is suspected, and has failed unless it says in time that it lives (SWIM, DSN 2002). A member that does
 * not hear what it should doubts itself first and gives others more time, and where it stood still it judges
 * nobody by what it missed (Lifeguard, DSN 2018). Words about members travel with all messages and by rounds of
 * their own while there is news; where two views differ all the same they are compared from the top of a tree of
 * digests, in messages that each stand for themselves, so that any of them may be lost. Those who have failed are
 * tried again now and then, so that two halves find each other when a cut heals.
 */
public class Fleet {
    /** Time between the first pings of one that knows nobody, and the longest, microseconds. */
    private static final long JOIN_US = 500_000;

    private static final long MOST_JOIN_US = 5_000_000;
    private static final double JOIN_GROWS = 1.5;
    /** How many listed peers it pings at a time until it knows somebody. */
    private static final int JOIN_WITH = 3;
    /** How many are told at once by one that leaves. */
    private static final int LEAVE_TO = 8;
    /** Pings for others that may be open at once. */
    private static final int MOST_RELAYS = 64;
    /** A timer later than this part of a period tells that this instance stood still. */
    private static final int STILL_PART = 4;
    /** Pings a second to one that has failed, by all together. */
    private static final double RETRIES_PER_S = 1;

    /** Where messages go. Calls come only from within a call of the fleet's. */
    public interface Actions {
        /**
         * Sends a datagram; it may be lost.
         *
         * @param member number of a listed peer
         * @param bytes read or copied before this returns
         */
        void send(int member, byte[] bytes, int length);

        /** Asks for {@link Fleet#onTimer} at this time or soon after. */
        void wakeAt(long atUs);
    }

    /** Told of what changes, in the order of the changes' numbers; may not call back into the fleet. */
    public interface Listener {
        /** A member is believed to be something else than before. */
        void changed(Change change);

        /** Another part of the last settled fleet is in reach, or the view has settled or unsettled. */
        default void reach(long now, Reachability reach, boolean settled, long digest) {}

        /** Two members have one name: a mistake in somebody's settings. */
        default void duplicateName(long now, String name, int one, int other) {}

        /** This instance stood still for so long. */
        default void stalled(long now, long us) {}
    }

    private final FleetSettings s;
    private final RandomGenerator random;
    private final Actions out;
    private final List<Listener> listeners = new ArrayList<>();
    private final Members members;
    private final Rumours rumours = new Rumours();
    private final Suspicions suspicions = new Suspicions();
    private final Health health;
    private final Allowance allowance;
    private final Settling settling;
    private final Exchange exchange;
    private final Datagram.Writer writer;
    private final Datagram.Reader reader;
    private final Map<Integer, String> names = new HashMap<>();
    private final BitSet nameTold = new BitSet();
    private final Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
    private final int[] picked = new int[Datagram.MOST / Datagram.RUMOUR];
    private long incarnation;
    private boolean leaving;
    private long changes;
    private long sentDatagrams;
    private long sentBytes;
    private long received;

    /** Others in the order in which they are pinged. */
    private int[] order = new int[0];

    private int orderSize;
    private int orderAt;
    private Probe probe;
    private final Map<Integer, Relay> relays = new HashMap<>();
    private long probeAt;
    private long newsAt;
    private long retryAt;
    private long joinAt;
    private long joinWait = JOIN_US;
    private long wakeAt = Long.MAX_VALUE;

    /** A ping that waits for its answer. */
    private static final class Probe {
        private final int target;
        private final int nonce;
        private final long askAt;
        private final long endAt;
        private boolean asked;
        private int helpers;
        private int nacks;

        Probe(int target, int nonce, long askAt, long endAt) {
            this.target = target;
            this.nonce = nonce;
            this.askAt = askAt;
            this.endAt = endAt;
        }
    }

    /** A ping for another. */
    private record Relay(int origin, int nonce, int target, long endAt) {}

    /**
     * @param settings what to go by
     * @param random this member's own chance
     * @param now any clock that never runs back, microseconds
     * @param wallClockMs milliseconds since 1970, as this machine has them
     */
    public Fleet(FleetSettings settings, RandomGenerator random, long now, long wallClockMs, Actions out) {
        this(settings, Datagram.VERSION, random, now, wallClockMs, out);
    }

    /** One that speaks another version of the wire. */
    Fleet(FleetSettings settings, int version, RandomGenerator random, long now, long wallClockMs, Actions out) {
        this.s = settings;
        this.random = random;
        this.out = out;
        this.members = new Members(settings.peers());
        this.health = new Health(settings.selfDoubt());
        this.allowance = new Allowance(settings.datagramsPerS(), settings.bytesPerS(), now);
        this.settling = new Settling(settings, members, now);
        int fleet = Datagram.fleet(settings.fleet());
        this.writer = new Datagram.Writer(version, fleet, settings.number());
        this.reader = new Datagram.Reader(version, fleet);
        this.exchange = new Exchange(this, members, random);
        this.incarnation = Incarnation.starting(wallClockMs);
        this.probeAt = now + (long) (settings.periodUs() * random.nextDouble());
        this.retryAt = now + settings.retryUs();
        this.joinAt = now;
        this.newsAt = now;
    }

    /** Tells somebody of all changes from here on. */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** Begins: others are told that this member is there. */
    public void start(long now) {
        wakeAt = Long.MAX_VALUE;
        members.set(s.number(), incarnation, MemberState.ALIVE, s.number(), now);
        told(now, s.number(), MemberState.UNKNOWN, false, Cause.OWN);
        arm(now);
    }

    /** Tells others that this member goes, on purpose; it answers them until it is gone. */
    public void leave(long now) {
        if (leaving) {
            return;
        }
        leaving = true;
        probe = null;
        set(s.number(), incarnation, MemberState.LEFT, s.number(), Cause.OWN, now);
        for (int i = 0; i < LEAVE_TO; i++) {
            int to = anyPresent(-1);
            if (to >= 0) {
                gossip(to, now);
            }
        }
        arm(now);
    }

    /** It is there again after all, before its process has ended. */
    public void rejoin(long now) {
        if (leaving) {
            leaving = false;
            incarnation = Incarnation.next(incarnation);
            probeAt = now;
            set(s.number(), incarnation, MemberState.ALIVE, s.number(), Cause.OWN, now);
            arm(now);
        }
    }

    // ---- what is known -------------------------------------------------------------------------------

    /** This member's number. */
    public int number() {
        return s.number();
    }

    /** Members from 0 up that are listed or were heard of. */
    public int size() {
        return members.size();
    }

    public MemberState state(int member) {
        return members.state(member);
    }

    /** The member's own count of its lives and refutations; 0 if it was never heard of. */
    public long incarnation(int member) {
        return members.incarnation(member);
    }

    /** When its process started by its own clock, milliseconds since 1970; 0 if it was never heard of. */
    public long startedMs(int member) {
        return Incarnation.startedMs(members.incarnation(member));
    }

    /** Since when this is believed, microseconds of the owner's clock. */
    public long since(int member) {
        return members.since(member);
    }

    /** By whose word. */
    public int sourceMember(int member) {
        return members.word(member);
    }

    /** Its name; null if it has not told it to this instance. */
    public String name(int member) {
        return member == s.number() ? s.name() : names.get(member);
    }

    /** How many are believed to be something. */
    public int count(MemberState state) {
        return members.count(state);
    }

    /** Digest of the view of who is there; equal views have equal ones. */
    public long digest() {
        return members.digest();
    }

    /** The number of the last change; whoever acts on a view may compare it. */
    public long changes() {
        return changes;
    }

    /** Members present, this one among them, that were last heard to hold an equal view. */
    public int agreeing() {
        return settling.agreeing() + 1;
    }

    /** Whether nothing has changed for a while and those heard since hold the same. */
    public boolean converged() {
        return settling.settled();
    }

    /** Which part of the last settled fleet is in reach. */
    public Reachability reach() {
        return settling.reach();
    }

    /**
     * How many may be using the hosts now: who is there and, as long as it could be cut off only, who is not seen.
     */
    public int liveMembers(long now) {
        return settling.living(now);
    }

    /** How much this member doubts itself: 0 not at all. */
    public int localHealth() {
        return health.doubt();
    }

    /** Datagrams that were not read, by reason. */
    public Map<DropReason, Long> drops() {
        return new EnumMap<>(drops);
    }

    public long sentDatagrams() {
        return sentDatagrams;
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** Datagrams that were read. */
    public long received() {
        return received;
    }

    /** Datagrams that the allowance held back. */
    public long rateLimitedDatagrams() {
        return allowance.withheld();
    }

    /**
     * All that decides what this member does next, but for chance and the allowance: two that are alike here do the same.
     * Times are said as they lie before or after now.
     */
    void describe(StringBuilder to, long now) {
        to.append(incarnation)
                .append(leaving ? 'l' : 'h')
                .append(health.doubt())
                .append(' ')
                .append(joinWait);
        for (long at : new long[] {probeAt, newsAt, retryAt, joinAt, wakeAt, suspicions.nextAt()}) {
            to.append(',').append(at == Long.MAX_VALUE ? -1 : Math.max(-1, at - now));
        }
        for (int m = 0; m < members.size(); m++) {
            to.append(';')
                    .append(members.state(m).ordinal())
                    .append('/')
                    .append(members.incarnation(m))
                    .append('/')
                    .append(suspicions.accuser(m))
                    .append('/')
                    .append(rumours.times(m));
        }
        if (probe != null) {
            to.append('p')
                    .append(probe.target)
                    .append(probe.asked)
                    .append(probe.helpers)
                    .append(probe.nacks)
                    .append(probe.endAt - now);
        }
        relays.values().stream()
                .sorted(Comparator.comparingLong(Relay::endAt))
                .forEach(r ->
                        to.append('r').append(r.origin()).append(r.target()).append(r.endAt() - now));
        to.append('o').append(orderAt);
        for (int i = 0; i < orderSize; i++) {
            to.append(order[i]);
        }
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** The time last asked for has come; an early or extra call does no harm. */
    public void onTimer(long now) {
        look(now);
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
        if (probe != null && now >= probe.endAt) {
            unanswered(now);
        } else if (probe != null && !probe.asked && now >= probe.askAt) {
            askOthers(now);
        }
        if (now >= probeAt && !leaving) {
            probe(now);
        }
        for (int m; (m = suspicions.due(now)) >= 0; ) {
            set(m, members.incarnation(m), MemberState.FAILED, members.word(m), Cause.TIME, now);
        }
        if (!relays.isEmpty()) {
            relays.values().removeIf(r -> now >= r.endAt() && nack(r, now));
        }
        if (now >= newsAt && !rumours.isEmpty()) {
            newsAt = now + s.newsUs();
            passOn(now);
        }
        if (now >= joinAt && joins()) {
            join(now);
        }
        if (!leaving && now >= retryAt) {
            retry(now);
        }
        settle(now);
        arm(now);
    }

    /** A timer long overdue tells that this instance stood still: nothing is judged by what it missed. */
    private void look(long now) {
        long late = now - wakeAt;
        if (wakeAt == Long.MAX_VALUE || late <= s.periodUs() / STILL_PART) {
            return;
        }
        wakeAt = now;
        listeners.forEach(l -> l.stalled(now, late));
        if (!s.selfDoubt()) {
            return;
        }
        health.worse((int) Math.min(Health.MOST, 1 + late / s.periodUs()));
        suspicions.extend(late);
        settling.extend(now);
        probe = null;
        probeAt = Math.max(probeAt, now);
        relays.clear();
    }

    private void arm(long now) {
        long next = Math.min(suspicions.nextAt(), settling.nextAt(now));
        if (probe != null) {
            next = Math.min(next, probe.asked ? probe.endAt : probe.askAt);
        }
        if (!rumours.isEmpty()) {
            next = Math.min(next, newsAt);
        }
        if (!leaving) {
            next = Math.min(next, Math.min(probeAt, retryAt));
            next = joins() ? Math.min(next, joinAt) : next;
        }
        for (Relay r : relays.values()) {
            next = Math.min(next, r.endAt());
        }
        next = Math.max(next, now + 1);
        if (next < wakeAt) {
            wakeAt = next;
            out.wakeAt(next);
        }
    }

    // ---- pings ---------------------------------------------------------------------------------------

    private void probe(long now) {
        probeAt = now + health.stretched(s.periodUs());
        int target = next();
        if (target < 0 || !allowance.allows(Use.PROBE, now)) {
            return;
        }
        probe = new Probe(
                target, random.nextInt(), now + health.stretched(s.answerUs()), now + health.stretched(s.concludeUs()));
        ping(target, probe.nonce, now);
    }

    /** The next one in turn that is there; all are drawn anew when all have had theirs. */
    private int next() {
        for (int pass = 0; pass < 2; pass++) {
            while (orderAt < orderSize) {
                int m = order[orderAt++];
                if (members.state(m).present()) {
                    return m;
                }
            }
            shuffle();
        }
        return -1;
    }

    private void shuffle() {
        orderSize = 0;
        orderAt = 0;
        for (int m = 0; m < s.peers(); m++) {
            if (members.state(m).present()) {
                enrol(m);
            }
        }
    }

    /** Puts one in at a place drawn among those whose turn is still to come. */
    private void enrol(int member) {
        if (member == s.number() || member >= s.peers()) {
            return;
        }
        if (orderSize == order.length) {
            order = Arrays.copyOf(order, Math.max(8, 2 * orderSize));
        }
        int at = orderAt + random.nextInt(orderSize - orderAt + 1);
        order[orderSize++] = order[at];
        order[at] = member;
    }

    private void ping(int to, int nonce, long now) {
        begin(Kind.PING, to).number(nonce).name(nameTold.get(to) ? null : s.name());
        send(to, now, true);
    }

    private void askOthers(long now) {
        probe.asked = true;
        if (allowance.allows(Use.PROBE, now)) {
            ping(probe.target, probe.nonce, now);
        }
        BitSet chosen = new BitSet();
        for (int i = 0; i < s.helpers() && allowance.allows(Use.NEWS, now); i++) {
            int helper = anyPresent(probe.target);
            if (helper >= 0 && !chosen.get(helper)) {
                chosen.set(helper);
                probe.helpers++;
                begin(Kind.ASK, helper).number(probe.nonce).member(probe.target);
                send(helper, now, true);
            }
        }
    }

    /** Neither it nor anybody for it has answered. If no helper says a word either, that tells of ourselves. */
    private void unanswered(long now) {
        Probe p = probe;
        probe = null;
        if (p.nacks == 0) {
            health.worse(1);
        }
        MemberState held = members.state(p.target);
        if (held == MemberState.ALIVE || held == MemberState.SUSPECTED) {
            take(
                    p.target,
                    members.incarnation(p.target),
                    s.suspicion() ? MemberState.SUSPECTED : MemberState.FAILED,
                    s.number(),
                    Cause.NO_ANSWER,
                    now);
        }
    }

    private void answered(int target, int nonce) {
        if (probe != null && probe.nonce == nonce && probe.target == target) {
            probe = null;
            health.better();
        }
    }

    private boolean nack(Relay r, long now) {
        if (allowance.allows(Use.NEWS, now)) {
            begin(Kind.NACK, r.origin()).number(r.nonce()).member(r.target());
            send(r.origin(), now, false);
        }
        return true;
    }

    /** Pings listed peers that were never heard of: often at first, and as long as nobody is known. */
    private void join(long now) {
        joinAt = now + (long) (joinWait * (0.5 + random.nextDouble()));
        joinWait = (long) Math.min(MOST_JOIN_US, joinWait * JOIN_GROWS);
        for (int i = 0; i < JOIN_WITH && members.count(MemberState.UNKNOWN) > 0; i++) {
            pingOneWho(m -> members.state(m) == MemberState.UNKNOWN, now);
        }
        if (members.present() == 1 && members.count(MemberState.UNKNOWN) == 0) {
            pingOneWho(m -> members.state(m) == MemberState.FAILED, now);
        }
    }

    private boolean joins() {
        return !leaving
                && (members.present() == 1 || joinWait < MOST_JOIN_US && members.count(MemberState.UNKNOWN) > 0);
    }

    /** Pings one of those who are not there: it may be back, or a cut between us may have healed. */
    private void retry(long now) {
        int away = members.count(MemberState.FAILED) + members.count(MemberState.UNKNOWN);
        double share = away == 0 ? 0 : members.present() / (away * RETRIES_PER_S) * 1e6;
        retryAt = now + (long) (Math.max(s.retryUs(), share) * (0.5 + random.nextDouble()));
        if (away > 0) {
            pingOneWho(m -> members.state(m) == MemberState.FAILED || members.state(m) == MemberState.UNKNOWN, now);
        }
    }

    /** Pings a listed one of some, drawn; nothing waits for the answer. */
    private void pingOneWho(IntPredicate meant, long now) {
        int from = random.nextInt(s.peers());
        for (int i = 0; i < s.peers(); i++) {
            int m = (from + i) % s.peers();
            if (meant.test(m)) {
                if (allowance.allows(Use.PROBE, now)) {
                    ping(m, random.nextInt(), now);
                }
                return;
            }
        }
    }

    // ---- messages ------------------------------------------------------------------------------------

    /**
     * A datagram came.
     *
     * @param from the listed peer whose address it came from; -1 if it is nobody's
     */
    public void onDatagram(long now, int from, byte[] bytes, int length) {
        look(now);
        DropReason why = reader.read(bytes, length);
        if (why == null) {
            why = reader.from == s.number()
                    ? DropReason.OUR_NUMBER
                    : from < 0
                            ? DropReason.STRANGER
                            : reader.from != from
                                    ? DropReason.NOT_ITS_ADDRESS
                                    : reader.to != s.number() ? DropReason.NOT_FOR_US : null;
        }
        if (why != null) {
            drops.merge(why, 1L, Long::sum);
            return;
        }
        received++;
        heard(now, from);
        switch (reader.kind) {
            case PING -> {
                named(now, from);
                int nonce = reader.nonce;
                rumoursCame(now);
                if (allowance.allows(Use.PROBE, now)) {
                    begin(Kind.ACK, from).number(nonce).name(nameTold.get(from) ? null : s.name());
                    send(from, now, true);
                }
            }
            case ACK -> {
                nameTold.set(from);
                named(now, from);
                rumoursCame(now);
                answered(from, reader.nonce);
                relayed(now, from);
            }
            case ASK -> {
                int target = reader.target;
                int nonce = reader.nonce;
                rumoursCame(now);
                asked(now, from, target, nonce);
            }
            case ACK_FOR -> {
                take(reader.target, reader.targetIncarnation, MemberState.ALIVE, from, Cause.HEARSAY, now);
                answered(reader.target, reader.nonce);
            }
            case NACK -> {
                if (probe != null && probe.nonce == reader.nonce && probe.target == reader.target) {
                    probe.nacks = Math.min(probe.helpers, probe.nacks + 1);
                }
            }
            case GOSSIP -> rumoursCame(now);
            case NODES -> exchange.compare(now, from, reader);
            case RECORDS -> exchange.take(now, from, reader);
        }
        compared(now, from);
        settle(now);
        arm(now);
    }

    /** What each message says of its sender. */
    private void heard(long now, int from) {
        MemberState said = reader.leaving ? MemberState.LEFT : MemberState.ALIVE;
        take(from, reader.incarnation, said, from, Cause.ITS_WORD, now);
        boolean mistaken = members.state(from) == MemberState.SUSPECTED || members.state(from) == MemberState.FAILED;
        if (mistaken && reader.kind != Kind.PING && allowance.allows(Use.NEWS, now)) {
            // It lives, and only its own word undoes what is believed of it: it must hear of that.
            gossip(from, now);
        }
    }

    /** Whether its sender, as it was when it sent this, and we, as we are now, agree. */
    private void compared(long now, int from) {
        boolean same = reader.view == (int) members.digest();
        settling.heard(now, from, same);
        if (!same && reader.kind != Kind.NODES && reader.kind != Kind.RECORDS) {
            exchange.differs(now, from);
        }
    }

    private void named(long now, int from) {
        if (reader.name == null || reader.name.equals(names.put(from, reader.name))) {
            return;
        }
        String name = reader.name;
        for (int m = 0; m < members.size(); m++) {
            if (m != from && members.state(m).present() && name.equals(name(m))) {
                int other = m;
                listeners.forEach(l -> l.duplicateName(now, name, other, from));
            }
        }
    }

    private void rumoursCame(long now) {
        for (int i = 0; i < reader.entries; i++) {
            take(reader.member[i], reader.entryIncarnation[i], reader.state[i], reader.word[i], Cause.HEARSAY, now);
        }
    }

    private void asked(long now, int origin, int target, int nonce) {
        if (target == s.number()) {
            ackFor(now, origin, nonce, target);
        } else if (target < s.peers() && relays.size() < MOST_RELAYS && allowance.allows(Use.NEWS, now)) {
            int own = random.nextInt();
            relays.put(own, new Relay(origin, nonce, target, now + s.answerUs()));
            ping(target, own, now);
        }
    }

    private void relayed(long now, int from) {
        Relay r = relays.get(reader.nonce);
        if (r != null && r.target() == from) {
            relays.remove(reader.nonce);
            ackFor(now, r.origin(), r.nonce(), from);
        }
    }

    private void ackFor(long now, int to, int nonce, int target) {
        if (members.incarnation(target) != Incarnation.NONE && allowance.allows(Use.NEWS, now)) {
            begin(Kind.ACK_FOR, to).number(nonce).member(target).incarnation(members.incarnation(target));
            send(to, now, false);
        }
    }

    // ---- news ----------------------------------------------------------------------------------------

    /** A round of news to some who are there. */
    private void passOn(long now) {
        for (int i = 0; i < s.newsTo() && !rumours.isEmpty(); i++) {
            int to = anyPresent(-1);
            if (to >= 0 && allowance.allows(Use.NEWS, now)) {
                gossip(to, now);
            }
        }
    }

    private void gossip(int to, long now) {
        begin(Kind.GOSSIP, to);
        send(to, now, true);
    }

    /** One that is there and has an address here, drawn; -1 if there is none but us and that one. */
    private int anyPresent(int but) {
        for (int tries = 0; tries < 2 * s.peers() && members.present() > 1; tries++) {
            // The list of turns holds mostly those who are there; drawing from it is as fair as from all.
            int m = orderSize > 0 && tries < orderSize ? order[random.nextInt(orderSize)] : random.nextInt(s.peers());
            if (m != s.number() && m != but && members.state(m).present()) {
                return m;
            }
        }
        return -1;
    }

    Datagram.Writer begin(Kind kind, int to) {
        return writer.begin(kind, to, incarnation, leaving, (int) members.digest());
    }

    boolean mayCompare(long now) {
        return allowance.allows(Use.COMPARE, now);
    }

    long compareUs() {
        return s.compareUs();
    }

    /** Sends what was begun, with news where there is room for any. */
    void send(int to, long now, boolean withNews) {
        if (withNews) {
            MemberState held = members.state(to);
            boolean mistaken = held == MemberState.SUSPECTED || held == MemberState.FAILED;
            if (mistaken && writer.room() >= Datagram.RUMOUR) {
                rumour(to);
            }
            int taken = rumours.take(picked, writer.room() / Datagram.RUMOUR, s.newsTimes(members.present()));
            for (int i = 0; i < taken; i++) {
                rumour(picked[i]);
            }
        }
        int length = writer.finish();
        allowance.spend(length);
        sentDatagrams++;
        sentBytes += length;
        out.send(to, writer.bytes, length);
    }

    private void rumour(int member) {
        int accuser = suspicions.accuser(member);
        writer.rumour(
                member,
                members.state(member),
                accuser >= 0 ? accuser : members.word(member),
                members.incarnation(member));
    }

    // ---- beliefs -------------------------------------------------------------------------------------

    /** Takes a word about a member, if it is later than what is believed. */
    void take(int member, long itsIncarnation, MemberState state, int word, Cause cause, long now) {
        if (member == s.number()) {
            ofUs(itsIncarnation, state, now);
        } else if (later(member, itsIncarnation, state)) {
            set(member, itsIncarnation, state, word, cause, now);
        } else if (state == MemberState.SUSPECTED
                && cause != Cause.EXCHANGE
                && itsIncarnation == members.incarnation(member)
                && suspicions.confirm(member, word)) {
            rumours.add(member);
        }
    }

    /** Whether a word is later than what is believed. */
    boolean later(int member, long itsIncarnation, MemberState state) {
        return members.newer(member, itsIncarnation, state);
    }

    private void set(int member, long itsIncarnation, MemberState state, int word, Cause cause, long now) {
        MemberState before = members.state(member);
        boolean reborn =
                before != MemberState.UNKNOWN && !Incarnation.sameLife(itsIncarnation, members.incarnation(member));
        long digest = members.digest();
        members.set(member, itsIncarnation, state, word, now);
        if (state == MemberState.SUSPECTED) {
            long least = s.leastSuspicionUs(members.present());
            int needed = Math.max(0, Math.min(s.accusers(), members.present() - 3));
            suspicions.begin(
                    member, word, now, least, (long) (needed == 0 ? least : s.suspicionMost() * least), needed);
        } else {
            suspicions.end(member);
        }
        if (reborn) {
            nameTold.clear(member);
        }
        rumours.add(member);
        if (state.present() && !before.present()) {
            enrol(member);
        }
        if (digest != members.digest()) {
            settling.changed(now, member, before, state);
        }
        if (before != state || reborn) {
            told(now, member, before, reborn, cause);
        }
    }

    private void told(long now, int member, MemberState before, boolean reborn, Cause cause) {
        Change change = new Change(
                ++changes,
                now,
                member,
                before,
                members.state(member),
                members.incarnation(member),
                reborn,
                members.word(member),
                cause,
                members.digest());
        listeners.forEach(l -> l.changed(change));
    }

    /**
     * Somebody believes something of us. A later incarnation than ours is of a life before this one, by a clock that
     * has gone back since; a suspicion is refuted, which tells us that we were not heard.
     */
    void ofUs(long itsIncarnation, MemberState state, long now) {
        long mine = incarnation;
        if (itsIncarnation > mine) {
            incarnation = Incarnation.lifeAfter(itsIncarnation);
        } else if (itsIncarnation == mine && state.ordinal() > MemberState.ALIVE.ordinal() && !leaving) {
            incarnation = Incarnation.next(mine);
            health.worse(1);
        } else {
            return;
        }
        set(s.number(), incarnation, leaving ? MemberState.LEFT : MemberState.ALIVE, s.number(), Cause.OWN, now);
    }

    private void settle(long now) {
        if (settling.look(now, suspicions.isEmpty())) {
            listeners.forEach(l -> l.reach(now, settling.reach(), settling.settled(), members.digest()));
        }
    }
}
