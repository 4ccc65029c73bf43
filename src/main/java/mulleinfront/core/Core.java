package mulleinfront.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mulleinfront.Balancer;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import mulleinfront.UnservedReason;

/**
 * The life of requests in one client proxy. Events from the wires become the module's events, its decisions
 * become attempts and final answers, and what must hold whatever it decides is held here. All calls come on
 * one thread.
 *
 * @param <Q> a request as the wire carries it
 * @param <A> an answer as the wire brings it
 */
public final class Core<Q, A> implements Balancer.Actions {
    /** We are done this long before the client's time is up: the way back and a busy core take time. */
    private static final long MARGIN_US = 25_000;
    /** What the module is told ends this much earlier still, so that its own last word comes first. */
    private static final long LAST_WORD_US = 10_000;
    /** A final answer so long after its client's time is a lost request. */
    private static final long LATE_ANSWER_US = 500_000;
    /** Longest time for which a request is read while an attempt of it goes out. */
    private static final long MOST_READING_US = 600_000_000;

    private final Settings settings;
    private final Time time;
    private final Wire<Q, A> wire;
    private final Consumer<Throwable> defects;
    private final Metrics metrics;
    private final RuleGuard guard;
    /** Until when attempts may be made by the list that is held. */
    private long listValidUntil = Long.MAX_VALUE;

    private final Map<String, RequestHandle<Q, A>> open = new HashMap<>();
    /** Hosts that the lists told so far say are ready, whether or not the module has taken note of it. */
    private final Map<String, Endpoint> ready = new HashMap<>();
    /** Events for the module and its actions, in order; see {@link #run}. */
    private final ArrayDeque<Runnable> work = new ArrayDeque<>();

    private boolean working;
    private Footprint footprint;
    private Balancer balancer;
    private Balancer.Observer observer;
    private Time.Timer wake;
    private long lastAt = Long.MAX_VALUE;
    private long bornAt;

    /** Makes the module; a test's own can do what the real one never would. */
    public interface BalancerFactory {
        /** The arguments are those of {@link Balancer#create}. */
        Balancer create(Settings settings, long seed, long now, Balancer.Actions actions);
    }

    /** A request taken and not yet forgotten. */
    public static final class RequestHandle<Q, A> {
        private final ResponseHandler<Q, A> caller;
        private final Request request;
        private final RequestClass type;
        private final Q call;
        private long endAt;
        private Time.Timer guard;
        private long guardAt;
        private Wire.Attempt out;
        private int outNumber;
        private int attempts;
        private boolean mayHaveRun;
        /** Where that was, for the group that drops repeats. */
        private Endpoint ranAt;

        private Endpoint outAt;
        /** A final answer after this is lost, microseconds. */
        private long overdueAt = Long.MAX_VALUE;
        /** How the last attempt ended; of use once there was one. */
        private Outcome lastOutcome = Outcome.IGNORED;
        /** When the first attempt that may have run was sent; the window for repeats counts from then. */
        private long mayHaveRunAt;

        private boolean answered;
        /** The request is still being read; what it may take from its last byte on, microseconds. */
        private boolean reading;

        private long patience;
        /** How long its client waits. */
        private long deadlineUs;

        private long budget;
        private long outTimeout;
        /** Its answer has begun. */
        private boolean begun;
        /**
         * The attempt that is out is the client's by the module's word, which leaves it alone from then on.
         */
        private boolean streaming;

        private RequestHandle(ResponseHandler<Q, A> caller, Request request, RequestClass type, Q call, long endAt) {
            this.caller = caller;
            this.request = request;
            this.type = type;
            this.call = call;
            this.endAt = endAt;
        }
    }

    /**
     * A core that has no module yet.
     *
     * @param settings what the deployment states
     * @param time the clock and timers of the owning thread
     * @param wire reaches hosts and discovery
     * @param defects told of what an event or action threw; the request that it was about keeps its guard
     */
    public Core(Settings settings, Time time, Wire<Q, A> wire, Consumer<Throwable> defects) {
        this(settings, time, wire, defects, new Metrics());
    }

    /**
     * The same with metrics that its owner shows to operators.
     *
     * @param metrics counted here and by the wire
     */
    public Core(Settings settings, Time time, Wire<Q, A> wire, Consumer<Throwable> defects, Metrics metrics) {
        this.metrics = metrics;
        this.guard = metrics.guard;
        this.settings = settings;
        this.time = time;
        this.wire = wire;
        this.defects = defects;
    }

    /** Makes the module; to be called once, before any event, and followed by {@link #perform}. */
    public void begin(BalancerFactory maker, long seed) {
        footprint = new Footprint(settings.instances(), seed);
        bornAt = time.now();
        balancer = maker.create(settings, seed, bornAt, this);
    }

    /** How many instances may be using the hosts now, as far as is known; at first as many as the settings say. */
    public void setLiveInstances(int instances) {
        footprint.living(instances);
    }

    /** Whom to tell why requests are not served; to be called after {@link #begin}. */
    public void observe(Balancer.Observer who) {
        observer = who;
        balancer.observe(who);
    }

    /**
     * Runs an event or an action now, or after the one that is running. The module makes its decisions
     * inside an event call, and a wire may have news inside an action: neither may re-enter the module.
     * A failure ends the one task; the request it was about still has its guard.
     */
    public void run(Runnable task) {
        work.add(task);
        processQueue();
    }

    /** Carries out what waits, unless that is being done. */
    public void processQueue() {
        if (working) {
            return;
        }
        working = true;
        try {
            for (Runnable next; (next = work.poll()) != null; ) {
                processQueue(next);
            }
        } finally {
            working = false;
        }
    }

    private void processQueue(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | LinkageError e) {
            defects.accept(e);
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /**
     * A list or changes came. What it says of readiness holds from this call on, also for attempts whose
     * decision was made before; the module hears of it in its turn.
     */
    public void onEndpointList(Source source, List<Endpoint> endpoints) {
        if (source != Source.DELTA) {
            ready.clear();
        }
        for (Endpoint e : endpoints) {
            if (e.availability() == Availability.READY) {
                ready.put(e.id(), e);
            } else {
                ready.remove(e.id());
            }
        }
        run(() -> balancer.onEndpoints(time.now(), source, endpoints));
    }

    /**
     * How long to wait before discovery is called where it has moved to, microseconds: see {@link Footprint}. Half of the
     * settings' time for asking at most, since the list held counts from the call before.
     */
    public long moveDelayUs() {
        return Math.min(footprint.moveDelayUs(), settings.contract().askWithinUs() / 2);
    }

    /** Idle connections that the wire is to keep at most: see {@link Footprint}. */
    public int maxIdleConnections() {
        return footprint.mostIdle(ready.size());
    }

    /**
     * A call to discovery failed before anything came of it; the list held stays in force.
     *
     * @param unreachable whether nobody was there, or the connection never came up
     */
    public void discoveryFailed(boolean unreachable) {
        run(() -> {
            if (unreachable) {
                balancer.onDiscoveryUnreachable(time.now());
            } else {
                balancer.onDiscoveryFailed(time.now());
            }
        });
    }

    /**
     * A watch broke or fell silent; the list held stays in force.
     *
     * @param quietUs since when nothing had come of it, heartbeats included, microseconds
     */
    public void watchLost(long quietUs) {
        run(() -> balancer.onDiscoveryFailed(time.now(), quietUs));
    }

    /** The process had started so long ago, microseconds; to be called after {@link #begin}. */
    public void processStarted(long agoUs) {
        run(() -> balancer.onProcessStart(time.now(), agoUs));
    }

    /** Discovery ended a watch in order; the list held stays in force. */
    public void watchEnded() {
        run(() -> balancer.onWatchEnded(time.now()));
    }

    /**
     * Discovery is called elsewhere, where it has moved to.
     *
     * @param movedAgoUs how long ago that was asked for, microseconds
     */
    public void discoveryMoved(long movedAgoUs) {
        run(() -> balancer.onDiscoveryMoved(time.now(), movedAgoUs));
    }

    // ---- callers -------------------------------------------------------------------------------------

    /**
     * No final answer is later than this, microseconds on the core's clock: of requests that are open, and of those
     * taken from now on.
     */
    public void setShutdownDeadline(long at) {
        lastAt = at;
        for (RequestHandle<Q, A> x : open.values()) {
            if (!x.answered && x.guardAt > at) {
                x.endAt = Math.min(x.endAt, at);
                x.guard.cancel();
                guard(x, at - time.now());
            }
        }
    }

    private void guard(RequestHandle<Q, A> x, long delayUs) {
        x.guardAt = time.now() + delayUs;
        x.guard = time.after(delayUs, () -> timeUp(x));
    }

    /** Whether a request of this id is open: its id may not be used again until that is over. */
    public boolean isOpen(String requestId) {
        return open.containsKey(requestId);
    }

    /** Whether the lists told so far have a host that is ready. */
    public boolean hasReadyEndpoints() {
        return !ready.isEmpty();
    }

    /** Requests that are held: open ones, and those whose end the module has not heard of yet. */
    public int openRequests() {
        return open.size();
    }

    /**
     * Takes a request; its caller has one final answer in time, whatever the module does.
     *
     * @param id not one that is open, see {@link #holds}
     * @param classIndex position in the settings' classes
     * @param key what the request is about, or null
     * @param deadlineMs how long the client waits, milliseconds from {@code at}, at least 1
     * @param at when the request had come in whole
     * @param expectedUs work it is expected to need, microseconds; 0 if unknown
     * @param tenant position in the settings' tenants; ignored when there are none
     * @param repeat whether the client marks it as a repeat
     */
    public void accept(
            ResponseHandler<Q, A> caller,
            String id,
            int classIndex,
            String key,
            long deadlineMs,
            long at,
            long expectedUs,
            int tenant,
            boolean repeat,
            Q call) {
        accept(caller, id, classIndex, key, deadlineMs, at, expectedUs, tenant, repeat, call, false);
    }

    /**
     * Takes a request that may still be being read: its attempt goes out while it comes. Its time counts from
     * its last byte, which {@link #whole} tells; until then no attempt of it can have run.
     *
     * @param reading whether it is
     */
    public void accept(
            ResponseHandler<Q, A> caller,
            String id,
            int classIndex,
            String key,
            long deadlineMs,
            long at,
            long expectedUs,
            int tenant,
            boolean repeat,
            Q call,
            boolean reading) {
        RequestClass type = settings.classes().get(classIndex);
        // Nobody waits longer than the class's own patience, so neither does a drain.
        long deadlineUs = Math.min(deadlineMs, type.deadlineUs() / 1000 + 1) * 1000;
        long patience = deadlineUs - Math.min(MARGIN_US, deadlineUs / 4);
        long budget = patience - Math.min(LAST_WORD_US, deadlineUs / 8) - (time.now() - at);
        // The module is told what the client said: less would look like what a repeat has left.
        long most = lastAt - time.now();
        if (Math.min(budget, most) <= 0) {
            metrics.answers.add(Metrics.Answer.REFUSED_NO_TIME);
            caller.refused(comeBackUs());
            return;
        }
        Request request = new Request(id, classIndex, key, budget, expectedUs, tenant, repeat);
        RequestHandle<Q, A> x = new RequestHandle<>(caller, request, type, call, time.now() + Math.min(budget, most));
        open.put(id, x);
        x.reading = reading;
        x.patience = patience;
        x.budget = budget;
        x.overdueAt = reading ? Long.MAX_VALUE : at + deadlineUs + LATE_ANSWER_US;
        x.deadlineUs = deadlineUs;
        guard(x, Math.min(reading ? MOST_READING_US : at + patience - time.now(), most));
        caller.opened(x);
        run(() -> balancer.onRequest(time.now(), x.request));
    }

    /** When the time of a request's client is up, microseconds on the core's clock, whatever has begun of its answer. */
    public long timeLimitOf(RequestHandle<Q, A> x) {
        return x.guardAt;
    }

    /** The last byte of a request has been read: now its time begins. */
    public void requestComplete(RequestHandle<Q, A> x) {
        if (!x.reading || x.answered) {
            return;
        }
        x.reading = false;
        x.overdueAt = time.now() + x.deadlineUs + LATE_ANSWER_US;
        long most = Math.max(1, lastAt - time.now());
        long left = Math.min(x.budget, most);
        x.endAt = time.now() + left;
        x.guard.cancel();
        guard(x, Math.min(x.patience, most));
        if (x.out != null) {
            x.out.endWithin(x.outTimeout == 0 ? left : Math.min(left, x.outTimeout));
        }
    }

    private long comeBackUs() {
        return settings.limits().maxRetryAfterUs();
    }

    /** The caller has gone: it is told nothing, and what is out for it is called off. */
    public void abandoned(RequestHandle<Q, A> x) {
        if (!x.answered) {
            metrics.answers.add(Metrics.Answer.CLIENT_GONE);
        }
        over(x);
        tellGone(x);
    }

    /** Whatever the module does, the caller has an answer in time, and a refusal only if that is true. */
    private void timeUp(RequestHandle<Q, A> x) {
        if (!x.answered) {
            metrics.answers.add(Metrics.Answer.TIME_UP);
            over(x);
            if (observer != null) {
                observer.requestUnserved(
                        time.now(),
                        new UnservedReason(
                                x.request.id(),
                                UnservedReason.Cause.TIME,
                                x.request.classIndex(),
                                x.type.worth(),
                                time.now() - bornAt,
                                Double.NaN,
                                "the guard"));
            }
            answering(x);
            if (mayRefuse(x)) {
                x.caller.refused(comeBackUs());
            } else {
                x.caller.failed(true);
            }
            tellGone(x);
        }
    }

    /** Whether another try is harmless: nothing has run or may yet, or it may run any number of times. */
    private static boolean mayRefuse(RequestHandle<?, ?> x) {
        return x.type.effect() == Effect.RETRYABLE
                || !x.mayHaveRun && x.out == null
                || x.type.effect() == Effect.DEDUP && x.type.scope() == DedupScope.ALL;
    }

    /** Its final answer is being given. */
    private void answering(RequestHandle<Q, A> x) {
        guard.verify(RuleGuard.Check.ANSWER_OVERDUE, time.now() <= x.overdueAt, x.request.id());
    }

    private void over(RequestHandle<Q, A> x) {
        x.answered = true;
        x.guard.cancel();
    }

    private void tellGone(RequestHandle<Q, A> x) {
        run(() -> {
            try {
                balancer.onRequestAbandoned(time.now(), x.request.id());
            } finally {
                forget(x);
                if (x.out != null && x.streaming) {
                    // What belongs to the client goes with it.
                    x.out.cancel();
                }
            }
        });
    }

    /** After the actions already decided: they may still name the request. */
    private void forget(RequestHandle<Q, A> x) {
        work.add(() -> open.remove(x.request.id(), x));
    }

    // ---- the module's decisions ----------------------------------------------------------------------

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        work.add(() -> {
            RequestHandle<Q, A> x = open.get(requestId);
            if (x != null) {
                attempt(x, endpointId, timeoutUs);
            }
        });
    }

    private void attempt(RequestHandle<Q, A> x, String hostId, long timeoutUs) {
        int number = x.attempts++;
        if (number > 0) {
            metrics.retries.add(x.lastOutcome);
        }
        long sentAt = time.now();
        long left = x.endAt - sentAt;
        Endpoint host = ready.get(hostId);
        boolean vain = timeoutUs < 0
                || !guard.allows(RuleGuard.Check.SEND_AFTER_ANSWER, !x.answered)
                || !guard.allows(RuleGuard.Check.SEND_AFTER_DEADLINE, left > 0 || x.reading)
                || !guard.allows(
                        RuleGuard.Check.SEND_BESIDE_ANOTHER,
                        x.out == null && number < settings.limits().maxAttempts());
        long within = x.reading ? Wire.NO_TIMEOUT : timeoutUs == 0 ? left : Math.min(left, timeoutUs);
        Wire.Attempt made = vain
                ? null
                : wire.attempt(
                        x.request.id(),
                        number,
                        hostId,
                        x.call,
                        within,
                        () -> maySend(x, hostId),
                        new Wire.AttemptListener<>() {
                            @Override
                            public void ended(Outcome outcome, A answer) {
                                attemptEnded(x, number, sentAt, outcome, answer);
                            }

                            @Override
                            public void loadReported(double held) {
                                Core.this.reported(hostId, held);
                            }

                            @Override
                            public boolean responseStarted(A answer) {
                                return attemptBegun(x, number, answer);
                            }
                        });
        if (made == null) {
            ended(x, number, sentAt, Outcome.IGNORED);
            return;
        }
        x.outNumber = number;
        x.outAt = host;
        x.out = made;
        x.outTimeout = timeoutUs;
        x.streaming = false;
        if (x.reading) {
            // How long it takes is the client's doing: nothing is learnt of the host from it.
            streams(x, number);
        }
        made.start();
    }

    /**
     * Asked when the first byte is about to leave: while a connection came up the request may have ended, its endpoint may
     * have been told to drain, and the window that was open when the repeat was decided may have closed.
     */
    private boolean maySend(RequestHandle<Q, A> x, String hostId) {
        Endpoint host = ready.get(hostId);
        return guard.allows(RuleGuard.Check.SEND_AFTER_ANSWER, !x.answered)
                && guard.allows(RuleGuard.Check.START_AT_LEFT_ENDPOINT, host != null)
                && guard.allows(RuleGuard.Check.SEND_BY_OVERDUE_LIST, time.now() < listValidUntil)
                && mayRepeat(x, host)
                && guard.allows(RuleGuard.Check.SEND_AFTER_CLIENT_LEFT, present(x));
    }

    /** Whether an attempt there is harmless after those before. */
    private boolean mayRepeat(RequestHandle<Q, A> x, Endpoint host) {
        if (!x.mayHaveRun || x.type.effect() == Effect.RETRYABLE) {
            return true;
        }
        if (x.type.effect() == Effect.FRAGILE) {
            return guard.allows(RuleGuard.Check.REPEAT_UNSAFE, false);
        }
        return guard.allows(RuleGuard.Check.REPEAT_OUTSIDE_GROUP, inGroup(x, host))
                && guard.allows(
                        RuleGuard.Check.REPEAT_AFTER_WINDOW, time.now() < x.mayHaveRunAt + x.type.dedupWindowUs());
    }

    private static boolean inGroup(RequestHandle<?, ?> x, Endpoint host) {
        return switch (x.type.scope()) {
            case ALL -> true;
            case ZONE -> x.ranAt != null && x.ranAt.zone() == host.zone();
            case CELL -> x.ranAt != null && x.ranAt.cell() == host.cell();
        };
    }

    private boolean present(RequestHandle<Q, A> x) {
        boolean is = x.caller.stillWaiting();
        if (!is) {
            abandoned(x);
        }
        return is;
    }

    private void reported(String hostId, double held) {
        run(() -> balancer.onLoadReport(time.now(), hostId, held));
    }

    private boolean attemptBegun(RequestHandle<Q, A> x, int number, A answer) {
        if (x.answered) {
            return false;
        }
        metrics.answers.add(Metrics.Answer.SERVED);
        over(x);
        x.begun = true;
        x.mayHaveRun = true;
        x.ranAt = x.outAt;
        x.caller.responseStarted(answer);
        streams(x, number);
        return true;
    }

    private void streams(RequestHandle<Q, A> x, int number) {
        x.streaming = true;
        run(() -> balancer.onStreamStarted(time.now(), x.request.id(), number));
    }

    private void attemptEnded(RequestHandle<Q, A> x, int number, long sentAt, Outcome outcome, A answer) {
        x.out = null;
        if (!outcome.neverRan() && !x.mayHaveRun) {
            x.mayHaveRun = true;
            x.mayHaveRunAt = sentAt;
            x.ranAt = x.outAt;
        }
        if (x.begun) {
            run(() -> forget(x));
        } else if (outcome == Outcome.OK && !x.answered) {
            answering(x);
            metrics.answers.add(Metrics.Answer.SERVED);
            over(x);
            x.caller.served(answer);
            run(() -> forget(x));
        }
        ended(x, number, sentAt, outcome);
    }

    private void ended(RequestHandle<Q, A> x, int number, long sentAt, Outcome outcome) {
        boolean done = x.answered;
        x.lastOutcome = outcome;
        metrics.attempts.add(outcome);
        run(() -> balancer.onAttemptEnded(
                time.now(), new AttemptEnd(x.request.id(), number, outcome, done, time.now() - sentAt)));
    }

    @Override
    public void cancel(String requestId, int number) {
        work.add(() -> {
            RequestHandle<Q, A> x = open.get(requestId);
            if (x != null && x.out != null && number == x.outNumber) {
                x.out.cancel();
            }
        });
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        work.add(() -> {
            RequestHandle<Q, A> x = conclude(requestId);
            if (x != null) {
                boolean harmless = mayRefuse(x);
                metrics.answers.add(
                        x.attempts == 0 ? Metrics.Answer.REFUSED_UNSENT : Metrics.Answer.REFUSED_AFTER_ATTEMPT);
                if (guard.allows(RuleGuard.Check.REFUSE_AFTER_EFFECT, harmless)) {
                    x.caller.refused(retryAfterUs);
                } else {
                    x.caller.failed(false);
                }
            }
        });
    }

    @Override
    public void fail(String requestId) {
        work.add(() -> {
            RequestHandle<Q, A> x = conclude(requestId);
            if (x != null) {
                metrics.answers.add(Metrics.Answer.FAILED);
                x.caller.failed(false);
            }
        });
    }

    /** The request that a last word is for; null if it has had one. */
    private RequestHandle<Q, A> conclude(String requestId) {
        RequestHandle<Q, A> x = open.get(requestId);
        if (x == null || x.answered) {
            return null;
        }
        answering(x);
        over(x);
        forget(x);
        return x;
    }

    @Override
    public void probe(String endpointId) {
        work.add(() -> {
            long sentAt = time.now();
            if (!footprint.mayProbe(sentAt, ready.size())) {
                run(() -> balancer.onProbeEnded(time.now(), endpointId, Outcome.IGNORED, 0));
                return;
            }
            wire.probe(endpointId, new Wire.AttemptListener<>() {
                @Override
                public void ended(Outcome outcome, A answer) {
                    run(() -> balancer.onProbeEnded(time.now(), endpointId, outcome, time.now() - sentAt));
                }

                @Override
                public void loadReported(double held) {
                    Core.this.reported(endpointId, held);
                }
            });
        });
    }

    @Override
    public void subscribe() {
        subscribe(Wire.CALL_TIMEOUT_US);
    }

    @Override
    public void subscribe(long patienceUs) {
        work.add(() -> wire.subscribe(patienceUs));
    }

    @Override
    public void listValidUntil(long atUs) {
        listValidUntil = atUs;
    }

    @Override
    public void onListExpired(Balancer.ListExpiryReason bound) {
        metrics.discovery.add(Metrics.Discovery.LIST_OVERDUE);
        work.add(() -> wire.onListExpired(bound));
    }

    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel();
        }
        wake = time.after(atUs - time.now(), () -> run(() -> balancer.onTimer(time.now())));
    }
}
