package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.Source;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The sockets under a module that does what the test says, so that each outcome can be seen by itself. */
class ProxyTest {
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Script module = new Script();
    private ClientProxy proxy;
    private Discovery discovery;

    /** A module that writes down events; a test sets what it does on a request and on an attempt's end. */
    private static final class Script implements Balancer {
        final BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
        final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
        final BlockingQueue<String> gone = new LinkedBlockingQueue<>();
        final BlockingQueue<Outcome> probes = new LinkedBlockingQueue<>();
        volatile Consumer<Request> onRequest = r -> { };
        volatile Consumer<AttemptEnd> onEnd = e -> { };
        volatile Actions actions;

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            lists.add(source + " " + endpoints.stream().map(
                    e -> e.id() + " " + e.zone() + " " + e.availability()).toList());
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
        public void onRequestGone(long now, String requestId) {
            gone.add(requestId);
            actions.cancel(requestId, 0);
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) { }

        @Override
        public void onAttemptEnded(long now, AttemptEnd end) {
            ends.add(end);
            onEnd.accept(end);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {
            probes.add(outcome);
        }

        @Override
        public void onTimer(long now) { }
    }

    private void start(String limits, String... hosts) throws Exception {
        discovery = keep(new Discovery());
        String known = Peers.list(1, true, hosts);
        Config config = Config.parse(Peers.config(0, discovery.server.address(), limits, known)
                .getBytes(StandardCharsets.UTF_8));
        proxy = ClientProxy.start(config, (settings, seed, now, actions) -> {
            module.actions = actions;
            actions.subscribe();
            return module;
        });
        assertTrue(Peers.next(module.lists, "the list known").startsWith("CACHED"));
    }

    private Server host(Consumer<Seen> script) throws Exception {
        return keep(new Server(script));
    }

    private Client client() throws Exception {
        return keep(new Client(proxy.port()));
    }

    private <T extends AutoCloseable> T keep(T one) {
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
    private AttemptEnd outcome(Consumer<Seen> script, long timeoutUs) throws Exception {
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

    @Test
    void a200IsServed() throws Exception {
        assertEquals(Outcome.OK, outcome(s -> s.served("x"), 0).outcome());
    }

    @Test
    void anyOtherAnswerMayHaveRun() throws Exception {
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(500, "", "x"), 0).outcome());
    }

    @Test
    void a503WithoutTheMarkMayHaveRun() throws Exception {
        // Guards rule 2: a 503 from something in between says nothing of the host.
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(503, "", ""), 0).outcome());
    }

    @Test
    void turnedAwayIsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, outcome(Seen::notRun, 0).outcome());
    }

    @Test
    void turnedAwayBy504IsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, outcome(s -> s.answer(504, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void aMarkOnAnErrorProvesNothing() throws Exception {
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(500, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void aResetAfterTheRequestMayHaveRun() throws Exception {
        assertEquals(Outcome.RESET, outcome(Seen::reset, 0).outcome());
    }

    @Test
    void anAnswerCutShortIsAReset() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            s.reset();
        }, 0).outcome());
    }

    @Test
    void anAnswerWithoutALengthThatIsResetIsNotServed() throws Exception {
        // Guards against serving half an answer: with no length only a clean close is an end.
        assertEquals(Outcome.RESET, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            s.reset();
        }, 0).outcome());
    }

    @Test
    void anAnswerWithoutALengthEndsWithItsConnection() throws Exception {
        assertEquals(Outcome.OK, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\n\r\nwhole");
            s.finish();
        }, 0).outcome());
    }

    @Test
    void theLargestBodiesPass() throws Exception {
        String most = "x".repeat(64 * 1024);
        Server host = host(s -> s.served(s.message().text()));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Message answer = client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 65536\r\n\r\n" + most).read();
        assertEquals(200, answer.status());
        assertEquals(most, answer.text());
    }

    @Test
    void garbageEndsTheAttemptOnly() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> s.write("\0\1garbage\r\n\r\n"), 0).outcome());
    }

    @Test
    void anOversizedAnswerEndsTheAttemptOnly() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> s.served("x".repeat(64 * 1024 + 1)), 0).outcome());
    }

    @Test
    void silenceTimesOutAndTheConnectionCloses() throws Exception {
        BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
        assertEquals(Outcome.TIMED_OUT, outcome(seen::add, 50_000).outcome());
        Peers.next(seen, "the request").awaitEnd();
    }

    @Test
    void refusedConnectionsNeverRan() throws Exception {
        ServerSocket none = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        none.close();
        start("", Peers.host("s", "127.0.0.1:" + none.getLocalPort(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> module.actions.refuse(e.requestId(), 250_000);
        Message answer = client().unsafe("id1", 20_000).read();
        assertEquals(Outcome.CONNECT_ERROR, Peers.next(module.ends, "the end").outcome());
        assertEquals(503, answer.status());
        assertEquals("0.25", answer.header("retry-after"));
    }

    @Test
    void aTimeOutCoversConnecting() throws Exception {
        // Guards against an attempt that hangs where no connection ever comes up: it never ran.
        try (Deaf deaf = new Deaf()) {
            start("", Peers.host("s", deaf.address(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 100_000);
            module.onEnd = e -> module.actions.refuse(e.requestId(), 0);
            assertEquals(503, client().unsafe("id1", 20_000).read().status());
            assertEquals(Outcome.CONNECT_ERROR, Peers.next(module.ends, "the end").outcome());
        }
    }

    @Test
    void nothingIsWrittenToAHostToldToDrainWhileConnecting() throws Exception {
        // Guards rule 3: the decision was made before the drain, the connection comes up after it.
        try (Deaf deaf = new Deaf()) {
            start("", Peers.host("s", deaf.address(), "in_service"));
            Seen watch = discovery.asked();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            module.onRequest = r -> {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            module.onEnd = e -> module.actions.refuse(e.requestId(), 0);
            Client client = client().unsafe("id1", 20_000);
            Peers.next(sent, "the decision");
            Discovery.push(watch, Peers.list(2, false, Peers.host("s", deaf.address(), "terminating")));
            assertEquals("DELTA [s 1 DRAINING]", Peers.next(module.lists, "the drain"));
            deaf.hear();
            assertEquals(Outcome.IGNORED, Peers.next(module.ends, "the end").outcome());
            assertEquals(503, client.read().status());
            assertTrue(deaf.silent(), "nothing was written");
        }
    }

    @Test
    void aRequestIsServedUnchanged() throws Exception {
        String body = "\0\r\n\u00ff binary";
        Server host = host(s -> s.answer(200, "Content-Type: a/b\r\n", s.message().text() + "!"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Message answer = client().write("POST /api/x?q=%20a&b HTTP/1.1\r\nHost: origin.svc\r\n"
                + "X-Request-Id: id1\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Key: k\r\n"
                + "X-Deadline-Ms: 20000\r\n"
                + "Idempotency-Key: i-k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body).read();
        Message seen = Peers.next(host.seen, "the request").message();
        assertEquals("POST /api/x?q=%20a&b HTTP/1.1", seen.first());
        assertEquals("id1", seen.header("x-request-id"));
        assertEquals("i-k", seen.header("idempotency-key"));
        assertNull(seen.header("x-hop"), "hop-by-hop headers stay");
        assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), seen.body());
        long deadline = Long.parseLong(seen.header("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline < 20_000, "a deadline of its own: " + deadline);
        assertEquals(200, answer.status());
        assertEquals(body + "!", answer.text());
        assertEquals("a/b", answer.header("content-type"));
    }

    @Test
    void connectionsAreReusedAndOneThatProvesDeadIsAReset() throws Exception {
        Server host = host(s -> {
            if (s.message().header("x-request-id").equals("id2")) {
                s.reset();
            } else {
                s.served("x");
            }
        });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> module.actions.fail(e.requestId());
        Client client = client();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        assertEquals(502, client.unsafe("id2", 20_000).read().status());
        assertEquals(Outcome.OK, Peers.next(module.ends, "the first end").outcome());
        assertEquals(Outcome.RESET, Peers.next(module.ends, "the second end").outcome());
        assertEquals(1, host.connections.size());
        assertEquals(2, host.seen.size(), "sent once and no more");
    }

    @Test
    void idleConnectionsCloseBeforeTheHostDoes() throws Exception {
        Server host = host(s -> s.served("x"));
        start(",\"connIdleUs\":400000", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        assertEquals(200, client().unsafe("id1", 20_000).read().status());
        Peers.next(host.seen, "the request").awaitEnd();
    }

    @Test
    void anUnaskedSecondAnswerMeetsNoOtherRequest() throws Exception {
        // Guards against serving a request with what was made for another.
        Server host = host(s -> s.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        client().unsafe("id1", 20_000).read();
        Peers.next(host.seen, "the request").awaitEnd();
        Message second = client().unsafe("id2", 20_000).read();
        assertFalse(second.text().equals("stray"), second.text());
    }

    @Test
    void theNextAttemptGoesOutOnlyAfterTheLastIsClosed() throws Exception {
        // Guards "at most one attempt at a time": the host told of the second must have lost the first.
        Server silent = host(s -> { });
        Server other = host(s -> s.served("x"));
        start("", Peers.host("s", silent.address(), "in_service"),
                Peers.host("t", other.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 50_000);
        module.onEnd = e -> {
            if (e.attempt() == 0) {
                module.actions.send(e.requestId(), "t", 0);
            }
        };
        assertEquals(200, client().safe("id1", 20_000).read().status());
        Peers.next(silent.seen, "the first attempt").awaitEnd();
        assertEquals(1, other.seen.size());
    }

    @Test
    void aSecondCopyIsNotSent() throws Exception {
        Server silent = host(s -> { });
        Server other = host(s -> s.served("x"));
        start("", Peers.host("s", silent.address(), "in_service"),
                Peers.host("t", other.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.send(r.id(), "s", 0);
            module.actions.send(r.id(), "t", 0);
        };
        client().unsafe("id1", 20_000);
        AttemptEnd end = Peers.next(module.ends, "the second copy's end");
        assertEquals(1, end.attempt());
        assertEquals(Outcome.IGNORED, end.outcome());
        assertEquals(0, other.seen.size());
    }

    @Test
    void aCancelledAttemptIsClosedAndOnlyThatOne() throws Exception {
        // Guards the numbering: a second copy that was not sent has a number, and is not the one that is out.
        Server host = host(s -> { });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.send(r.id(), "s", 0);
            module.actions.send(r.id(), "s", 0);
        };
        module.onEnd = e -> {
            if (e.attempt() == 1) {
                module.actions.cancel(e.requestId(), 1);
                module.actions.cancel(e.requestId(), 0);
            } else {
                module.actions.fail(e.requestId());
            }
        };
        assertEquals(502, client().unsafe("id1", 20_000).read().status());
        assertEquals(Outcome.IGNORED, Peers.next(module.ends, "the second copy's end").outcome());
        AttemptEnd end = Peers.next(module.ends, "the first's end");
        assertEquals(0, end.attempt());
        assertEquals(Outcome.CANCELED, end.outcome());
        assertFalse(end.requestDone());
        assertTrue(module.ends.isEmpty());
    }

    @Test
    void manyIdleClientsLeaveRoomForTheRest() throws Exception {
        // Guards the limit on descriptors: beyond the most, connections wait, and are served when some go.
        start("");
        module.onRequest = r -> module.actions.fail(r.id());
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            idle.add(client());
        }
        Client last = client().unsafe("id1", 20_000);
        last.socket.setSoTimeout(300);
        assertThrows(SocketTimeoutException.class, last::read, "beyond the most, one waits");
        last.socket.setSoTimeout((int) Peers.PATIENCE_S * 1000);
        for (Client c : idle) {
            c.close();
        }
        assertEquals(502, last.read().status());
    }

    @Test
    void aClientThatLeavesTakesItsAttemptAlong() throws Exception {
        Server host = host(s -> { });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("id1", 20_000);
        Seen seen = Peers.next(host.seen, "the request");
        client.close();
        assertEquals("id1", Peers.next(module.gone, "the client's leaving"));
        AttemptEnd end = Peers.next(module.ends, "the end");
        assertEquals(Outcome.CANCELED, end.outcome());
        assertTrue(end.requestDone());
        seen.awaitEnd();
    }

    @Test
    void theClientHasAnAnswerInTimeWhateverTheModuleDoes() throws Exception {
        Server host = host(s -> { });
        start("", Peers.host("s", host.address(), "in_service"));
        // Held for ever, with no attempt: a refusal is true. With one out, only for what is safe to repeat.
        Message held = client().unsafe("held", 300).read();
        assertEquals(503, held.status());
        assertEquals("2", held.header("retry-after"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        assertEquals(504, client().unsafe("out", 300).read().status());
        assertEquals(503, client().safe("safe", 300).read().status());
    }

    @Test
    void aDecisionAfterTheAnswerSendsNothing() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.refuse(r.id(), 0);
            module.actions.send(r.id(), "s", 0);
        };
        assertEquals(503, client().unsafe("id1", 20_000).read().status());
        AttemptEnd end = Peers.next(module.ends, "the end");
        assertEquals(Outcome.IGNORED, end.outcome());
        assertTrue(end.requestDone());
        assertEquals(0, host.seen.size());
    }

    @Test
    void aModuleThatThrowsLosesNoRequest() throws Exception {
        start("");
        module.onRequest = r -> {
            throw new IllegalStateException("a defect");
        };
        assertEquals(503, client().unsafe("id1", 300).read().status());
        module.onRequest = r -> module.actions.fail(r.id());
        assertEquals(502, client().unsafe("id2", 20_000).read().status());
    }

    @Test
    void badInputNeverReachesAHost() throws Exception {
        start("");
        module.onRequest = r -> {
            throw new AssertionError("told of " + r);
        };
        String head = "Host: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n";
        assertEquals(400, client().write("nonsense\r\n\r\n").read().status());
        assertEquals(404, client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        assertEquals(400, client().write("POST /api HTTP/1.1\r\nHost: h\r\n\r\n").read().status(), "no id");
        String post = "POST /api HTTP/1.1\r\n" + head;
        assertEquals(400, client().write(post + "\r\n").read().status(), "no deadline");
        assertEquals(400, client().write(post + "X-Deadline-Ms: soon\r\n\r\n").read().status());
        assertEquals(400, client().write("GET /api HTTP/1.1\r\n" + head + "X-Deadline-Ms: 9\r\n\r\n").read()
                .status(), "an unsafe GET");
        assertEquals(400, client().write(post + "X-Deadline-Ms: 9\r\nX-Tenant: ?\r\n\r\n").read().status());
        assertEquals(400, client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: ?\r\n"
                + "X-Deadline-Ms: 9\r\n\r\n").read().status());
        assertEquals(413, client().write(post + "X-Deadline-Ms: 9\r\n"
                + "Content-Length: 65537\r\n\r\n").read().status());
        module.onRequest = r -> module.actions.fail(r.id());
        assertEquals(502, client().unsafe("id1", 20_000).read().status(), "and it serves on");
    }

    @Test
    void requestsSentAheadAreAnsweredInOrder() throws Exception {
        Server host = host(s -> s.served(s.message().header("x-request-id")));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("a", 20_000).unsafe("b", 20_000).unsafe("c", 20_000);
        for (String id : List.of("a", "b", "c")) {
            assertEquals(id, client.read().text());
        }
    }

    @Test
    void listsReplaceOrAmendAndABrokenWatchIsAFailedCall() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        assertEquals(200, client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        Seen watch = discovery.asked();
        String asked = watch.message().first();
        assertTrue(asked.startsWith("GET /api/targets?watch=1&after=1 "), asked);
        Discovery.push(watch, Peers.list(2, true, Peers.host("t", "127.0.0.1:2", "in_service")));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the whole list"));
        Discovery.push(watch, "");
        Discovery.push(watch, Peers.list(3, false, Peers.host("t", "127.0.0.1:2", "terminated")));
        assertEquals("DELTA [t 1 GONE]", Peers.next(module.lists, "a change"));
        assertEquals(503, client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        Discovery.push(watch, "{\"version\":4,\"servers\":[{\"id\":7");
        assertEquals("failed", Peers.next(module.lists, "the bad line's failure"));
        watch.awaitEnd();
        assertEquals(0, discovery.server.seen.size(), "asked again only when the module says so");
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.fail(r.id());
        };
        client().unsafe("id1", 20_000).read();
        Seen again = discovery.asked();
        assertTrue(again.message().first().contains("after=3 "), again.message().first());
        again.reset();
        assertEquals("failed", Peers.next(module.lists, "the break"));
        assertTrue(module.lists.isEmpty(), "each failure is told once");
    }

    @Test
    void pushedListsAreWatchedUnasked() throws Exception {
        // Guards deployments whose lists are pushed: there the module never asks, and is told of no failure.
        discovery = keep(new Discovery());
        String config = Peers.config(0, discovery.server.address(), "", "null")
                .replace("subscribe", "automatic");
        proxy = ClientProxy.start(Config.parse(config.getBytes(StandardCharsets.UTF_8)),
                (settings, seed, now, actions) -> module);
        Seen watch = discovery.asked();
        assertTrue(watch.message().first().startsWith("GET /api/targets?watch=1 "), watch.message().first());
        watch.reset();
        Discovery.push(discovery.asked(), Peers.list(1, true));
        assertEquals("FULL []", Peers.next(module.lists, "the list"));
    }

    @Test
    void aHostThatMovesIsReachedAnewAndOneThatDrainsIsLeft() throws Exception {
        Server before = host(s -> s.served("x"));
        Server after = host(s -> s.served("x"));
        start("", Peers.host("s", before.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Seen watch = discovery.asked();
        Client client = client();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
        Peers.next(before.seen, "the first request").awaitEnd();
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        Discovery.push(watch, Peers.list(3, false, Peers.host("s", after.address(), "terminating")));
        Peers.next(after.seen, "the second request").awaitEnd();
    }

    @Test
    void aSilentWatchIsAFailedCall() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        assertEquals("failed", Peers.next(module.lists, "the silence"));
        watch.awaitEnd();
    }

    @Test
    void probesTellOfAHost() throws Exception {
        Server host = host(s -> s.answer(
                s.message().first().startsWith("GET /-/healthy ") ? 200 : 404, "", ""));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.probe("s");
            module.actions.fail(r.id());
        };
        client().unsafe("id1", 20_000).read();
        assertEquals(Outcome.OK, Peers.next(module.probes, "the probe's end"));
    }

    /** A host whose queue of connections is full, so that none comes up until {@link #hear}. */
    private static final class Deaf implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fill = new ArrayList<>();
        private Socket last;

        Deaf() throws Exception {
            for (int i = 0; i < 8; i++) {
                Socket s = new Socket();
                try {
                    s.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 1000);
                } catch (SocketTimeoutException full) {
                    s.close();
                    return;
                }
                fill.add(s);
            }
            throw new AssertionError("the queue never filled");
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Takes the connections that fill the queue, and then the one that waited. */
        void hear() throws Exception {
            server.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            for (int i = 0; i <= fill.size(); i++) {
                last = server.accept();
            }
        }

        boolean silent() throws Exception {
            last.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            return last.getInputStream().read() < 0;
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket s : fill) {
                s.close();
            }
        }
    }
}
