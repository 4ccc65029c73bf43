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
    private static final long LOOK_US = 50_000;
    /** Fraction of a request's work needed to recognise a repeat and return the stored response. */
    private static final double REPEAT_WORK = 0.05;
    /** Number of stored effects above which expired ones are removed. */
    private static final int MANY_KEPT = 1024;

    /** The result of a request at the server. */
    public enum End {
        SERVED,
        ERROR,
        NOT_RUN
    }

    /** Which cancelled requests the server stops working on. */
    public enum Stops {
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
     * @param room queue capacity; requests beyond it are rejected
     * @param mostConnections maximum number of open connections
     * @param handshakeWork work that a new connection adds to its first request
     * @param idleCloseUs idle time after which the server closes a connection
     * @param errors probability that a response is an error
     * @param reportEveryUs age at which the load report is renewed
     * @param probeWork work of a probe
     * @param mostProbes maximum number of concurrent probes
     * @param deepProbes whether probes are queued and served like requests
     * @param coldFrom fraction of the capacity at the start, in (0, 1]
     * @param coldForUs time from the start to the full capacity; 0: warm at once
     * @param coldWork work from the start to the full capacity; above 0 the server warms up by work, not by time
     * @param pauseEveryUs mean time between pauses; 0: none
     * @param pauseUs shortest and longest pause
     * @param crowdAt requests in flight per core above which efficiency falls; 0: never
     * @param crowdLoss fraction of the efficiency that is lost at twice that number, which is also the maximum loss
     * @param linger parameters of a metastable slowdown after overload; null: none
     * @param stops which cancelled requests the server stops working on
     * @param dropsExpired whether a request that has expired when it leaves the queue is rejected
     * @param keyMemoryUs how long the server caches a key; 0: no cache
     * @param keySaving fraction of the work that a cached key saves
     * @param keysKept maximum number of cached keys
     */
    public record Machine(
            int cores,
            double speed,
            int slots,
            int room,
            int mostConnections,
            double handshakeWork,
            long idleCloseUs,
            double errors,
            long reportEveryUs,
            double probeWork,
            int mostProbes,
            boolean deepProbes,
            double coldFrom,
            long coldForUs,
            double coldWork,
            long pauseEveryUs,
            Range pauseUs,
            double crowdAt,
            double crowdLoss,
            Linger linger,
            Stops stops,
            boolean dropsExpired,
            long keyMemoryUs,
            double keySaving,
            int keysKept) {
        /** Work that the server can do per microsecond when warm and undisturbed. */
        public double capacity() {
            return cores * speed;
        }
    }

    /**
     * A metastable slowdown: the server stays slow after the overload that caused it has ended.
     *
     * @param at it begins when the mean number of requests in flight over {@code afterUs} exceeds cores + at *
     *     sqrt(cores)
     * @param afterUs time constant of that mean
     * @param slower factor by which the server is then slower
     * @param below it ends when the mean core utilisation is below this fraction
     * @param restUs time constant of the mean utilisation
     * @param mostUs longest duration of the slowdown
     */
    public record Linger(double at, long afterUs, double slower, double below, long restUs, long mostUs) {}

    /** A request at the server. */
    public static final class Job {
        final String requestId;
        final double work;
        final String key;
        final String effect;
        final long windowUs;
        final long expiresAt;
        final Done done;
        private long offeredAt;
        private double mark;
        private double share;
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
        public Job(String requestId, double work, String key, String effect, long windowUs, long expiresAt, Done done) {
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
    public interface Done {
        /** Called with the result; {@code inflight} is the load report, which may be slightly out of date. */
        void done(End end, int inflight);
    }

    /** Called with each effect when its request begins to run. */
    public interface Effects {
        /**
         * Called when a job begins; {@code dropped} if its deduplication group knew the effect, so that the server
         * did not apply it again.
         */
        void ran(Job job, boolean dropped);
    }

    /** Expiry times of the effects known to a deduplication group. */
    public static final class Group {
        private final Map<String, Long> knownUntil = new LinkedHashMap<>();

        private boolean knows(Job job, long now) {
            if (job.windowUs == 0 || job.effect == null) {
                return false;
            }
            if (knownUntil.size() > MANY_KEPT) {
                // Effects are in the order in which they ran, so the first unexpired one ends the search.
                var oldest = knownUntil.values().iterator();
                while (oldest.hasNext() && now > oldest.next()) {
                    oldest.remove();
                }
            }
            Long until = knownUntil.get(job.effect);
            if (until != null && now <= until) {
                return true;
            }
            knownUntil.remove(job.effect);
            knownUntil.put(job.effect, now + job.windowUs);
            return false;
        }
    }

    /** Counters of one or more processes of a server; times in microseconds. */
    public static final class Figures {
        public long offered;
        public long begun;
        public long served;
        public long errors;
        public long turnedAway;
        public long expired;
        public long cancelled;
        public long repeatsDropped;
        public long keyHits;
        public long probes;
        public long handshakes;
        public long connectionsRefused;
        public int mostConnections;
        public int mostHeld;
        public long pausedUs;
        public long lingeredUs;
        public boolean fell;
        public double workDone;
        public double workWasted;
        public double waitSumUs;
        public double busyCoreUs;
        public double heldSumUs;

        /** Adds the counters of another process of the same server. */
        public void add(Figures o) {
            offered += o.offered;
            begun += o.begun;
            served += o.served;
            errors += o.errors;
            turnedAway += o.turnedAway;
            expired += o.expired;
            cancelled += o.cancelled;
            repeatsDropped += o.repeatsDropped;
            keyHits += o.keyHits;
            probes += o.probes;
            handshakes += o.handshakes;
            connectionsRefused += o.connectionsRefused;
            mostConnections = Math.max(mostConnections, o.mostConnections);
            mostHeld = Math.max(mostHeld, o.mostHeld);
            pausedUs += o.pausedUs;
            lingeredUs += o.lingeredUs;
            fell |= o.fell;
            workDone += o.workDone;
            workWasted += o.workWasted;
            waitSumUs += o.waitSumUs;
            busyCoreUs += o.busyCoreUs;
            heldSumUs += o.heldSumUs;
        }
    }

    private final Machine machine;
    private final Time time;
    private final Chance chance;
    private final Group group;
    private final Effects effects;
    private final Figures figures = new Figures();
    private final long startedAt;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(Comparator.comparingDouble((Job j) -> j.mark).thenComparing(j -> j.requestId));
    private final LinkedHashMap<String, Long> keys = new LinkedHashMap<>();
    private int held;
    private int connections;
    private int probes;
    private double attained;
    private double rate;
    private long at;
    private Time.Timer next;
    private long nextAt;
    private Time.Timer look;
    private boolean stopped;
    private boolean draining;
    private boolean hung;
    private boolean cold;
    private int pauses;
    private double slow = 1;
    private double taken;
    private double errors;
    private double debt;
    private double warmed;
    private boolean lingering;
    private long lingeringSince;
    private double heldMean;
    private double busyMean = 1;
    private int report;
    private long reportedAt = Long.MIN_VALUE / 2;

    /**
     * Starts a process.
     *
     * @param startsCold whether the process has just been started; otherwise it counts as long running
     */
    public ServerModel(Machine machine, Time time, Chance chance, Group group, Effects effects, boolean startsCold) {
        this.machine = machine;
        this.time = time;
        this.chance = chance;
        this.group = group;
        this.effects = effects;
        this.errors = machine.errors();
        this.at = time.now();
        this.startedAt = at;
        this.cold = startsCold && machine.coldFrom() < 1 && (machine.coldForUs() > 0 || machine.coldWork() > 0);
        if (machine.pauseEveryUs() > 0) {
            schedulePause();
        }
        watch();
    }

    public Machine machine() {
        return machine;
    }

    public Figures figures() {
        advance();
        return figures;
    }

    /** Number of requests running and queued. */
    public int held() {
        return held;
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
        double part = machine.coldWork() > 0
                ? warmed / machine.coldWork()
                : (double) (time.now() - startedAt) / machine.coldForUs();
        return Math.min(1, machine.coldFrom() + (1 - machine.coldFrom()) * part);
    }

    /** Remaining work of the requests in flight, without the savings of the key cache. */
    double workAhead() {
        advance();
        double ahead = 0;
        for (Job job : running) {
            ahead += job.mark - attained;
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
                : machine.speed()
                        * warmth()
                        * efficiency()
                        * (1 - taken)
                        / slow
                        / (lingering ? machine.linger().slower() : 1);
    }

    /** Fraction of a request's work that remains if its key is cached; 1 if it is not cached. */
    double workLeftOf(String key) {
        Long last = key == null || machine.keyMemoryUs() == 0 ? null : keys.get(key);
        return last != null && time.now() - last <= machine.keyMemoryUs() ? 1 - machine.keySaving() : 1;
    }

    /**
     * Whether the server is faulty apart from load and cold start: it hangs, is slowed down, has a noisy neighbour,
     * or returns additional errors.
     */
    boolean troubled() {
        return hung || slow > 1 || taken > 0 || lingering || errors > machine.errors();
    }

    boolean hung() {
        return hung;
    }

    // ---- connections and probes ----------------------------------------------------------------------

    /** Accepts a connection; false if the server has its maximum number of connections. */
    public boolean connect() {
        if (connections >= machine.mostConnections()) {
            figures.connectionsRefused++;
            return false;
        }
        connections++;
        figures.handshakes++;
        figures.mostConnections = Math.max(figures.mostConnections, connections);
        return true;
    }

    public void disconnect() {
        connections--;
    }

    /** Work that a new connection adds to its first request. */
    public double handshakeWork() {
        return machine.handshakeWork();
    }

    /** Runs a probe. A shallow probe bypasses the queue and shows little more than that the process runs. */
    public void probe(Done done) {
        figures.probes++;
        if (probes >= machine.mostProbes() || draining) {
            done.done(End.NOT_RUN, held);
            return;
        }
        if (machine.deepProbes()) {
            probes++;
            offer(new Job("probe", machine.probeWork(), null, null, 0, Long.MAX_VALUE, (end, inflight) -> {
                probes--;
                done.done(end, inflight);
            }));
        } else if (!hung) {
            debt += running.isEmpty() ? 0 : machine.probeWork();
            done.done(End.SERVED, held);
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    /** Accepts a request whose last byte has arrived; the request may end before this method returns. */
    public void offer(Job job) {
        if (stopped) {
            return;
        }
        figures.offered++;
        job.offeredAt = time.now();
        boolean full = running.size() >= machine.slots() && waiting.size() >= machine.room();
        if (draining || full && !hung) {
            figures.turnedAway++;
            job.state = OVER;
            job.done.done(End.NOT_RUN, inflight());
            return;
        }
        advance();
        held++;
        figures.mostHeld = Math.max(figures.mostHeld, held);
        job.state = WAITING;
        waiting.add(job);
        fill();
        settle();
    }

    /** Cancels a request that its caller no longer waits for; unknown or ended requests are ignored. */
    public void cancel(Job job) {
        if (stopped
                || job.state == NEW
                || job.state == OVER
                || machine.stops() == Stops.NONE
                || job.state == RUNNING && machine.stops() == Stops.QUEUED) {
            return;
        }
        advance();
        if (job.state == WAITING) {
            waiting.remove(job);
        } else {
            running.remove(job);
            figures.workWasted += job.share - (job.mark - attained);
        }
        job.state = OVER;
        held--;
        figures.cancelled++;
        fill();
        settle();
    }

    private void fill() {
        while (running.size() < machine.slots() && !waiting.isEmpty() && !hung) {
            Job job = waiting.poll();
            if (machine.dropsExpired() && time.now() >= job.expiresAt) {
                job.state = OVER;
                held--;
                figures.expired++;
                job.done.done(End.NOT_RUN, inflight());
                continue;
            }
            begin(job);
        }
    }

    private void begin(Job job) {
        boolean dropped = group != null && group.knows(job, time.now());
        job.share = (dropped ? REPEAT_WORK : remembers(job.key) ? 1 - machine.keySaving() : 1) * job.work + debt;
        debt = 0;
        job.mark = attained + job.share;
        job.state = RUNNING;
        running.add(job);
        figures.begun++;
        figures.waitSumUs += time.now() - job.offeredAt;
        figures.repeatsDropped += dropped ? 1 : 0;
        effects.ran(job, dropped);
    }

    private boolean remembers(String key) {
        if (key == null || machine.keyMemoryUs() == 0) {
            return false;
        }
        Long last = keys.remove(key);
        keys.put(key, time.now());
        if (keys.size() > machine.keysKept()) {
            keys.remove(keys.keySet().iterator().next());
        }
        boolean known = last != null && time.now() - last <= machine.keyMemoryUs();
        figures.keyHits += known ? 1 : 0;
        return known;
    }

    private int inflight() {
        if (time.now() - reportedAt >= machine.reportEveryUs()) {
            reportedAt = time.now();
            report = held;
        }
        return report;
    }

    // ---- faults ----------------------------------------------------------------------------------------

    /** Slows the server down by this factor; 1 ends the fault. */
    public void slow(double factor) {
        change(() -> slow = factor);
    }

    /** A noisy neighbour takes this fraction of the machine; 0 ends the fault. */
    public void neighbour(double part) {
        change(() -> taken = part);
    }

    /** While on, the server accepts requests and answers none. */
    public void hang(boolean on) {
        change(() -> {
            hung = on;
            fill();
        });
    }

    /** Sets the probability of an error response; the failed requests have run. */
    public void errors(double probability) {
        errors = Math.max(machine.errors(), probability);
    }

    /** Starts a drain: the server finishes the accepted requests and rejects new ones. */
    public void drain() {
        draining = true;
    }

    /** Pauses the process. */
    public void pause(long us) {
        change(() -> pauses++);
        figures.pausedUs += us;
        time.after(us, () -> change(() -> pauses--));
    }

    /** Crashes the process from overload while cold. */
    public void fall() {
        figures.fell = true;
        stop();
    }

    /** Ends the process; requests in flight get no response. */
    public void stop() {
        advance();
        stopped = true;
        rate = 0;
        cancel(next);
        cancel(look);
        waiting.clear();
        running.clear();
        held = 0;
    }

    private static void cancel(Time.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void change(Runnable what) {
        if (!stopped) {
            advance();
            what.run();
            settle();
        }
    }

    private void schedulePause() {
        time.after((long) chance.exponential(machine.pauseEveryUs()), () -> {
            if (!stopped) {
                pause((long) machine.pauseUs().draw(chance::between));
                schedulePause();
            }
        });
    }

    // ---- progress ------------------------------------------------------------------------------------

    /** Advances all counters to the current time, at the rate since the last change. */
    private void advance() {
        long now = time.now();
        double passed = now - at;
        if (passed > 0 && !stopped) {
            double done = rate * passed;
            attained += done;
            double all = done * running.size();
            figures.workDone += all;
            warmed += all;
            figures.busyCoreUs += passed * Math.min(running.size(), machine.cores());
            figures.heldSumUs += passed * held;
            figures.lingeredUs += lingering ? passed : 0;
            if (machine.linger() != null) {
                heldMean = toward(heldMean, held, passed, machine.linger().afterUs());
                double busy = Math.min(1.0, (double) running.size() / machine.cores());
                busyMean = toward(busyMean, busy, passed, machine.linger().restUs());
            }
        }
        at = now;
    }

    private static double toward(double mean, double value, double passed, double over) {
        return value + (mean - value) * StrictMath.exp(-passed / over);
    }

    /** Sets the current rate and schedules the end of the next request by it. */
    private void settle() {
        double all = coreSpeed();
        rate = running.isEmpty() ? 0 : all * Math.min(1.0, (double) machine.cores() / running.size());
        if (rate > 0) {
            double left = Math.max(0, running.peek().mark - attained) / rate;
            long endsAt = at + (long) Math.ceil(Math.min(left, 1e15));
            // Most arrivals change neither the rate nor the next request to end; a difference of one microsecond is
            // rounding.
            if (next == null || Math.abs(endsAt - nextAt) > 1) {
                cancel(next);
                nextAt = endsAt;
                next = time.after(endsAt - at, this::ended);
            }
        } else {
            cancel(next);
            next = null;
        }
        watch();
    }

    private double efficiency() {
        double bearable = machine.crowdAt() * machine.cores();
        if (bearable == 0 || held <= bearable) {
            return 1;
        }
        return 1 - machine.crowdLoss() * Math.min(1, (held - bearable) / bearable);
    }

    private void ended() {
        next = null;
        advance();
        // Rounding to microseconds may leave a tiny remainder of work; requests within 1e-6 of their end have ended.
        double reached = attained + 1e-6;
        while (!running.isEmpty() && running.peek().mark <= reached) {
            Job job = running.poll();
            job.state = OVER;
            held--;
            boolean error = chance.happens(errors);
            figures.served += error ? 0 : 1;
            figures.errors += error ? 1 : 0;
            figures.workWasted += error ? job.share : 0;
            job.done.done(error ? End.ERROR : End.SERVED, inflight());
            if (stopped) {
                return;
            }
        }
        fill();
        settle();
    }

    /** Schedules the next re-evaluation while any state changes with time. */
    private void watch() {
        boolean crowdedLately = machine.linger() != null && (lingering || held > 0 || heldMean > 0.5);
        if (look == null && !stopped && (cold || crowdedLately)) {
            look = time.after(LOOK_US, () -> {
                look = null;
                advance();
                cold = cold && warmth() < 1;
                linger();
                settle();
            });
        }
    }

    private void linger() {
        Linger l = machine.linger();
        if (l == null) {
            return;
        }
        long now = time.now();
        if (lingering) {
            lingering = now - lingeringSince < l.mostUs() && busyMean >= l.below();
        } else if (heldMean > machine.cores() + l.at() * Math.sqrt(machine.cores())) {
            lingering = true;
            lingeringSince = now;
            busyMean = 1;
        }
    }

    /** Whether the server is slow from an overload that may have passed. */
    public boolean lingering() {
        return lingering;
    }
}
