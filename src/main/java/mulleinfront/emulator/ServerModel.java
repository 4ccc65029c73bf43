package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import mulleinfront.core.Time;
import mulleinfront.settings.Range;

/**
 * One life of a factoring server's process, from its start to its end: a waiting room before some slots,
 * whose requests share the cores. It knows no network and no clock but the {@link Time} it is given, so it
 * runs on virtual time here and may run on a real clock elsewhere.
 *
 * <p>Every running request progresses at one rate, so the work that each has had since the start is one
 * figure ({@code attained}) and a request ends when that figure reaches its own mark. Whatever changes the
 * rate (a start, an end, a pause, a neighbour, warming up) first brings {@code attained} up to date.
 *
 * <p>Work is counted in microseconds of one core of speed 1.
 */
public final class ServerModel {
    /** How often what changes steadily (warmth, crowding over a while) is looked at, microseconds. */
    private static final long LOOK_US = 50_000;
    /** Part of a request's work that it takes to see that it is a repeat and to give the kept answer. */
    private static final double REPEAT_WORK = 0.05;
    /** Kept effects beyond which those that are over are looked for. */
    private static final int MANY_KEPT = 1024;

    /** How a request ended at the server. */
    public enum End {
        SERVED,
        ERROR,
        NOT_RUN
    }

    /** When work that nobody waits for stops. */
    public enum Stops {
        NONE,
        QUEUED,
        ALL
    }

    /**
     * One machine, as drawn.
     *
     * @param cores number of cores
     * @param speed work a core does in a microsecond
     * @param slots requests in work at once
     * @param room requests that wait at most; beyond it they are turned away
     * @param mostConnections open connections at most
     * @param handshakeWork work that a new connection adds to the first request on it
     * @param idleCloseUs idle time after which it closes a connection
     * @param errors probability that an answer is an error
     * @param reportEveryUs age after which its load report is made anew
     * @param probeWork work of a probe
     * @param mostProbes probes at once at most
     * @param deepProbes whether probes wait and are served like requests
     * @param coldFrom share of its capacity with which it starts, in (0, 1]
     * @param coldForUs time from there to the full capacity; 0: warm at once
     * @param coldWork work from there to the full capacity; above 0 it warms by work, not by time
     * @param pauseEveryUs mean time between pauses; 0: none
     * @param pauseUs shortest and longest pause
     * @param crowdAt requests held per core beyond which it gets less efficient; 0: never
     * @param crowdLoss part of its efficiency that is lost at twice that many, and at most
     * @param linger what makes it slow for a while after it was crowded; null: nothing
     * @param stops when work stops that nobody waits for
     * @param dropsExpired whether a request whose time is up when its turn comes is turned away
     * @param keyMemoryUs how long it remembers a key; 0: not at all
     * @param keySaving part of the work that it is spared by a key it remembers
     * @param keysKept keys that it remembers at most
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
        /** Work that it can do in a microsecond when warm and undisturbed. */
        public double capacity() {
            return cores * speed;
        }
    }

    /**
     * Slowness that stays when the load has passed.
     *
     * @param at it begins when, in the mean of {@code afterUs}, more than cores + at x root of cores are held
     * @param afterUs time over which that mean is taken
     * @param slower how many times slower it then is
     * @param below it ends when the cores were busy under this share ...
     * @param restUs ... in the mean of this time,
     * @param mostUs or after this time
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
         * @param requestId its id
         * @param work its work without what memory of keys spares
         * @param key what it is about, or null
         * @param effect what identifies its effect among repeats (an idempotency key), or null
         * @param windowUs how long repeats of the effect are dropped; 0: they are not
         * @param expiresAt when nobody will wait for it any more
         * @param done told once how it ended, unless it was cancelled or the process died
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

    /** The end of a request or probe at the server. */
    public interface Done {
        /** {@code inflight}: the load report, a little old. */
        void done(End end, int inflight);
    }

    /** Told of each effect when its request begins to run. */
    public interface Effects {
        /** {@code dropped}: it was a repeat that the server's group knew, and did nothing again. */
        void ran(Job job, boolean dropped);
    }

    /** Until when each effect is known, in a group of servers that drop repeats. */
    public static final class Group {
        private final Map<String, Long> knownUntil = new LinkedHashMap<>();

        private boolean knows(Job job, long now) {
            if (job.windowUs == 0 || job.effect == null) {
                return false;
            }
            if (knownUntil.size() > MANY_KEPT) {
                // In the order in which they ran: the first that is fresh ends the search.
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

    /** What the server saw and did; times in microseconds. */
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

        /** Adds what another life of the same server saw. */
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
     * A process that starts now.
     *
     * @param startsCold whether it has just been started, rather than long ago
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

    /** Requests in work and waiting. */
    public int held() {
        return held;
    }

    public boolean stopped() {
        return stopped;
    }

    public boolean draining() {
        return draining;
    }

    /** Share of its capacity that it has warmed up to, 1 when warm. */
    public double warmth() {
        if (!cold) {
            return 1;
        }
        double part = machine.coldWork() > 0
                ? warmed / machine.coldWork()
                : (double) (time.now() - startedAt) / machine.coldForUs();
        return Math.min(1, machine.coldFrom() + (1 - machine.coldFrom()) * part);
    }

    /**
     * Work that is still to be done of the requests that it holds, without what memory of keys will spare.
     */
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

    /** Work that a core does in a microsecond at this moment; 0 while it answers nothing. */
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

    /** Part of a request's work that is left where its key was met lately; 1 where not. */
    double workLeftOf(String key) {
        Long last = key == null || machine.keyMemoryUs() == 0 ? null : keys.get(key);
        return last != null && time.now() - last <= machine.keyMemoryUs() ? 1 - machine.keySaving() : 1;
    }

    /**
     * Whether something is wrong with it beside load and cold: it hangs, is slowed, shares its machine, or
     * errs.
     */
    boolean troubled() {
        return hung || slow > 1 || taken > 0 || lingering || errors > machine.errors();
    }

    boolean hung() {
        return hung;
    }

    // ---- connections and probes ----------------------------------------------------------------------

    /** A client connects; false if it holds all the connections that it takes. */
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

    /** Asks how it is: a shallow probe is answered beside the queue and shows little but that it runs. */
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

    /** Takes a request whose last byte has come; it may end before this returns. */
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

    /** Nobody waits for it any more; unknown or ended requests are ignored. */
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

    // ---- troubles ------------------------------------------------------------------------------------

    /** It does its work this many times slower; 1 ends it. */
    public void slow(double factor) {
        change(() -> slow = factor);
    }

    /** Another program takes this part of the machine; 0 ends it. */
    public void neighbour(double part) {
        change(() -> taken = part);
    }

    /** Takes requests and answers none, until it is told otherwise. */
    public void hang(boolean on) {
        change(() -> {
            hung = on;
            fill();
        });
    }

    /** Answers with an error this often; the requests have run. */
    public void errors(double probability) {
        errors = Math.max(machine.errors(), probability);
    }

    /** Finishes what it has and turns away what is new. */
    public void drain() {
        draining = true;
    }

    /** Stands still. */
    public void pause(long us) {
        change(() -> pauses++);
        figures.pausedUs += us;
        time.after(us, () -> change(() -> pauses--));
    }

    /** Pushed over while cold. */
    public void fall() {
        figures.fell = true;
        stop();
    }

    /** The process ends: nothing that it holds is answered. */
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

    /** Brings all figures up to now, at the rate that held since the last time. */
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

    /** Sets the rate that holds from now on, and when the next request ends by it. */
    private void settle() {
        double all = coreSpeed();
        rate = running.isEmpty() ? 0 : all * Math.min(1.0, (double) machine.cores() / running.size());
        if (rate > 0) {
            double left = Math.max(0, running.peek().mark - attained) / rate;
            long endsAt = at + (long) Math.ceil(Math.min(left, 1e15));
            // Most arrivals change neither the rate nor who ends next; a microsecond is rounding.
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
        // A rounded microsecond may leave a hair of work: whoever is this close has ended.
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

    /** Looks again in a moment, as long as there is something that changes by itself. */
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

    /** Whether it is slow from load that may have passed. */
    public boolean lingering() {
        return lingering;
    }
}
