package mulleinfront;

import java.util.List;

/**
 * The interface of the load balancer's decision logic. Each event method is called with the time of the event, and the
 * instance responds by calling {@link Actions} before the method returns. An instance is not thread-safe.
 *
 * <p>All times and durations are in microseconds. The clock may start at any value and never runs backwards. The logic
 * has no clock, thread or I/O of its own; the same settings, seed and events result in the same actions.
 */
public interface Balancer {

    /**
     * Creates an instance without endpoints.
     *
     * @param settings parameters of the deployment
     * @param seed seed of the instance's random numbers
     * @param now the current time
     * @param actions receives the decisions
     * @return the new instance
     */
    static Balancer create(Settings settings, long seed, long now, Actions actions) {
        return new Logic(settings, seed, now, actions);
    }

    /**
     * Called with an endpoint list: a complete one, which removes the endpoints that it lacks, or changed entries only.
     */
    void onEndpoints(long now, Source source, List<Endpoint> endpoints);

    /** A discovery call failed or the watch broke. The current list remains in use until it expires. */
    void onDiscoveryFailed(long now);

    /**
     * The watch broke, or ended within its first list: discovery is reachable.
     *
     * @param quietUs time since the last data from discovery, heartbeats included, microseconds
     */
    default void onDiscoveryFailed(long now, long quietUs) {
        onDiscoveryFailed(now);
    }

    /** A discovery call surely did not reach discovery: its connection was refused. */
    default void onDiscoveryUnreachable(long now) {
        onDiscoveryFailed(now);
    }

    /**
     * The process of this instance started earlier than the instance; deadlines that count from the start count from
     * then.
     *
     * @param startedAgoUs time since the start of the process, microseconds
     */
    default void onProcessStart(long now, long startedAgoUs) {}

    /** Discovery has closed the watch in the normal way; another discovery call is needed. */
    default void onWatchEnded(long now) {
        onDiscoveryFailed(now, 0);
    }

    /**
     * The proxy itself has called discovery: where lists are pushed, it watches an agent on its own machine. From then
     * on lists expire as where the balancer makes the calls. Without such calls pushed lists do not expire.
     */
    default void onDiscoveryCalled(long now) {}

    /**
     * The address of discovery has changed and a call to the new address is in progress; the next discovery event is
     * its result.
     *
     * @param movedAgoUs time since the change was requested, microseconds
     * @param quietUs time since the last data on the watch of the old address, which has been closed, microseconds; 0
     *     if there was none
     */
    default void onDiscoveryMoved(long now, long movedAgoUs, long quietUs) {}

    /**
     * Discovery has answered a call that had failed by its timeout and stayed open. Any other call is closed, and the
     * next discovery event is the list of this one.
     *
     * @param startedAgoUs time since that call started, microseconds
     */
    default void onTimedOutCallAnswered(long now, long startedAgoUs) {}

    /** A request arrived; it requires one final answer within its budget. */
    void onRequest(long now, Request request);

    /** The client disconnected or its budget is used up: no final answer is required. Unknown ids are ignored. */
    void onRequestAbandoned(long now, String requestId);

    /**
     * The attempt's response has begun, or its request is still being read: its duration now depends on the client and
     * shows nothing about the endpoint.
     */
    void onStreamStarted(long now, String requestId, int attempt);

    /** An attempt ended. Unknown requests and repeated calls for an attempt are ignored. */
    void onAttemptEnded(long now, AttemptEnd end);

    /**
     * An endpoint reported its number of requests in flight, those of all proxies together. The number is slightly old
     * and approximate. Called before the outcome of the attempt that carried the report. Unknown endpoints are ignored.
     */
    default void onLoadReport(long now, String endpointId, double inFlight) {}

    /** Sets the observer of unserved requests; with null, the initial value, the reasons are not computed. */
    default void observe(Observer observer) {}

    /** A probe ended, {@code latencyUs} after it was requested. Unknown endpoints are ignored. */
    void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs);

    /** The time requested by {@link Actions#wakeAt} has come; early and additional calls are harmless. */
    void onTimer(long now);

    /** Observes decisions. It is called during a decision and must not call the balancer. */
    interface Observer {
        /** A request was refused or failed. */
        void requestUnserved(long now, UnservedReason reason);
    }

    /** The deadline by which a list has expired. */
    enum ListExpiryReason {
        /** Discovery has closed the watch, and the list was not renewed in time. */
        WATCH_ENDED,
        /** The address of discovery has changed, and the list was not renewed in time. */
        MOVED,
        /** The poll interval limit of the settings has passed without a discovery call. */
        ASK_WITHIN,
        /** The propagation deadline of a change that discovery may have had since its last data. */
        REACHABLE
    }

    /** Receives the decisions. Its methods are called only from within an event method. */
    interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order of these calls. */
        void send(String requestId, String endpointId, long timeoutUs);

        /** Final answer: refused, so another try is harmless. {@code retryAfterUs} 0 gives no advice when to retry. */
        void refuse(String requestId, long retryAfterUs);

        /** Final answer: failed; the request may have taken effect. */
        void fail(String requestId);

        /** Cancels an attempt. */
        void cancel(String requestId, int attempt);

        /** Probes an endpoint; called only where {@link Limits#mayProbe}. */
        default void probe(String endpointId) {
            throw new UnsupportedOperationException("the settings permit probes, but these actions implement none");
        }

        /** Calls discovery for the list and all further changes. */
        void subscribe();

        /**
         * Calls discovery with a timeout.
         *
         * @param timeoutUs time without a response after which the call has failed, microseconds
         */
        default void subscribe(long timeoutUs) {
            subscribe();
        }

        /**
         * Reports the expiry of the current list: the propagation deadline of changes that the list may lack. Nothing
         * may be sent from then on unless the list is renewed.
         *
         * @param expiresAtUs the time of the expiry; {@link Long#MAX_VALUE}: the list does not expire
         * @param reason the rule that sets it, if the list expires
         */
        default void onListExpiryChanged(long expiresAtUs, ListExpiryReason reason) {}

        /** The current list has expired. */
        default void onListExpired(ListExpiryReason reason) {}

        /** Requests a call of {@link Balancer#onTimer} at this time or soon after. */
        void wakeAt(long atUs);
    }

    /** Effect of repeating a request. */
    enum Effect {
        /** May run any number of times. */
        RETRYABLE,
        /** Repeats are dropped within a group of endpoints, for a limited time. */
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

    /** Origin of an endpoint list. */
    enum Source {
        /** The last list of an earlier run of this instance, possibly stale. */
        CACHED,
        /** The complete list. */
        FULL,
        /** Changed entries only. */
        DELTA
    }

    /** State of an endpoint's process according to discovery. */
    enum Availability {
        READY,
        DRAINING,
        GONE
    }

    /** Outcome of an attempt. */
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

        /** Whether this outcome proves that the endpoint did not execute the request. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * An endpoint as listed by discovery.
     *
     * @param id stable id; survives restarts and is hashed onto the ring
     * @param zone number of its zone
     * @param cell number of its cell, a group of endpoints in a zone that deduplicates repeats
     * @param kind number of its server type; endpoints of one type are assumed to be equally fast
     * @param availability state of its process
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
     * @param key affinity key, or null; requests with the same key have the same owner on the ring
     * @param budgetUs time until the client gives up this try
     * @param expectedUs expected service time; 0 if unknown
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
     * @param latencyUs time since the attempt was sent
     */
    record AttemptEnd(String requestId, int attempt, Outcome outcome, boolean requestDone, long latencyUs) {}

    /**
     * A class of requests.
     *
     * @param name for messages only
     * @param effect effect of repeating a request
     * @param scope the endpoints that drop repeats; used with {@link Effect#DEDUP} only
     * @param dedupWindowUs time during which repeats are dropped, from the first possibly executed attempt
     * @param worth value of a response within the target latency
     * @param lateWorth share of the value that remains after the target latency
     * @param targetLatencyUs target latency: time within which a response has its full value
     * @param targetStretch multiple of the expected service time that is added to the target latency
     * @param deadlineUs the client's total timeout
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
        /** Validates the values; messages name the setting. */
        public RequestClass {
            Settings.require(effect != null, name + ": effect is missing");
            Settings.require(effect != Effect.DEDUP || scope != null, name + ": dedupScope is missing");
            Settings.require(targetLatencyUs > 0, name + ": onTimeUs must be above 0");
            Settings.require(deadlineUs > 0, name + ": deadlineUs must be above 0");
            Settings.require(dedupWindowUs >= 0, name + ": dedupWindowUs is negative");
            Settings.require(worth >= 0, name + ": worth is negative");
            Settings.require(lateWorth >= 0, name + ": lateWorth is negative");
            Settings.require(targetStretch >= 0, name + ": aimStretch is negative");
            Settings.require(
                    worth + lateWorth + targetStretch < Double.POSITIVE_INFINITY,
                    name + ": worth, lateWorth and aimStretch must be finite numbers");
            Settings.require(
                    Math.max(targetLatencyUs, deadlineUs) <= Settings.MAX_DURATION_US,
                    name + ": onTimeUs or deadlineUs is over a day");
            Settings.require(dedupWindowUs <= Settings.MAX_DURATION_US, name + ": dedupWindowUs is over a day");
        }
    }

    /**
     * Parameters of a deployment, fixed at the start.
     *
     * @param classes the request classes, at least one
     * @param tenantShares each tenant's share of the service; empty without tenants
     * @param overShareWorth value of a request beyond its tenant's share, as a fraction
     * @param instances number of instances that send to the same endpoints, including this one
     * @param probePrice cost of a probe as a fraction of a request's value; 0 if probes are free
     * @param subscribe whether the balancer has to make discovery calls, see {@link Actions#subscribe}; otherwise lists
     *     are pushed, and the proxy may watch an agent for them, see {@link Balancer#onDiscoveryCalled}
     * @param weightsVary whether listed weights follow load rather than size
     * @param limits permissions and limits of the deployment
     * @param contract parameters of the invariants
     * @param instanceNumber number of this instance among all, from 0; -1 if unknown
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
        /** One day: longer times are rejected as typing errors. */
        static final long MAX_DURATION_US = 86_400_000_000L;

        /** Copies the lists and validates the values; messages name the setting. */
        public Settings {
            classes = List.copyOf(classes);
            tenantShares = List.copyOf(tenantShares);
            require(!classes.isEmpty(), "classes is empty");
            require(overShareWorth >= 0, "overShareWorth is negative");
            require(instances >= 1, "balancers must be at least 1");
            for (double share : tenantShares) {
                require(share >= 0, "customers: share is negative");
            }
        }

        /** Settings of an instance without a known number. */
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

        /** These settings for one of several instances. */
        public Settings forInstance(int number, int instanceCount) {
            return new Settings(
                    classes,
                    tenantShares,
                    overShareWorth,
                    instanceCount,
                    probePrice,
                    subscribe,
                    weightsVary,
                    limits,
                    contract,
                    number);
        }

        /**
         * Whether a discovery call that has timed out may stay open for a late answer. Where the poll interval limit
         * applies, a call that is open has not failed, so that the limit counts from its start, and not four times that
         * limit. Where it is shorter than the propagation deadline, the call is closed instead.
         */
        public boolean unansweredCallsStayOpen() {
            return !subscribe || contract.askWithinUs() >= ListDeadline.PROPAGATION_US;
        }

        /** These settings with another poll interval limit. */
        Settings withAskWithin(long askWithinUs) {
            return new Settings(
                    classes,
                    tenantShares,
                    overShareWorth,
                    instances,
                    probePrice,
                    subscribe,
                    weightsVary,
                    limits,
                    new Contract(askWithinUs, contract.coldFrom(), contract.coldUs(), contract.overloadFactor()),
                    instanceNumber);
        }

        /** Throws an {@link IllegalArgumentException} with the message unless the condition is true. */
        static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException("settings: " + message);
            }
        }
    }

    /**
     * Permissions and limits of a deployment.
     *
     * @param maxAttempts most attempts per request
     * @param mayCancel whether attempts may be cancelled
     * @param mayProbe whether endpoints may be probed
     * @param maxRetryAfterUs longest retry delay that clients honour; 0 if no delay is passed on
     * @param connIdleUs time after which idle connections close
     */
    record Limits(int maxAttempts, boolean mayCancel, boolean mayProbe, long maxRetryAfterUs, long connIdleUs) {
        /** Validates the values; messages name the setting. */
        public Limits {
            Settings.require(maxAttempts >= 1, "limits.maxAttempts must be at least 1");
            Settings.require(maxRetryAfterUs >= 0, "limits.maxRetryAfterUs is negative");
            Settings.require(connIdleUs >= 0, "limits.connIdleUs is negative");
        }
    }

    /**
     * Parameters of the invariants.
     *
     * @param askWithinUs poll interval limit: longest time without a watch between two discovery calls; it applies only
     *     where the balancer makes the calls, see {@link Settings#subscribe}
     * @param coldFrom least share of its capacity that an endpoint has at its start
     * @param coldUs longest time after which an endpoint is warm
     * @param overloadFactor multiple of its current capacity that overloads a cold endpoint
     */
    record Contract(long askWithinUs, double coldFrom, long coldUs, double overloadFactor) {
        /** Overload factor where a deployment states none: the lowest that deployments state. */
        private static final double DEFAULT_OVERLOAD_FACTOR = 2;

        /** Parameters with the default overload factor. */
        public Contract(long askWithinUs, double coldFrom, long coldUs) {
            this(askWithinUs, coldFrom, coldUs, DEFAULT_OVERLOAD_FACTOR);
        }

        /** Validates the values; messages name the setting. */
        public Contract {
            Settings.require(askWithinUs > 0, "contract.askWithinUs must be above 0");
            Settings.require(coldFrom > 0 && coldFrom <= 1, "contract.coldFrom must be in (0, 1]");
            Settings.require(coldUs >= 0, "contract.coldUs is negative");
            Settings.require(overloadFactor > 0, "contract.overloadFactor must be above 0");
        }
    }
}
