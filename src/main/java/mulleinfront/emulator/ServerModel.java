package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import mulleinfront.core.Time;
import mulleinfront.settings.Range;

/**
 * One process of a simulated server, from its start to its end: a bounded queue in front of a number of slots, whose
 * requests share the cores. It uses no network and no clock except the {@link Time} it is given, so it runs in
 * virtual time here and can run on a real clock elsewhere.
 *
 * <p>All running requests progress at the same rate, so one number ({@code attained}) is the work that each of them
 * would have received since the process started, and a request ends when {@code attained} reaches the request's own
 * end mark. Each event that changes the rate (a start, an end, a pause, a noisy neighbour, warming up) first advances
 * {@code attained} to the current time.
 *
 * <p>The unit of work is one microsecond of a core of speed 1.
 */
public final class ServerModel {
    /** Interval at which continuously changing state (warmth, mean load) is re-evaluated. */
    private static final long RECHECK_US = 50_000;
    /** Fraction of a request's work needed to recognise a repeat and return the stored response. */
    private static final double REPEAT_WORK_FRACTION = 0.05;
    /** Number of stored effects above which expired ones are removed. */
    private static final int MIN_EFFECTS_TO_EXPIRE = 1024;

    /** The result of a request at the server. */
    public enum End {
        SERVED,
        ERROR,
        NOT_RUN
    }

    /** Which cancelled requests the server stops working on. */
    public enum CancelPolicy {
        NONE,
        QUEUED,
        ALL
    }

    /**
     * The parameters of one server's machine, as drawn from the scenario.
     *
     * @param cores number of cores
     * @param speed work that a core does per microsecond
     * @param slots maximum number of requests that run at once
     * @param queueCapacity maximum number of queued requests; requests beyond it are rejected
     * @param maxConnections maximum number of open connections
     * @param handshakeWork work that a new connection adds to its first request
     * @param idleCloseUs idle time after which the server closes a connection
     * @param errorProbability probability that a response is an error
     * @param reportEveryUs age at which the load report is renewed
     * @param probeWork work of a probe
     * @param maxProbes maximum number of concurrent probes
     * @param deepProbes whether probes are queued and served like requests
     * @param coldFraction fraction of the capacity at the start, in (0, 1]
     * @param warmUpUs time from the start to the full capacity; 0: warm at once
     * @param warmUpWork work from the start to the full capacity; above 0 the server warms up by work, not by time
     * @param pauseEveryUs mean time between pauses; 0: none
     * @param pauseUs shortest and longest pause
     * @param overloadAt requests in flight per core above which efficiency falls; 0: never
     * @param overloadLoss fraction of the efficiency that is lost at twice that number, which is also the maximum loss
     * @param slowdown parameters of a metastable slowdown after overload; null: none
     * @param cancelPolicy which cancelled requests the server stops working on
     * @param dropsExpired whether a request that has expired when it leaves the queue is rejected
     * @param keyCacheUs how long the server caches a key; 0: no cache
     * @param keySaving fraction of the work that a cached key saves
     * @param maxCachedKeys maximum number of cached keys
     */
    public record Spec(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            int maxConnections,
            double handshakeWork,
            long idleCloseUs,
            double errorProbability,
            long reportEveryUs,
            double probeWork,
            int maxProbes,
            boolean deepProbes,
            double coldFraction,
            long warmUpUs,
            double warmUpWork,
            long pauseEveryUs,
            Range pauseUs,
            double overloadAt,
            double overloadLoss,
            MetastableSlowdown slowdown,
            CancelPolicy cancelPolicy,
            boolean dropsExpired,
            long keyCacheUs,
            double keySaving,
            int maxCachedKeys) {
        /** Work that the server can do per microsecond when warm and undisturbed. */
        public double capacity() {
            return cores * speed;
        }
    }

    /**
     * A metastable slowdown: the server stays slow after the overload that caused it has ended.
     *
     * @param beginsAt it begins when the mean number of requests in flight over {@code loadMeanUs} exceeds
     *     cores + beginsAt * sqrt(cores)
     * @param loadMeanUs time constant of that mean
     * @param factor factor by which the server is then slower
     * @param endUtilisation it ends when the mean core utilisation is below this fraction
     * @param utilisationMeanUs time constant of the mean utilisation
     * @param maxUs longest duration of the slowdown
     */
    public record MetastableSlowdown(
            double beginsAt,
            long loadMeanUs,
            double factor,
            double endUtilisation,
            long utilisationMeanUs,
            long maxUs) {}

    /** A request at the server. */
    public static final class Job {
        final String requestId;
        final double work;
        final String key;
        final String effect;
        final long windowUs;
        final long expiresAt;
        final EndListener done;
        private long offeredAt;
        private double endMark;
        private double chargedWork;
        private int state;

        /**
         * @param requestId the request's id
         * @param work work without what the key cache saves
         * @param key the request's key, or null
         * @param effect the identity of its effect among repeats (an idempotency key), or null
         * @param windowUs how long repeats of the effect are dropped; 0: repeats are not dropped
         * @param expiresAt when the caller stops waiting
         * @param done called once with the result, unless the request was cancelled or the process died
         */
        public Job(
                String requestId,
                double work,
                String key,
                String effect,
                long windowUs,
                long expiresAt,
                EndListener done) {
            this.requestId = requestId;
            this.work = work;
            this.key = key;
            this.effect = effect;
            this.windowUs = windowUs;
            this.expiresAt = expiresAt;
            this.done = done;
        }
    }

    private static final int NEW = 0;
    private static final int WAITING = 1;
    private static final int RUNNING = 2;
    private static final int OVER = 3;

    /** Receives the result of a request or probe. */
    public interface EndListener {
        /** Called with the result; {@code inflight} is the load report, which may be slightly out of date. */
        void done(End end, int inflight);
    }

    /** Called with each effect when its request begins to run. */
    public interface EffectListener {
        /**
         * Called when a job begins; {@code dropped} if its deduplication group knew the effect, so that the server
         * did not apply it again.
         */
        void ran(Job job, boolean dropped);
    }

    /** Expiry times of the effects known to a deduplication group. */
    public static final class DedupGroup {
        private final Map<String, Long> expiryByEffect = new LinkedHashMap<>();

        private boolean checkRepeat(Job job, long now) {
            if (job.windowUs == 0 || job.effect == null) {
                return false;
            }
            if (expiryByEffect.size() > MIN_EFFECTS_TO_EXPIRE) {
                // Effects are in the order in which they ran, so the first unexpired one ends the search.
                var oldest = expiryByEffect.values().iterator();
                while (oldest.hasNext() && now > oldest.next()) {
                    oldest.remove();
                }
            }
            Long expiry = expiryByEffect.get(job.effect);
            if (expiry != null && now <= expiry) {
                return true;
            }
            expiryByEffect.remove(job.effect);
            expiryByEffect.put(job.effect, now + job.windowUs);
            return false;
        }
    }

    /** Counters of one or more processes of a server; times in microseconds. */
    public static final class Statistics {
        public long offered;
        public long begun;
        public long served;
        public long errors;
        public long rejected;
        public long expired;
        public long cancelled;
        public long repeatsDropped;
        public long keyHits;
        public long probes;
        public long handshakes;
        public long connectionsRefused;
        public int maxConnections;
        public int maxInFlight;
        public long pausedUs;
        public long slowedDownUs;
        public boolean crashed;
        public double workDone;
        public double workWasted;
        public double waitSumUs;
        public double busyCoreUs;
        public double inFlightSumUs;

        /** Adds the counters of another process of the same server. */
        public void add(Statistics other) {
            offered += other.offered;
            begun += other.begun;
            served += other.served;
            errors += other.errors;
            rejected += other.rejected;
            expired += other.expired;
            cancelled += other.cancelled;
            repeatsDropped += other.repeatsDropped;
            keyHits += other.keyHits;
            probes += other.probes;
            handshakes += other.handshakes;
            connectionsRefused += other.connectionsRefused;
            maxConnections = Math.max(maxConnections, other.maxConnections);
            maxInFlight = Math.max(maxInFlight, other.maxInFlight);
            pausedUs += other.pausedUs;
            slowedDownUs += other.slowedDownUs;
            crashed |= other.crashed;
            workDone += other.workDone;
            workWasted += other.workWasted;
            waitSumUs += other.waitSumUs;
            busyCoreUs += other.busyCoreUs;
            inFlightSumUs += other.inFlightSumUs;
        }
    }

    private final Spec spec;
    private final Time time;
    private final RandomStream chance;
    private final DedupGroup group;
    private final EffectListener effects;
    private final Statistics statistics = new Statistics();
    private final long startedAt;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(Comparator.comparingDouble((Job j) -> j.endMark).thenComparing(j -> j.requestId));
    private final LinkedHashMap<String, Long> keyLastUsed = new LinkedHashMap<>();
    private int inFlight;
    private int connections;
    private int probes;
    private double attained;
    private double rate;
    private long advancedAt;
    private Time.Timer nextEnd;
    private long nextEndAt;
    private Time.Timer recheck;
    private boolean stopped;
    private boolean draining;
    private boolean hung;
    private boolean cold;
    private int pauses;
    private double slowDown = 1;
    private double neighbourShare;
    private double errors;
    private double pendingProbeWork;
    private double workSinceStart;
    private boolean inSlowdown;
    private long slowdownSince;
    private double inFlightMean;
    private double utilisationMean = 1;
    private int reportedInFlight;
    private long reportedAt = Long.MIN_VALUE / 2;

    /**
     * Starts a process.
     *
     * @param startsCold whether the process has just been started; otherwise it counts as long running
     */
    public ServerModel(
            Spec spec, Time time, RandomStream chance, DedupGroup group, EffectListener effects, boolean startsCold) {
        this.spec = spec;
        this.time = time;
        this.chance = chance;
        this.group = group;
        this.effects = effects;
        this.errors = spec.errorProbability();
        this.advancedAt = time.now();
        this.startedAt = advancedAt;
        this.cold = startsCold && spec.coldFraction() < 1 && (spec.warmUpUs() > 0 || spec.warmUpWork() > 0);
        if (spec.pauseEveryUs() > 0) {
            schedulePause();
        }
        scheduleRecheck();
    }

    public Spec spec() {
        return spec;
    }

    public Statistics statistics() {
        advance();
        return statistics;
    }

    /** Number of requests running and queued. */
    public int inFlight() {
        return inFlight;
    }

    public boolean stopped() {
        return stopped;
    }

    public boolean draining() {
        return draining;
    }

    /** Fraction of the full capacity reached by warming up; 1 when warm. */
    public double warmth() {
        if (!cold) {
            return 1;
        }
        double progress = spec.warmUpWork() > 0
                ? workSinceStart / spec.warmUpWork()
                : (double) (time.now() - startedAt) / spec.warmUpUs();
        return Math.min(1, spec.coldFraction() + (1 - spec.coldFraction()) * progress);
    }

    /** Remaining work of the requests in flight, without the savings of the key cache. */
    double pendingWork() {
        advance();
        double ahead = 0;
        for (Job job : running) {
            ahead += job.endMark - attained;
        }
        for (Job job : waiting) {
            ahead += job.work;
        }
        return ahead;
    }

    /** Work that a core does per microsecond now; 0 while the server does not respond. */
    double coreSpeed() {
        return hung || pauses > 0 || stopped
                ? 0
                : spec.speed()
                        * warmth()
                        * efficiency()
                        * (1 - neighbourShare)
                        / slowDown
                        / (inSlowdown ? spec.slowdown().factor() : 1);
    }

    /** Fraction of a request's work that remains if its key is cached; 1 if it is not cached. */
    double remainingWorkFraction(String key) {
        Long last = key == null || spec.keyCacheUs() == 0 ? null : keyLastUsed.get(key);
        return last != null && time.now() - last <= spec.keyCacheUs() ? 1 - spec.keySaving() : 1;
    }

    /**
     * Whether the server is faulty apart from load and cold start: it hangs, is slowed down, has a noisy neighbour,
     * or returns additional errors.
     */
    boolean faulty() {
        return hung || slowDown > 1 || neighbourShare > 0 || inSlowdown || errors > spec.errorProbability();
    }

    boolean hung() {
        return hung;
    }

    // ---- connections and probes ----------------------------------------------------------------------

    /** Accepts a connection; false if the server has its maximum number of connections. */
    public boolean connect() {
        if (connections >= spec.maxConnections()) {
            statistics.connectionsRefused++;
            return false;
        }
        connections++;
        statistics.handshakes++;
        statistics.maxConnections = Math.max(statistics.maxConnections, connections);
        return true;
    }

    public void disconnect() {
        connections--;
    }

    /** Work that a new connection adds to its first request. */
    public double handshakeWork() {
        return spec.handshakeWork();
    }

    /** Runs a probe. A shallow probe bypasses the queue and shows little more than that the process runs. */
    public void probe(EndListener done) {
        statistics.probes++;
        if (probes >= spec.maxProbes() || draining) {
            done.done(End.NOT_RUN, inFlight);
            return;
        }
        if (spec.deepProbes()) {
            probes++;
            offer(new Job("probe", spec.probeWork(), null, null, 0, Long.MAX_VALUE, (end, inflight) -> {
                probes--;
                done.done(end, inflight);
            }));
        } else if (!hung) {
            pendingProbeWork += running.isEmpty() ? 0 : spec.probeWork();
            done.done(End.SERVED, inFlight);
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    /** Accepts a request whose last byte has arrived; the request may end before this method returns. */
    public void offer(Job job) {
        if (stopped) {
            return;
        }
        statistics.offered++;
        job.offeredAt = time.now();
        boolean full = running.size() >= spec.slots() && waiting.size() >= spec.queueCapacity();
        if (draining || full && !hung) {
            statistics.rejected++;
            job.state = OVER;
            job.done.done(End.NOT_RUN, loadReport());
            return;
        }
        advance();
        inFlight++;
        statistics.maxInFlight = Math.max(statistics.maxInFlight, inFlight);
        job.state = WAITING;
        waiting.add(job);
        startQueued();
        reschedule();
    }

    /** Cancels a request that its caller no longer waits for; unknown or ended requests are ignored. */
    public void cancel(Job job) {
        if (stopped
                || job.state == NEW
                || job.state == OVER
                || spec.cancelPolicy() == CancelPolicy.NONE
                || job.state == RUNNING && spec.cancelPolicy() == CancelPolicy.QUEUED) {
            return;
        }
        advance();
        if (job.state == WAITING) {
            waiting.remove(job);
        } else {
            running.remove(job);
            statistics.workWasted += job.chargedWork - (job.endMark - attained);
        }
        job.state = OVER;
        inFlight--;
        statistics.cancelled++;
        startQueued();
        reschedule();
    }

    private void startQueued() {
        while (running.size() < spec.slots() && !waiting.isEmpty() && !hung) {
            Job job = waiting.poll();
            if (spec.dropsExpired() && time.now() >= job.expiresAt) {
                job.state = OVER;
                inFlight--;
                statistics.expired++;
                job.done.done(End.NOT_RUN, loadReport());
                continue;
            }
            begin(job);
        }
    }

    private void begin(Job job) {
        boolean repeat = group != null && group.checkRepeat(job, time.now());
        job.chargedWork = (repeat ? REPEAT_WORK_FRACTION : useKey(job.key) ? 1 - spec.keySaving() : 1) * job.work
                + pendingProbeWork;
        pendingProbeWork = 0;
        job.endMark = attained + job.chargedWork;
        job.state = RUNNING;
        running.add(job);
        statistics.begun++;
        statistics.waitSumUs += time.now() - job.offeredAt;
        statistics.repeatsDropped += repeat ? 1 : 0;
        effects.ran(job, repeat);
    }

    private boolean useKey(String key) {
        if (key == null || spec.keyCacheUs() == 0) {
            return false;
        }
        Long last = keyLastUsed.remove(key);
        keyLastUsed.put(key, time.now());
        if (keyLastUsed.size() > spec.maxCachedKeys()) {
            keyLastUsed.remove(keyLastUsed.keySet().iterator().next());
        }
        boolean known = last != null && time.now() - last <= spec.keyCacheUs();
        statistics.keyHits += known ? 1 : 0;
        return known;
    }

    private int loadReport() {
        if (time.now() - reportedAt >= spec.reportEveryUs()) {
            reportedAt = time.now();
            reportedInFlight = inFlight;
        }
        return reportedInFlight;
    }

    // ---- faults ----------------------------------------------------------------------------------------

    /** Slows the server down by this factor; 1 ends the fault. */
    public void setSlowdown(double factor) {
        applyChange(() -> slowDown = factor);
    }

    /** A noisy neighbour takes this fraction of the machine; 0 ends the fault. */
    public void setNeighbourShare(double share) {
        applyChange(() -> neighbourShare = share);
    }

    /** While on, the server accepts requests and answers none. */
    public void setHung(boolean on) {
        applyChange(() -> {
            hung = on;
            startQueued();
        });
    }

    /** Sets the probability of an error response; the failed requests have run. */
    public void setErrorProbability(double probability) {
        errors = Math.max(spec.errorProbability(), probability);
    }

    /** Starts a drain: the server finishes the accepted requests and rejects new ones. */
    public void drain() {
        draining = true;
    }

    /** Pauses the process. */
    public void pause(long durationUs) {
        applyChange(() -> pauses++);
        statistics.pausedUs += durationUs;
        time.after(durationUs, () -> applyChange(() -> pauses--));
    }

    /** Crashes the process from overload while cold. */
    public void crash() {
        statistics.crashed = true;
        stop();
    }

    /** Ends the process; requests in flight get no response. */
    public void stop() {
        advance();
        stopped = true;
        rate = 0;
        cancel(nextEnd);
        cancel(recheck);
        waiting.clear();
        running.clear();
        inFlight = 0;
    }

    private static void cancel(Time.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void applyChange(Runnable change) {
        if (!stopped) {
            advance();
            change.run();
            reschedule();
        }
    }

    private void schedulePause() {
        time.after((long) chance.exponential(spec.pauseEveryUs()), () -> {
            if (!stopped) {
                pause((long) spec.pauseUs().draw(chance::uniformBetween));
                schedulePause();
            }
        });
    }

    // ---- progress ------------------------------------------------------------------------------------

    /** Advances all counters to the current time, at the rate since the last change. */
    private void advance() {
        long now = time.now();
        double elapsed = now - advancedAt;
        if (elapsed > 0 && !stopped) {
            double done = rate * elapsed;
            attained += done;
            double doneByAll = done * running.size();
            statistics.workDone += doneByAll;
            workSinceStart += doneByAll;
            statistics.busyCoreUs += elapsed * Math.min(running.size(), spec.cores());
            statistics.inFlightSumUs += elapsed * inFlight;
            statistics.slowedDownUs += inSlowdown ? elapsed : 0;
            if (spec.slowdown() != null) {
                inFlightMean = exponentialMean(
                        inFlightMean, inFlight, elapsed, spec.slowdown().loadMeanUs());
                double busy = Math.min(1.0, (double) running.size() / spec.cores());
                utilisationMean = exponentialMean(
                        utilisationMean, busy, elapsed, spec.slowdown().utilisationMeanUs());
            }
        }
        advancedAt = now;
    }

    private static double exponentialMean(double mean, double value, double elapsed, double timeConstant) {
        return value + (mean - value) * StrictMath.exp(-elapsed / timeConstant);
    }

    /** Sets the current rate and schedules the end of the next request by it. */
    private void reschedule() {
        double speed = coreSpeed();
        rate = running.isEmpty() ? 0 : speed * Math.min(1.0, (double) spec.cores() / running.size());
        if (rate > 0) {
            double remainingUs = Math.max(0, running.peek().endMark - attained) / rate;
            long endsAt = advancedAt + (long) Math.ceil(Math.min(remainingUs, 1e15));
            // Most arrivals change neither the rate nor the next request to end; a difference of one microsecond is
            // rounding.
            if (nextEnd == null || Math.abs(endsAt - nextEndAt) > 1) {
                cancel(nextEnd);
                nextEndAt = endsAt;
                nextEnd = time.after(endsAt - advancedAt, this::endDue);
            }
        } else {
            cancel(nextEnd);
            nextEnd = null;
        }
        scheduleRecheck();
    }

    private double efficiency() {
        double threshold = spec.overloadAt() * spec.cores();
        if (threshold == 0 || inFlight <= threshold) {
            return 1;
        }
        return 1 - spec.overloadLoss() * Math.min(1, (inFlight - threshold) / threshold);
    }

    private void endDue() {
        nextEnd = null;
        advance();
        // Rounding to microseconds may leave a tiny remainder of work; requests within 1e-6 of their end have ended.
        double reached = attained + 1e-6;
        while (!running.isEmpty() && running.peek().endMark <= reached) {
            Job job = running.poll();
            job.state = OVER;
            inFlight--;
            boolean error = chance.happens(errors);
            statistics.served += error ? 0 : 1;
            statistics.errors += error ? 1 : 0;
            statistics.workWasted += error ? job.chargedWork : 0;
            job.done.done(error ? End.ERROR : End.SERVED, loadReport());
            if (stopped) {
                return;
            }
        }
        startQueued();
        reschedule();
    }

    /** Schedules the next re-evaluation while any state changes with time. */
    private void scheduleRecheck() {
        boolean recentlyLoaded = spec.slowdown() != null && (inSlowdown || inFlight > 0 || inFlightMean > 0.5);
        if (recheck == null && !stopped && (cold || recentlyLoaded)) {
            recheck = time.after(RECHECK_US, () -> {
                recheck = null;
                advance();
                cold = cold && warmth() < 1;
                updateSlowdown();
                reschedule();
            });
        }
    }

    private void updateSlowdown() {
        MetastableSlowdown slowdown = spec.slowdown();
        if (slowdown == null) {
            return;
        }
        long now = time.now();
        if (inSlowdown) {
            inSlowdown = now - slowdownSince < slowdown.maxUs() && utilisationMean >= slowdown.endUtilisation();
        } else if (inFlightMean > spec.cores() + slowdown.beginsAt() * Math.sqrt(spec.cores())) {
            inSlowdown = true;
            slowdownSince = now;
            utilisationMean = 1;
        }
    }

    /** Whether the server is slow from an overload that may have passed. */
    public boolean inSlowdown() {
        return inSlowdown;
    }
}
