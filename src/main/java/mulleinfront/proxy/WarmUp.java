package mulleinfront.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import mulleinfront.core.NoOpActions;
import mulleinfront.settings.Config;
import mulleinfront.settings.EndpointList;

/**
 * The warm-up: runs the code path of a request some hundred times before the first client's request. Code that the JVM
 * has not compiled yet takes ten times the CPU, and CPU is scarce. Only the compiled code remains of it.
 *
 * <p>Balancing decisions run in a separate balancer, all of whose attempts succeed. Connections are those of a client
 * proxy that is its own only endpoint: a request goes from {@link Upstream} to its {@link Frontend}, and on to the same
 * proxy a second time, which rejects it because its id is already open, and back. So only the proxy's own address is
 * used.
 */
final class WarmUp {
    /**
     * The JVM compiles a method after 200 calls; most methods of the request path are called a few times per round.
     * With fewer rounds the proxy is ready sooner and refuses more requests at first: 100 rounds are no better on
     * restarts, and worse when a whole scenario starts.
     */
    private static final int ROUNDS = 250;

    private static final int ENDPOINTS = 12;
    private static final long TIMEOUT_S = 3;
    static final String SELF_ENDPOINT_ID = "self";

    /** CPU time of a request before its code is compiled: 4 to 8 ms, most of it for a new connection. */
    private static final double COLD_REQUEST_CPU_S = 0.008;
    /** Fraction of the cores that requests can use before their code is compiled without queueing for CPU. */
    private static final double MAX_COLD_CPU_FRACTION = 0.5;

    private WarmUp() {}

    /**
     * Whether the warm-up is worth its cost: about 0.7 s of CPU, during which the proxy serves no clients. It is not
     * for an instance with few requests. These find an idle core even before their code is compiled, and 200 requests
     * in total take less CPU without the warm-up than with it.
     */
    static boolean isWorthwhile(Config config) {
        return config.requestsPerS() == 0
                || config.requestsPerS() * COLD_REQUEST_CPU_S > MAX_COLD_CPU_FRACTION * config.cores();
    }

    /** Passes requests and outcomes through a balancer. */
    static void exerciseBalancer(Balancer.Settings settings) {
        ArrayDeque<AttemptEnd> ends = new ArrayDeque<>();
        long now = 1_000_000;
        Balancer balancer = Balancer.create(settings, 1, now, new NoOpActions() {
            @Override
            public void send(String requestId, String endpointId, long timeoutUs) {
                ends.add(new AttemptEnd(requestId, 0, Outcome.OK, true, 20_000));
            }
        });
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint("host" + i, i % 3, 0, i % 2, Availability.READY, 1, 0));
        }
        balancer.onEndpoints(now, Source.FULL, endpoints);
        for (int i = 0; i < ROUNDS; i++) {
            int classIndex = i % settings.classes().size();
            now += 4_000;
            balancer.onRequest(
                    now,
                    new Request(
                            "id" + i,
                            classIndex,
                            "key" + i % 50,
                            settings.classes().get(classIndex).deadlineUs(),
                            0,
                            0,
                            false));
            for (AttemptEnd end; ends.size() > 4 && (end = ends.poll()) != null; ) {
                balancer.onAttemptEnded(now, end);
            }
            balancer.onTimer(now);
        }
    }

    /** A list whose only endpoint is the client proxy itself. */
    static EndpointList selfListing(InetAddress address, int port) {
        return new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        SELF_ENDPOINT_ID, new InetSocketAddress(address, port), "", "", 0, Availability.READY, 1, 0)));
    }

    /** A balancer that sends each request to the proxy itself, and fails it when the attempt ends. */
    static Balancer loopbackBalancer(Balancer.Actions actions) {
        return new Balancer() {
            @Override
            public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {}

            @Override
            public void onDiscoveryFailed(long now) {}

            @Override
            public void onRequest(long now, Request request) {
                actions.send(request.id(), SELF_ENDPOINT_ID, 0);
            }

            @Override
            public void onRequestAbandoned(long now, String requestId) {}

            @Override
            public void onStreamStarted(long now, String requestId, int attempt) {}

            @Override
            public void onAttemptEnded(long now, AttemptEnd end) {
                actions.fail(end.requestId());
            }

            @Override
            public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {}

            @Override
            public void onTimer(long now) {}
        };
    }

    /** Sends requests over connections, one after the other. Only the wait runs outside the event loop. */
    static final class LoopbackRequests {
        private final EventLoop loop;
        private final Upstream upstream;
        private final Upstream.Host self;
        private final RequestClass requestClass;
        private final CountDownLatch remaining = new CountDownLatch(ROUNDS);

        LoopbackRequests(EventLoop loop, Upstream upstream, Upstream.Host self, RequestClass requestClass) {
            this.loop = loop;
            this.upstream = upstream;
            this.self = self;
            this.requestClass = requestClass;
        }

        LoopbackRequests sendNext() {
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set("Host", "origin.svc")
                    .set("X-Class", requestClass.name())
                    .set("X-Request-Id", "rehearsal" + remaining.getCount())
                    .set("X-Key", "key");
            if (requestClass.effect() == Effect.DEDUP) {
                headers.set("Idempotency-Key", "key");
            }
            String method = requestClass.effect() == Effect.RETRYABLE ? "GET" : "POST";
            RequestMessage message =
                    RequestMessage.of(method, RequestMessage.encodeHead(method, "/api", headers), Framing.NO_BYTES);
            upstream.attempt(self, message, requestClass.deadlineUs(), () -> true, (outcome, answer) -> {
                        remaining.countDown();
                        if (remaining.getCount() > 0) {
                            loop.execute(this::sendNext);
                        }
                    })
                    .start();
            return this;
        }

        void await() throws InterruptedException {
            remaining.await(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
