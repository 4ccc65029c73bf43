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

/** Drives one balancer by hand and writes down what it does. */
final class Rig implements Actions {
    static final RequestClass SAFE = new RequestClass("safe", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
    static final RequestClass KEYED =
            new RequestClass("keyed", Effect.DEDUP, DedupScope.ZONE, 1_000_000, 2, 0, 500_000, 0, 2_000_000);
    static final RequestClass UNSAFE = new RequestClass("unsafe", Effect.FRAGILE, null, 0, 4, 0, 500_000, 0, 2_000_000);
    static final Contract CONTRACT = new Contract(10_000_000, 0.2, 20_000_000);

    final List<String> log = new ArrayList<>();
    final Map<String, List<String>> sends = new HashMap<>();
    final Map<String, String> finals = new HashMap<>();
    final List<String> probes = new ArrayList<>();
    int subscribes;
    long wake = Long.MAX_VALUE;
    long timeout;
    Balancer balancer;
    long now = 1_000_000;
    private int ids;

    static Settings settings(boolean subscribe, RequestClass... classes) {
        return settings(3, false, subscribe, classes);
    }

    /** One of 500 instances, with probes that cost nothing. */
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

    static Endpoint ready(int i) {
        return new Endpoint("e" + i, i % 3, i % 4, 0, Availability.READY, 1, 0);
    }

    /** Discovery tells of an endpoint whose process starts now. */
    void starts(String id) {
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

    String request(int type, String key, long budget) {
        String id = "r" + ids++;
        balancer.onRequest(now, new Request(id, type, key, budget, 0, 0, false));
        return id;
    }

    /** Endpoint of the request's latest attempt. */
    String at(String id) {
        List<String> to = sends.get(id);
        return to == null ? null : to.get(to.size() - 1);
    }

    int attempts(String id) {
        return sends.getOrDefault(id, List.of()).size();
    }

    void end(String id, Outcome outcome, long lag) {
        balancer.onAttemptEnded(now, new AttemptEnd(id, attempts(id) - 1, outcome, outcome == Outcome.OK, lag));
    }

    /** Serves one request at once; gives the endpoint. */
    String serve(int type, String key) {
        String id = request(type, key, 1_000_000);
        now += 20_000;
        end(id, Outcome.OK, 20_000);
        return at(id);
    }

    /** Lets time pass, with the timers that were asked for. */
    void pass(long us) {
        long until = now + us;
        while (wake <= until) {
            now = Math.max(now, wake);
            wake = Long.MAX_VALUE;
            balancer.onTimer(now);
        }
        now = until;
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        sends.computeIfAbsent(requestId, k -> new ArrayList<>()).add(endpointId);
        timeout = timeoutUs;
        log.add("send " + requestId + " " + endpointId + " " + timeoutUs);
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        finals.put(requestId, "refuse");
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(String requestId) {
        finals.put(requestId, "fail");
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
    public void onListExpired(Balancer.ListExpiryReason bound) {
        log.add("list-overdue " + bound);
    }

    @Override
    public void wakeAt(long atUs) {
        wake = Math.min(wake, atUs);
    }
}
