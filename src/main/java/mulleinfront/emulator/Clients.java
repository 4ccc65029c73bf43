package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.core.Time;

/**
 * The applications: an open-loop load generator, which sends requests whether or not earlier ones were answered. Each
 * request makes one or more tries at the local client proxy.
 */
final class Clients {
    /** Burst of a tenant's token bucket, as seconds at the tenant's share. */
    private static final double BURST_S = 5;

    private final World world;
    private final Scenario scenario;
    private final RandomStream arrivals;
    private final RandomStream behaviour;
    private final double[] cumulativeProxyWeights;
    private final double[] cumulativeClassWeights;
    private final double[] cumulativeKeyWeights;
    private final double[] tenantWeights;
    private final double[] surge;
    private double[] cumulativeTenantWeights;
    private double surgeLoadFactor = 1;
    private boolean burst;
    private final double[] tokens;
    private final double[] tokensPerUs;
    private final long[] refilledAt;
    private long nextId;

    /** The result of a try as the client sees it. */
    enum TryResult {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        UNREACHABLE,
        TIMED_OUT,
        LEFT
    }

    /** One client request with all its tries. */
    static final class ClientRequest {
        final int classIndex;
        final RequestClass type;
        final int tenant;
        final String key;
        final String effect;
        final double work;
        final boolean overShare;
        final long arrivedAt;
        final int proxy;
        final double deadlineFactor;
        final boolean honoursRetryAfter;
        /** Ids of the tries so far. */
        final List<String> tryIds = new ArrayList<>(1);

        int tries;
        /** Additional statistics that the request counts for; null: none. */
        ServiceStatistics.Sum restartStatistics;
        /** The call of a call graph that this request is; null: none. */
        final GraphCall graphCall;

        private ClientRequest(
                int classIndex,
                RequestClass type,
                int tenant,
                String key,
                String effect,
                double work,
                boolean overShare,
                long arrivedAt,
                int proxy,
                double deadlineFactor,
                boolean honoursRetryAfter,
                GraphCall graphCall) {
            this.classIndex = classIndex;
            this.type = type;
            this.tenant = tenant;
            this.key = key;
            this.effect = effect;
            this.work = work;
            this.overShare = overShare;
            this.arrivedAt = arrivedAt;
            this.proxy = proxy;
            this.deadlineFactor = deadlineFactor;
            this.honoursRetryAfter = honoursRetryAfter;
            this.graphCall = graphCall;
        }

        long targetAt() {
            return arrivedAt + type.targetLatencyUs();
        }
    }

    /** One try: a request message with its own id. */
    static final class Try {
        final ClientRequest request;
        final Call call;
        final long sentAt;
        final long deadlineAt;
        private boolean over;
        private Time.Timer timeout;
        /** The result; null while the try is open. */
        TryResult result;

        private Try(ClientRequest request, Call call, long sentAt, long deadlineAt) {
            this.request = request;
            this.call = call;
            this.sentAt = sentAt;
            this.deadlineAt = deadlineAt;
        }
    }

    Clients(World world) {
        this.world = world;
        this.scenario = world.scenario;
        this.arrivals = world.chance("arrivals");
        this.behaviour = world.chance("habits");
        double[] weights = RandomStream.zipfWeights(
                scenario.proxies().count(), scenario.proxies().spread());
        this.cumulativeProxyWeights = RandomStream.cumulative(weights);
        this.cumulativeClassWeights = RandomStream.cumulative(scenario.classes().stream()
                .mapToDouble(Scenario.ClassSpec::share)
                .toArray());
        this.cumulativeKeyWeights = scenario.load().keys() == 0
                ? null
                : RandomStream.cumulative(RandomStream.zipfWeights(
                        scenario.load().keys(), scenario.load().zipf()));
        int count = Math.max(1, scenario.tenants().size());
        this.tenantWeights = new double[count];
        this.surge = new double[count];
        this.tokens = new double[count];
        this.tokensPerUs = new double[count];
        this.refilledAt = new long[count];
        Arrays.fill(tenantWeights, 1);
        Arrays.fill(surge, 1);
        Arrays.fill(tokensPerUs, 1e9);
        double fullPerUs = scenario.fullRate() / 1e6 * scenario.service().shareOfCapacity();
        for (int i = 0; i < scenario.tenants().size(); i++) {
            Scenario.Tenant tenant = scenario.tenants().get(i);
            tenantWeights[i] = tenant.share() * tenant.usage();
            tokensPerUs[i] = fullPerUs * tenant.share();
        }
        Arrays.setAll(tokens, i -> BURST_S * 1e6 * tokensPerUs[i]);
        updateTenantWeights();
    }

    private void updateTenantWeights() {
        double[] weights = tenantWeights.clone();
        double withoutSurge = Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            weights[i] *= surge[i];
        }
        cumulativeTenantWeights = RandomStream.cumulative(weights);
        surgeLoadFactor = cumulativeTenantWeights[cumulativeTenantWeights.length - 1] / withoutSurge;
    }

    /** Multiplies the load of one tenant, or of all if {@code tenant} is negative; 1 ends the surge. */
    void surge(int tenant, double factor) {
        for (int i = 0; i < surge.length; i++) {
            surge[i] = tenant < 0 || tenant == i ? factor : surge[i];
        }
        updateTenantWeights();
    }

    void begin(long delayUs) {
        if (scenario.load().shape() == Scenario.LoadShape.BURSTY) {
            world.queue.after(delayUs, this::toggleBurst);
        }
        world.queue.after(delayUs, this::scheduleArrival);
    }

    /** Switches between burst and lull after a drawn time. */
    private void toggleBurst() {
        burst = !burst;
        world.queue.after((long) arrivals.exponential(scenario.load().burstUs()), this::toggleBurst);
    }

    private double rate() {
        Scenario.Load load = scenario.load();
        double rate = switch (load.shape()) {
            case STEADY -> load.perSecond();
            case BURSTY -> load.perSecond() * (burst ? 1 + load.swing() : 1 - load.swing());
            case RAMP ->
                load.perSecond()
                        + (load.endPerSecond() - load.perSecond())
                                * Math.min(1.0, (double) world.queue.now() / scenario.lengthUs());
        };
        return rate * surgeLoadFactor;
    }

    /**
     * Schedules the next arrival. The rate is re-read at least once per second, which bounds the error when it
     * changes.
     */
    private void scheduleArrival() {
        double rate = rate();
        double gap = rate <= 0 ? 2e6 : arrivals.exponential(1e6 / rate);
        boolean arrives = gap < 1e6;
        world.queue.after((long) Math.min(gap, 1e6), () -> {
            if (world.queue.now() < scenario.lengthUs()) {
                if (arrives) {
                    sendRequest();
                }
                scheduleArrival();
            }
        });
    }

    /** Sends one request with a drawn class, tenant, key and client proxy. */
    void sendRequest() {
        int classIndex = arrivals.weightedIndex(cumulativeClassWeights);
        Scenario.ClassSpec spec = scenario.classes().get(classIndex);
        int tenant = arrivals.weightedIndex(cumulativeTenantWeights);
        String key = cumulativeKeyWeights == null ? null : "k" + arrivals.weightedIndex(cumulativeKeyWeights);
        double work = spec.drawUs(arrivals);
        int proxy = arrivals.weightedIndex(cumulativeProxyWeights);
        ClientRequest request = new ClientRequest(
                classIndex,
                spec.type(),
                tenant,
                key,
                "e" + nextId,
                Math.max(1, work),
                overShare(tenant),
                world.queue.now(),
                proxy,
                scenario.clients().timeoutFraction().draw(behaviour::uniformBetween),
                behaviour.happens(scenario.clients().retryAfterShare()),
                null);
        world.statistics.requestArrived(request, world.proxies.get(proxy));
        world.lossAttribution.requestArrived(request);
        startTry(request);
    }

    /** Sends a call of the graph simulation, which replaces the generated load. */
    void sendCall(GraphCall graphCall, int proxy, int tenant, String key, double work) {
        ClientRequest request = new ClientRequest(
                graphCall.classIndex,
                scenario.classes().get(graphCall.classIndex).type(),
                tenant,
                key,
                graphCall.effect,
                Math.max(1, work),
                overShare(tenant),
                world.queue.now(),
                proxy,
                1,
                false,
                graphCall);
        world.statistics.requestArrived(request, world.proxies.get(proxy));
        world.lossAttribution.requestArrived(request);
        startTry(request);
    }

    /** The application cancels a call. */
    void cancelCall(Try clientTry) {
        abandon(clientTry, TryResult.LEFT);
    }

    private boolean overShare(int tenant) {
        long now = world.queue.now();
        double burst = BURST_S * 1e6 * tokensPerUs[tenant];
        tokens[tenant] = Math.min(burst, tokens[tenant] + (now - refilledAt[tenant]) * tokensPerUs[tenant]);
        refilledAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    private void startTry(ClientRequest request) {
        long now = world.queue.now();
        long deadline = Math.min(
                now + (long) (request.deadlineFactor * request.type.deadlineUs()),
                request.arrivedAt + request.type.deadlineUs());
        if (request.graphCall != null) {
            deadline = Math.min(deadline, request.graphCall.deadlineAt);
        }
        if (deadline - now < 1_000) {
            finish(request, TryResult.TIMED_OUT);
            return;
        }
        request.tries++;
        String id = "q" + nextId++;
        Try clientTry = new Try(
                request,
                new Call(
                        id,
                        request.classIndex,
                        request.work,
                        request.key,
                        request.effect,
                        request.type.dedupWindowUs(),
                        request.graphCall),
                now,
                deadline);
        if (request.graphCall != null) {
            request.graphCall.tryStarted(clientTry, now);
        }
        world.statistics.trySent();
        world.lossAttribution.trySent(clientTry);
        Instance proxy = world.proxies.get(request.proxy);
        world.queue.after(clientDelay(), () -> {
            if (clientTry.over) {
                return;
            }
            if (!proxy.running()) {
                deliverResult(clientTry, TryResult.UNREACHABLE, 0);
                return;
            }
            proxy.accept(clientTry);
        });
        clientTry.timeout = world.queue.after(
                deadline + scenario.rules().answerSlackUs() - now, () -> abandon(clientTry, TryResult.TIMED_OUT));
        if (behaviour.happens(scenario.clients().disconnectShare())) {
            world.queue.after(
                    (long) ((deadline - now) * behaviour.uniform()), () -> abandon(clientTry, TryResult.LEFT));
        }
    }

    private long clientDelay() {
        return (long) scenario.network().client().draw(behaviour::uniformBetween);
    }

    /** The client stops waiting and closes its connection. */
    private void abandon(Try clientTry, TryResult result) {
        if (!clientTry.over) {
            clientTry.over = true;
            world.proxies.get(clientTry.request.proxy).clientDisconnected(clientTry);
            tryEnded(clientTry, result, 0);
        }
    }

    /** Delivers the client proxy's result to the client after the network delay. */
    void deliverResult(Try clientTry, TryResult result, long retryAfterUs) {
        world.queue.after(clientDelay(), () -> {
            if (!clientTry.over) {
                clientTry.over = true;
                clientTry.timeout.cancel();
                tryEnded(clientTry, result, retryAfterUs);
            }
        });
    }

    /** Processes a try's result in the client: it makes a further try if a repeat is safe and time is left. */
    private void tryEnded(Try clientTry, TryResult result, long retryAfterUs) {
        ClientRequest request = clientTry.request;
        long now = world.queue.now();
        clientTry.result = result;
        world.lossAttribution.tryEnded(clientTry);
        world.statistics.tryEnded(request, result);
        if (result == TryResult.SERVED || result == TryResult.LEFT) {
            finish(request, result);
            return;
        }
        boolean safeToRepeat = result == TryResult.REFUSED
                || result == TryResult.UNREACHABLE
                || Scenario.refusalHarmless(request.type);
        double wait = scenario.clients().backoff().draw(behaviour::uniformBetween)
                * (scenario.clients().doubling() ? 1 << Math.min(16, request.tries - 1) : 1);
        if (request.honoursRetryAfter) {
            wait = Math.max(wait, retryAfterUs);
        }
        if (!safeToRepeat
                || request.tries
                        > (request.graphCall == null ? scenario.clients().retries() : request.graphCall.retries())
                || now + wait >= request.arrivedAt + request.type.deadlineUs()) {
            finish(request, result);
            return;
        }
        world.queue.after((long) wait, () -> {
            if (request.graphCall != null && request.graphCall.over()) {
                finish(request, TryResult.LEFT);
            } else {
                startTry(request);
            }
        });
    }

    /** Completes a request; no further try follows. */
    private void finish(ClientRequest request, TryResult result) {
        double lostValue = world.statistics.requestEnded(request, result == TryResult.SERVED, world.queue.now());
        world.lossAttribution.requestEnded(request, lostValue, world.queue.now());
        if (request.graphCall != null) {
            request.graphCall.onResult(result, world.queue.now());
        }
    }
}
