package mulleinfront.emulator.reference;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mulleinfront.Balancer;

/**
 * The life of a request under a balancer that only picks: one attempt out at a time, a further one at another
 * server where the effect of the first allows it and there is time, and a last word that is true. It holds
 * nothing back, limits nothing and learns nothing of servers.
 */
abstract class Plain implements Balancer {
    private static final long ASK_AGAIN_US = 250_000;
    /** Part of the time left that an attempt may use while another could follow. */
    private static final double ATTEMPT_PART = 0.6;

    final Settings settings;
    final SplittableRandom random;
    /** Servers that the lists told so far say are ready, in the order in which they were told. */
    final Servers servers = new Servers();

    private final Actions out;
    private final Map<String, Open> open = new HashMap<>();
    private long askAt = Long.MAX_VALUE;

    /** A request without a final answer. */
    static final class Open {
        final Request request;
        final RequestClass type;
        final long hash;
        final long aimAt;
        final Set<String> tried = new HashSet<>();
        int attempts;
        /** The first attempt that may have run: where, and when it was sent. */
        Endpoint bond;

        long bondAt;
        Endpoint last;
        long lastAt;

        private Open(Request request, RequestClass type, long hash, long now) {
            this.request = request;
            this.type = type;
            this.hash = hash;
            this.aimAt = now + Math.min(type.targetLatencyUs(), request.budgetUs());
        }
    }

    Plain(Settings settings, long seed, Actions out) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.out = out;
        if (settings.subscribe()) {
            out.subscribe();
        }
    }

    /**
     * The server for the next attempt of a request, one that {@link #allowed} says may have it.
     *
     * @return null if there is none
     */
    abstract Endpoint pick(Open r, long now);

    /** Told of each attempt that is sent and of each that ends, for those that count. */
    void counted(Endpoint server, int change) {}

    /** Whether what has been sent of a request allows it at a server that it has not been to. */
    final boolean allowed(Open r, Endpoint e) {
        if (r.tried.contains(e.id())) {
            return false;
        }
        if (r.bond == null || r.type.effect() != Effect.DEDUP || r.type.scope() == DedupScope.ALL) {
            return true;
        }
        return r.type.scope() == DedupScope.ZONE ? e.zone() == r.bond.zone() : e.cell() == r.bond.cell();
    }

    @Override
    public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
        servers.take(source != Source.DELTA, endpoints);
    }

    @Override
    public void onDiscoveryFailed(long now) {
        askAt = now + (long) (ASK_AGAIN_US * (0.5 + random.nextDouble()));
        out.wakeAt(askAt);
    }

    @Override
    public void onTimer(long now) {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            out.subscribe();
        }
    }

    @Override
    public void onRequest(long now, Request in) {
        long hash = in.key() == null ? random.nextLong() : Servers.HASH.hashCharsToLong(in.key());
        Open r = new Open(in, settings.classes().get(in.classIndex()), hash, now);
        open.put(in.id(), r);
        place(r, now);
    }

    private void place(Open r, long now) {
        Endpoint e = servers.isEmpty() ? null : pick(r, now);
        if (e == null) {
            finish(r);
            return;
        }
        r.tried.add(e.id());
        r.last = e;
        r.lastAt = now;
        r.attempts++;
        counted(e, 1);
        long left = Math.max(1, r.aimAt - now);
        boolean more = r.type.effect() != Effect.FRAGILE
                && r.attempts < settings.limits().maxAttempts();
        out.send(r.request.id(), e.id(), more ? Math.max(1, (long) (ATTEMPT_PART * left)) : left);
    }

    private void finish(Open r) {
        open.remove(r.request.id());
        boolean harmless = r.bond == null
                || r.type.effect() == Effect.RETRYABLE
                || r.type.effect() == Effect.DEDUP && r.type.scope() == DedupScope.ALL;
        if (harmless) {
            out.refuse(r.request.id(), 0);
        } else {
            out.fail(r.request.id());
        }
    }

    @Override
    public void onRequestAbandoned(long now, String requestId) {
        Open r = open.remove(requestId);
        if (r != null && r.last != null) {
            counted(r.last, -1);
            out.cancel(requestId, r.attempts - 1);
        }
    }

    @Override
    public void onStreamStarted(long now, String requestId, int attempt) {}

    @Override
    public void onAttemptEnded(long now, AttemptEnd end) {
        Open r = open.get(end.requestId());
        if (r == null) {
            return;
        }
        counted(r.last, -1);
        if (end.requestDone()) {
            open.remove(end.requestId());
            return;
        }
        if (!end.outcome().neverRan() && r.bond == null) {
            r.bond = r.last;
            r.bondAt = r.lastAt;
        }
        r.last = null;
        boolean harmless = r.bond == null
                || r.type.effect() == Effect.RETRYABLE
                || r.type.effect() == Effect.DEDUP && now < r.bondAt + r.type.dedupWindowUs();
        if (harmless && r.attempts < settings.limits().maxAttempts() && now < r.aimAt) {
            place(r, now);
        } else {
            finish(r);
        }
    }

    @Override
    public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {}
}
