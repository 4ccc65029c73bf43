package mulleinfront.proxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import mulleinfront.Balancer;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;

/**
 * A client proxy on sockets: turns what happens on them into the module's events and carries out what it
 * decides. One event-loop thread owns all of it, so nothing here is locked and nothing may block.
 */
public final class ClientProxy implements Balancer.Actions {
    /** We are done this long before the client's time is up: the way back and a busy core take time. */
    private static final long MARGIN_US = 25_000;
    /** What the module is told ends this much earlier still, so that its own last word comes first. */
    private static final long LAST_WORD_US = 10_000;
    /**
     * Descriptors that the process needs for itself: some 20 for the JVM, selector, listener and watch, and
     * as many that have been accepted or closed but not counted yet. Of the rest clients have one half and
     * connections to hosts, of which a client's request has one at most, the other.
     */
    private static final int OWN_SOCKETS = 48;
    static final Upstream.Answer NO_BODY = new Upstream.Answer(new byte[0], null);
    /** The agent that pushes lists answers at once and at no cost, unlike discovery that is asked. */
    private static final long AGENT_AGAIN_MS = 500;

    private final Config config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Upstream upstream;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Exchange> open = new HashMap<>();
    /** Events for the module and its actions, in order; see {@link #run}. */
    private final ArrayDeque<Runnable> work = new ArrayDeque<>();
    private boolean working;
    private boolean rehearsing;
    private final Maker maker;
    private Balancer balancer;
    private ScheduledFuture<?> wake;

    /** Makes the module; a test's own can do what the real one never would. */
    interface Maker {
        Balancer create(Balancer.Settings settings, long seed, long now, Balancer.Actions actions);
    }

    private ClientProxy(Config config, Maker maker, EventLoopGroup group) {
        this.config = config;
        this.maker = maker;
        this.group = group;
        this.loop = group.next();
        int half = Math.max(1, (config.sockets() - OWN_SOCKETS) / 2);
        this.upstream = new Upstream(loop, config.dialTimeoutUs(), config.settings().limits().connIdleUs(),
                half);
        this.discovery = new Discovery(config, loop, upstream, new Discovery.Listener() {
            @Override
            public void listed(Source source, List<Endpoint> endpoints) {
                run(() -> balancer.onEndpoints(now(), source, endpoints));
            }

            @Override
            public void failed() {
                watchFailed();
            }
        });
        this.frontend = new Frontend(this, loop, half);
        List<RequestClass> all = config.settings().classes();
        for (int i = 0; i < all.size(); i++) {
            classes.put(all.get(i).name(), i);
        }
    }

    /** A request taken and not yet forgotten. */
    static final class Exchange {
        private final Frontend.Client client;
        private final Request request;
        private final RequestClass type;
        private final Call call;
        private final long endAt;
        private ScheduledFuture<?> guard;
        private Upstream.Attempt out;
        private int outNumber;
        private int attempts;
        private boolean mayHaveRun;
        private boolean answered;

        Exchange(Frontend.Client client, Request request, RequestClass type, Call call, long endAt) {
            this.client = client;
            this.request = request;
            this.type = type;
            this.call = call;
            this.endAt = endAt;
        }
    }

    /** Starts to serve; returns once it listens. */
    public static ClientProxy start(Config config) throws Exception {
        Rehearsal.decide(config.settings());
        rehearse(config);
        return start(config, Balancer::create);
    }

    /** Is its own host for a moment, and not ready; ends before the real one begins. */
    private static void rehearse(Config config) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            ClientProxy proxy = new ClientProxy(config, null, group);
            proxy.rehearsing = true;
            proxy.balancer = Rehearsal.module(proxy);
            proxy.listen();
            proxy.loop.submit(() -> {
                proxy.discovery.take(Rehearsal.self(config.listen().getAddress(), proxy.port()), Source.FULL);
                return new Rehearsal.Rounds(proxy.loop, proxy.upstream, proxy.discovery.host(Rehearsal.SELF),
                        config.settings().classes().get(0)).next();
            }).get().await();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    static ClientProxy start(Config config, Maker maker) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            ClientProxy proxy = new ClientProxy(config, maker, group);
            proxy.loop.submit(proxy::begin).get();
            proxy.listen();
            System.err.println("mulleinfront: listening on "
                    + NetUtil.toSocketAddressString(config.listen()));
            return proxy;
        } catch (Exception e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private void listen() throws Exception {
        ChannelFuture bound = loop.submit(() -> frontend.listen(config.listen())).get().await();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + NetUtil.toSocketAddressString(config.listen()) + ": "
                    + bound.cause().getMessage());
        }
    }

    private void begin() {
        upstream.begin();
        balancer = maker.create(config.settings(), config.seed(), now(), this);
        if (config.known() != null) {
            discovery.take(config.known(), Source.CACHED);
        }
        if (!config.settings().subscribe()) {
            discovery.watch();
        }
        perform();
    }

    /** Serves to the end what clients have sent or are about to; the future is done when all has ended. */
    public Future<?> drain() {
        System.err.println("mulleinfront: told to end; finishing what is open");
        loop.execute(() -> frontend.drain(() -> {
            discovery.stop();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }));
        return group.terminationFuture();
    }

    /**
     * Takes up what may change while it serves: where discovery is. The rest of a configuration holds from
     * start to end.
     */
    public void reload(Config changed) {
        loop.execute(() -> run(() -> discovery.move(changed.discovery())));
    }

    /** The port it listens on. */
    public int port() {
        return frontend.port();
    }

    long now() {
        return clock.now();
    }

    boolean ready() {
        return discovery.holdsList() && !rehearsing;
    }

    /**
     * Runs an event or an action now, or after the one that is running. The module makes its decisions
     * inside an event call, and a socket may have news inside an action: neither may re-enter the module.
     * A failure ends the one task; the request it was about still has its guard.
     */
    private void run(Runnable task) {
        work.add(task);
        perform();
    }

    private void perform() {
        if (working) {
            return;
        }
        working = true;
        try {
            for (Runnable next; (next = work.poll()) != null;) {
                perform(next);
            }
        } finally {
            working = false;
        }
    }

    private static void perform(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | LinkageError e) {
            // Exceptions thrown often come without a trace.
            System.err.println("mulleinfront: " + e + Arrays.stream(e.getStackTrace()).limit(1)
                    .map(at -> " at " + at).collect(Collectors.joining()));
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    /** Takes a request that is as the protocol says, and answers for it at once if it is not. */
    void take(Frontend.Client client, HttpRequest in, byte[] body, long at) {
        HttpHeaders h = in.headers();
        String id = single(h, "X-Request-Id");
        Integer classIndex = classes.get(single(h, "X-Class"));
        long deadlineMs = Framing.number(single(h, Call.DEADLINE));
        String tenantName = single(h, "X-Tenant");
        int tenant = config.tenants().indexOf(tenantName);
        boolean known = !h.contains("X-Tenant") || config.tenants().isEmpty() || tenant >= 0;
        boolean fresh = id != null && !id.isEmpty() && !open.containsKey(id);
        if (!fresh || classIndex == null || deadlineMs < 1 || !known
                || config.settings().classes().get(classIndex).effect() != shown(in, body)) {
            client.answer(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RequestClass type = config.settings().classes().get(classIndex);
        // Nobody waits longer than the class's own patience, so neither does a drain.
        long deadlineUs = Math.min(deadlineMs, type.deadlineUs() / 1000 + 1) * 1000;
        long patience = deadlineUs - Math.min(MARGIN_US, deadlineUs / 4);
        long budget = patience - Math.min(LAST_WORD_US, deadlineUs / 8) - (now() - at);
        if (budget <= 0) {
            client.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY, comeBackUs());
            return;
        }
        String key = h.contains("X-Key") ? String.join(",", h.getAll("X-Key")) : null;
        Request request = new Request(id, classIndex, key, budget,
                Math.max(0, Framing.number(h.get("X-Cost-Hint"))), tenant, "1".equals(h.get("X-Retry")));
        Exchange x = new Exchange(client, request, type, Call.of(in, body), now() + budget);
        open.put(id, x);
        x.guard = loop.schedule(() -> timeUp(x), at + patience - now(), TimeUnit.MICROSECONDS);
        client.opened(x);
        run(() -> balancer.onRequest(now(), x.request));
    }

    /** What the method and its headers say of a repeat; null if they say nothing that the protocol knows. */
    private static Effect shown(HttpRequest in, byte[] body) {
        int keys = in.headers().getAll("Idempotency-Key").size();
        boolean printable = in.uri().chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!printable || keys > 1) {
            return null;
        }
        return switch (in.method().name()) {
            case "GET" -> body.length == 0 && keys == 0 ? Effect.RETRYABLE : null;
            case "POST" -> keys == 1 ? Effect.DEDUP : Effect.FRAGILE;
            default -> null;
        };
    }

    /** The value of a header that comes once; null if it is missing or repeated: no reader is to choose. */
    private static String single(HttpHeaders headers, CharSequence name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0) : null;
    }

    private long comeBackUs() {
        return config.settings().limits().maxRetryAfterUs();
    }

    /** The client closed its connection. */
    void gone(Exchange x) {
        over(x);
        tellGone(x);
    }

    /** Whatever the module does, the client has an answer in time, and a refusal only if that is true. */
    private void timeUp(Exchange x) {
        if (!x.answered) {
            over(x);
            boolean harmless = x.type.effect() == Effect.RETRYABLE || !x.mayHaveRun && x.out == null
                    || x.type.effect() == Effect.DEDUP && x.type.scope() == DedupScope.ALL;
            x.client.answer(harmless ? HttpResponseStatus.SERVICE_UNAVAILABLE
                    : HttpResponseStatus.GATEWAY_TIMEOUT, NO_BODY,
                    harmless ? comeBackUs() : 0);
            tellGone(x);
        }
    }

    private void over(Exchange x) {
        x.answered = true;
        x.guard.cancel(false);
    }

    private void tellGone(Exchange x) {
        run(() -> {
            try {
                balancer.onRequestGone(now(), x.request.id());
            } finally {
                forget(x);
            }
        });
    }

    /** After the actions already decided: they may still name the request. */
    private void forget(Exchange x) {
        work.add(() -> open.remove(x.request.id(), x));
    }

    // ---- the module's decisions ----------------------------------------------------------------------

    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {
        work.add(() -> {
            Exchange x = open.get(requestId);
            if (x != null) {
                attempt(x, discovery.host(endpointId), timeoutUs);
            }
        });
    }

    private void attempt(Exchange x, Upstream.Host host, long timeoutUs) {
        int number = x.attempts++;
        long sentAt = now();
        long left = x.endAt - sentAt;
        boolean vain = x.answered || left <= 0 || timeoutUs < 0 || x.out != null || host == null
                || number >= config.settings().limits().maxAttempts();
        if (vain) {
            ended(x, number, sentAt, Outcome.IGNORED);
            return;
        }
        x.outNumber = number;
        x.out = upstream.attempt(host, x.call, timeoutUs == 0 ? left : Math.min(left, timeoutUs),
                () -> !x.answered, (outcome, answer) -> {
                    x.out = null;
                    x.mayHaveRun |= !outcome.neverRan();
                    if (outcome == Outcome.OK && !x.answered) {
                        over(x);
                        x.client.answer(HttpResponseStatus.OK, answer, 0);
                        run(() -> forget(x));
                    }
                    ended(x, number, sentAt, outcome);
                });
        x.out.start();
    }

    private void ended(Exchange x, int number, long sentAt, Outcome outcome) {
        boolean done = x.answered;
        run(() -> balancer.onAttemptEnded(now(),
                new AttemptEnd(x.request.id(), number, outcome, done, now() - sentAt)));
    }

    @Override
    public void cancel(String requestId, int number) {
        work.add(() -> {
            Exchange x = open.get(requestId);
            if (x != null && x.out != null && number == x.outNumber) {
                x.out.cancel();
            }
        });
    }

    @Override
    public void refuse(String requestId, long retryAfterUs) {
        work.add(() -> conclude(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs));
    }

    @Override
    public void fail(String requestId) {
        work.add(() -> conclude(requestId, HttpResponseStatus.BAD_GATEWAY, 0));
    }

    private void conclude(String requestId, HttpResponseStatus status, long retryAfterUs) {
        Exchange x = open.get(requestId);
        if (x != null && !x.answered) {
            over(x);
            x.client.answer(status, NO_BODY, retryAfterUs);
            forget(x);
        }
    }

    @Override
    public void probe(String endpointId) {
        work.add(() -> {
            long sentAt = now();
            Upstream.Host host = discovery.host(endpointId);
            Upstream.End end = (outcome, answer) -> run(
                    () -> balancer.onProbeEnded(now(), endpointId, outcome, now() - sentAt));
            if (host == null) {
                end.ended(Outcome.IGNORED, null);
            } else {
                upstream.attempt(host, Call.health(), config.dialTimeoutUs(), () -> true, end).start();
            }
        });
    }

    @Override
    public void subscribe() {
        work.add(discovery::watch);
    }

    private void watchFailed() {
        if (config.settings().subscribe()) {
            run(() -> balancer.onDiscoveryFailed(now()));
        } else {
            loop.schedule(discovery::watch, AGENT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel(false);
        }
        wake = loop.schedule(() -> run(() -> balancer.onTimer(now())), atUs - now(), TimeUnit.MICROSECONDS);
    }
}
