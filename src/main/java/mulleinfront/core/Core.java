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
 * Handles the requests of one client proxy from acceptance to final answer. Events from the wire are passed to the
 * balancer, the balancer's decisions become attempts and final answers, and the invariants that no decision may
 * violate are enforced here. All methods must be called on one thread.
 *
 * @param <Q> type of a request message on the wire
 * @param <A> type of a response message on the wire
 */
public final class Core<Q, A> implements Balancer.Actions {
    /**
     * The final answer is given this long before the client's deadline, because sending it and a busy event loop take
     * time.
     */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** The balancer's time budget ends this much earlier still, so that its own final answer comes first. */
    private static final long BALANCER_MARGIN_US = 10_000;
    /** A final answer later than this after the client's deadline violates an invariant: the request is lost. */
    private static final long ANSWER_GRACE_US = 500_000;
    /**
     * Time before a streamed response would be lost at which it is cut off, so that its client sees in time that it is
     * incomplete, even if the event loop stalls.
     */
    private static final long CUT_OFF_MARGIN_US = 250_000;
    /** Length of a request that an endpoint's connection takes at once. */
    private static final long SHORT_REQUEST_BYTES = 16 * 1024;
    /** Longest time for which a request may be read while its attempt is being sent. */
    private static final long MAX_READING_US = 600_000_000;
    /** Stands for no time since which bytes of a request may be unread. */
    private static final long ALL_READ = Long.MAX_VALUE;

    private final Settings settings;
    private final Time time;
    private final Wire<Q, A> wire;
    private final Consumer<Throwable> exceptionHandler;
    private final Metrics metrics;
    private final RuleGuard ruleGuard;
    /** When the current endpoint list expires, microseconds; no attempt is sent by it from then on. */
    private long listValidUntil = Long.MAX_VALUE;

    private final Map<String, RequestHandle<Q, A>> requestsById = new HashMap<>();
    private final UnsettledIds unsettledIds;
    /** Endpoints that are ready by the lists received so far, whether or not the balancer has processed them. */
    private final Map<String, Endpoint> readyEndpoints = new HashMap<>();
    /** Queued events for the balancer and actions of the balancer, in order; see {@link #run}. */
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    private boolean processing;
    private InstanceLimits instanceLimits;
    private Balancer balancer;
    private Balancer.Observer observer;
    private Time.Timer wakeTimer;
    private long shutdownDeadline = Long.MAX_VALUE;
    private long startedAt;

    /** Creates the balancer. Tests pass balancers that break the rules which the real one keeps. */
    public interface BalancerFactory {
        /** Creates a balancer; the parameters are those of {@link Balancer#create}. */
        Balancer create(Settings settings, long seed, long now, Balancer.Actions actions);
    }

    /** A request from its acceptance until the balancer has been notified of its end. */
    public static final class RequestHandle<Q, A> {
        private final ResponseHandler<Q, A> handler;
        private final Request request;
        private final RequestClass requestClass;
        private final Q message;
        private long attemptDeadline;
        /** Gives the final answer at the deadline, or cuts off a streamed response some time after it. */
        private Time.Timer deadlineTimer;

        private long deadlineAt;
        private Wire.Attempt activeAttempt;
        private int activeAttemptNumber;
        private int attemptCount;
        private boolean mayHaveRun;
        /** Endpoint of the first attempt that may have run; it determines the deduplication group. */
        private Endpoint mayHaveRunEndpoint;

        private Endpoint activeEndpoint;
        /** A final answer after this time violates an invariant, microseconds. */
        private long answerDueAt = Long.MAX_VALUE;
        /** How the last attempt ended; meaningless before the first one has ended. */
        private Outcome lastOutcome = Outcome.IGNORED;
        /** When the first attempt that may have run was sent; the deduplication window starts then. */
        private long mayHaveRunSentAt;

        private boolean answered;
        /** Whether the client left before its answer was complete. */
        private boolean clientGone;
        /** Whether an attempt has succeeded. */
        private boolean served;
        /** Whether the request is still being read. */
        private boolean reading;
        /** Since when bytes of the request may have arrived that are not read; {@link #ALL_READ} if there are none. */
        private long unreadSince = ALL_READ;
        /** When a request that is still being read fails. */
        private long readingUntil;
        /** Time from the last byte of the request to the final answer, at most. */
        private long timeoutUs;
        /** How long the client waits, at most the deadline of the request class. */
        private long deadlineUs;
        /** The time budget that the balancer is given. */
        private long budgetUs;

        private long attemptTimeoutUs;
        /** Whether the response has started. */
        private boolean responseStarted;
        /** Whether the streamed response has been cut off because it was overdue. */
        private boolean cutOff;

        private final StreamProgress streamProgress = new StreamProgress();
        /**
         * Whether the balancer has been notified that the attempt in progress streams to or from the client. From then
         * on the balancer does not cancel the attempt.
         */
        private boolean streaming;

        private RequestHandle(
                ResponseHandler<Q, A> handler,
                Request request,
                RequestClass requestClass,
                Q message,
                long attemptDeadline) {
            this.handler = handler;
            this.request = request;
            this.requestClass = requestClass;
            this.message = message;
            this.attemptDeadline = attemptDeadline;
        }
    }

    /**
     * Creates a core without a balancer; {@link #createBalancer} creates the balancer.
     *
     * @param settings settings of the deployment
     * @param time the clock and timers of the owning thread
     * @param wire connects to endpoints and discovery
     * @param exceptionHandler called with the exception of an event or action that failed; the request concerned keeps
     *        its deadline timer
     */
    public Core(Settings settings, Time time, Wire<Q, A> wire, Consumer<Throwable> exceptionHandler) {
        this(settings, time, wire, exceptionHandler, new Metrics());
    }

    /**
     * Creates a core without a balancer that counts in the given metrics.
     *
     * @param settings settings of the deployment
     * @param time the clock and timers of the owning thread
     * @param wire connects to endpoints and discovery
     * @param exceptionHandler called with the exception of an event or action that failed
     * @param metrics updated by the core and by the wire
     */
    public Core(Settings settings, Time time, Wire<Q, A> wire, Consumer<Throwable> exceptionHandler, Metrics metrics) {
        this.metrics = metrics;
        this.ruleGuard = metrics.ruleGuard;
        this.settings = settings;
        this.time = time;
        this.wire = wire;
        this.unsettledIds = new UnsettledIds(unsettledTimeUs(settings));
        this.exceptionHandler = exceptionHandler;
    }

    /** Creates the balancer. Must be called once, before any event, and be followed by {@link #processQueue}. */
    public void createBalancer(BalancerFactory factory, long seed) {
        instanceLimits = new InstanceLimits(settings.instances(), seed);
        startedAt = time.now();
        balancer = factory.create(settings, seed, startedAt, this);
    }

    /** Sets how many instances may be using the endpoints now. The initial number is that of the settings. */
    public void setLiveInstances(int instances) {
        instanceLimits.setLiveInstances(instances);
    }

    /** Sets the observer of unserved requests. Must be called after {@link #createBalancer}. */
    public void setObserver(Balancer.Observer newObserver) {
        observer = newObserver;
        balancer.observe(newObserver);
    }

    /**
     * Runs an event or an action now, or after those that are queued. The balancer makes its decisions inside an event
     * call, and the wire may report an event inside an action: neither may re-enter the balancer. An exception ends
     * only its own task; the request concerned still has its deadline timer.
     */
    public void run(Runnable task) {
        tasks.add(task);
        processQueue();
    }

    /** Runs the queued tasks, unless a caller further up the stack is doing so already. */
    public void processQueue() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (Runnable next; (next = tasks.poll()) != null; ) {
                runTask(next);
            }
        } finally {
            processing = false;
        }
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | LinkageError e) {
            exceptionHandler.accept(e);
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /**
     * Handles an endpoint list or a delta. Its readiness of endpoints applies from this call on, also to attempts that
     * were decided before; the balancer is notified after the tasks that are queued.
     */
    public void onEndpointList(Source source, List<Endpoint> endpoints) {
        if (source != Source.DELTA) {
            readyEndpoints.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.availability() == Availability.READY) {
                readyEndpoints.put(endpoint.id(), endpoint);
            } else {
                readyEndpoints.remove(endpoint.id());
            }
        }
        run(() -> balancer.onEndpoints(time.now(), source, endpoints));
    }

    /**
     * Returns the delay before the first discovery call at a new address, microseconds: see {@link InstanceLimits}. It
     * is at most half of the poll interval limit, because the current list is dated from the discovery call before.
     */
    public long moveDelayUs() {
        return Math.min(instanceLimits.moveDelayUs(), settings.contract().askWithinUs() / 2);
    }

    /** Returns the largest number of idle connections that the wire may keep: see {@link InstanceLimits}. */
    public int maxIdleConnections() {
        return instanceLimits.maxIdleConnections(readyEndpoints.size());
    }

    /**
     * Handles a discovery call that failed before any response; the current list stays in use.
     *
     * @param unreachable whether discovery could not be reached: the connection was refused. Any other failure may come
     *        from a discovery that is reachable and busy
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
     * Handles a watch that broke or timed out; the current list stays in use.
     *
     * @param quietUs time since the last whole list or heartbeat of the watch, microseconds
     */
    public void watchLost(long quietUs) {
        run(() -> balancer.onDiscoveryFailed(time.now(), quietUs));
    }

    /** Sets how long ago the process started, microseconds. Must be called after {@link #createBalancer}. */
    public void processStarted(long agoUs) {
        run(() -> balancer.onProcessStart(time.now(), agoUs));
    }

    /** Handles a watch that discovery ended in order; the current list stays in use. */
    public void watchEnded() {
        run(() -> balancer.onWatchEnded(time.now()));
    }

    /** Handles a call to discovery that the wire made by itself, as where lists are pushed. */
    public void discoveryCalled() {
        run(() -> balancer.onDiscoveryCalled(time.now()));
    }

    /**
     * Handles a move: discovery is called at its new address from now on.
     *
     * @param movedAgoUs how long ago the move was requested, microseconds
     * @param quietUs time since the last data on the watch that the move closed, microseconds; 0 if there was none
     */
    public void discoveryMoved(long movedAgoUs, long quietUs) {
        run(() -> balancer.onDiscoveryMoved(time.now(), movedAgoUs, quietUs));
    }

    /**
     * Handles the late answer to a call that had failed by its timeout; its list follows.
     *
     * @param startedAgoUs time since that call started, microseconds
     */
    public void timedOutCallAnswered(long startedAgoUs) {
        run(() -> balancer.onTimedOutCallAnswered(time.now(), startedAgoUs));
    }

    // ---- requests ------------------------------------------------------------------------------------

    /**
     * Sets the time by which every request has its final answer, microseconds on the core's clock, and every streamed
     * response has ended. It applies to open requests and to those accepted from now on.
     */
    public void setShutdownDeadline(long deadline) {
        shutdownDeadline = deadline;
        for (RequestHandle<Q, A> handle : requestsById.values()) {
            if (isUnfinished(handle)) {
                handle.attemptDeadline = Math.min(handle.attemptDeadline, deadline);
                setDeadline(handle, Math.min(handle.deadlineAt, deadline));
            }
        }
    }

    /** Whether the client still waits for the final answer, or for the end of a streamed one. */
    private static boolean isUnfinished(RequestHandle<?, ?> handle) {
        return handle.responseStarted ? handle.activeAttempt != null && !handle.clientGone : !handle.answered;
    }

    /**
     * Sets the deadline of an unfinished request and its timer. The start of a streamed response does not end the
     * deadline, since the response is complete only with its last byte: what continues after
     * {@link #streamedResponseDueAt} is cut off unless {@link StreamProgress} finds it sound.
     */
    private void setDeadline(RequestHandle<Q, A> handle, long at) {
        handle.deadlineAt = at;
        if (handle.deadlineTimer != null) {
            handle.deadlineTimer.cancel();
        }
        handle.deadlineTimer = handle.responseStarted
                ? time.after(streamedResponseDueAt(handle) - time.now(), () -> checkStream(handle))
                : time.after(at - time.now(), () -> deadlineExpired(handle));
    }

    /** Returns when a streamed response of ordinary length has to be complete, microseconds on the core's clock. */
    private long streamedResponseDueAt(RequestHandle<Q, A> handle) {
        return Math.min(handle.deadlineAt + ANSWER_GRACE_US - CUT_OFF_MARGIN_US, shutdownDeadline);
    }

    /**
     * Returns when the client must have taken a streamed response whose last byte has just come from its endpoint,
     * microseconds on the core's clock.
     */
    public long streamedResponseTakenBy(RequestHandle<Q, A> handle) {
        long dueAt = streamedResponseDueAt(handle);
        StreamProgress.Transfer transfer =
                handle.activeAttempt == null ? null : handle.activeAttempt.responseTransfer();
        return transfer != null && transfer.isLong()
                ? Math.min(Math.max(dueAt, time.now() + StreamProgress.INTERVAL_US), shutdownDeadline)
                : dueAt;
    }

    /**
     * Cancels the attempt of a streamed response that is overdue and not sound: its client is told that it is
     * incomplete.
     */
    private void checkStream(RequestHandle<Q, A> handle) {
        if (handle.activeAttempt == null) {
            return;
        }
        long now = time.now();
        StreamProgress.Transfer transfer = handle.activeAttempt.responseTransfer();
        long nextCheckUs = transfer == null || now >= shutdownDeadline
                ? StreamProgress.END
                : handle.streamProgress.check(now, transfer);
        if (nextCheckUs == StreamProgress.END) {
            handle.cutOff = true;
            handle.activeAttempt.cancel();
        } else {
            handle.deadlineTimer = time.after(Math.min(nextCheckUs, shutdownDeadline - now), () -> checkStream(handle));
        }
    }

    /**
     * Returns whether a request may not be accepted under this id: a request of it is open, or has ended without an
     * answer although it may still run, so that one which must not run twice could.
     */
    public boolean isTaken(String requestId, int classIndex) {
        return requestsById.containsKey(requestId)
                || settings.classes().get(classIndex).effect() != Effect.RETRYABLE
                        && unsettledIds.contains(requestId, time.now());
    }

    /** Returns whether the lists received so far contain an endpoint that is ready. */
    public boolean hasReadyEndpoints() {
        return !readyEndpoints.isEmpty();
    }

    /** Returns the number of requests that are open, or whose end has not been passed to the balancer yet. */
    public int openRequests() {
        return requestsById.size();
    }

    /**
     * Accepts a complete request. Its handler is called with one final answer in time, whatever the balancer decides.
     *
     * @param handler receives the final answer
     * @param id id of the request; must not be open, see {@link #isTaken}
     * @param classIndex position in the settings' classes
     * @param key routing key, or null
     * @param deadlineMs how long the client waits, milliseconds from {@code receivedAt}, at least 1
     * @param receivedAt when the last byte of the request was read, microseconds
     * @param expectedUs expected service time, microseconds; 0 if unknown
     * @param tenant position in the settings' tenants; ignored when there are none
     * @param repeat whether the client marks it as a repeat
     * @param message the request message
     */
    public void accept(
            ResponseHandler<Q, A> handler,
            String id,
            int classIndex,
            String key,
            long deadlineMs,
            long receivedAt,
            long expectedUs,
            int tenant,
            boolean repeat,
            Q message) {
        accept(handler, id, classIndex, key, deadlineMs, receivedAt, expectedUs, tenant, repeat, message, false);
    }

    /**
     * Accepts a request that may still be being read: its attempt is sent while the request arrives. The client's
     * deadline counts from the last byte, which {@link #requestComplete} reports; until then no attempt can have run.
     *
     * @param handler receives the final answer
     * @param id id of the request; must not be open, see {@link #isTaken}
     * @param classIndex position in the settings' classes
     * @param key routing key, or null
     * @param deadlineMs how long the client waits, milliseconds from the last byte of the request, at least 1
     * @param receivedAt when the last byte of the request, or of the part read so far, was read, microseconds
     * @param expectedUs expected service time, microseconds; 0 if unknown
     * @param tenant position in the settings' tenants; ignored when there are none
     * @param repeat whether the client marks it as a repeat
     * @param message the request message
     * @param reading whether the request is still being read
     */
    public void accept(
            ResponseHandler<Q, A> handler,
            String id,
            int classIndex,
            String key,
            long deadlineMs,
            long receivedAt,
            long expectedUs,
            int tenant,
            boolean repeat,
            Q message,
            boolean reading) {
        RequestClass requestClass = settings.classes().get(classIndex);
        // No client waits longer than the deadline of its request class, so a drain does not either.
        long deadlineUs = Math.min(deadlineMs, requestClass.deadlineUs() / 1000 + 1) * 1000;
        long timeoutUs = deadlineUs - Math.min(RESPONSE_MARGIN_US, deadlineUs / 4);
        long budgetUs = timeoutUs - Math.min(BALANCER_MARGIN_US, deadlineUs / 8) - (time.now() - receivedAt);
        // The balancer is given the client's own budget, not the shorter one of a shutdown: a small budget would look
        // like the time that a repeat has left.
        long untilShutdownUs = shutdownDeadline - time.now();
        if (Math.min(budgetUs, untilShutdownUs) <= 0) {
            metrics.answers.add(Metrics.Answer.REFUSED_NO_TIME);
            handler.refused(retryAfterUs());
            return;
        }
        Request request = new Request(id, classIndex, key, budgetUs, expectedUs, tenant, repeat);
        RequestHandle<Q, A> handle = new RequestHandle<>(
                handler, request, requestClass, message, time.now() + Math.min(budgetUs, untilShutdownUs));
        requestsById.put(id, handle);
        handle.reading = reading;
        handle.timeoutUs = timeoutUs;
        handle.budgetUs = budgetUs;
        handle.answerDueAt = reading ? Long.MAX_VALUE : receivedAt + deadlineUs + ANSWER_GRACE_US;
        handle.deadlineUs = deadlineUs;
        handle.readingUntil = time.now() + MAX_READING_US;
        setDeadline(handle, Math.min(reading ? handle.readingUntil : receivedAt + timeoutUs, shutdownDeadline));
        handler.opened(handle);
        run(() -> balancer.onRequest(time.now(), handle.request));
    }

    /**
     * Handles a pause in reading a request, because its endpoint does not take more of the body. The last byte may
     * arrive from now on without being read, so the client's deadline counts from here.
     */
    public void readingPaused(RequestHandle<Q, A> handle) {
        if (handle.reading && handle.unreadSince == ALL_READ && isUnfinished(handle)) {
            handle.unreadSince = time.now();
            setDeadline(handle, Math.min(handle.deadlineAt, handle.unreadSince + handle.timeoutUs));
        }
    }

    /** Handles that all bytes that have arrived of a request are read, and its last one is not among them. */
    public void readingCaughtUp(RequestHandle<Q, A> handle) {
        if (handle.reading && handle.unreadSince != ALL_READ && isUnfinished(handle)) {
            handle.unreadSince = ALL_READ;
            setDeadline(handle, Math.min(handle.readingUntil, shutdownDeadline));
        }
    }

    /** Handles the last byte of a request: the client's deadline counts from its arrival. */
    public void requestComplete(RequestHandle<Q, A> handle) {
        if (!handle.reading || !isUnfinished(handle)) {
            return;
        }
        handle.reading = false;
        long now = time.now();
        long receivedAt = Math.min(now, handle.unreadSince);
        handle.answerDueAt = receivedAt + handle.deadlineUs + ANSWER_GRACE_US;
        setDeadline(handle, Math.min(receivedAt + handle.timeoutUs, shutdownDeadline));
        if (handle.responseStarted) {
            return;
        }
        handle.attemptDeadline = Math.max(now + 1, Math.min(receivedAt + handle.budgetUs, shutdownDeadline));
        long remainingUs = handle.attemptDeadline - now;
        if (handle.activeAttempt != null) {
            handle.activeAttempt.setTimeout(attemptLimitUs(handle, handle.attemptTimeoutUs, remainingUs));
        }
    }

    /**
     * Limits the time of an attempt. A long request gets the time in addition that its endpoint may take to read it:
     * until its last byte has come it has not begun.
     */
    private long attemptLimitUs(RequestHandle<Q, A> handle, long timeoutUs, long remainingUs) {
        long bytes = wire.requestBytes(handle.message);
        long transferUs = bytes > SHORT_REQUEST_BYTES ? StreamProgress.transferTimeUs(bytes) : 0;
        return timeoutUs == 0 ? remainingUs : Math.min(remainingUs, timeoutUs + transferUs);
    }

    private long retryAfterUs() {
        return settings.limits().maxRetryAfterUs();
    }

    /**
     * Handles a client that disconnected or gave up: its handler is not called any more. The balancer is notified and
     * may cancel the attempt in progress; an attempt that streams to or from the client is cancelled in any case.
     */
    public void abandoned(RequestHandle<Q, A> handle) {
        if (!handle.answered || handle.responseStarted) {
            metrics.answers.add(Metrics.Answer.CLIENT_GONE);
            handle.clientGone = true;
        }
        markAnswered(handle);
        notifyAbandoned(handle);
    }

    /**
     * Gives the final answer when the deadline timer fires, whatever the balancer has done. A response that has begun
     * is passed on as far as it has come. The request is refused only if a retry is safe.
     */
    private void deadlineExpired(RequestHandle<Q, A> handle) {
        if (!handle.answered && time.now() < shutdownDeadline && isResponding(handle)) {
            handle.activeAttempt.streamResponse();
        }
        if (!handle.answered) {
            metrics.answers.add(Metrics.Answer.TIME_UP);
            markAnswered(handle);
            if (observer != null) {
                observer.requestUnserved(
                        time.now(),
                        new UnservedReason(
                                handle.request.id(),
                                UnservedReason.Cause.TIME,
                                handle.request.classIndex(),
                                handle.requestClass.worth(),
                                time.now() - startedAt,
                                Double.NaN,
                                "the guard"));
            }
            checkAnswerDue(handle);
            if (isRetrySafe(handle)) {
                handle.handler.refused(retryAfterUs());
            } else {
                handle.handler.failed(true);
            }
            notifyAbandoned(handle);
        }
    }

    /**
     * Returns whether another try by the client is safe: no attempt has run or may still run, the request may run any
     * number of times, or every endpoint drops its repeats.
     */
    private static boolean isRetrySafe(RequestHandle<?, ?> handle) {
        return handle.requestClass.effect() == Effect.RETRYABLE
                || !handle.mayHaveRun && handle.activeAttempt == null
                || handle.requestClass.effect() == Effect.DEDUP && handle.requestClass.scope() == DedupScope.ALL;
    }

    /** Checks that the final answer, which is about to be given, is not too late. */
    private void checkAnswerDue(RequestHandle<Q, A> handle) {
        ruleGuard.verify(RuleGuard.Check.ANSWER_OVERDUE, time.now() <= handle.answerDueAt, handle.request.id());
    }

    private void markAnswered(RequestHandle<Q, A> handle) {
        handle.answered = true;
        handle.deadlineTimer.cancel();
    }

    private void notifyAbandoned(RequestHandle<Q, A> handle) {
        run(() -> {
            try {
                balancer.onRequestAbandoned(time.now(), handle.request.id());
            } finally {
                scheduleRemoval(handle);
                if (handle.activeAttempt != null && handle.streaming) {
                    // The balancer does not cancel an attempt that streams to or from the client.
                    handle.activeAttempt.cancel();
                }
            }
        });
    }

    /** Removes the request after the actions that are queued, which may still name it. */
    private void scheduleRemoval(RequestHandle<Q, A> handle) {
        tasks.add(() -> {
            if (requestsById.remove(handle.request.id(), handle) && mayStillRun(handle)) {
                unsettledIds.add(handle.request.id(), time.now());
            }
        });
    }

    /** Whether an attempt of a request that must not run twice may have run or may still run, without being answered. */
    private static boolean mayStillRun(RequestHandle<?, ?> handle) {
        return handle.requestClass.effect() != Effect.RETRYABLE
                && (handle.mayHaveRun || handle.activeAttempt != null)
                && (handle.clientGone || !handle.served);
    }

    /** Time in which a client may repeat a request: its deadline, or the time in which endpoints drop repeats. */
    private static long unsettledTimeUs(Settings settings) {
        long longestUs = 0;
        for (RequestClass requestClass : settings.classes()) {
            longestUs = Math.max(longestUs, Math.max(requestClass.deadlineUs(), requestClass.dedupWindowUs()));
        }
        return longestUs + ANSWER_GRACE_US;
    }

    // ---- decisions of the balancer --------------------------------------------------------------------

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        tasks.add(() -> {
            RequestHandle<Q, A> handle = requestsById.get(requestId);
            if (handle != null) {
                startAttempt(handle, endpointId, timeoutUs);
            }
        });
    }

    private void startAttempt(RequestHandle<Q, A> handle, String endpointId, long timeoutUs) {
        int number = handle.attemptCount++;
        if (number > 0) {
            metrics.retries.add(handle.lastOutcome);
        }
        long sentAt = time.now();
        long remainingUs = handle.attemptDeadline - sentAt;
        Endpoint endpoint = readyEndpoints.get(endpointId);
        boolean prevented = timeoutUs < 0
                || !ruleGuard.allows(RuleGuard.Check.SEND_AFTER_ANSWER, !handle.answered)
                || !ruleGuard.allows(RuleGuard.Check.SEND_AFTER_DEADLINE, remainingUs > 0 || handle.reading)
                || !ruleGuard.allows(
                        RuleGuard.Check.SEND_BESIDE_ANOTHER,
                        handle.activeAttempt == null
                                && number < settings.limits().maxAttempts());
        long limitUs = handle.reading ? Wire.NO_TIMEOUT : attemptLimitUs(handle, timeoutUs, remainingUs);
        Wire.Attempt attempt = prevented
                ? null
                : wire.prepareAttempt(
                        handle.request.id(),
                        number,
                        endpointId,
                        handle.message,
                        limitUs,
                        () -> maySend(handle, endpointId),
                        new Wire.AttemptListener<>() {
                            @Override
                            public void ended(Outcome outcome, A answer) {
                                onAttemptEnded(handle, number, sentAt, outcome, answer);
                            }

                            @Override
                            public void loadReported(double inFlight) {
                                Core.this.reportLoad(endpointId, inFlight);
                            }

                            @Override
                            public boolean responseStarted(A answer) {
                                return onResponseStarted(handle, number, answer);
                            }

                            @Override
                            public boolean outlivesTimeout() {
                                if (handle.answered) {
                                    return false;
                                }
                                startStreaming(handle, number);
                                return true;
                            }
                        });
        if (attempt == null) {
            reportAttemptEnd(handle, number, sentAt, Outcome.IGNORED);
            return;
        }
        handle.activeAttemptNumber = number;
        handle.activeEndpoint = endpoint;
        handle.activeAttempt = attempt;
        handle.attemptTimeoutUs = timeoutUs;
        handle.streaming = false;
        if (handle.reading) {
            // The client determines how long this attempt takes, so its latency says nothing about the endpoint.
            startStreaming(handle, number);
        }
        attempt.start();
    }

    /**
     * Returns whether an attempt may still be sent; called when its first byte is about to be written. While the
     * connection was being established the request may have ended, the endpoint may have started to drain, and the
     * deduplication window that was open when the retry was decided may have closed.
     */
    private boolean maySend(RequestHandle<Q, A> handle, String endpointId) {
        Endpoint endpoint = readyEndpoints.get(endpointId);
        return ruleGuard.allows(RuleGuard.Check.SEND_AFTER_ANSWER, !handle.answered)
                && ruleGuard.allows(RuleGuard.Check.START_AT_LEFT_ENDPOINT, endpoint != null)
                && ruleGuard.allows(RuleGuard.Check.SEND_BY_OVERDUE_LIST, time.now() < listValidUntil)
                && isRetryAllowed(handle, endpoint)
                && ruleGuard.allows(RuleGuard.Check.SEND_AFTER_CLIENT_LEFT, clientStillWaiting(handle));
    }

    /** Returns whether an attempt at this endpoint is safe after the earlier attempts. */
    private boolean isRetryAllowed(RequestHandle<Q, A> handle, Endpoint endpoint) {
        if (!handle.mayHaveRun || handle.requestClass.effect() == Effect.RETRYABLE) {
            return true;
        }
        if (handle.requestClass.effect() == Effect.FRAGILE) {
            return ruleGuard.allows(RuleGuard.Check.REPEAT_UNSAFE, false);
        }
        return ruleGuard.allows(RuleGuard.Check.REPEAT_OUTSIDE_GROUP, isInDedupGroup(handle, endpoint))
                && ruleGuard.allows(
                        RuleGuard.Check.REPEAT_AFTER_WINDOW,
                        time.now() < handle.mayHaveRunSentAt + handle.requestClass.dedupWindowUs());
    }

    private static boolean isInDedupGroup(RequestHandle<?, ?> handle, Endpoint endpoint) {
        return switch (handle.requestClass.scope()) {
            case ALL -> true;
            case ZONE -> handle.mayHaveRunEndpoint != null && handle.mayHaveRunEndpoint.zone() == endpoint.zone();
            case CELL -> handle.mayHaveRunEndpoint != null && handle.mayHaveRunEndpoint.cell() == endpoint.cell();
        };
    }

    private boolean clientStillWaiting(RequestHandle<Q, A> handle) {
        boolean waiting = handle.handler.stillWaiting();
        if (!waiting) {
            abandoned(handle);
        }
        return waiting;
    }

    private void reportLoad(String endpointId, double inFlight) {
        run(() -> balancer.onLoadReport(time.now(), endpointId, inFlight));
    }

    private boolean onResponseStarted(RequestHandle<Q, A> handle, int number, A answer) {
        if (handle.answered) {
            return false;
        }
        handle.answered = true;
        handle.responseStarted = true;
        setDeadline(handle, handle.deadlineAt);
        handle.mayHaveRun = true;
        handle.mayHaveRunEndpoint = handle.activeEndpoint;
        handle.handler.responseStarted(answer);
        startStreaming(handle, number);
        return true;
    }

    private static boolean isResponding(RequestHandle<?, ?> handle) {
        return handle.activeAttempt != null && handle.activeAttempt.isResponding();
    }

    private void startStreaming(RequestHandle<Q, A> handle, int number) {
        handle.streaming = true;
        run(() -> balancer.onStreamStarted(time.now(), handle.request.id(), number));
    }

    private void onAttemptEnded(RequestHandle<Q, A> handle, int number, long sentAt, Outcome outcome, A answer) {
        handle.activeAttempt = null;
        handle.served |= outcome == Outcome.OK;
        if (!outcome.neverRan() && !handle.mayHaveRun) {
            handle.mayHaveRun = true;
            handle.mayHaveRunSentAt = sentAt;
            handle.mayHaveRunEndpoint = handle.activeEndpoint;
        }
        if (handle.responseStarted) {
            handle.deadlineTimer.cancel();
            countStreamedAnswer(handle, outcome);
            run(() -> scheduleRemoval(handle));
        } else if (outcome == Outcome.OK && !handle.answered) {
            checkAnswerDue(handle);
            metrics.answers.add(Metrics.Answer.SERVED);
            markAnswered(handle);
            handle.handler.served(answer);
            run(() -> scheduleRemoval(handle));
        }
        reportAttemptEnd(handle, number, sentAt, outcome);
    }

    private void countStreamedAnswer(RequestHandle<Q, A> handle, Outcome outcome) {
        if (handle.clientGone) {
            return;
        }
        metrics.answers.add(
                outcome == Outcome.OK
                        ? Metrics.Answer.SERVED
                        : handle.cutOff ? Metrics.Answer.CUT_OFF : Metrics.Answer.BROKEN_OFF);
    }

    private void reportAttemptEnd(RequestHandle<Q, A> handle, int number, long sentAt, Outcome outcome) {
        boolean requestDone = handle.answered;
        handle.lastOutcome = outcome;
        metrics.attempts.add(outcome);
        run(() -> balancer.onAttemptEnded(
                time.now(), new AttemptEnd(handle.request.id(), number, outcome, requestDone, time.now() - sentAt)));
    }

    @Override
    public void cancel(String requestId, int number) {
        tasks.add(() -> {
            RequestHandle<Q, A> handle = requestsById.get(requestId);
            if (handle == null || handle.activeAttempt == null || number != handle.activeAttemptNumber) {
                return;
            }
            if (!handle.answered && isResponding(handle)) {
                // The endpoint has done the work: its response is not given up for another attempt.
                startStreaming(handle, number);
            } else {
                handle.activeAttempt.cancel();
            }
        });
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        tasks.add(() -> {
            RequestHandle<Q, A> handle = claimFinalAnswer(requestId);
            if (handle != null) {
                boolean retrySafe = isRetrySafe(handle);
                metrics.answers.add(
                        handle.attemptCount == 0
                                ? Metrics.Answer.REFUSED_UNSENT
                                : Metrics.Answer.REFUSED_AFTER_ATTEMPT);
                if (ruleGuard.allows(RuleGuard.Check.REFUSE_AFTER_EFFECT, retrySafe)) {
                    handle.handler.refused(retryAfterUs);
                } else {
                    handle.handler.failed(false);
                }
            }
        });
    }

    @Override
    public void fail(String requestId) {
        tasks.add(() -> {
            RequestHandle<Q, A> handle = claimFinalAnswer(requestId);
            if (handle != null) {
                metrics.answers.add(Metrics.Answer.FAILED);
                handle.handler.failed(false);
            }
        });
    }

    /** Marks a request as answered and returns it; null if it already has its final answer or is unknown. */
    private RequestHandle<Q, A> claimFinalAnswer(String requestId) {
        RequestHandle<Q, A> handle = requestsById.get(requestId);
        if (handle == null || handle.answered) {
            return null;
        }
        checkAnswerDue(handle);
        markAnswered(handle);
        scheduleRemoval(handle);
        return handle;
    }

    @Override
    public void probe(String endpointId) {
        tasks.add(() -> {
            long sentAt = time.now();
            if (!instanceLimits.mayProbe(sentAt, readyEndpoints.size())) {
                run(() -> balancer.onProbeEnded(time.now(), endpointId, Outcome.IGNORED, 0));
                return;
            }
            wire.probe(endpointId, new Wire.AttemptListener<>() {
                @Override
                public void ended(Outcome outcome, A answer) {
                    run(() -> balancer.onProbeEnded(time.now(), endpointId, outcome, time.now() - sentAt));
                }

                @Override
                public void loadReported(double inFlight) {
                    Core.this.reportLoad(endpointId, inFlight);
                }
            });
        });
    }

    @Override
    public void subscribe() {
        subscribe(Wire.CALL_TIMEOUT_US);
    }

    @Override
    public void subscribe(long timeoutUs) {
        tasks.add(() -> wire.subscribe(timeoutUs));
    }

    @Override
    public void onListExpiryChanged(long atUs, Balancer.ListExpiryReason reason) {
        listValidUntil = atUs;
        if (atUs != Long.MAX_VALUE) {
            long validForUs = atUs - time.now();
            tasks.add(() -> wire.onListExpiryChanged(validForUs, reason));
        }
    }

    @Override
    public void onListExpired(Balancer.ListExpiryReason reason) {
        metrics.discovery.add(Metrics.Discovery.LIST_OVERDUE);
        tasks.add(() -> wire.onListExpired(reason));
    }

    @Override
    public void wakeAt(long atUs) {
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        wakeTimer = time.after(atUs - time.now(), () -> run(() -> balancer.onTimer(time.now())));
    }
}
