package mulleinfront;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Contract;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Limits;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;

/** Drives one balancer step by step and records its actions. */
final class Rig implements Actions {
    static final RequestClass RETRYABLE =
            new RequestClass("safe", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
    static final RequestClass DEDUP =
            new RequestClass("keyed", Effect.DEDUP, DedupScope.ZONE, 1_000_000, 2, 0, 500_000, 0, 2_000_000);
    static final RequestClass FRAGILE =
            new RequestClass("unsafe", Effect.FRAGILE, null, 0, 4, 0, 500_000, 0, 2_000_000);
    static final Contract CONTRACT = new Contract(10_000_000, 0.2, 20_000_000);

    final List<String> log = new ArrayList<>();
    final Map<String, List<String>> sends = new HashMap<>();
    final Map<String, String> finalAnswers = new HashMap<>();
    final List<String> probes = new ArrayList<>();
    int subscribes;
    long nextWakeAt = Long.MAX_VALUE;
    long lastTimeoutUs;
    Balancer balancer;
    long now = 1_000_000;
    private int nextId;

    static Settings settings(boolean subscribe, RequestClass... classes) {
        return settings(3, false, subscribe, classes);
    }

    /** Settings of one of 500 instances, with probes that cost nothing. */
    static Settings oneOfMany(boolean mayProbe, RequestClass... classes) {
        return settings(500, mayProbe, false, classes);
    }

    private static Settings settings(int instances, boolean mayProbe, boolean subscribe, RequestClass... classes) {
        return new Settings(
                List.of(classes),
                List.of(),
                0.2,
                instances,
                0,
                subscribe,
                false,
                new Limits(3, true, mayProbe, 1_000_000, 10_000_000),
                CONTRACT);
    }

    Rig(RequestClass... classes) {
        this(settings(false, classes));
    }

    Rig(Settings settings) {
        this(settings, 7);
    }

    Rig(Settings settings, long seed) {
        balancer = Balancer.create(settings, seed, now, this);
    }

    static Endpoint ready(int number) {
        return new Endpoint("e" + number, number % 3, number % 4, 0, Availability.READY, 1, 0);
    }

    /** Discovery lists an endpoint whose process starts now. */
    void startEndpoint(String id) {
        balancer.onEndpoints(now, Source.DELTA, List.of(new Endpoint(id, 0, 0, 0, Availability.READY, 1, now)));
    }

    Rig endpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(ready(i));
        }
        balancer.onEndpoints(now, Source.FULL, list);
        return this;
    }

    String request(int classIndex, String key, long budgetUs) {
        String id = "r" + nextId++;
        balancer.onRequest(now, new Request(id, classIndex, key, budgetUs, 0, 0, false));
        return id;
    }

    /** Endpoint of the request's latest attempt, or null. */
    String endpointOf(String id) {
        List<String> endpointIds = sends.get(id);
        return endpointIds == null ? null : endpointIds.get(endpointIds.size() - 1);
    }

    int attempts(String id) {
        return sends.getOrDefault(id, List.of()).size();
    }

    void endAttempt(String id, Outcome outcome, long latencyUs) {
        balancer.onAttemptEnded(now, new AttemptEnd(id, attempts(id) - 1, outcome, outcome == Outcome.OK, latencyUs));
    }

    /** Serves one request with a latency of 20 ms; returns the endpoint. */
    String serve(int classIndex, String key) {
        String id = request(classIndex, key, 1_000_000);
        now += 20_000;
        endAttempt(id, Outcome.OK, 20_000);
        return endpointOf(id);
    }

    /** Advances time and calls the timers that are due. */
    void advance(long durationUs) {
        long until = now + durationUs;
        while (nextWakeAt <= until) {
            now = Math.max(now, nextWakeAt);
            nextWakeAt = Long.MAX_VALUE;
            balancer.onTimer(now);
        }
        now = until;
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        sends.computeIfAbsent(requestId, k -> new ArrayList<>()).add(endpointId);
        lastTimeoutUs = timeoutUs;
        log.add("send " + requestId + " " + endpointId + " " + timeoutUs);
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        finalAnswers.put(requestId, "refuse");
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(String requestId) {
        finalAnswers.put(requestId, "fail");
        log.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        log.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void probe(String endpointId) {
        probes.add(endpointId);
        log.add("probe " + endpointId);
    }

    @Override
    public void subscribe() {
        subscribes++;
        log.add("subscribe");
    }

    @Override
    public void onListExpired(Balancer.ListExpiryReason reason) {
        log.add("list-overdue " + reason);
    }

    @Override
    public void wakeAt(long atUs) {
        nextWakeAt = Math.min(nextWakeAt, atUs);
    }
}
