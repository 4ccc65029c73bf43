package mulleinfront;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import mulleinfront.State.Attempt;
import mulleinfront.State.Node;
import mulleinfront.State.Req;

/**
 * Every decision of mulleinfront; types, events and actions are in {@link Balancer} (Balancer.java).
 *
 * <p>The path of a request. Where the whole fleet is late, only a share is admitted, by worth. It is given a
 * point on the ring: the hash of its key, or a random one. From there {@link #pick} walks the ring to the
 * first usable endpoint: ready, not ejected, allowed by effect, within its slow start if cold, with room
 * under its limit, within its bounded load. A keyless request takes the first such one that is connected,
 * or an unconnected one met earlier if no connection is being opened. Under strain the endpoint is probed
 * first where allowed. With no room, requests are held for a moment, the worthiest first. A failed attempt
 * goes to the next owner if effect, time and the retry budget permit; else the request is refused where that
 * is a true statement, and failed where not. A sweep finds endpoints that fell silent.
 */
final class Logic implements Balancer {

    // ---- constants -----------------------------------------------------------------------------------

    /** Ring points of an endpoint of weight 1: spread of shares near 1/sqrt(100), cheap to merge. */
    private static final int POINTS = 100;
    /** Most and fewest ring points of an endpoint, so that a stray weight can't swallow the ring. */
    private static final int MOST_POINTS = 800;

    private static final int FEWEST_POINTS = 20;
    /** Time between sweeps, microseconds: short against any aim, rare against requests. */
    private static final long SWEEP_US = 50_000;
    /** Samples over which an endpoint's lag and failures are smoothed: a few outliers don't tip it. */
    private static final double GAIN = 1.0 / 8;
    /** Answers over which what all endpoints teach is smoothed: strain, and lag by kind. */
    private static final double POOL_GAIN = 1.0 / 16;
    /** Kinds told apart, and the least capacity a kind counts for. */
    private static final int KINDS = 64;

    private static final double LEAST_KIND = 0.25;
    /** Samples over which a class's lag is smoothed, and the rise of what counts as usual, per second. */
    private static final double CLASS_GAIN = 1.0 / 64;

    private static final double USUAL_RISE = 0.03;
    /** Usual lag before any answer, as part of the aim: high, for it falls faster than it rises. */
    private static final double FIRST_USUAL = 0.25;
    /** A lag of this many times the usual, or part of the aim if not ordinary, tells of crowding. */
    private static final double CROWDED = 3;

    private static final double CROWDED_AIM = 0.35;
    private static final double ORDINARY = 1.5;
    /** What a lag is over the usual is noise up to this many mean deviations (as TCP has it, RFC 6298) ... */
    private static final double NOISE_DEVIATIONS = 4;
    /** ... and this part of the aim: more than that is felt, however often it comes. */
    private static final double NOISE_AIM = 0.05;

    private static final double CUT = 0.85;
    /** The cut where there was no answer at all in time: many instances with one attempt each are many. */
    private static final double LOSS_CUT = 0.6;
    /** Instances above which each pools what it learns, and probes: a server bears about as many at once. */
    private static final int MANY = 16;
    /** Share of requests placed with caution, for each part of strain; half where instances are few. */
    private static final double CAUTION = 10;
    /** Part of endpoints late from which it is the fleet's trouble, and how fast the whole cut is reached. */
    private static final double FEW_LATE = 0.2;

    private static final double LATE_SLOPE = 5;
    /** Cut of admission by a lost attempt (a late one: half), and growth by a good one. */
    private static final double ADMIT_CUT = 0.4;

    private static final double ADMIT_GROW = 0.05;
    /** Admissions that may be saved up; the lower a request's worth, the more must be left after it. */
    static final double MOST_SAVED = 3;
    /** Growth of a limit in use: attempts for each limit of good answers (each one until the first cut). */
    private static final double GROW = 0.5;

    private static final double REGAIN = 0.2;
    /** Limit of attempts out at one endpoint at the start; the least share that it and admission fall to. */
    private static final double FIRST_LIMIT = 2;

    private static final double LEAST_LIMIT = 0.1;
    /** Time after which a tenant's traffic is forgotten to 1/e, microseconds. */
    private static final double FORGET_US = 10_000_000;
    /** Bounded load: an owner may take this multiple of its fair part of what is asked for. */
    private static final double BOUND = 1.25;
    /** Time over which what is asked for is counted, microseconds: long, since many see little. */
    private static final double ASKED_US = 30_000_000;
    /** Endpoints weighed anew for each that a list names: a change costs in proportion to itself. */
    private static final int WEIGHED = 64;
    /** Sends to a cold endpoint that may be saved up. */
    private static final double MOST_CREDIT = 2;
    /** Usable owners among which a request may spill: a key stays warm on few endpoints, not on all. */
    private static final int OWNERS = 3;
    /**
     * The same where many instances go by what endpoints report: a hot key needs as many as it has work for,
     * fewer where all are busy.
     */
    static final int REPORTED_OWNERS = 8;

    private static final int BUSY_OWNERS = 4;
    /**
     * Part of the aim that an endpoint's queue may take before some requests pass it by, and before all do.
     */
    private static final double SPILL_FROM = 0.3;

    private static final double SPILL_ALL = 1.5;
    /**
     * Part of the aim that an endpoint's queue may take before some requests with no key pass it by though
     * all are as busy, and before all do: no owner is worth waiting for, and what they hold slows them down.
     */
    private static final double BUSY_FROM = 0.5;

    private static final double BUSY_ALL = 1;
    /** Part of what all hold that is no reason to pass one by: the others are no better. */
    private static final double COMMON = 0.8;
    /**
     * Queue of all, as a part of the aim, from which requests are refused by worth, and at which most are.
     */
    private static final double REFUSE_FROM = 0.5;

    private static final double REFUSE_MOST = 1.5;
    /**
     * Time over which a report gives way to what all endpoints report, microseconds: it may be seconds to the
     * next.
     */
    private static final double REPORT_FADES_US = 4_000_000;
    /**
     * Without any report for a while nobody is held to be busy for long: who sends nothing hears of nothing.
     */
    private static final long UNHEARD_US = 300_000;

    private static final double UNHEARD_FADES_US = 2_000_000;
    /**
     * Losses in a row, with no report between, up to which each makes the last word of all fade more slowly
     * and less be tried: in a jam most of the tries are repeats, and what is tried keeps it up.
     */
    private static final int MOST_LOST = 7;
    /** Reports over which those of all endpoints are smoothed. */
    private static final double REPORT_GAIN = 0.08;
    /**
     * How long one that turned a request away is left alone at first; doubles with each that follows soon.
     */
    private static final long FULL_US = 1_000_000;

    private static final int MOST_FULL = 4;
    /**
     * Part of the multiple that pushes a cold endpoint over up to which it is sent work, were the fleet fully
     * loaded.
     */
    private static final double COLD_PART = 0.6;
    /** Cost of a retry, of the budget, where nothing has run: it cost the endpoint next to nothing. */
    private static final double NEVER_RAN = 0.2;
    /** Part of its limit up to which an endpoint takes keys that spill from their owner. */
    private static final double SPILL_ROOM = 0.7;
    /** Smoothed failure share at which an endpoint is ejected: three failures in a row reach it. */
    private static final double FAIL_SHARE = 0.33;
    /** Silence: nothing back for this many usual lags, and at least this part of the aim. */
    private static final double SILENT_LAGS = 4;

    private static final double SILENT_AIM = 0.4;
    /** First ejection, microseconds; doubles up to the longest with each that follows soon. */
    private static final long EJECT_US = 1_000_000;

    private static final long LONGEST_EJECT_US = 8_000_000;
    /** Share of the ring that may be ejected on suspicion: beyond it the trouble is elsewhere. */
    private static final double MOST_EJECTED = 0.4;
    /** Retry budget: each request earns this part of a retry; the most that can be saved up. */
    private static final double RETRY_EARN = 0.25;

    private static final double RETRY_MOST = 20;
    /** Part of the aim for which a request of the highest worth may be held when nobody can take it. */
    private static final double HOLD_AIM = 0.4;
    /** Part of a request's time for which it may be held while the list is out of date. */
    private static final double OVERDUE_HOLD_PART = 0.4;
    /** Worth of a repeat against a first try: some of its aim has passed before we saw it. */
    private static final double REPEAT_WORTH = 0.3;
    /** Part of the aim, and usual lags, that a probe may take before its endpoint is passed over as busy. */
    private static final double PROBE_AIM = 0.12;

    private static final double PROBE_LAGS = 2;
    /** Time for which a prompt answer spares a probe, microseconds. */
    private static final long PROMPT_US = 500_000;
    /** Strain, for each part of a request's worth that a probe costs, from which probes pay. */
    private static final double PROBE_PAYS = 4;
    /** Most endpoints probed for one request. */
    private static final int MOST_PROBES = 3;
    /** Part of a whole try's budget under which one is a repeat; how a large one fades by each request. */
    private static final double WHOLE_TRY = 0.95;

    private static final double WHOLE_FADE = 0.999;
    /** Part of the time left that one attempt may use while another could follow. */
    private static final double ATTEMPT_PART = 0.6;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    // ---- state ---------------------------------------------------------------------------------------

    final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final HashMap<String, Node> nodes = new HashMap<>();
    private final HashMap<String, Req> open = new HashMap<>();
    /** Requests answered or gone with attempts still out, whose outcomes still teach. */
    private final HashMap<String, Req> ended = new HashMap<>();
    /** Requests on hold, the worthiest first, then the oldest. */
    private final TreeSet<Req> held =
            new TreeSet<>(Comparator.comparingDouble((Req r) -> -r.worth).thenComparingLong(r -> r.order));

    final Ring<Node> ring = new Ring<>();
    /** Listed endpoints in order of listing; one is taken out without a look at the others. */
    final LinkedHashSet<Node> listed = new LinkedHashSet<>();

    private final double[] meanLag;
    final double[] usualLag;
    /** Mean deviation of a class's lag: from jitter and from our own queue as much as from the endpoint's. */
    private final double[] deviation;

    private final double[] whole;
    private final double[] tenantRecent;
    final double mostWorth;
    private final Effect safest;
    private final boolean many;
    /** Tells the lots of many instances apart: those of the first request of a key would all be one. */
    private final long salt;
    /** Lag against the usual by kind of endpoint: at little traffic no endpoint alone shows it. */
    private final double[] kindRatio = new double[KINDS];

    private double tenantTotal;
    private long tenantAt;
    /** Capacity of all usable endpoints, and what was asked for of late; see {@link #weigh}. */
    double capacity;

    private double offered;
    /** The best of the listed kinds' ratios when last weighed. */
    private double bestKind = 1;
    /** Listed weight of all endpoints, and of the ejected ones among them. */
    double weight;

    private double ejectedWeight;
    /** Part of the latest answers, over all endpoints, that were late or lost. */
    double strain;
    /** Part of the endpoints heard of late whose last answer was late or lost: each counts once. */
    double lateShare;

    private long weighedAt = Long.MIN_VALUE / 2;
    /** Share of requests admitted, from all answers alike, and admissions saved up. */
    double admitted = 1;

    double saved = MOST_SAVED;
    double retryTokens = RETRY_MOST / 2;
    private long sends;
    /**
     * Attempts asked for, sent or not: what a cold endpoint's part is reckoned by where instances are many.
     */
    private long wanted;
    /** The largest listed weight of all endpoints so far: the fleet as its load is sized for. */
    private double fullWeight;
    /** Requests that endpoints report to hold, for each part of their size; and when one last did. */
    private double reported;

    private long reportedAt = Long.MIN_VALUE / 2;
    /** Losses since then. */
    private int lost;

    private boolean reports;
    private Node opening;
    int walk;
    private long requests;
    final long bornAt;
    private Observer observer;
    private long wakeAt = Long.MAX_VALUE;
    private long wokeAt = Long.MIN_VALUE / 2;
    private long nextSweep;
    private long nextHold = Long.MAX_VALUE;
    /** Requests waiting for a probe of the endpoint they are to go to. */
    private final List<Req> probing = new ArrayList<>();

    private long nextProbe = Long.MAX_VALUE;
    /** Until when the list was known to be up to date. */
    private long currentAt = Long.MIN_VALUE / 2;

    private final Subscription subscription;

    Logic(Settings settings, long seed, long now, Actions out) {
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.usualLag = new double[settings.classes().size()];
        this.meanLag = new double[usualLag.length];
        this.deviation = new double[usualLag.length];
        this.whole = new double[usualLag.length];
        this.tenantRecent = new double[settings.tenantShares().size()];
        Arrays.setAll(usualLag, i -> meanLag[i] = settings.classes().get(i).targetLatencyUs() * FIRST_USUAL);
        Arrays.setAll(deviation, i -> settings.classes().get(i).targetLatencyUs() * NOISE_AIM);
        Arrays.fill(kindRatio, 1);
        this.mostWorth =
                settings.classes().stream().mapToDouble(RequestClass::worth).reduce(1e-9, Math::max);
        this.safest = settings.classes().stream()
                .map(RequestClass::effect)
                .sorted()
                .iterator()
                .next();
        this.many = settings.instances() > MANY;
        this.salt = many ? seed : 0;
        this.bornAt = now;
        this.tenantAt = now;
        this.nextSweep = now + SWEEP_US;
        this.subscription = new Subscription(settings, MANY, seed, now, out);
        arm(now);
    }

    // ---- discovery -----------------------------------------------------------------------------------

    @Override
    public void onEndpoints(long now, Source source, List<Endpoint> entries) {
        subscription.listed(now, source, entries.isEmpty());
        walk++;
        if (source == Source.DELTA) {
            // Until now the watch had told all.
            currentAt = now;
        }
        for (Endpoint e : entries) {
            Node n = nodes.get(e.id());
            if (e.availability() != Availability.GONE) {
                n = n != null ? n : new Node(e.id(), HASH.hashCharsToLong(e.id()), FIRST_LIMIT);
                nodes.put(e.id(), n);
                n.seen = walk;
                update(n, e, now);
            } else if (n != null && n.onRing) {
                leave(n);
            }
        }
        if (source != Source.DELTA) {
            List.copyOf(listed).stream().filter(n -> n.seen != walk).forEach(this::leave);
        }
        if (source != Source.CACHED) {
            currentAt = now;
        }
        ring.merge();
        if (listed.size() <= WEIGHED * entries.size()) {
            weigh(now);
        }
        retryHeld(now);
        arm(now);
    }

    private void update(Node n, Endpoint e, long now) {
        tally(n, -1);
        n.zone = e.zone();
        n.kind = e.kind() & KINDS - 1;
        n.cell = e.cell();
        n.weight = e.weight() > 0 ? e.weight() : 1;
        boolean restarted = e.startedAtUs() != 0 && e.startedAtUs() != n.startedAt && !n.down;
        if (restarted || !n.onRing) {
            // A new process: what was known of the old one no longer holds, and it is cold.
            readmit(n);
            n.startedAt = e.startedAtUs();
            if (e.startedAtUs() != 0) {
                cool(n, StartTimes.coldFrom(e.startedAtUs(), currentAt, now));
            }
        }
        if (!n.onRing) {
            join(n);
        }
        n.ready = e.availability() == Availability.READY;
        tally(n, 1);
        count(n, now);
    }

    @Override
    public void onDiscoveryFailed(long now) {
        subscription.failed(now);
        arm(now);
    }

    @Override
    public void onDiscoveryFailed(long now, long quietUs) {
        subscription.lost(now, quietUs);
        arm(now);
    }

    @Override
    public void onDiscoveryUnreachable(long now) {
        subscription.unreachable(now);
        arm(now);
    }

    @Override
    public void onProcessStart(long now, long agoUs) {
        subscription.processStarted(now, agoUs);
        arm(now);
    }

    @Override
    public void onWatchEnded(long now) {
        subscription.ended(now);
        arm(now);
    }

    @Override
    public void onDiscoveryMoved(long now, long movedAgoUs) {
        subscription.moved(now, movedAgoUs);
        arm(now);
    }

    /** Whether nothing may be sent by the list that is held. */
    boolean listOverdue(long now) {
        return subscription.overdue(now);
    }

    // ---- the ring ------------------------------------------------------------------------------------

    private void join(Node n) {
        n.onRing = true;
        listed.add(n);
        n.points = (int) Math.max(FEWEST_POINTS, Math.min(MOST_POINTS, Math.round(POINTS * size(n))));
        ring.add(n, points(n));
    }

    private static long[] points(Node n) {
        long[] points = new long[n.points];
        Arrays.setAll(points, k -> HASH.hashLongLongToLong(n.hash, k));
        return points;
    }

    private void leave(Node n) {
        tally(n, -1);
        capacity -= n.counted;
        n.counted = 0;
        n.onRing = false;
        n.ready = false;
        listed.remove(n);
        ring.remove(n, points(n));
        forget(n);
    }

    /** Takes a listed endpoint into the sums of weights, or out of them. */
    private void tally(Node n, int sign) {
        weight += n.onRing ? sign * n.weight : 0;
        ejectedWeight += n.onRing && n.ejected ? sign * n.weight : 0;
    }

    /** One that is no longer listed is kept only while attempts are out there. */
    private void forget(Node n) {
        if (!n.onRing && n.outstanding.isEmpty()) {
            nodes.remove(n.id, n);
        }
    }

    /** Listed size; weights that follow load would move keys with every list and count as 1. */
    private double size(Node n) {
        return settings.weightsVary() ? 1 : n.weight;
    }

    /** Walks the ring from the request's hash to the endpoint that is to serve it; null if there is none. */
    private Node pick(Req r, long now) {
        if (listOverdue(now)) {
            return null;
        }
        if (now - weighedAt >= SWEEP_US) {
            weigh(now);
        }
        // What is asked of each endpoint counts when a request is first placed, and again after each probe.
        double asked = r.attempts.isEmpty() && r.holdUntil == 0 ? 1 : 0;
        offered += asked;
        Attempt bond = bond(r);
        boolean keyless = r.in.key() == null;
        walk++;
        int left = listed.size();
        Node spare = null;
        boolean flawed = false;
        Node ejected = null;
        int usable = 0;
        ring.seek(r.hash);
        int owners = !reports ? OWNERS : aims(r, reportedByAll(now)) < SPILL_FROM ? REPORTED_OWNERS : BUSY_OWNERS;
        while (left > 0 && (usable < owners || keyless)) {
            Node n = ring.next();
            if (n.seen == walk) {
                continue;
            }
            n.seen = walk;
            left--;
            boolean tried = !r.attempts.isEmpty() && r.attempts.stream().anyMatch(a -> a.node == n);
            if (!n.ready || tried || now < n.fullUntil || !inGroup(r, bond, n) || !coldAdmits(n, now)) {
                continue;
            }
            if (n.ejected) {
                if (trialDue(n, r, now)) {
                    return n;
                }
                ejected = ejected == null && !n.down ? n : ejected;
                continue;
            }
            n.offered += asked;
            boolean busy = now < n.busyUntil;
            usable += busy && usable > 0 ? 0 : 1;
            // Where all are busy, a key had better wait for its owner than make the others do its cold work.
            if (!hasRoom(n, r, usable == 1 || keyless ? 1 : SPILL_ROOM)) {
                continue;
            }
            if (reports && spills(r, n, now)) {
                continue;
            }
            boolean wait = keyless && now >= n.connectedUntil && opening != null && opening != n;
            // A fragile request goes only where nothing failed lately, if it can.
            boolean sure = r.type.effect() != Effect.FRAGILE || n.failShare < GAIN;
            if (!wait && !busy && sure && withinBound(r, n)) {
                return n;
            }
            if (spare == null || flawed && !wait && !busy) {
                spare = n;
                flawed = wait || busy;
            }
        }
        return usable > 0 ? spare : ejected;
    }

    /**
     * Bounded load, in expectation: of what is asked of it, an endpoint takes the part that keeps it under
     * {@code BOUND} times its fair share of all. An instance that sends little sees a hot key not by its own
     * attempts out but by what it is asked for over a while. Half a deviation is granted to chance.
     */
    private boolean withinBound(Req r, Node n) {
        double asked = n.offered - 0.5 * Math.sqrt(n.offered);
        return !r.cautious || asked <= 0 || draw(r, n) * asked < BOUND * offered * n.capacity / capacity;
    }

    /** Brings up to date each endpoint's capacity (size, ramp, speed of its kind) and what was asked. */
    private void weigh(long now) {
        double keep = Math.exp((double) (weighedAt - now) / ASKED_US);
        weighedAt = now;
        offered *= keep;
        capacity = 0;
        weight = 0;
        ejectedWeight = 0;
        bestKind = listed.stream().mapToDouble(n -> kindRatio[n.kind]).min().orElse(1);
        double heard = 1;
        double late = 0;
        for (Node n : listed) {
            if (now - n.heardAt < ASKED_US) {
                heard++;
                late += n.late ? 1 : 0;
            }
            n.offered *= keep;
            n.limit = n.limit < 1 ? Math.min(1, n.limit / keep) : n.limit;
            n.counted = 0;
            count(n, now);
            tally(n, 1);
        }
        lateShare = late / heard;
    }

    /** Brings one endpoint's capacity up to date, and its part of that of all. */
    private void count(Node n, long now) {
        n.capacity = size(n) * ramp(n, now) * Math.max(LEAST_KIND, bestKind / kindRatio[n.kind]);
        capacity -= n.counted;
        n.counted = n.ready && !n.ejected && now >= n.fullUntil ? n.capacity : 0;
        capacity += n.counted;
    }

    // ---- slow start ----------------------------------------------------------------------------------

    /** The share of its capacity that a cold endpoint surely has: rises evenly over the stated time. */
    private double ramp(Node n, long now) {
        if (!n.cold) {
            return 1;
        }
        Contract c = settings.contract();
        double part = c.coldUs() == 0 ? 1 : Math.max(0.0, now - n.warmFrom) / c.coldUs();
        n.cold = part < 1;
        return Math.min(1, c.coldFrom() + (1 - c.coldFrom()) * part);
    }

    /**
     * A cold endpoint takes no more than its credit: its part, by ramped capacity, of what this instance
     * sends to all, from a random start below one. So however many instances there are and however little
     * each of them sends, their sum is the endpoint's part, from its first moment on.
     *
     * <p>Where instances are many it is a part of what they are asked for, or a fleet that is cold as a whole
     * would refuse, send little for it, and stay closed; and it is no larger than the endpoint bears were all
     * that the whole fleet can do when warm asked for, however few others are left.
     */
    private boolean coldAdmits(Node n, long now) {
        if (n.cold) {
            fullWeight = Math.max(fullWeight, weight);
            n.credit = credit(n, now);
            n.creditAt = many ? wanted : sends;
        }
        return !n.cold || n.credit >= 1;
    }

    /** What a cold endpoint may be sent at this moment, in requests. */
    double credit(Node n, long now) {
        double own = size(n) * ramp(n, now);
        double part = own / Math.max(capacity, own);
        if (many) {
            double bears = COLD_PART * settings.contract().overload();
            part = Math.min(part, bears * own / Math.max(fullWeight, own));
        }
        return Math.min(MOST_CREDIT, n.credit + part * ((many ? wanted : sends) - n.creditAt));
    }

    // ---- load reports --------------------------------------------------------------------------------

    /**
     * What an endpoint says it holds is from all instances, so one that sends it little learns what its own
     * attempts never show. Where instances are few their own attempts show more than old reports.
     */
    @Override
    public void onLoadReport(long now, String endpointId, double held) {
        Node n = nodes.get(endpointId);
        if (n == null || !many) {
            return;
        }
        reports = true;
        n.reported = held / size(n);
        n.reportedAt = now;
        double mean = reportedByAll(now);
        reported = mean + (n.reported - mean) * REPORT_GAIN;
        reportedAt = now;
        lost = 0;
    }

    double reportedByAll(long now) {
        double unheard = Math.min(0, reportedAt + UNHEARD_US - now);
        return reported * Math.exp(unheard / (UNHEARD_FADES_US * (1 + lost)));
    }

    /** Requests that an endpoint holds for each part of its size, as far as is known. */
    private double queue(Node n, long now) {
        double fresh = Math.exp((n.reportedAt - now) / REPORT_FADES_US);
        return fresh * n.reported + (1 - fresh) * reportedByAll(now);
    }

    /** How much of a request's aim a queue takes. */
    private double aims(Req r, double queue) {
        return queue * usualLag[r.in.classIndex()] / r.type.targetLatencyUs();
    }

    /**
     * Whether a request passes an endpoint by for its queue. Since all instances hear of the same queue at
     * about the same time, the longer it is the more of them do: were it all or none, they would move
     * together.
     */
    private boolean spills(Req r, Node n, long now) {
        double queue = queue(n, now);
        return beyond(r, n, queue - COMMON * reportedByAll(now), SPILL_FROM, SPILL_ALL)
                || r.in.key() == null && beyond(r, n, queue, BUSY_FROM, BUSY_ALL);
    }

    private boolean beyond(Req r, Node n, double queue, double some, double all) {
        double aims = aims(r, queue);
        return aims > some && draw(r, n) * (all - some) < aims - some;
    }

    // ---- health --------------------------------------------------------------------------------------

    private void learnLag(Attempt a, long lag, long now, boolean served) {
        int c = a.req.in.classIndex();
        Node n = a.node;
        kindRatio[n.kind] += (Math.min(lag / usualLag[c], 20) - kindRatio[n.kind]) * POOL_GAIN;
        boolean late = !served || crowded(a, lag);
        n.late = late;
        n.heardAt = now;
        strain += ((late ? 1 : 0) - strain) * POOL_GAIN;
        if (served) {
            deviation[c] += (Math.abs(lag - meanLag[c]) - deviation[c]) * CLASS_GAIN;
            meanLag[c] += (lag - meanLag[c]) * CLASS_GAIN;
            usualLag[c] = Math.min(usualLag[c], meanLag[c]);
        }
        if (late) {
            double spread = many ? Math.max(0, Math.min(1, LATE_SLOPE * (lateShare - FEW_LATE))) : 0;
            double cut = (served ? ADMIT_CUT / 2 : ADMIT_CUT) * spread;
            admitted = Math.max(LEAST_LIMIT, admitted * (1 - cut));
            n.everCut = true;
            double used = many ? Math.min(n.limit, n.outstanding.size() + 1) : n.limit;
            n.limit = Math.max(LEAST_LIMIT, (served ? CUT : LOSS_CUT) * used);
            return;
        }
        admitted = Math.min(1, admitted + ADMIT_GROW);
        n.promptAt = now;
        if (n.outstanding.size() + 1 >= n.limit / 2) {
            n.limit += !n.everCut ? GROW : n.limit < 1 ? REGAIN * n.limit : GROW / n.limit;
        }
    }

    private boolean crowded(Attempt a, long lag) {
        int c = a.req.in.classIndex();
        double usual = usualLag[c];
        double noise = Math.min(NOISE_AIM * a.req.type.targetLatencyUs(), NOISE_DEVIATIONS * deviation[c]);
        return a.at >= wokeAt
                && lag - usual > noise
                && lag
                        > Math.min(
                                CROWDED * usual,
                                Math.max(CROWDED_AIM * a.req.type.targetLatencyUs(), ORDINARY * usual));
    }

    /** Whether the endpoint's limit leaves room; one under 1 is the share of requests that may go there. */
    boolean hasRoom(Node n, Req r, double part) {
        int size = n.outstanding.size();
        double room = part * n.limit;
        return room >= 1 ? size + 1 <= room : size == 0 && draw(r, n) < room;
    }

    /** The request's lot at an endpoint: drawn once, so that waiting does not change it. */
    private double draw(Req r, Node n) {
        long lot = r.order * 0x9e3779b97f4a7c15L ^ r.hash ^ salt;
        return (HASH.hashLongLongToLong(lot, n.hash) >>> 11) * 0x1p-53;
    }

    private void learnFailure(Node n, Outcome outcome, long now) {
        boolean bad = outcome != Outcome.OK && outcome != Outcome.QUEUE_FULL;
        n.failShare += ((bad ? 1 : 0) - n.failShare) * GAIN;
        if (outcome != Outcome.QUEUE_FULL) {
            n.full = outcome == Outcome.OK ? 0 : n.full;
        } else if (many) {
            // It is full, or drains and the list does not say so yet: each instance would have to learn that
            // anew.
            n.full = Math.min(MOST_FULL, n.full + 1);
            n.fullUntil = now + (FULL_US << n.full - 1);
            count(n, now);
        }
        if (outcome == Outcome.CONNECT_ERROR) {
            n.connectedUntil = now;
            eject(n, now, true);
        } else if (bad && n.failShare >= FAIL_SHARE) {
            eject(n, now, false);
        }
    }

    /** Ejects unless too much of the ring would be out on suspicion: then the trouble is elsewhere. */
    private void eject(Node n, long now, boolean down) {
        if (!n.onRing || n.ejected && now < n.ejectedUntil) {
            return;
        }
        if (!down && !n.ejected && ejectedWeight + n.weight > MOST_EJECTED * weight) {
            return;
        }
        ejectedWeight += n.ejected ? 0 : n.weight;
        boolean soon = now - n.ejectedUntil < LONGEST_EJECT_US && n.ejectedFor > 0;
        n.ejectedFor = soon ? Math.min(2 * n.ejectedFor, LONGEST_EJECT_US) : EJECT_US;
        n.ejectedUntil = now + n.ejectedFor;
        n.ejected = true;
        n.down |= down;
        n.trial = null;
    }

    /** After its ejection an endpoint serves one trial at a time, of the safest effect there is. */
    private boolean trialDue(Node n, Req r, long now) {
        return now >= n.ejectedUntil && n.trial == null && r.type.effect() == safest;
    }

    private void trialEnded(Node n, Outcome outcome, long lag, Attempt a, long now) {
        n.trial = null;
        boolean wasDown = n.down;
        if (outcome != Outcome.OK || crowded(a, lag)) {
            eject(n, now, wasDown && outcome == Outcome.CONNECT_ERROR);
            return;
        }
        tally(n, -1);
        readmit(n);
        tally(n, 1);
        if (wasDown) {
            // It was away: whether or not discovery says so, it may have started afresh.
            cool(n, now);
        }
    }

    /** Starts the slow start of an endpoint whose process began at {@code from}. */
    private void cool(Node n, long from) {
        n.cold = true;
        n.warmFrom = from;
        n.credit = random.nextDouble();
        n.creditAt = many ? wanted : sends;
    }

    private static void readmit(Node n) {
        n.full = 0;
        n.fullUntil = 0;
        n.ejected = false;
        n.down = false;
        n.trial = null;
        n.failShare = 0;
        n.limit = FIRST_LIMIT;
    }

    /** Finds silent endpoints; attempts waiting on a silent one are moved where effects permit. */
    private void sweep(long now) {
        for (int c = 0; c < usualLag.length; c++) {
            usualLag[c] = Math.min(meanLag[c], usualLag[c] * (1 + USUAL_RISE * SWEEP_US / 1e6));
        }
        weigh(now);
        for (Node n : listed) {
            if (silent(n, now)) {
                eject(n, now, false);
                n.outstanding.stream()
                        .filter(a -> n.ejected && open.get(a.req.in.id()) == a.req)
                        .filter(a -> mayResend(a.req, now))
                        .forEach(this::cancel);
            }
        }
    }

    private boolean silent(Node n, long now) {
        for (Attempt a : n.outstanding) {
            if (!a.canceled) {
                double usual = usualLag[a.req.in.classIndex()];
                double patience = Math.max(SILENT_LAGS * usual, SILENT_AIM * a.req.type.targetLatencyUs());
                return now - Math.max(Math.max(a.at, n.lastAnswer), wokeAt) > patience;
            }
        }
        return false;
    }

    // ---- requests ------------------------------------------------------------------------------------

    @Override
    public void onRequest(long now, Request in) {
        if (open.containsKey(in.id()) || in.classIndex() < 0 || in.classIndex() >= usualLag.length) {
            return;
        }
        long hash = in.key() != null ? HASH.hashCharsToLong(in.key()) : random.nextLong();
        RequestClass type = settings.classes().get(in.classIndex());
        // An unmarked repeat shows by its budget: less than a whole try's of late, what patience is left.
        whole[in.classIndex()] = Math.max(in.budgetUs(), whole[in.classIndex()] * WHOLE_FADE);
        boolean repeat = in.repeat() || in.budgetUs() < WHOLE_TRY * whole[in.classIndex()];
        double worth = type.worth() * tenantWorth(in, now) * (repeat ? REPEAT_WORTH : 1);
        Req r = new Req(in, type, hash, now, worth, ++requests);
        open.put(in.id(), r);
        wanted++;
        retryTokens = Math.min(RETRY_MOST, retryTokens + RETRY_EARN);
        r.cautious = random.nextDouble() < (many ? CAUTION : CAUTION / 2) * strain;
        if (admits(r, now)) {
            place(r, now);
        } else {
            finish(r, now, UnservedReason.Cause.ADMISSION);
        }
        arm(now);
    }

    /**
     * Spends a saved admission, if enough would be left for worthier requests. Where endpoints say what they
     * hold, that is the evidence: a few late answers must not close the door to all.
     */
    private boolean admits(Req r, long now) {
        if (reports) {
            double share = (REFUSE_MOST - aims(r, reportedByAll(now))) / (REFUSE_MOST - REFUSE_FROM);
            admitted = Math.max(LEAST_LIMIT / (1 + lost), Math.min(1, share));
        }
        saved = admitted >= 1 ? MOST_SAVED : Math.min(MOST_SAVED, saved + admitted);
        if (saved < 1 + (MOST_SAVED - 1) * (1 - r.worth / mostWorth)) {
            return false;
        }
        saved--;
        return true;
    }

    /** Expected worth of a request of this tenant, as a share: what is beyond its own counts less. */
    private double tenantWorth(Request in, long now) {
        int t = in.tenant();
        if (t < 0 || t >= tenantRecent.length) {
            return 1;
        }
        double keep = Math.exp(-(now - tenantAt) / FORGET_US);
        tenantAt = now;
        tenantTotal = tenantTotal * keep + 1;
        for (int i = 0; i < tenantRecent.length; i++) {
            tenantRecent[i] *= keep;
        }
        tenantRecent[t]++;
        // Few requests meet by chance: one deviation is granted, or small tenants would always be over.
        double within = settings.tenantShares().get(t)
                * tenantTotal
                / Math.max(1e-9, tenantRecent[t] - Math.sqrt(tenantRecent[t]));
        return within >= 1 ? 1 : within + (1 - within) * settings.overShareWorth();
    }

    /** First placement, also after a probe. */
    private void place(Req r, long now) {
        Node n = pick(r, now);
        if (n == null) {
            hold(r, now);
        } else if (doubtful(r, n, now)) {
            probe(r, n, now);
        } else {
            dispatch(r, n, now);
        }
    }

    /** Whether to probe first: nothing came back promptly from there of late, and there is time for it. */
    private boolean doubtful(Req r, Node n, long now) {
        long patience = probePatience(r);
        return settings.limits().mayProbe()
                && many
                && r.cautious
                && strain > PROBE_PAYS * settings.probePrice()
                && r.probes < MOST_PROBES
                && now >= n.busyUntil
                && !n.ejected
                && now - n.promptAt > PROMPT_US
                && r.worthUntil() - now > 4 * patience;
    }

    private long probePatience(Req r) {
        return (long) Math.min(PROBE_AIM * r.type.targetLatencyUs(), PROBE_LAGS * usualLag[r.in.classIndex()]);
    }

    private void probe(Req r, Node n, long now) {
        r.probes++;
        r.probe = n;
        r.probeUntil = now + probePatience(r);
        nextProbe = Math.min(nextProbe, r.probeUntil);
        probing.add(r);
        out.probe(n.id);
    }

    @Override
    public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {
        Node n = nodes.get(endpointId);
        if (n == null) {
            return;
        }
        if (outcome == Outcome.OK) {
            n.lastAnswer = now;
        }
        // A probe that was not made tells nothing: its request goes where it was to go.
        boolean made = outcome != Outcome.IGNORED;
        endProbes(now, n, !made ? 0 : outcome == Outcome.OK ? lagUs : Long.MAX_VALUE);
        retryHeld(now);
        arm(now);
    }

    /** Sends on the requests whose probe came back, or took too long: then the endpoint is passed over. */
    private void endProbes(long now, Node back, long lag) {
        nextProbe = Long.MAX_VALUE;
        for (Req r : List.copyOf(probing)) {
            Node n = r.probe;
            boolean answered = n == back;
            if (answered || now >= r.probeUntil) {
                probing.remove(r);
                if (answered && lag <= probePatience(r)) {
                    n.promptAt = now;
                } else {
                    n.busyUntil = Math.max(n.busyUntil, now + probePatience(r));
                }
                place(r, now);
            } else {
                nextProbe = Math.min(nextProbe, r.probeUntil);
            }
        }
    }

    /** Sends, unless the answer would come too late to earn anything. */
    private void dispatch(Req r, Node n, long now) {
        if (usualLag[r.in.classIndex()] > r.worthUntil() - now) {
            finish(r, now, UnservedReason.Cause.TIME);
        } else {
            send(r, n, now);
        }
    }

    private void hold(Req r, long now) {
        if (r.holdUntil == 0) {
            r.holdUntil = now + holdUs(r, now);
        }
        if (now < r.holdUntil) {
            held.add(r);
            nextHold = Math.min(nextHold, r.holdUntil);
        } else {
            finish(r, now, null);
        }
    }

    private long holdUs(Req r, long now) {
        long usual = (long) (HOLD_AIM * (r.aimAt - now) * r.worth / mostWorth);
        if (!listOverdue(now)) {
            return usual;
        }
        long useful = (long) (r.worthUntil() - usualLag[r.in.classIndex()] - now);
        return Math.max(usual, Math.min((long) (OVERDUE_HOLD_PART * r.in.budgetUs()), useful));
    }

    /** Ends holds that are over; places the rest, worthiest first (between ends only the first few). */
    private void retryHeld(long now) {
        if (held.isEmpty() && now < nextHold) {
            return;
        }
        List<Req> first =
                now >= nextHold ? List.copyOf(held) : held.stream().limit(16).toList();
        nextHold = now >= nextHold ? Long.MAX_VALUE : nextHold;
        int stuck = 0;
        for (Req r : first) {
            boolean over = now >= r.holdUntil;
            boolean may = r.attempts.isEmpty() || mayResend(r, now);
            Node n = may && (over || stuck < 2) ? pick(r, now) : null;
            if (n != null) {
                held.remove(r);
                dispatch(r, n, now);
            } else if (over || !may) {
                finish(r, now, null);
            } else {
                stuck++;
                nextHold = Math.min(nextHold, r.holdUntil);
            }
        }
    }

    private void send(Req r, Node n, long now) {
        Attempt a = new Attempt(r, n, r.attempts.size(), now);
        r.attempts.add(a);
        r.outstanding++;
        n.outstanding.add(a);
        n.credit--;
        sends++;
        if (n.ejected && now >= n.ejectedUntil && n.trial == null) {
            n.trial = a;
        }
        if (now >= n.connectedUntil && opening == null) {
            opening = n;
        }
        out.send(r.in.id(), n.id, timeout(r, now));
    }

    /** An attempt ends when its answer is worth nothing, or earlier where another attempt could follow. */
    private long timeout(Req r, long now) {
        long left = Math.max(1, r.worthUntil() - now);
        int most = r.type.effect() == Effect.FRAGILE ? 0 : settings.limits().maxAttempts();
        double least = Math.max(ATTEMPT_PART * left, SILENT_LAGS * usualLag[r.in.classIndex()]);
        return r.attempts.size() < most ? (long) Math.min(left, least) : left;
    }

    // ---- effects -------------------------------------------------------------------------------------

    /** The earliest attempt that may have run or may yet; it binds what may follow. */
    static Attempt bond(Req r) {
        for (Attempt a : r.attempts) {
            if (a.mayHaveRun()) {
                return a;
            }
        }
        return null;
    }

    static boolean inGroup(Req r, Attempt bond, Node n) {
        return bond == null
                || r.type.effect() != Effect.DEDUP
                || r.type.scope() == DedupScope.ALL
                || (r.type.scope() == DedupScope.ZONE ? n.zone == bond.node.zone : n.cell == bond.node.cell);
    }

    /** Whether a further attempt is harmless, has time, and the retry budget allows it. */
    boolean mayResend(Req r, long now) {
        Attempt bond = bond(r);
        boolean harmless = bond == null
                || r.type.effect() == Effect.RETRYABLE
                || r.type.effect() == Effect.DEDUP && now < bond.at + r.type.dedupWindowUs();
        return harmless
                && r.attempts.size() < settings.limits().maxAttempts()
                && retryTokens >= cost(bond)
                && r.worthUntil() - now > usualLag[r.in.classIndex()] / 2;
    }

    /** What a retry takes of the budget. */
    double cost(Attempt bond) {
        return many && bond == null ? NEVER_RAN : 1;
    }

    private boolean mayRefuse(Req r) {
        return bond(r) == null
                || r.type.effect() == Effect.RETRYABLE
                || r.type.effect() == Effect.DEDUP && r.type.scope() == DedupScope.ALL;
    }

    /**
     * The final answer where none was served.
     *
     * @param why null: nobody could take it, or it may not be sent again
     */
    private void finish(Req r, long now, UnservedReason.Cause why) {
        drop(r);
        if (observer != null) {
            observer.requestUnserved(now, Why.of(this, r, now, why));
        }
        if (mayRefuse(r)) {
            long againInUs = Math.max(subscription.renewedInUs(now), r.type.targetLatencyUs() / 8);
            out.refuse(r.in.id(), Math.min(settings.limits().maxRetryAfterUs(), againInUs));
        } else {
            out.fail(r.in.id());
        }
        r.attempts.forEach(this::cancel);
    }

    @Override
    public void observe(Observer who) {
        observer = who;
    }

    /** Stops waiting for an attempt that is out and may be cancelled. */
    private void cancel(Attempt a) {
        if (a.outcome == null
                && !a.canceled
                && !a.streaming
                && settings.limits().mayCancel()) {
            a.canceled = true;
            out.cancel(a.req.in.id(), a.number);
        }
    }

    private void drop(Req r) {
        open.remove(r.in.id());
        held.remove(r);
        probing.remove(r);
        if (r.outstanding > 0) {
            ended.put(r.in.id(), r);
        }
    }

    // ---- outcomes ------------------------------------------------------------------------------------

    @Override
    public void onRequestAbandoned(long now, String id) {
        Req r = open.get(id);
        if (r != null) {
            drop(r);
            r.attempts.forEach(this::cancel);
        }
    }

    @Override
    public void onStreamStarted(long now, String id, int number) {
        Req r = open.get(id);
        if (r != null && number >= 0 && number < r.attempts.size()) {
            Attempt a = r.attempts.get(number);
            a.streaming = true;
            a.node.lastAnswer = now;
            // The work is done, or yet to come: meanwhile it takes no room from others.
            a.node.outstanding.remove(a);
        }
    }

    @Override
    public void onAttemptEnded(long now, AttemptEnd end) {
        Req r = open.get(end.requestId());
        boolean alive = r != null;
        r = alive ? r : ended.get(end.requestId());
        if (r == null
                || end.attempt() < 0
                || end.attempt() >= r.attempts.size()
                || r.attempts.get(end.attempt()).outcome != null) {
            return;
        }
        Attempt a = r.attempts.get(end.attempt());
        a.outcome = end.outcome();
        a.node.outstanding.remove(a);
        forget(a.node);
        r.outstanding--;
        if (r.outstanding == 0) {
            ended.remove(end.requestId());
        }
        look(now);
        learn(a, end, now);
        if (alive && end.requestDone()) {
            drop(r);
        } else if (alive && r.outstanding == 0) {
            again(r, now);
        }
        retryHeld(now);
        arm(now);
    }

    private void learn(Attempt a, AttemptEnd end, long now) {
        Node n = a.node;
        Outcome o = end.outcome();
        if (opening == n) {
            opening = null;
        }
        if (o == Outcome.OK || o == Outcome.FAILED || o == Outcome.QUEUE_FULL) {
            n.lastAnswer = now;
            n.connectedUntil = now + settings.limits().connIdleUs();
        }
        if (o == Outcome.OK && !a.streaming) {
            learnLag(a, end.latencyUs(), now, true);
        } else if ((o == Outcome.TIMED_OUT || o == Outcome.CANCELED && a.canceled) && crowded(a, end.latencyUs())) {
            // A loss tells of the endpoint only after an ordinary answer's time; else of the client.
            // It brings no report: where all are lost none comes, and the last word of them all still holds.
            reportedAt = now;
            lost = Math.min(MOST_LOST, lost + 1);
            learnLag(a, end.latencyUs(), now, false);
        }
        if (n.trial == a) {
            trialEnded(n, o, end.latencyUs(), a, now);
        } else if (o != Outcome.CANCELED && o != Outcome.IGNORED && o != Outcome.TIMED_OUT) {
            learnFailure(n, o, now);
        }
    }

    /** After a failed attempt: the next owner on the ring, or the final answer. */
    private void again(Req r, long now) {
        boolean may = mayResend(r, now);
        Node n = may ? pick(r, now) : null;
        if (n != null) {
            retryTokens -= cost(bond(r));
            wanted++;
            send(r, n, now);
        } else if (may && (many || listOverdue(now))) {
            hold(r, now);
        } else {
            finish(r, now, null);
        }
    }

    // ---- time ----------------------------------------------------------------------------------------

    @Override
    public void onTimer(long now) {
        look(now);
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
        if (now >= nextSweep) {
            nextSweep = now + SWEEP_US;
            sweep(now);
        }
        if (now >= nextProbe && now > wokeAt) {
            endProbes(now, null, 0);
        }
        retryHeld(now);
        arm(now);
    }

    /** A wake-up long overdue tells that this process stood still: nothing is judged by what it missed. */
    private void look(long now) {
        if (now - 2 * SWEEP_US > wakeAt) {
            wokeAt = now;
        }
    }

    /** Asks discovery if that is due, and sets the next wake-up while there is anything to wait for. */
    private void arm(long now) {
        long discoveryAt = subscription.act(now);
        long next = !open.isEmpty() ? Math.max(nextSweep, now + 1) : Long.MAX_VALUE;
        // A hold may be shorter than a sweep: a try with little time left must still be answered in it.
        next = Math.min(next, Math.max(Math.min(nextHold, nextProbe), now + 1));
        next = Math.min(next, Math.max(discoveryAt, now + 1));
        if (next < wakeAt) {
            wakeAt = next;
            out.wakeAt(next);
        }
    }
}
