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
import mulleinfront.State.EndpointState;
import mulleinfront.State.RequestState;

/**
 * The decision logic of the load balancer: admission, choice of endpoint, retries, outlier ejection and slow start.
 * {@link Balancer} declares its events, actions and settings, {@link State} holds what is recorded per endpoint and
 * request, and {@link Subscription} decides when to call discovery.
 *
 * <p>A request passes through these steps:
 *
 * <ol>
 *   <li>Admission. When many endpoints respond late or report long queues, only a share of the requests is admitted,
 *       those of the highest priority first; the others are refused.
 *   <li>Choice of endpoint, see {@link #pickEndpoint}. The request has a position on the hash ring: the hash of its
 *       key, or a random one if it has no key. The first usable endpoint from there takes it. Usable means ready, not
 *       ejected, allowed by the request's effect, within its slow start if cold, below its concurrency limit and within
 *       its bounded load. A request without a key opens at most one connection at a time (gRFC A76): while another is
 *       being opened, it prefers an endpoint that is already connected.
 *   <li>Probe. Under overload, and where the settings allow probes, some requests first probe the chosen endpoint and
 *       pass it over if the probe takes too long.
 *   <li>Queue. Without a usable endpoint the request waits in the proxy for a short time, highest priority first.
 *   <li>Retry. After a failed attempt the request goes to its next owner on the ring, provided that its effect, its
 *       remaining time and the retry budget permit it.
 * </ol>
 *
 * <p>A request that no endpoint served is refused if another try by the client is harmless, and failed otherwise. A
 * periodic sweep ejects unresponsive endpoints.
 */
final class Logic implements Balancer {

    // ---- constants -----------------------------------------------------------------------------------

    /** Ring points for a weight of 1: key shares deviate by about 1/sqrt(100), and merging stays cheap. */
    private static final int RING_POINTS_PER_WEIGHT = 100;
    /** Most and fewest ring points of an endpoint, so that a wrong listed weight cannot take over the ring. */
    private static final int MAX_RING_POINTS = 800;

    private static final int MIN_RING_POINTS = 20;
    /** Time between sweeps: short compared with any target latency, and rare compared with requests. */
    private static final long SWEEP_INTERVAL_US = 50_000;
    /** EWMA gain of an endpoint's failure rate: a few outliers do not eject it. */
    private static final double FAILURE_RATE_GAIN = 1.0 / 8;
    /** EWMA gain of what the results of all endpoints show: the overload ratio and the latency of each server type. */
    private static final double POOLED_GAIN = 1.0 / 16;
    /** Number of server types that are distinguished; a power of two, since types are masked with it. */
    private static final int MAX_KINDS = 64;
    /** Lowest capacity of a server type compared with the fastest one. */
    private static final double MIN_KIND_SPEED = 0.25;
    /** EWMA gain of a request class's mean latency and its mean deviation. */
    private static final double CLASS_LATENCY_GAIN = 1.0 / 64;
    /** Relative rise per second of a class's baseline latency, up to its mean latency. */
    private static final double BASELINE_RISE_PER_S = 0.03;
    /** Baseline latency before any response, as a fraction of the target: high, as it falls faster than it rises. */
    private static final double INITIAL_BASELINE_FRACTION = 0.25;
    /** A latency of this multiple of the baseline indicates overload ... */
    private static final double OVERLOAD_BASELINES = 3;
    /** ... as does this fraction of the target latency, if it is also above the last multiple of the baseline. */
    private static final double OVERLOAD_TARGET_FRACTION = 0.35;

    private static final double MIN_OVERLOAD_BASELINES = 1.5;
    /** Excess latency is jitter up to this many mean deviations, as in TCP's retransmission timer (RFC 6298) ... */
    private static final double JITTER_DEVIATIONS = 4;
    /** ... but at most this fraction of the target latency: clients notice more than that, however common it is. */
    private static final double JITTER_TARGET_FRACTION = 0.05;
    /** Multiplicative decrease of an endpoint's concurrency limit by a late response. */
    private static final double LATE_LIMIT_FACTOR = 0.85;
    /** The decrease by a lost attempt is larger: many instances with one attempt each add up to a heavy load. */
    private static final double LOSS_LIMIT_FACTOR = 0.6;
    /**
     * Most instances that count as few. Above this number each instance has few attempts of its own at an endpoint, so
     * it relies on results pooled over all endpoints, on load reports and on probes. A server can sustain about as many
     * attempts at once.
     */
    private static final int MAX_FEW_INSTANCES = 16;
    /** Share of requests that may be probed or moved by bounded load, per overload ratio; half with few instances. */
    private static final double PROBING_SHARE_SLOPE = 10;
    /** Share of late endpoints above which the cause is fleet-wide, and the slope up to the full decrease. */
    private static final double LATE_SHARE_THRESHOLD = 0.2;

    private static final double LATE_SHARE_SLOPE = 5;
    /** Relative decrease of the admitted share by a lost attempt (half by a late one), and increase by a timely one. */
    private static final double ADMISSION_DECREASE = 0.4;

    private static final double ADMISSION_INCREASE = 0.05;
    /** Burst of the admission token bucket; the lower a request's priority, the more tokens it must leave behind. */
    static final double ADMISSION_BURST = 3;
    /** Additive increase of a used concurrency limit per limit's worth of timely responses; per response at first. */
    private static final double LIMIT_INCREASE = 0.5;
    /** Relative increase of a concurrency limit below 1 by a timely response. */
    private static final double SMALL_LIMIT_RECOVERY = 0.2;
    /** Initial concurrency limit of an endpoint. */
    private static final double INITIAL_LIMIT = 2;
    /** Minimum of the concurrency limit and of the admitted share. */
    private static final double MIN_LIMIT = 0.1;
    /** Time constant with which a tenant's past requests decay. */
    private static final double TENANT_DECAY_US = 10_000_000;
    /** Bounded load: an owner takes up to this multiple of its fair share of the offered load. */
    private static final double BOUNDED_LOAD_FACTOR = 1.25;
    /** Time constant of the offered load: long, since each of many instances sees few requests. */
    private static final double OFFERED_LOAD_DECAY_US = 30_000_000;
    /** Endpoints per changed entry up to which weights are recomputed at once, so that the cost follows the change. */
    private static final int RECOMPUTED_PER_CHANGE = 64;
    /** Burst of a cold endpoint's token bucket. */
    private static final double COLD_BURST = 2;
    /** Usable owners among which a key's requests may spill: the key stays warm on few endpoints. */
    private static final int MAX_OWNERS = 3;
    /** The number of owners where endpoints report their load: a hot key needs as many as it has work for. */
    static final int MAX_OWNERS_WITH_REPORTS = 8;
    /** The number of owners where endpoints report load and are all busy. */
    private static final int MAX_OWNERS_WHEN_BUSY = 4;
    /** Queueing delays, as fractions of the target latency, from which some and from which all requests spill. */
    private static final double SPILL_START = 0.3;

    private static final double SPILL_FULL = 1.5;
    /**
     * Queueing delays, as fractions of the target latency, from which some and from which all requests without a key
     * pass an endpoint over even if all are equally busy: they have no owner worth waiting for, and a longer queue
     * slows the endpoint down.
     */
    private static final double KEYLESS_SKIP_START = 0.5;

    private static final double KEYLESS_SKIP_FULL = 1;
    /** Fraction of the mean load that is no reason to pass an endpoint over, since the others are no better. */
    private static final double COMMON_LOAD_FRACTION = 0.8;
    /** Mean queueing delays, as fractions of the target latency, from which requests are refused and most are. */
    private static final double REFUSE_START = 0.5;

    private static final double REFUSE_FULL = 1.5;
    /** Time constant with which an endpoint's report gives way to the mean: the next one may be seconds away. */
    private static final double REPORT_DECAY_US = 4_000_000;
    /**
     * Time without any report after which the mean load decays, and the time constant of the decay: an instance that
     * sends nothing receives no reports, and must not take endpoints for busy forever.
     */
    private static final long REPORT_GAP_US = 300_000;

    private static final double REPORT_GAP_DECAY_US = 2_000_000;
    /**
     * Most losses since the last report that are counted. Each slows the decay of the mean load and lowers the minimum
     * of admission: under congestion most tries are repeats, and sending them keeps the congestion up.
     */
    private static final int MAX_COUNTED_LOSSES = 7;
    /** EWMA gain of the mean load that endpoints report. */
    private static final double REPORTED_LOAD_GAIN = 0.08;
    /** Back-off from an endpoint that rejected a request; doubles with each rejection before the next success. */
    private static final long REJECTION_BACKOFF_US = 1_000_000;
    /** Most consecutive rejections that are counted: the back-off is at most 8 s. */
    private static final int MAX_COUNTED_REJECTIONS = 4;
    /** Fraction of a cold endpoint's overload factor up to which it receives work when the fleet is fully loaded. */
    private static final double COLD_OVERLOAD_FRACTION = 0.6;
    /** Retry tokens for a retry of a request that surely has not run: it cost the endpoint next to nothing. */
    private static final double UNEXECUTED_RETRY_COST = 0.2;
    /** Fraction of its concurrency limit up to which an endpoint takes requests that spill from their owner. */
    private static final double SPILL_LIMIT_FRACTION = 0.7;
    /** Smoothed failure rate at which an endpoint is ejected: three failures in a row reach it. */
    private static final double EJECT_FAILURE_RATE = 0.33;
    /**
     * An endpoint is unresponsive after this many baseline latencies without a response, and no earlier than after this
     * fraction of the target latency.
     */
    private static final double UNRESPONSIVE_BASELINES = 4;

    private static final double UNRESPONSIVE_TARGET_FRACTION = 0.4;
    /** Duration of a first ejection, and the longest to which it doubles when ejections follow each other soon. */
    private static final long BASE_EJECTION_US = 1_000_000;

    private static final long MAX_EJECTION_US = 8_000_000;
    /**
     * Fraction of the total weight up to which endpoints are ejected for failures or silence: beyond it the cause lies
     * elsewhere. Unreachable endpoints are always ejected.
     */
    private static final double MAX_EJECTED_FRACTION = 0.4;
    /** Retry tokens that each request earns, and the size of the retry budget. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.25;

    private static final double MAX_RETRY_TOKENS = 20;
    /** Fraction of the target latency for which a request of the highest priority may be queued. */
    private static final double QUEUE_TARGET_FRACTION = 0.4;
    /** Fraction of a request's budget for which it may be queued while the list has expired. */
    private static final double EXPIRED_LIST_QUEUE_FRACTION = 0.4;
    /** Priority of a repeat compared with a first try: part of its target latency passed before it arrived. */
    private static final double REPEAT_PRIORITY_FACTOR = 0.3;
    /** Fraction of the target latency, and baseline latencies, after which a probed endpoint is passed over as busy. */
    private static final double PROBE_TARGET_FRACTION = 0.12;

    private static final double PROBE_BASELINES = 2;
    /** Time after a timely response during which an endpoint needs no probe. */
    private static final long TIMELY_RESPONSE_VALID_US = 500_000;
    /** Overload ratio, per unit of a probe's price, above which probes are worth it. */
    private static final double PROBE_PRICE_FACTOR = 4;
    /** Most probes for one request. */
    private static final int MAX_PROBES = 3;
    /** A budget below this fraction of a first try's budget marks a repeat. */
    private static final double FIRST_TRY_BUDGET_FRACTION = 0.95;
    /** Decay per request of the largest budget seen, so that one large budget does not mark all later tries. */
    private static final double FIRST_TRY_BUDGET_DECAY = 0.999;
    /** Fraction of the remaining time that one attempt may use while another could follow. */
    private static final double ATTEMPT_TIME_FRACTION = 0.6;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    // ---- state ---------------------------------------------------------------------------------------

    final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final HashMap<String, EndpointState> endpoints = new HashMap<>();
    private final HashMap<String, RequestState> openRequests = new HashMap<>();
    /** Finished or abandoned requests with outstanding attempts, whose outcomes are still recorded. */
    private final HashMap<String, RequestState> endedRequests = new HashMap<>();
    /** Requests that wait for spare capacity: highest priority first, then the oldest. */
    private final TreeSet<RequestState> queued =
            new TreeSet<>(Comparator.comparingDouble((RequestState request) -> -request.priority)
                    .thenComparingLong(request -> request.sequenceNumber));
    /** Hash ring of the listed endpoints. */
    final Ring<EndpointState> ring = new Ring<>();
    /** Listed endpoints in order of listing; removal takes constant time. */
    final LinkedHashSet<EndpointState> listed = new LinkedHashSet<>();
    /** Smoothed latency of each request class. */
    private final double[] meanLatencyUs;
    /** Latency of each request class without queueing: follows the mean down at once and rises slowly. */
    final double[] baselineLatencyUs;
    /** Mean deviation of each class's latency; queueing in the proxy adds to it as much as the endpoints do. */
    private final double[] latencyDeviationUs;
    /** Decaying maximum of the budgets of each class: the budget of a first try. */
    private final double[] firstTryBudgetUs;
    /** Decaying number of recent requests of each tenant. */
    private final double[] tenantRequests;
    /** Highest value of a request class. */
    final double maxWorth;
    /** Safest effect among the request classes; half-open probes are requests of it. */
    private final Effect safestEffect;

    private final boolean manyInstances;
    /** Makes the draws of many instances differ: without it all would draw alike for the first request of a key. */
    private final long salt;
    /** Latency relative to the baseline by server type: with little traffic no single endpoint shows it. */
    private final double[] kindLatencyRatio = new double[MAX_KINDS];
    /** Decaying number of recent requests of all tenants, and the time of the last decay. */
    private double totalTenantRequests;

    private long tenantsDecayedAt;
    /** Capacity of all usable endpoints, and the decaying offered load; see {@link #recomputeWeights}. */
    double totalCapacity;

    private double totalOfferedLoad;
    /** Lowest latency ratio of the listed server types when weights were last recomputed. */
    private double bestKindRatio = 1;
    /** Listed weight of all endpoints, and of the ejected ones among them. */
    double totalWeight;

    private double ejectedWeight;
    /** Smoothed share of late or lost responses over all endpoints. */
    double overloadRatio;
    /** Share of the endpoints with a recent result whose last result was late or lost: each counts once. */
    double lateShare;

    private long weightsComputedAt = Long.MIN_VALUE / 2;
    /** Share of requests that are admitted, and the tokens of the admission bucket. */
    double admittedShare = 1;

    double admissionTokens = ADMISSION_BURST;
    double retryTokens = MAX_RETRY_TOKENS / 2;
    /** Attempts sent. */
    private long sentAttempts;
    /** Attempts requested, sent or not; with many instances, cold endpoints earn tokens by this count. */
    private long requestedAttempts;
    /** Largest total weight listed so far: the fleet for which the load is dimensioned. */
    private double maxTotalWeight;
    /** Smoothed in-flight requests reported per unit of size, and the time of the last report or loss. */
    private double meanReportedLoad;

    private long reportedAt = Long.MIN_VALUE / 2;
    /** Losses since the last report. */
    private int lossesSinceReport;
    /** Whether any endpoint has reported its load. */
    private boolean loadReported;
    /** Endpoint to which a connection is being opened, or null. */
    private EndpointState connecting;
    /** Number of the current walk over the ring or a list; marks the endpoints visited by it. */
    int visitNumber;

    private long requestCount;
    final long createdAt;
    private Observer observer;
    private long nextWakeAt = Long.MAX_VALUE;
    /** End of the last stall of this process. */
    private long resumedAt = Long.MIN_VALUE / 2;

    private long nextSweepAt;
    /** Earliest end of a queued request's wait. */
    private long nextQueueTimeoutAt = Long.MAX_VALUE;
    /** Requests that wait for the result of a probe. */
    private final List<RequestState> awaitingProbe = new ArrayList<>();
    /** Earliest timeout of a probe. */
    private long nextProbeTimeoutAt = Long.MAX_VALUE;
    /** Time up to which the list was known to be current. */
    private long listCurrentAt = Long.MIN_VALUE / 2;

    private final Subscription subscription;

    Logic(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.baselineLatencyUs = new double[settings.classes().size()];
        this.meanLatencyUs = new double[baselineLatencyUs.length];
        this.latencyDeviationUs = new double[baselineLatencyUs.length];
        this.firstTryBudgetUs = new double[baselineLatencyUs.length];
        this.tenantRequests = new double[settings.tenantShares().size()];
        Arrays.setAll(
                baselineLatencyUs,
                i -> meanLatencyUs[i] = settings.classes().get(i).targetLatencyUs() * INITIAL_BASELINE_FRACTION);
        Arrays.setAll(latencyDeviationUs, i -> settings.classes().get(i).targetLatencyUs() * JITTER_TARGET_FRACTION);
        Arrays.fill(kindLatencyRatio, 1);
        this.maxWorth =
                settings.classes().stream().mapToDouble(RequestClass::worth).reduce(1e-9, Math::max);
        this.safestEffect = settings.classes().stream()
                .map(RequestClass::effect)
                .sorted()
                .iterator()
                .next();
        this.manyInstances = settings.instances() > MAX_FEW_INSTANCES;
        this.salt = manyInstances ? seed : 0;
        this.createdAt = now;
        this.tenantsDecayedAt = now;
        this.nextSweepAt = now + SWEEP_INTERVAL_US;
        this.subscription = new Subscription(settings, MAX_FEW_INSTANCES, seed, now, actions);
        scheduleNext(now);
    }

    // ---- discovery -----------------------------------------------------------------------------------

    @Override
    public void onEndpoints(long now, Source source, List<Endpoint> entries) {
        subscription.listReceived(now, source, entries.isEmpty());
        visitNumber++;
        if (source == Source.DELTA) {
            // The watch had delivered every earlier change.
            listCurrentAt = now;
        }
        for (Endpoint entry : entries) {
            EndpointState endpoint = endpoints.get(entry.id());
            if (entry.availability() != Availability.GONE) {
                endpoint = endpoint != null
                        ? endpoint
                        : new EndpointState(entry.id(), HASH.hashCharsToLong(entry.id()), INITIAL_LIMIT);
                endpoints.put(entry.id(), endpoint);
                endpoint.lastVisit = visitNumber;
                updateEndpoint(endpoint, entry, now);
            } else if (endpoint != null && endpoint.onRing) {
                removeFromRing(endpoint);
            }
        }
        if (source != Source.DELTA) {
            List.copyOf(listed).stream()
                    .filter(endpoint -> endpoint.lastVisit != visitNumber)
                    .forEach(this::removeFromRing);
        }
        if (source != Source.CACHED) {
            listCurrentAt = now;
        }
        ring.merge();
        if (listed.size() <= RECOMPUTED_PER_CHANGE * entries.size()) {
            recomputeWeights(now);
        }
        retryQueued(now);
        scheduleNext(now);
    }

    private void updateEndpoint(EndpointState endpoint, Endpoint entry, long now) {
        adjustWeights(endpoint, -1);
        endpoint.zone = entry.zone();
        endpoint.kind = entry.kind() & MAX_KINDS - 1;
        endpoint.cell = entry.cell();
        endpoint.weight = entry.weight() > 0 ? entry.weight() : 1;
        boolean restarted =
                entry.startedAtUs() != 0 && entry.startedAtUs() != endpoint.startedAt && !endpoint.unreachable;
        if (restarted || !endpoint.onRing) {
            // A new process: the old one's statistics no longer apply, and it is cold.
            readmit(endpoint);
            endpoint.startedAt = entry.startedAtUs();
            if (entry.startedAtUs() != 0) {
                beginSlowStart(endpoint, StartTimes.slowStartFrom(entry.startedAtUs(), listCurrentAt, now));
            }
        }
        if (!endpoint.onRing) {
            addToRing(endpoint);
        }
        endpoint.ready = entry.availability() == Availability.READY;
        adjustWeights(endpoint, 1);
        updateCapacity(endpoint, now);
    }

    @Override
    public void onDiscoveryFailed(long now) {
        subscription.callFailed(now);
        scheduleNext(now);
    }

    @Override
    public void onDiscoveryFailed(long now, long quietUs) {
        subscription.watchLost(now, quietUs);
        scheduleNext(now);
    }

    @Override
    public void onDiscoveryUnreachable(long now) {
        subscription.unreachable(now);
        scheduleNext(now);
    }

    @Override
    public void onProcessStart(long now, long agoUs) {
        subscription.processStarted(now, agoUs);
        scheduleNext(now);
    }

    @Override
    public void onWatchEnded(long now) {
        subscription.watchEnded(now);
        scheduleNext(now);
    }

    @Override
    public void onDiscoveryCalled(long now) {
        subscription.called(now);
        scheduleNext(now);
    }

    @Override
    public void onDiscoveryMoved(long now, long movedAgoUs, long quietUs) {
        subscription.moved(now, movedAgoUs, quietUs);
        scheduleNext(now);
    }

    @Override
    public void onTimedOutCallAnswered(long now, long startedAgoUs) {
        subscription.timedOutCallAnswered(now, startedAgoUs);
        scheduleNext(now);
    }

    /** Whether the list has expired: nothing may be sent until it is renewed. */
    boolean listExpired(long now) {
        return subscription.expired(now);
    }

    // ---- the ring ------------------------------------------------------------------------------------

    private void addToRing(EndpointState endpoint) {
        endpoint.onRing = true;
        listed.add(endpoint);
        endpoint.ringPoints = (int) Math.max(
                MIN_RING_POINTS,
                Math.min(MAX_RING_POINTS, Math.round(RING_POINTS_PER_WEIGHT * relativeSize(endpoint))));
        ring.add(endpoint, ringPoints(endpoint));
    }

    private static long[] ringPoints(EndpointState endpoint) {
        long[] points = new long[endpoint.ringPoints];
        Arrays.setAll(points, k -> HASH.hashLongLongToLong(endpoint.hash, k));
        return points;
    }

    private void removeFromRing(EndpointState endpoint) {
        adjustWeights(endpoint, -1);
        totalCapacity -= endpoint.countedCapacity;
        endpoint.countedCapacity = 0;
        endpoint.onRing = false;
        endpoint.ready = false;
        listed.remove(endpoint);
        ring.remove(endpoint, ringPoints(endpoint));
        discardIfUnused(endpoint);
    }

    /** Adds a listed endpoint's weight to the sums ({@code sign} 1) or subtracts it (-1). */
    private void adjustWeights(EndpointState endpoint, int sign) {
        totalWeight += endpoint.onRing ? sign * endpoint.weight : 0;
        ejectedWeight += endpoint.onRing && endpoint.ejected ? sign * endpoint.weight : 0;
    }

    /** Discards an endpoint that is no longer listed and has no outstanding attempts. */
    private void discardIfUnused(EndpointState endpoint) {
        if (!endpoint.onRing && endpoint.outstanding.isEmpty()) {
            endpoints.remove(endpoint.id, endpoint);
        }
    }

    /** Listed weight, or 1 where weights follow load: such weights would move keys with every list. */
    private double relativeSize(EndpointState endpoint) {
        return settings.weightsVary() ? 1 : endpoint.weight;
    }

    /**
     * Walks the ring from the request's hash to the endpoint that is to serve it.
     *
     * @return the endpoint, or null if none may take the request now
     */
    private EndpointState pickEndpoint(RequestState request, long now) {
        if (listExpired(now)) {
            return null;
        }
        if (now - weightsComputedAt >= SWEEP_INTERVAL_US) {
            recomputeWeights(now);
        }
        // The offered load counts a request when it is first placed, and again after each probe.
        double newLoad = request.attempts.isEmpty() && request.queuedUntil == 0 ? 1 : 0;
        totalOfferedLoad += newLoad;
        Attempt pinned = pinnedAttempt(request);
        boolean keyless = request.arrival.key() == null;
        visitNumber++;
        int unvisited = listed.size();
        EndpointState fallback = null;
        boolean fallbackBusy = false;
        EndpointState ejectedFallback = null;
        int usableOwners = 0;
        ring.seek(request.hash);
        int maxOwners = !loadReported
                ? MAX_OWNERS
                : delayFraction(request, meanLoad(now)) < SPILL_START ? MAX_OWNERS_WITH_REPORTS : MAX_OWNERS_WHEN_BUSY;
        while (unvisited > 0 && (usableOwners < maxOwners || keyless)) {
            EndpointState endpoint = ring.next();
            if (endpoint.lastVisit == visitNumber) {
                continue;
            }
            endpoint.lastVisit = visitNumber;
            unvisited--;
            boolean tried = !request.attempts.isEmpty()
                    && request.attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
            if (!endpoint.ready
                    || tried
                    || now < endpoint.backoffUntil
                    || !inDedupGroup(request, pinned, endpoint)
                    || !slowStartPermits(endpoint, now)) {
                continue;
            }
            if (endpoint.ejected) {
                if (halfOpenProbeDue(endpoint, request, now)) {
                    return endpoint;
                }
                ejectedFallback = ejectedFallback == null && !endpoint.unreachable ? endpoint : ejectedFallback;
                continue;
            }
            endpoint.offeredLoad += newLoad;
            boolean busy = now < endpoint.busyUntil;
            usableOwners += busy && usableOwners > 0 ? 0 : 1;
            // Where all are busy, a key had better wait for its owner than warm up further endpoints.
            if (!hasSpareCapacity(endpoint, request, usableOwners == 1 || keyless ? 1 : SPILL_LIMIT_FRACTION)) {
                continue;
            }
            if (loadReported && skipsForLoad(request, endpoint, now)) {
                continue;
            }
            boolean awaitConnection =
                    keyless && now >= endpoint.connectedUntil && connecting != null && connecting != endpoint;
            // A fragile request prefers endpoints without a recent failure.
            boolean reliable =
                    request.requestClass.effect() != Effect.FRAGILE || endpoint.failureRate < FAILURE_RATE_GAIN;
            if (!awaitConnection && !busy && reliable && withinBoundedLoad(request, endpoint)) {
                return endpoint;
            }
            if (fallback == null || fallbackBusy && !awaitConnection && !busy) {
                fallback = endpoint;
                fallbackBusy = awaitConnection || busy;
            }
        }
        return usableOwners > 0 ? fallback : ejectedFallback;
    }

    /**
     * Whether an endpoint may take the request under bounded load. The endpoint takes the share of its offered load
     * that keeps it, in expectation, within {@link #BOUNDED_LOAD_FACTOR} times its fair share of all load. The offered
     * load is summed over time, since an instance that sends little cannot recognise a hot key by its own outstanding
     * attempts. Half a standard deviation is subtracted as chance.
     */
    private boolean withinBoundedLoad(RequestState request, EndpointState endpoint) {
        double endpointLoad = endpoint.offeredLoad - 0.5 * Math.sqrt(endpoint.offeredLoad);
        return !request.inProbingShare
                || endpointLoad <= 0
                || fixedRandom(request, endpoint) * endpointLoad
                        < BOUNDED_LOAD_FACTOR * totalOfferedLoad * endpoint.capacity / totalCapacity;
    }

    /** Recomputes the capacity of each endpoint (size, slow start, speed of its server type) and decays old values. */
    private void recomputeWeights(long now) {
        double decay = Math.exp((double) (weightsComputedAt - now) / OFFERED_LOAD_DECAY_US);
        weightsComputedAt = now;
        totalOfferedLoad *= decay;
        totalCapacity = 0;
        totalWeight = 0;
        ejectedWeight = 0;
        bestKindRatio = listed.stream()
                .mapToDouble(endpoint -> kindLatencyRatio[endpoint.kind])
                .min()
                .orElse(1);
        double samples = 1;
        double lateSamples = 0;
        for (EndpointState endpoint : listed) {
            if (now - endpoint.lastSampleAt < OFFERED_LOAD_DECAY_US) {
                samples++;
                lateSamples += endpoint.lastSampleLate ? 1 : 0;
            }
            endpoint.offeredLoad *= decay;
            endpoint.concurrencyLimit = endpoint.concurrencyLimit < 1
                    ? Math.min(1, endpoint.concurrencyLimit / decay)
                    : endpoint.concurrencyLimit;
            endpoint.countedCapacity = 0;
            updateCapacity(endpoint, now);
            adjustWeights(endpoint, 1);
        }
        lateShare = lateSamples / samples;
    }

    /** Recomputes one endpoint's capacity and its contribution to the total. */
    private void updateCapacity(EndpointState endpoint, long now) {
        endpoint.capacity = relativeSize(endpoint)
                * slowStartShare(endpoint, now)
                * Math.max(MIN_KIND_SPEED, bestKindRatio / kindLatencyRatio[endpoint.kind]);
        totalCapacity -= endpoint.countedCapacity;
        endpoint.countedCapacity =
                endpoint.ready && !endpoint.ejected && now >= endpoint.backoffUntil ? endpoint.capacity : 0;
        totalCapacity += endpoint.countedCapacity;
    }

    // ---- slow start ----------------------------------------------------------------------------------

    /** The share of its capacity that a cold endpoint has at least: rises linearly over the slow start. */
    private double slowStartShare(EndpointState endpoint, long now) {
        if (!endpoint.cold) {
            return 1;
        }
        Contract contract = settings.contract();
        double progress = contract.coldUs() == 0 ? 1 : Math.max(0.0, now - endpoint.slowStartFrom) / contract.coldUs();
        endpoint.cold = progress < 1;
        return Math.min(1, contract.coldFrom() + (1 - contract.coldFrom()) * progress);
    }

    /**
     * Whether an endpoint is warm or has a token for another request. A cold endpoint earns tokens as its share, by
     * ramped capacity, of what this instance sends to all endpoints, from a random initial value below one. So the sum
     * over all instances is the endpoint's share from the start, however many instances there are and however little
     * each of them sends.
     *
     * <p>With many instances, tokens are earned by requested rather than sent attempts: a fleet that is cold as a whole
     * refuses much, so an instance would send little, earn few tokens and go on refusing. They are also limited to what
     * the cold endpoint sustains if the load is all that the warm fleet can serve, however few others are left.
     */
    private boolean slowStartPermits(EndpointState endpoint, long now) {
        if (endpoint.cold) {
            maxTotalWeight = Math.max(maxTotalWeight, totalWeight);
            endpoint.coldTokens = refilledColdTokens(endpoint, now);
            endpoint.coldTokensRefillCount = manyInstances ? requestedAttempts : sentAttempts;
        }
        return !endpoint.cold || endpoint.coldTokens >= 1;
    }

    /** Tokens of a cold endpoint at this moment: the requests that it may be sent. */
    double refilledColdTokens(EndpointState endpoint, long now) {
        double ownCapacity = relativeSize(endpoint) * slowStartShare(endpoint, now);
        double share = ownCapacity / Math.max(totalCapacity, ownCapacity);
        if (manyInstances) {
            double sustainable = COLD_OVERLOAD_FRACTION * settings.contract().overloadFactor();
            share = Math.min(share, sustainable * ownCapacity / Math.max(maxTotalWeight, ownCapacity));
        }
        return Math.min(
                COLD_BURST,
                endpoint.coldTokens
                        + share
                                * ((manyInstances ? requestedAttempts : sentAttempts)
                                        - endpoint.coldTokensRefillCount));
    }

    // ---- load reports --------------------------------------------------------------------------------

    /**
     * Records the requests that an endpoint has in flight from all instances, which an instance that sends it little
     * cannot see from its own attempts. With few instances, reports are ignored: their own attempts show more than
     * reports, which are old.
     */
    @Override
    public void onLoadReport(long now, String endpointId, double inFlight) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint == null || !manyInstances) {
            return;
        }
        loadReported = true;
        endpoint.reportedLoad = inFlight / relativeSize(endpoint);
        endpoint.reportedAt = now;
        double mean = meanLoad(now);
        meanReportedLoad = mean + (endpoint.reportedLoad - mean) * REPORTED_LOAD_GAIN;
        reportedAt = now;
        lossesSinceReport = 0;
    }

    /** Mean load of the endpoints per unit of size; decays while no reports arrive. */
    double meanLoad(long now) {
        double untilDecayUs = Math.min(0, reportedAt + REPORT_GAP_US - now);
        return meanReportedLoad * Math.exp(untilDecayUs / (REPORT_GAP_DECAY_US * (1 + lossesSinceReport)));
    }

    /** Estimated load of an endpoint per unit of size: its last report, which gives way to the mean with age. */
    private double estimatedLoad(EndpointState endpoint, long now) {
        double freshness = Math.exp((endpoint.reportedAt - now) / REPORT_DECAY_US);
        return freshness * endpoint.reportedLoad + (1 - freshness) * meanLoad(now);
    }

    /** Expected queueing delay as a fraction of the request's target latency. */
    private double delayFraction(RequestState request, double load) {
        return load * baselineLatencyUs[request.arrival.classIndex()] / request.requestClass.targetLatencyUs();
    }

    /**
     * Whether a request passes an endpoint over because of its queue. The probability rises with the queue: all
     * instances learn of the same queue at about the same time, and with a threshold they would all move together.
     */
    private boolean skipsForLoad(RequestState request, EndpointState endpoint, long now) {
        double load = estimatedLoad(endpoint, now);
        return skipsAtRandom(request, endpoint, load - COMMON_LOAD_FRACTION * meanLoad(now), SPILL_START, SPILL_FULL)
                || request.arrival.key() == null
                        && skipsAtRandom(request, endpoint, load, KEYLESS_SKIP_START, KEYLESS_SKIP_FULL);
    }

    /** Draws whether a queue is too long: never up to the delay {@code start}, always from {@code full} on. */
    private boolean skipsAtRandom(
            RequestState request, EndpointState endpoint, double load, double start, double full) {
        double delay = delayFraction(request, load);
        return delay > start && fixedRandom(request, endpoint) * (full - start) < delay - start;
    }

    // ---- health --------------------------------------------------------------------------------------

    /** Updates latencies, the overload ratio, admission and the endpoint's limit by a response or a loss. */
    private void recordLatency(Attempt attempt, long latencyUs, long now, boolean served) {
        int classIndex = attempt.request.arrival.classIndex();
        EndpointState endpoint = attempt.endpoint;
        kindLatencyRatio[endpoint.kind] +=
                (Math.min(latencyUs / baselineLatencyUs[classIndex], 20) - kindLatencyRatio[endpoint.kind])
                        * POOLED_GAIN;
        boolean late = !served || indicatesOverload(attempt, latencyUs);
        endpoint.lastSampleLate = late;
        endpoint.lastSampleAt = now;
        overloadRatio += ((late ? 1 : 0) - overloadRatio) * POOLED_GAIN;
        if (served) {
            latencyDeviationUs[classIndex] +=
                    (Math.abs(latencyUs - meanLatencyUs[classIndex]) - latencyDeviationUs[classIndex])
                            * CLASS_LATENCY_GAIN;
            meanLatencyUs[classIndex] += (latencyUs - meanLatencyUs[classIndex]) * CLASS_LATENCY_GAIN;
            baselineLatencyUs[classIndex] = Math.min(baselineLatencyUs[classIndex], meanLatencyUs[classIndex]);
        }
        if (late) {
            double fleetWideFactor =
                    manyInstances ? Math.max(0, Math.min(1, LATE_SHARE_SLOPE * (lateShare - LATE_SHARE_THRESHOLD))) : 0;
            double decrease = (served ? ADMISSION_DECREASE / 2 : ADMISSION_DECREASE) * fleetWideFactor;
            admittedShare = Math.max(MIN_LIMIT, admittedShare * (1 - decrease));
            endpoint.limitEverReduced = true;
            double usedLimit = manyInstances
                    ? Math.min(endpoint.concurrencyLimit, endpoint.outstanding.size() + 1)
                    : endpoint.concurrencyLimit;
            endpoint.concurrencyLimit =
                    Math.max(MIN_LIMIT, (served ? LATE_LIMIT_FACTOR : LOSS_LIMIT_FACTOR) * usedLimit);
            return;
        }
        admittedShare = Math.min(1, admittedShare + ADMISSION_INCREASE);
        endpoint.lastTimelyAt = now;
        if (endpoint.outstanding.size() + 1 >= endpoint.concurrencyLimit / 2) {
            endpoint.concurrencyLimit += !endpoint.limitEverReduced
                    ? LIMIT_INCREASE
                    : endpoint.concurrencyLimit < 1
                            ? SMALL_LIMIT_RECOVERY * endpoint.concurrencyLimit
                            : LIMIT_INCREASE / endpoint.concurrencyLimit;
        }
    }

    /** Whether a latency indicates overload; never if this process stalled after the attempt was sent. */
    private boolean indicatesOverload(Attempt attempt, long latencyUs) {
        int classIndex = attempt.request.arrival.classIndex();
        double baselineUs = baselineLatencyUs[classIndex];
        double jitterUs = Math.min(
                JITTER_TARGET_FRACTION * attempt.request.requestClass.targetLatencyUs(),
                JITTER_DEVIATIONS * latencyDeviationUs[classIndex]);
        return attempt.sentAt >= resumedAt
                && latencyUs - baselineUs > jitterUs
                && latencyUs
                        > Math.min(
                                OVERLOAD_BASELINES * baselineUs,
                                Math.max(
                                        OVERLOAD_TARGET_FRACTION * attempt.request.requestClass.targetLatencyUs(),
                                        MIN_OVERLOAD_BASELINES * baselineUs));
    }

    /** Whether the concurrency limit leaves spare capacity; a limit below 1 is the share of requests that may go. */
    boolean hasSpareCapacity(EndpointState endpoint, RequestState request, double limitFraction) {
        int outstanding = endpoint.outstanding.size();
        double allowed = limitFraction * endpoint.concurrencyLimit;
        return allowed >= 1 ? outstanding + 1 <= allowed : outstanding == 0 && fixedRandom(request, endpoint) < allowed;
    }

    /** Random number in [0, 1) that is fixed for a request and an endpoint, so that waiting does not change it. */
    private double fixedRandom(RequestState request, EndpointState endpoint) {
        long drawKey = request.sequenceNumber * 0x9e3779b97f4a7c15L ^ request.hash ^ salt;
        return (HASH.hashLongLongToLong(drawKey, endpoint.hash) >>> 11) * 0x1p-53;
    }

    private void recordOutcome(EndpointState endpoint, Outcome outcome, long now) {
        boolean failed = outcome != Outcome.OK && outcome != Outcome.QUEUE_FULL;
        endpoint.failureRate += ((failed ? 1 : 0) - endpoint.failureRate) * FAILURE_RATE_GAIN;
        if (outcome != Outcome.QUEUE_FULL) {
            endpoint.consecutiveRejections = outcome == Outcome.OK ? 0 : endpoint.consecutiveRejections;
        } else if (manyInstances) {
            // The endpoint is full, or it drains and the list does not show that yet. Without a back-off each of the
            // many instances would go on sending to it.
            endpoint.consecutiveRejections = Math.min(MAX_COUNTED_REJECTIONS, endpoint.consecutiveRejections + 1);
            endpoint.backoffUntil = now + (REJECTION_BACKOFF_US << endpoint.consecutiveRejections - 1);
            updateCapacity(endpoint, now);
        }
        if (outcome == Outcome.CONNECT_ERROR) {
            endpoint.connectedUntil = now;
            eject(endpoint, now, true);
        } else if (failed && endpoint.failureRate >= EJECT_FAILURE_RATE) {
            eject(endpoint, now, false);
        }
    }

    /** Ejects an endpoint, unless it is reachable and too many would be ejected: then the cause lies elsewhere. */
    private void eject(EndpointState endpoint, long now, boolean unreachable) {
        if (!endpoint.onRing || endpoint.ejected && now < endpoint.ejectedUntil) {
            return;
        }
        if (!unreachable && !endpoint.ejected && ejectedWeight + endpoint.weight > MAX_EJECTED_FRACTION * totalWeight) {
            return;
        }
        ejectedWeight += endpoint.ejected ? 0 : endpoint.weight;
        boolean repeated = now - endpoint.ejectedUntil < MAX_EJECTION_US && endpoint.ejectionUs > 0;
        endpoint.ejectionUs = repeated ? Math.min(2 * endpoint.ejectionUs, MAX_EJECTION_US) : BASE_EJECTION_US;
        endpoint.ejectedUntil = now + endpoint.ejectionUs;
        endpoint.ejected = true;
        endpoint.unreachable |= unreachable;
        endpoint.halfOpenProbe = null;
    }

    /** Whether this request may be the half-open probe: after an ejection one at a time, of the safest effect. */
    private boolean halfOpenProbeDue(EndpointState endpoint, RequestState request, long now) {
        return now >= endpoint.ejectedUntil
                && endpoint.halfOpenProbe == null
                && request.requestClass.effect() == safestEffect;
    }

    private void halfOpenProbeEnded(
            EndpointState endpoint, Outcome outcome, long latencyUs, Attempt attempt, long now) {
        endpoint.halfOpenProbe = null;
        boolean wasUnreachable = endpoint.unreachable;
        if (outcome != Outcome.OK || indicatesOverload(attempt, latencyUs)) {
            eject(endpoint, now, wasUnreachable && outcome == Outcome.CONNECT_ERROR);
            return;
        }
        adjustWeights(endpoint, -1);
        readmit(endpoint);
        adjustWeights(endpoint, 1);
        if (wasUnreachable) {
            // It was unreachable, so its process may have restarted, whether or not discovery reports that.
            beginSlowStart(endpoint, now);
        }
    }

    /** Begins the slow start of an endpoint whose process started at the given time. */
    private void beginSlowStart(EndpointState endpoint, long startedAt) {
        endpoint.cold = true;
        endpoint.slowStartFrom = startedAt;
        endpoint.coldTokens = random.nextDouble();
        endpoint.coldTokensRefillCount = manyInstances ? requestedAttempts : sentAttempts;
    }

    private static void readmit(EndpointState endpoint) {
        endpoint.consecutiveRejections = 0;
        endpoint.backoffUntil = 0;
        endpoint.ejected = false;
        endpoint.unreachable = false;
        endpoint.halfOpenProbe = null;
        endpoint.failureRate = 0;
        endpoint.concurrencyLimit = INITIAL_LIMIT;
    }

    /** Ejects unresponsive endpoints and cancels attempts that wait for them where a retry is permitted. */
    private void sweep(long now) {
        for (int classIndex = 0; classIndex < baselineLatencyUs.length; classIndex++) {
            baselineLatencyUs[classIndex] = Math.min(
                    meanLatencyUs[classIndex],
                    baselineLatencyUs[classIndex] * (1 + BASELINE_RISE_PER_S * SWEEP_INTERVAL_US / 1e6));
        }
        recomputeWeights(now);
        for (EndpointState endpoint : listed) {
            if (isUnresponsive(endpoint, now)) {
                eject(endpoint, now, false);
                endpoint.outstanding.stream()
                        .filter(attempt ->
                                endpoint.ejected && openRequests.get(attempt.request.arrival.id()) == attempt.request)
                        .filter(attempt -> mayRetry(attempt.request, now))
                        .forEach(this::cancel);
            }
        }
    }

    private boolean isUnresponsive(EndpointState endpoint, long now) {
        for (Attempt attempt : endpoint.outstanding) {
            if (!attempt.canceled) {
                double baselineUs = baselineLatencyUs[attempt.request.arrival.classIndex()];
                double timeoutUs = Math.max(
                        UNRESPONSIVE_BASELINES * baselineUs,
                        UNRESPONSIVE_TARGET_FRACTION * attempt.request.requestClass.targetLatencyUs());
                return now - Math.max(Math.max(attempt.sentAt, endpoint.lastResponseAt), resumedAt) > timeoutUs;
            }
        }
        return false;
    }

    // ---- requests ------------------------------------------------------------------------------------

    @Override
    public void onRequest(long now, Request arrival) {
        if (openRequests.containsKey(arrival.id())
                || arrival.classIndex() < 0
                || arrival.classIndex() >= baselineLatencyUs.length) {
            return;
        }
        long hash = arrival.key() != null ? HASH.hashCharsToLong(arrival.key()) : random.nextLong();
        RequestClass requestClass = settings.classes().get(arrival.classIndex());
        // A repeat that the client did not mark has a smaller budget than recent first tries: the time that is left.
        firstTryBudgetUs[arrival.classIndex()] =
                Math.max(arrival.budgetUs(), firstTryBudgetUs[arrival.classIndex()] * FIRST_TRY_BUDGET_DECAY);
        boolean repeat = arrival.repeat()
                || arrival.budgetUs() < FIRST_TRY_BUDGET_FRACTION * firstTryBudgetUs[arrival.classIndex()];
        double priority = requestClass.worth() * tenantFactor(arrival, now) * (repeat ? REPEAT_PRIORITY_FACTOR : 1);
        RequestState request = new RequestState(arrival, requestClass, hash, now, priority, ++requestCount);
        openRequests.put(arrival.id(), request);
        requestedAttempts++;
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        request.inProbingShare =
                random.nextDouble() < (manyInstances ? PROBING_SHARE_SLOPE : PROBING_SHARE_SLOPE / 2) * overloadRatio;
        if (takeAdmissionToken(request, now)) {
            place(request, now);
        } else {
            finishUnserved(request, now, UnservedReason.Cause.ADMISSION);
        }
        scheduleNext(now);
    }

    /**
     * Takes an admission token, if enough are left for requests of higher priority. Where endpoints report their load,
     * the admitted share follows these reports, so that a few late responses do not stop admission.
     */
    private boolean takeAdmissionToken(RequestState request, long now) {
        if (loadReported) {
            double share = (REFUSE_FULL - delayFraction(request, meanLoad(now))) / (REFUSE_FULL - REFUSE_START);
            admittedShare = Math.max(MIN_LIMIT / (1 + lossesSinceReport), Math.min(1, share));
        }
        admissionTokens =
                admittedShare >= 1 ? ADMISSION_BURST : Math.min(ADMISSION_BURST, admissionTokens + admittedShare);
        if (admissionTokens < 1 + (ADMISSION_BURST - 1) * (1 - request.priority / maxWorth)) {
            return false;
        }
        admissionTokens--;
        return true;
    }

    /** Priority factor of a tenant's request: below 1 for a tenant that exceeds its share of the service. */
    private double tenantFactor(Request arrival, long now) {
        int tenant = arrival.tenant();
        if (tenant < 0 || tenant >= tenantRequests.length) {
            return 1;
        }
        double decay = Math.exp(-(now - tenantsDecayedAt) / TENANT_DECAY_US);
        tenantsDecayedAt = now;
        totalTenantRequests = totalTenantRequests * decay + 1;
        for (int i = 0; i < tenantRequests.length; i++) {
            tenantRequests[i] *= decay;
        }
        tenantRequests[tenant]++;
        // One standard deviation is subtracted as chance, or small tenants would exceed their share most of the time.
        double permittedFraction = settings.tenantShares().get(tenant)
                * totalTenantRequests
                / Math.max(1e-9, tenantRequests[tenant] - Math.sqrt(tenantRequests[tenant]));
        return permittedFraction >= 1 ? 1 : permittedFraction + (1 - permittedFraction) * settings.overShareWorth();
    }

    /** Sends, probes or queues a request that has no attempt yet. */
    private void place(RequestState request, long now) {
        EndpointState endpoint = pickEndpoint(request, now);
        if (endpoint == null) {
            enqueue(request, now);
        } else if (shouldProbe(request, endpoint, now)) {
            startProbe(request, endpoint, now);
        } else {
            sendIfUseful(request, endpoint, now);
        }
    }

    /** Whether to probe first: the endpoint has had no timely response recently, and there is time for a probe. */
    private boolean shouldProbe(RequestState request, EndpointState endpoint, long now) {
        long timeoutUs = probeTimeoutUs(request);
        return settings.limits().mayProbe()
                && manyInstances
                && request.inProbingShare
                && overloadRatio > PROBE_PRICE_FACTOR * settings.probePrice()
                && request.probeCount < MAX_PROBES
                && now >= endpoint.busyUntil
                && !endpoint.ejected
                && now - endpoint.lastTimelyAt > TIMELY_RESPONSE_VALID_US
                && request.usefulUntil() - now > 4 * timeoutUs;
    }

    private long probeTimeoutUs(RequestState request) {
        return (long) Math.min(
                PROBE_TARGET_FRACTION * request.requestClass.targetLatencyUs(),
                PROBE_BASELINES * baselineLatencyUs[request.arrival.classIndex()]);
    }

    private void startProbe(RequestState request, EndpointState endpoint, long now) {
        request.probeCount++;
        request.probedEndpoint = endpoint;
        request.probeTimeoutAt = now + probeTimeoutUs(request);
        nextProbeTimeoutAt = Math.min(nextProbeTimeoutAt, request.probeTimeoutAt);
        awaitingProbe.add(request);
        actions.probe(endpoint.id);
    }

    @Override
    public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            return;
        }
        if (outcome == Outcome.OK) {
            endpoint.lastResponseAt = now;
        }
        // A probe that was not made shows nothing: the request goes to the endpoint as planned.
        boolean made = outcome != Outcome.IGNORED;
        finishProbes(now, endpoint, !made ? 0 : outcome == Outcome.OK ? latencyUs : Long.MAX_VALUE);
        retryQueued(now);
        scheduleNext(now);
    }

    /** Places requests whose probe has ended or timed out; an endpoint with a slow probe is passed over for a while. */
    private void finishProbes(long now, EndpointState probed, long latencyUs) {
        nextProbeTimeoutAt = Long.MAX_VALUE;
        for (RequestState request : List.copyOf(awaitingProbe)) {
            EndpointState endpoint = request.probedEndpoint;
            boolean answered = endpoint == probed;
            if (answered || now >= request.probeTimeoutAt) {
                awaitingProbe.remove(request);
                if (answered && latencyUs <= probeTimeoutUs(request)) {
                    endpoint.lastTimelyAt = now;
                } else {
                    endpoint.busyUntil = Math.max(endpoint.busyUntil, now + probeTimeoutUs(request));
                }
                place(request, now);
            } else {
                nextProbeTimeoutAt = Math.min(nextProbeTimeoutAt, request.probeTimeoutAt);
            }
        }
    }

    /** Sends, unless the response would come too late to have any value. */
    private void sendIfUseful(RequestState request, EndpointState endpoint, long now) {
        if (baselineLatencyUs[request.arrival.classIndex()] > request.usefulUntil() - now) {
            finishUnserved(request, now, UnservedReason.Cause.TIME);
        } else {
            send(request, endpoint, now);
        }
    }

    private void enqueue(RequestState request, long now) {
        if (request.queuedUntil == 0) {
            request.queuedUntil = now + queueTimeUs(request, now);
        }
        if (now < request.queuedUntil) {
            queued.add(request);
            nextQueueTimeoutAt = Math.min(nextQueueTimeoutAt, request.queuedUntil);
        } else {
            finishUnserved(request, now, null);
        }
    }

    private long queueTimeUs(RequestState request, long now) {
        long normalUs = (long) (QUEUE_TARGET_FRACTION * (request.targetAt - now) * request.priority / maxWorth);
        if (!listExpired(now)) {
            return normalUs;
        }
        long usefulUs = (long) (request.usefulUntil() - baselineLatencyUs[request.arrival.classIndex()] - now);
        return Math.max(
                normalUs, Math.min((long) (EXPIRED_LIST_QUEUE_FRACTION * request.arrival.budgetUs()), usefulUs));
    }

    /**
     * Sends queued requests, highest priority first, and gives those that have waited long enough their final answer.
     * While no wait has ended, only the first few are tried.
     */
    private void retryQueued(long now) {
        if (queued.isEmpty() && now < nextQueueTimeoutAt) {
            return;
        }
        List<RequestState> candidates = now >= nextQueueTimeoutAt
                ? List.copyOf(queued)
                : queued.stream().limit(16).toList();
        nextQueueTimeoutAt = now >= nextQueueTimeoutAt ? Long.MAX_VALUE : nextQueueTimeoutAt;
        int unplaced = 0;
        for (RequestState request : candidates) {
            boolean waitOver = now >= request.queuedUntil;
            boolean permitted = request.attempts.isEmpty() || mayRetry(request, now);
            EndpointState endpoint = permitted && (waitOver || unplaced < 2) ? pickEndpoint(request, now) : null;
            if (endpoint != null) {
                queued.remove(request);
                sendIfUseful(request, endpoint, now);
            } else if (waitOver || !permitted) {
                finishUnserved(request, now, null);
            } else {
                unplaced++;
                nextQueueTimeoutAt = Math.min(nextQueueTimeoutAt, request.queuedUntil);
            }
        }
    }

    private void send(RequestState request, EndpointState endpoint, long now) {
        Attempt attempt = new Attempt(request, endpoint, request.attempts.size(), now);
        request.attempts.add(attempt);
        request.outstanding++;
        endpoint.outstanding.add(attempt);
        endpoint.coldTokens--;
        sentAttempts++;
        if (endpoint.ejected && now >= endpoint.ejectedUntil && endpoint.halfOpenProbe == null) {
            endpoint.halfOpenProbe = attempt;
        }
        if (now >= endpoint.connectedUntil && connecting == null) {
            connecting = endpoint;
        }
        actions.send(request.arrival.id(), endpoint.id, attemptTimeoutUs(request, now));
    }

    /** The time until a response has no value, or less where another attempt could follow. */
    private long attemptTimeoutUs(RequestState request, long now) {
        long remainingUs = Math.max(1, request.usefulUntil() - now);
        int maxAttempts = request.requestClass.effect() == Effect.FRAGILE
                ? 0
                : settings.limits().maxAttempts();
        double attemptUs = Math.max(
                ATTEMPT_TIME_FRACTION * remainingUs,
                UNRESPONSIVE_BASELINES * baselineLatencyUs[request.arrival.classIndex()]);
        return request.attempts.size() < maxAttempts ? (long) Math.min(remainingUs, attemptUs) : remainingUs;
    }

    // ---- effects -------------------------------------------------------------------------------------

    /** The first possibly executed attempt, or null. With the request's effect it decides on permitted retries. */
    static Attempt pinnedAttempt(RequestState request) {
        for (Attempt attempt : request.attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether an endpoint drops repeats of the pinned attempt, or the request has no deduplication group. */
    static boolean inDedupGroup(RequestState request, Attempt pinned, EndpointState endpoint) {
        return pinned == null
                || request.requestClass.effect() != Effect.DEDUP
                || request.requestClass.scope() == DedupScope.ALL
                || (request.requestClass.scope() == DedupScope.ZONE
                        ? endpoint.zone == pinned.endpoint.zone
                        : endpoint.cell == pinned.endpoint.cell);
    }

    /** Whether a further attempt is harmless, has enough time left and is within the retry budget. */
    boolean mayRetry(RequestState request, long now) {
        Attempt pinned = pinnedAttempt(request);
        boolean harmless = pinned == null
                || request.requestClass.effect() == Effect.RETRYABLE
                || request.requestClass.effect() == Effect.DEDUP
                        && now < pinned.sentAt + request.requestClass.dedupWindowUs();
        return harmless
                && request.attempts.size() < settings.limits().maxAttempts()
                && retryTokens >= retryCost(pinned)
                && request.usefulUntil() - now > baselineLatencyUs[request.arrival.classIndex()] / 2;
    }

    /** Retry tokens that a retry takes. */
    double retryCost(Attempt pinned) {
        return manyInstances && pinned == null ? UNEXECUTED_RETRY_COST : 1;
    }

    /** Whether another try by the client is harmless. */
    private boolean mayRefuse(RequestState request) {
        return pinnedAttempt(request) == null
                || request.requestClass.effect() == Effect.RETRYABLE
                || request.requestClass.effect() == Effect.DEDUP && request.requestClass.scope() == DedupScope.ALL;
    }

    /**
     * Gives an unserved request its final answer: refused if another try is harmless, failed otherwise.
     *
     * @param cause the reason, or null if no endpoint could take the request or it may not be retried
     */
    private void finishUnserved(RequestState request, long now, UnservedReason.Cause cause) {
        removeRequest(request);
        if (observer != null) {
            observer.requestUnserved(now, UnservedDiagnosis.diagnose(this, request, now, cause));
        }
        if (mayRefuse(request)) {
            long retryAfterUs = Math.max(subscription.renewalInUs(now), request.requestClass.targetLatencyUs() / 8);
            actions.refuse(request.arrival.id(), Math.min(settings.limits().maxRetryAfterUs(), retryAfterUs));
        } else {
            actions.fail(request.arrival.id());
        }
        request.attempts.forEach(this::cancel);
    }

    @Override
    public void observe(Observer newObserver) {
        observer = newObserver;
    }

    /** Cancels an attempt that is outstanding, if the settings permit it. */
    private void cancel(Attempt attempt) {
        if (attempt.outcome == null
                && !attempt.canceled
                && !attempt.streaming
                && settings.limits().mayCancel()) {
            attempt.canceled = true;
            actions.cancel(attempt.request.arrival.id(), attempt.number);
        }
    }

    /** Removes a request that has its final answer or was abandoned. */
    private void removeRequest(RequestState request) {
        openRequests.remove(request.arrival.id());
        queued.remove(request);
        awaitingProbe.remove(request);
        if (request.outstanding > 0) {
            endedRequests.put(request.arrival.id(), request);
        }
    }

    // ---- outcomes ------------------------------------------------------------------------------------

    @Override
    public void onRequestAbandoned(long now, String id) {
        RequestState request = openRequests.get(id);
        if (request != null) {
            removeRequest(request);
            request.attempts.forEach(this::cancel);
        }
    }

    @Override
    public void onStreamStarted(long now, String id, int number) {
        RequestState request = openRequests.get(id);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            Attempt attempt = request.attempts.get(number);
            attempt.streaming = true;
            attempt.endpoint.lastResponseAt = now;
            // The endpoint has done the work, or has not begun it: the attempt does not count against the limit.
            attempt.endpoint.outstanding.remove(attempt);
        }
    }

    @Override
    public void onAttemptEnded(long now, AttemptEnd end) {
        RequestState request = openRequests.get(end.requestId());
        boolean stillOpen = request != null;
        request = stillOpen ? request : endedRequests.get(end.requestId());
        if (request == null
                || end.attempt() < 0
                || end.attempt() >= request.attempts.size()
                || request.attempts.get(end.attempt()).outcome != null) {
            return;
        }
        Attempt attempt = request.attempts.get(end.attempt());
        attempt.outcome = end.outcome();
        attempt.endpoint.outstanding.remove(attempt);
        discardIfUnused(attempt.endpoint);
        request.outstanding--;
        if (request.outstanding == 0) {
            endedRequests.remove(end.requestId());
        }
        detectStall(now);
        recordResult(attempt, end, now);
        if (stillOpen && end.requestDone()) {
            removeRequest(request);
        } else if (stillOpen && request.outstanding == 0) {
            retryOrFinish(request, now);
        }
        retryQueued(now);
        scheduleNext(now);
    }

    /** Updates what is known of the endpoint by the end of an attempt. */
    private void recordResult(Attempt attempt, AttemptEnd end, long now) {
        EndpointState endpoint = attempt.endpoint;
        Outcome outcome = end.outcome();
        if (connecting == endpoint) {
            connecting = null;
        }
        if (outcome == Outcome.OK || outcome == Outcome.FAILED || outcome == Outcome.QUEUE_FULL) {
            endpoint.lastResponseAt = now;
            endpoint.connectedUntil = now + settings.limits().connIdleUs();
        }
        if (outcome == Outcome.OK && !attempt.streaming) {
            recordLatency(attempt, end.latencyUs(), now, true);
        } else if ((outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELED && attempt.canceled)
                && indicatesOverload(attempt, end.latencyUs())) {
            // An attempt lost sooner than a response usually takes says more about the client than the endpoint. A
            // loss brings no report; where every attempt is lost none arrives, and the last mean load still applies.
            reportedAt = now;
            lossesSinceReport = Math.min(MAX_COUNTED_LOSSES, lossesSinceReport + 1);
            recordLatency(attempt, end.latencyUs(), now, false);
        }
        if (endpoint.halfOpenProbe == attempt) {
            halfOpenProbeEnded(endpoint, outcome, end.latencyUs(), attempt, now);
        } else if (outcome != Outcome.CANCELED && outcome != Outcome.IGNORED && outcome != Outcome.TIMED_OUT) {
            recordOutcome(endpoint, outcome, now);
        }
    }

    /** After a failed attempt: sends to the next owner on the ring, queues, or gives the final answer. */
    private void retryOrFinish(RequestState request, long now) {
        boolean permitted = mayRetry(request, now);
        EndpointState endpoint = permitted ? pickEndpoint(request, now) : null;
        if (endpoint != null) {
            retryTokens -= retryCost(pinnedAttempt(request));
            requestedAttempts++;
            send(request, endpoint, now);
        } else if (permitted && (manyInstances || listExpired(now))) {
            enqueue(request, now);
        } else {
            finishUnserved(request, now, null);
        }
    }

    // ---- time ----------------------------------------------------------------------------------------

    @Override
    public void onTimer(long now) {
        detectStall(now);
        if (now >= nextWakeAt) {
            nextWakeAt = Long.MAX_VALUE;
        }
        if (now >= nextSweepAt) {
            nextSweepAt = now + SWEEP_INTERVAL_US;
            sweep(now);
        }
        if (now >= nextProbeTimeoutAt && now > resumedAt) {
            finishProbes(now, null, 0);
        }
        retryQueued(now);
        scheduleNext(now);
    }

    /** Detects a stall of this process by a late wake-up; endpoints are not judged by the time of a stall. */
    private void detectStall(long now) {
        if (now - 2 * SWEEP_INTERVAL_US > nextWakeAt) {
            resumedAt = now;
        }
    }

    /** Calls discovery if due, and sets the next wake-up while there is anything to wait for. */
    private void scheduleNext(long now) {
        long discoveryAt = subscription.update(now);
        long nextAt = !openRequests.isEmpty() ? Math.max(nextSweepAt, now + 1) : Long.MAX_VALUE;
        // A queued wait may be shorter than a sweep: a request with little time left must still be answered in time.
        nextAt = Math.min(nextAt, Math.max(Math.min(nextQueueTimeoutAt, nextProbeTimeoutAt), now + 1));
        nextAt = Math.min(nextAt, Math.max(discoveryAt, now + 1));
        if (nextAt < nextWakeAt) {
            nextWakeAt = nextAt;
            actions.wakeAt(nextAt);
        }
    }
}
