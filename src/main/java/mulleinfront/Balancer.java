package mulleinfront;

import java.util.List;

/**
 * The whole interface of the decision module: one instance per client process, single-threaded, told of
 * events with the time at which they happen, answering through {@link Actions} during the call.
 *
 * <p>All times and durations are microseconds. The clock may start anywhere and never runs backwards. The
 * module has no clock, thread or I/O of its own, and equal events give equal actions.
 */
public interface Balancer {

    /**
     * Makes an instance that knows no endpoints yet.
     *
     * @param settings what the deployment states
     * @param seed seed of the instance's random numbers
     * @param now the present time
     * @param actions receives the decisions
     * @return the instance
     */
    static Balancer create(Settings settings, long seed, long now, Actions actions) {
        return new Logic(settings, seed, now, actions);
    }

    /** A complete list (endpoints it lacks are gone) or, with {@code full} false, changed entries only. */
    void onEndpoints(long now, Source source, List<Endpoint> endpoints);

    /** A subscription or reload failed, or the subscription broke; the list held stays in force. */
    void onDiscoveryFailed(long now);

    /**
     * The same of a subscription that broke, or of one whose first list was not finished: discovery is there.
     *
     * @param quietUs since when nothing had come of it, heartbeats included, microseconds
     */
    default void onDiscoveryFailed(long now, long quietUs) {
        onDiscoveryFailed(now);
    }

    /** A call failed because discovery could not be reached: nobody was there, or nobody took it. */
    default void onDiscoveryUnreachable(long now) {
        onDiscoveryFailed(now);
    }

    /**
     * The process that this instance is in had started before it: what counts from a start counts from then.
     *
     * @param agoUs how long ago, microseconds
     */
    default void onProcessStart(long now, long agoUs) {}

    /** Discovery has ended the subscription in order: it has to be asked for anew. */
    default void onWatchEnded(long now) {
        onDiscoveryFailed(now, 0);
    }

    /**
     * Discovery is elsewhere and is being called there: what is told next is its answer.
     *
     * @param movedAgoUs how long ago that was asked for, microseconds
     */
    default void onDiscoveryMoved(long now, long movedAgoUs) {}

    /** A request arrived; it must get one final answer within its budget. */
    void onRequest(long now, Request request);

    /** The client left or its time is up: nothing more is owed. Unknown ids are ignored. */
    void onRequestAbandoned(long now, String requestId);

    /**
     * The attempt now belongs to the client: its answer has begun, or its request is still being read. How
     * long it takes tells nothing of the endpoint.
     */
    void onStreamStarted(long now, String requestId, int attempt);

    /** An attempt ended. Unknown requests and repeated reports are ignored. */
    void onAttemptEnded(long now, AttemptEnd end);

    /**
     * An endpoint said how many requests it holds, all clients' together; a little old and not exact. Comes
     * ahead of the outcome that brought it. Unknown endpoints are ignored.
     */
    default void onLoadReport(long now, String endpointId, double held) {}

    /** Whom to tell why requests are not served; null, as at the start: nobody, at no cost. */
    default void observe(Observer observer) {}

    /** A probe ended, {@code lagUs} after it was asked for. Unknown endpoints are ignored. */
    void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs);

    /** The time last asked for by {@link Actions#wakeAt} has come; an early or extra call does no harm. */
    void onTimer(long now);

    /** Told of what was decided and why. It is called in the midst of a decision and may not call back. */
    interface Observer {
        /** A request has had its last word without being served, by refusal or failure. */
        void requestUnserved(long now, UnservedReason why);
    }

    /** Which time has run out for a list. */
    enum ListExpiryReason {
        /** Discovery had ended the watch. */
        WATCH_ENDED,
        /** Discovery has moved. */
        MOVED,
        /** The settings' time for asking. */
        ASK_WITHIN,
        /** What discovery has counts as told, whatever calls failed. */
        REACHABLE
    }

    /** Where decisions go. Calls come only from within an event method. */
    interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order of these calls. */
        void send(String requestId, String endpointId, long timeoutUs);

        /** Final answer: refused, and another try is harmless; 0 gives no advice when to come back. */
        void refuse(String requestId, long retryAfterUs);

        /** Final answer: failed, with no word on whether the request took effect. */
        void fail(String requestId);

        /** Stops waiting for one attempt. */
        void cancel(String requestId, int attempt);

        /** Probes an endpoint; called only where {@link Limits#mayProbe}. */
        default void probe(String endpointId) {
            throw new UnsupportedOperationException("settings permit probes, but none can be made");
        }

        /** Asks discovery for the list and for every change from here on. */
        void subscribe();

        /**
         * The same with a bound.
         *
         * @param patienceUs how long the call may go unanswered, microseconds: then it has failed
         */
        default void subscribe(long patienceUs) {
            subscribe();
        }

        /**
         * Nothing may be sent by the list that is held from this time on, unless it is renewed: changes may count
         * as told that are not known. {@link Long#MAX_VALUE}: there is no such time.
         */
        default void listValidUntil(long atUs) {}

        /** That time has come. */
        default void onListExpired(ListExpiryReason bound) {}

        /** Asks for {@link Balancer#onTimer} at this time or soon after. */
        void wakeAt(long atUs);
    }

    /** What repeating a request does. */
    enum Effect {
        /** May run any number of times. */
        RETRYABLE,
        /** Repeats are dropped inside a group of endpoints, for a while. */
        DEDUP,
        /** Must not run twice. */
        FRAGILE
    }

    /** The endpoints that drop repeats of a {@link Effect#DEDUP} request. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an endpoint list came about. */
    enum Source {
        /** The list as last held by an earlier life of this instance, perhaps stale. */
        CACHED,
        /** The complete list. */
        FULL,
        /** Changed entries only. */
        DELTA
    }

    /** What discovery says of an endpoint's process. */
    enum Availability {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        FAILED(false),
        QUEUE_FULL(true),
        TIMED_OUT(false),
        CONNECT_ERROR(true),
        RESET(false),
        CANCELED(false),
        IGNORED(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * An endpoint as discovery lists it.
     *
     * @param id stable id; survives restarts and is hashed onto the ring
     * @param zone number of its zone
     * @param cell number of its cell
     * @param kind number of its kind of machine; endpoints of one kind are taken to be alike in speed
     * @param availability what its process does
     * @param weight size relative to other endpoints, above 0
     * @param startedAtUs time of its last start; 0 if long ago
     */
    record Endpoint(
            String id, int zone, int cell, int kind, Availability availability, double weight, long startedAtUs) {}

    /**
     * A request of a client.
     *
     * @param id unique id
     * @param classIndex position in {@link Settings#classes}
     * @param key what the request is about, or null; requests of one key share an owner on the ring
     * @param budgetUs time until the client gives this try up
     * @param expectedUs work it is expected to need; 0 if unknown
     * @param tenant position in {@link Settings#tenantShares}; ignored when there are none
     * @param repeat whether the client marks it as a repeat
     */
    record Request(String id, int classIndex, String key, long budgetUs, long expectedUs, int tenant, boolean repeat) {}

    /**
     * The end of an attempt.
     *
     * @param requestId the request
     * @param attempt number of the attempt
     * @param outcome how it ended
     * @param requestDone whether the request has its final answer, by this outcome or earlier
     * @param lagUs time since it was sent
     */
    record AttemptEnd(String requestId, int attempt, Outcome outcome, boolean requestDone, long latencyUs) {}

    /**
     * A class of requests.
     *
     * @param name for messages only
     * @param effect what repeating does
     * @param scope who drops repeats; read for {@link Effect#DEDUP} only
     * @param dedupWindowUs how long repeats are dropped, from the first send that may have run
     * @param worth worth of an answer within the aim
     * @param lateWorth share of the worth left after the aim
     * @param aimUs time within which an answer earns its full worth
     * @param aimStretch how many times its own work is added to the aim
     * @param deadlineUs the client's whole patience
     */
    record RequestClass(
            String name,
            Effect effect,
            DedupScope scope,
            long dedupWindowUs,
            double worth,
            double lateWorth,
            long targetLatencyUs,
            double targetStretch,
            long deadlineUs) {
        /** Rejects nonsense by name. */
        public RequestClass {
            Settings.need(effect != null, name + ": effect is missing");
            Settings.need(effect != Effect.DEDUP || scope != null, name + ": dedupScope is missing");
            Settings.need(targetLatencyUs > 0, name + ": onTimeUs must be above 0");
            Settings.need(deadlineUs > 0, name + ": deadlineUs must be above 0");
            Settings.need(dedupWindowUs >= 0, name + ": dedupWindowUs is negative");
            Settings.need(worth >= 0, name + ": worth is negative");
            Settings.need(lateWorth >= 0, name + ": lateWorth is negative");
            Settings.need(targetStretch >= 0, name + ": aimStretch is negative");
            Settings.need(
                    worth + lateWorth + targetStretch < Double.POSITIVE_INFINITY,
                    name + ": worth, lateWorth or aimStretch is no number");
            Settings.need(
                    Math.max(targetLatencyUs, deadlineUs) <= Settings.LONGEST_US,
                    name + ": onTimeUs or deadlineUs is over a day");
            Settings.need(dedupWindowUs <= Settings.LONGEST_US, name + ": dedupWindowUs is over a day");
        }
    }

    /**
     * What a deployment states at the start.
     *
     * @param classes the request classes, at least one
     * @param tenantShares each tenant's share of the service; empty without tenants
     * @param overShareWorth worth of a request beyond its tenant's share, as a fraction
     * @param instances number of instances that send to the same endpoints, this one included
     * @param probePrice what a probe costs, as a part of the worth of a request; 0 if it is not priced
     * @param subscribe whether list changes come only after {@link Actions#subscribe}
     * @param weightsVary whether listed weights follow load rather than size
     * @param limits what the deployment permits
     * @param contract the figures of the rules
     * @param me this one's number among the instances, from 0; -1 if it is not told
     */
    record Settings(
            List<RequestClass> classes,
            List<Double> tenantShares,
            double overShareWorth,
            int instances,
            double probePrice,
            boolean subscribe,
            boolean weightsVary,
            Limits limits,
            Contract contract,
            int instanceNumber) {
        /** Times beyond this are a slip of the pen, microseconds. */
        static final long LONGEST_US = 86_400_000_000L;

        /** Copies the lists and rejects nonsense by name. */
        public Settings {
            classes = List.copyOf(classes);
            tenantShares = List.copyOf(tenantShares);
            need(!classes.isEmpty(), "classes is empty");
            need(overShareWorth >= 0, "overShareWorth is negative");
            need(instances >= 1, "balancers must be at least 1");
            for (double share : tenantShares) {
                need(share >= 0, "customers: share is negative");
            }
        }

        /** Of an instance that is not told its number. */
        public Settings(
                List<RequestClass> classes,
                List<Double> tenantShares,
                double overShareWorth,
                int instances,
                double probePrice,
                boolean subscribe,
                boolean weightsVary,
                Limits limits,
                Contract contract) {
            this(
                    classes,
                    tenantShares,
                    overShareWorth,
                    instances,
                    probePrice,
                    subscribe,
                    weightsVary,
                    limits,
                    contract,
                    -1);
        }

        /** The same for one of so many. */
        public Settings forInstance(int number, int all) {
            return new Settings(
                    classes,
                    tenantShares,
                    overShareWorth,
                    all,
                    probePrice,
                    subscribe,
                    weightsVary,
                    limits,
                    contract,
                    number);
        }

        /** The same with another time for asking, microseconds. */
        Settings asking(long askWithinUs) {
            return new Settings(
                    classes,
                    tenantShares,
                    overShareWorth,
                    instances,
                    probePrice,
                    subscribe,
                    weightsVary,
                    limits,
                    new Contract(askWithinUs, contract.coldFrom(), contract.coldUs(), contract.overload()),
                    instanceNumber);
        }

        static void need(boolean ok, String otherwise) {
            if (!ok) {
                throw new IllegalArgumentException("settings: " + otherwise);
            }
        }
    }

    /**
     * What a deployment permits.
     *
     * @param maxAttempts attempts a request may have
     * @param mayCancel whether attempts may be cancelled
     * @param mayProbe whether endpoints may be probed
     * @param maxRetryAfterUs longest advice a client honours; 0 where none is passed on
     * @param connIdleUs time after which idle connections close
     */
    record Limits(int maxAttempts, boolean mayCancel, boolean mayProbe, long maxRetryAfterUs, long connIdleUs) {
        /** Rejects nonsense by name. */
        public Limits {
            Settings.need(maxAttempts >= 1, "limits.maxAttempts must be at least 1");
            Settings.need(maxRetryAfterUs >= 0, "limits.maxRetryAfterUs is negative");
            Settings.need(connIdleUs >= 0, "limits.connIdleUs is negative");
        }
    }

    /**
     * The figures of the rules.
     *
     * @param askWithinUs where lists must be asked for: how long one may go without asking
     * @param coldFrom share of its capacity with which an endpoint starts, at least
     * @param coldUs time after which it is warm, at most
     * @param overload how many times its present capacity pushes a cold endpoint over
     */
    record Contract(long askWithinUs, double coldFrom, long coldUs, double overload) {
        /** The least multiple that a deployment may state. */
        private static final double LEAST_OVERLOAD = 2;

        /** Where the multiple is not stated. */
        public Contract(long askWithinUs, double coldFrom, long coldUs) {
            this(askWithinUs, coldFrom, coldUs, LEAST_OVERLOAD);
        }

        /** Rejects nonsense by name. */
        public Contract {
            Settings.need(askWithinUs > 0, "contract.askWithinUs must be above 0");
            Settings.need(coldFrom > 0 && coldFrom <= 1, "contract.coldFrom must be in (0, 1]");
            Settings.need(coldUs >= 0, "contract.coldUs is negative");
            Settings.need(overload > 0, "contract.overloadFactor must be above 0");
        }
    }
}
