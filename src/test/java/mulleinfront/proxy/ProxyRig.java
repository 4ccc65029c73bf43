package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.Source;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.AfterEach;

/** The sockets under a module that does what the test says, so that each outcome can be seen by itself. */
abstract class ProxyRig {
    final List<AutoCloseable> open = new ArrayList<>();
    final Script module = new Script();
    ClientProxy proxy;
    Discovery discovery;

    /** A module that writes down events; a test sets what it does on a request and on an attempt's end. */
    static final class Script implements Balancer {
        final BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
        final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
        final BlockingQueue<String> gone = new LinkedBlockingQueue<>();
        final BlockingQueue<Outcome> probes = new LinkedBlockingQueue<>();
        /** Reports and ends of attempts, in the order in which they were told. */
        final BlockingQueue<String> told = new LinkedBlockingQueue<>();

        volatile Consumer<Request> onRequest = r -> {};
        volatile Consumer<AttemptEnd> onEnd = e -> {};
        volatile Actions actions;

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            lists.add(source + " "
                    + endpoints.stream()
                            .map(e -> e.id() + " " + e.zone() + " " + e.availability())
                            .toList());
        }

        @Override
        public void onDiscoveryFailed(long now) {
            lists.add("failed");
        }

        @Override
        public void onRequest(long now, Request request) {
            onRequest.accept(request);
        }

        @Override
        public void onRequestAbandoned(long now, String requestId) {
            gone.add(requestId);
            actions.cancel(requestId, 0);
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {}

        @Override
        public void onLoadReport(long now, String endpointId, double held) {
            told.add(endpointId + " holds " + held);
        }

        @Override
        public void onAttemptEnded(long now, AttemptEnd end) {
            told.add(end.outcome().name());
            ends.add(end);
            onEnd.accept(end);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {
            probes.add(outcome);
        }

        @Override
        public void onTimer(long now) {}
    }

    void start(String limits, String... hosts) throws Exception {
        start(limits, config -> config, hosts);
    }

    /** With a configuration that the test has changed. */
    void start(String limits, UnaryOperator<String> changed, String... hosts) throws Exception {
        discovery = keep(new Discovery());
        String known = Peers.list(1, true, hosts);
        Config config = Config.parse(changed.apply(Peers.config(0, discovery.server.address(), limits, known))
                .getBytes(StandardCharsets.UTF_8));
        proxy = ClientProxy.start(config, (settings, seed, now, actions) -> {
            module.actions = actions;
            actions.subscribe();
            return module;
        });
        assertTrue(Peers.next(module.lists, "the list known").startsWith("CACHED"));
    }

    Server host(Consumer<Seen> script) throws Exception {
        return keep(new Server(script));
    }

    Client client() throws Exception {
        return keep(new Client(proxy.port()));
    }

    /** What {@code /-/ready} says, on a connection of its own. */
    int ready() throws Exception {
        try (Client client = client()) {
            return client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    .read()
                    .status();
        }
    }

    <T extends AutoCloseable> T keep(T one) {
        open.add(one);
        return one;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        if (proxy != null) {
            proxy.drain();
        }
    }

    /** One request sent once to a host with this script; returns how the attempt ended. */
    AttemptEnd outcome(Consumer<Seen> script, long timeoutUs) throws Exception {
        Server host = host(script);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", timeoutUs);
        module.onEnd = e -> module.actions.fail(e.requestId());
        Client client = client().unsafe("id1", 20_000);
        AttemptEnd end = Peers.next(module.ends, "the attempt's end");
        int status = client.read().status();
        assertEquals(end.outcome() == Outcome.OK ? 200 : 502, status);
        assertEquals(end.outcome() == Outcome.OK, end.requestDone());
        assertEquals(1, host.seen.size(), "sent once and no more");
        return end;
    }
}
