package mulleinfront.emulator.reference;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mulleinfront.Balancer;

/**
 * Base of the reference balancers, which only pick a server: one attempt at a time, a further one at another server if
 * the effect of the first allows it and time remains, and a truthful final answer. It queues no requests, limits no
 * concurrency and keeps no statistics of servers.
 */
abstract class PickingBalancer implements Balancer {
    private static final long RESUBSCRIBE_DELAY_US = 250_000;
    /** Fraction of the remaining time that an attempt may use if another attempt can follow. */
    private static final double ATTEMPT_TIME_FRACTION = 0.6;

    final Settings settings;
    final SplittableRandom random;
    /** Servers that are ready according to the lists received so far. */
    final Servers servers = new Servers();

    private final Actions actions;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private long resubscribeAt = Long.MAX_VALUE;

    /** A request without a final answer. */
    static final class OpenRequest {
        final Request request;
        final RequestClass type;
        final long hash;
        final long targetAt;
        final Set<String> tried = new HashSet<>();
        int attempts;
        /** Server of the first possibly executed attempt; {@code pinnedAt} is when that attempt was sent. */
        Endpoint pinned;

        long pinnedAt;
        Endpoint last;
        long lastAt;

        private OpenRequest(Request request, RequestClass type, long hash, long now) {
            this.request = request;
            this.type = type;
            this.hash = hash;
            this.targetAt = now + Math.min(type.targetLatencyUs(), request.budgetUs());
        }
    }

    PickingBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        if (settings.subscribe()) {
            actions.subscribe();
        }
    }

    /**
     * Picks a server for the next attempt of a request among those that {@link #allowed} permits.
     *
     * @return null if there is none
     */
    abstract Endpoint pick(OpenRequest request, long now);

    /** Called with +1 when an attempt is sent and with -1 when it ends, for policies that count attempts. */
    void attemptsChanged(Endpoint server, int change) {}

    /** Whether the earlier attempts of a request permit one at this server; a server gets at most one. */
    final boolean allowed(OpenRequest request, Endpoint endpoint) {
        if (request.tried.contains(endpoint.id())) {
            return false;
        }
        if (request.pinned == null || request.type.effect() != Effect.DEDUP || request.type.scope() == DedupScope.ALL) {
            return true;
        }
        return request.type.scope() == DedupScope.ZONE
                ? endpoint.zone() == request.pinned.zone()
                : endpoint.cell() == request.pinned.cell();
    }

    @Override
    public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
        servers.update(source != Source.DELTA, endpoints);
    }

    @Override
    public void onDiscoveryFailed(long now) {
        resubscribeAt = now + (long) (RESUBSCRIBE_DELAY_US * (0.5 + random.nextDouble()));
        actions.wakeAt(resubscribeAt);
    }

    @Override
    public void onTimer(long now) {
        if (now >= resubscribeAt) {
            resubscribeAt = Long.MAX_VALUE;
            actions.subscribe();
        }
    }

    @Override
    public void onRequest(long now, Request incoming) {
        long hash = incoming.key() == null ? random.nextLong() : Servers.HASH.hashCharsToLong(incoming.key());
        OpenRequest request = new OpenRequest(incoming, settings.classes().get(incoming.classIndex()), hash, now);
        open.put(incoming.id(), request);
        sendAttempt(request, now);
    }

    private void sendAttempt(OpenRequest request, long now) {
        Endpoint endpoint = servers.isEmpty() ? null : pick(request, now);
        if (endpoint == null) {
            finish(request);
            return;
        }
        request.tried.add(endpoint.id());
        request.last = endpoint;
        request.lastAt = now;
        request.attempts++;
        attemptsChanged(endpoint, 1);
        long left = Math.max(1, request.targetAt - now);
        boolean more = request.type.effect() != Effect.FRAGILE
                && request.attempts < settings.limits().maxAttempts();
        actions.send(
                request.request.id(), endpoint.id(), more ? Math.max(1, (long) (ATTEMPT_TIME_FRACTION * left)) : left);
    }

    private void finish(OpenRequest request) {
        open.remove(request.request.id());
        boolean harmless = request.pinned == null
                || request.type.effect() == Effect.RETRYABLE
                || request.type.effect() == Effect.DEDUP && request.type.scope() == DedupScope.ALL;
        if (harmless) {
            actions.refuse(request.request.id(), 0);
        } else {
            actions.fail(request.request.id());
        }
    }

    @Override
    public void onRequestAbandoned(long now, String requestId) {
        OpenRequest request = open.remove(requestId);
        if (request != null && request.last != null) {
            attemptsChanged(request.last, -1);
            actions.cancel(requestId, request.attempts - 1);
        }
    }

    @Override
    public void onStreamStarted(long now, String requestId, int attempt) {}

    @Override
    public void onAttemptEnded(long now, AttemptEnd end) {
        OpenRequest request = open.get(end.requestId());
        if (request == null) {
            return;
        }
        attemptsChanged(request.last, -1);
        if (end.requestDone()) {
            open.remove(end.requestId());
            return;
        }
        if (!end.outcome().neverRan() && request.pinned == null) {
            request.pinned = request.last;
            request.pinnedAt = request.lastAt;
        }
        request.last = null;
        boolean harmless = request.pinned == null
                || request.type.effect() == Effect.RETRYABLE
                || request.type.effect() == Effect.DEDUP && now < request.pinnedAt + request.type.dedupWindowUs();
        if (harmless && request.attempts < settings.limits().maxAttempts() && now < request.targetAt) {
            sendAttempt(request, now);
        } else {
            finish(request);
        }
    }

    @Override
    public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {}
}
