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
import mulleinfront.settings.Listing;

/**
 * Runs the code of a request's way some hundred times before the first one comes: what the JVM has not yet
 * compiled takes ten times the CPU, and there is little of that. Nothing of it is kept but the compiled code.
 *
 * <p>The decisions are made by a module of its own that sees all its attempts served. The sockets are those
 * of a client proxy that is its own only host: a request goes from {@link Upstream} to its {@link Frontend},
 * on to itself once more, where its id is already open and it is refused, and all the way back. So nothing
 * listens or is spoken to but the address where clients will connect.
 */
final class Rehearsal {
    /**
     * The JVM compiles what has been called 200 times; most of a request's way is called a few times in a round. Fewer
     * rounds serve sooner and refuse more at first: 100 came out no better on restarts, and worse on the start of a day.
     */
    private static final int ROUNDS = 250;

    private static final int HOSTS = 12;
    private static final long MOST_SECONDS = 3;
    static final String SELF = "self";

    /** CPU that a request takes before its code is compiled, seconds: 4 to 8 ms measured, most connecting anew. */
    private static final double COLD_REQUEST_S = 0.008;
    /** Part of the cores that requests may take while their code is cold without waiting for each other. */
    private static final double BEARABLE = 0.5;

    private Rehearsal() {}

    /**
     * Whether a rehearsal earns what it costs, some 0.7 s of CPU during which clients find nobody. Where few requests
     * come to an instance it does not: they find a core idle even when their code is cold, and a day of two hundred
     * takes less CPU than the rehearsal and they together.
     */
    static boolean pays(Config config) {
        return config.requestsPerS() == 0 || config.requestsPerS() * COLD_REQUEST_S > BEARABLE * config.cores();
    }

    /** Requests and outcomes through a module. */
    static void decide(Balancer.Settings settings) {
        ArrayDeque<AttemptEnd> ends = new ArrayDeque<>();
        long now = 1_000_000;
        Balancer module = Balancer.create(settings, 1, now, new NoOpActions() {
            @Override
            public void send(String requestId, String endpointId, long timeoutUs) {
                ends.add(new AttemptEnd(requestId, 0, Outcome.OK, true, 20_000));
            }
        });
        List<Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Endpoint("host" + i, i % 3, 0, i % 2, Availability.READY, 1, 0));
        }
        module.onEndpoints(now, Source.FULL, hosts);
        for (int i = 0; i < ROUNDS; i++) {
            int type = i % settings.classes().size();
            now += 4_000;
            module.onRequest(
                    now,
                    new Request(
                            "id" + i,
                            type,
                            "key" + i % 50,
                            settings.classes().get(type).deadlineUs(),
                            0,
                            0,
                            false));
            for (AttemptEnd end; ends.size() > 4 && (end = ends.poll()) != null; ) {
                module.onAttemptEnded(now, end);
            }
            module.onTimer(now);
        }
    }

    /** A list whose one host is the client proxy itself. */
    static Listing self(InetAddress address, int port) {
        return new Listing(
                0,
                true,
                List.of(new Listing.Entry(
                        SELF, new InetSocketAddress(address, port), "", "", 0, Availability.READY, 1, 0)));
    }

    /** Sends each request on to itself, and fails it when that comes back refused. */
    static Balancer module(Balancer.Actions actions) {
        return new Balancer() {
            @Override
            public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {}

            @Override
            public void onDiscoveryFailed(long now) {}

            @Override
            public void onRequest(long now, Request request) {
                actions.send(request.id(), SELF, 0);
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
            public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {}

            @Override
            public void onTimer(long now) {}
        };
    }

    /** Requests through the sockets, one after the other; on the event loop, all but the wait. */
    static final class Rounds {
        private final EventLoop loop;
        private final Upstream upstream;
        private final Upstream.Host self;
        private final RequestClass type;
        private final CountDownLatch left = new CountDownLatch(ROUNDS);

        Rounds(EventLoop loop, Upstream upstream, Upstream.Host self, RequestClass type) {
            this.loop = loop;
            this.upstream = upstream;
            this.self = self;
            this.type = type;
        }

        Rounds next() {
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set("Host", "origin.svc")
                    .set("X-Class", type.name())
                    .set("X-Request-Id", "rehearsal" + left.getCount())
                    .set("X-Key", "key");
            if (type.effect() == Effect.DEDUP) {
                headers.set("Idempotency-Key", "key");
            }
            Call call = Call.of(type.effect() == Effect.RETRYABLE ? "GET" : "POST", "/api", headers, new byte[0]);
            upstream.attempt(self, call, type.deadlineUs(), () -> true, (outcome, answer) -> {
                        left.countDown();
                        if (left.getCount() > 0) {
                            loop.execute(this::next);
                        }
                    })
                    .start();
            return this;
        }

        void await() throws InterruptedException {
            left.await(MOST_SECONDS, TimeUnit.SECONDS);
        }
    }
}
