package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Requests and attempts: what goes on to hosts and what comes back, when all behave. */
class ProxyTest extends ProxyRig {
    @Test
    void a200IsServed() throws Exception {
        assertEquals(Outcome.OK, outcome(s -> s.served("x"), 0).outcome());
    }

    @Test
    void theLargestBodiesPass() throws Exception {
        String most = "x".repeat(64 * 1024);
        Server host = host(s -> s.served(s.message().text()));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Message answer = client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                        + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 65536\r\n\r\n" + most)
                .read();
        assertEquals(200, answer.status());
        assertEquals(most, answer.text());
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
            assertEquals(
                    Outcome.CONNECT_ERROR, Peers.next(module.ends, "the end").outcome());
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
        Server host =
                host(s -> s.answer(200, "Content-Type: a/b\r\n", s.message().text() + "!"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Message answer = client().write("POST /api/x?q=%20a&b HTTP/1.1\r\nHost: origin.svc\r\n"
                        + "X-Request-Id: id1\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Key: k\r\n"
                        + "X-Deadline-Ms: 20000\r\n"
                        + "Idempotency-Key: i-k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .read();
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
        Thread.sleep(50); // a connection rests after an answer before it is used again
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
    void theNextAttemptGoesOutOnlyAfterTheLastIsClosed() throws Exception {
        // Guards "at most one attempt at a time": the host told of the second must have lost the first.
        Server silent = host(s -> {});
        Server other = host(s -> s.served("x"));
        start("", Peers.host("s", silent.address(), "in_service"), Peers.host("t", other.address(), "in_service"));
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
        Server silent = host(s -> {});
        Server other = host(s -> s.served("x"));
        start("", Peers.host("s", silent.address(), "in_service"), Peers.host("t", other.address(), "in_service"));
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
        Server host = host(s -> {});
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
        assertEquals(
                Outcome.IGNORED,
                Peers.next(module.ends, "the second copy's end").outcome());
        AttemptEnd end = Peers.next(module.ends, "the first's end");
        assertEquals(0, end.attempt());
        assertEquals(Outcome.CANCELED, end.outcome());
        assertFalse(end.requestDone());
        assertTrue(module.ends.isEmpty());
    }

    @Test
    void theClientHasAnAnswerInTimeWhateverTheModuleDoes() throws Exception {
        Server host = host(s -> {});
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
    void probesTellOfAHost() throws Exception {
        Server host = host(s -> s.answer(s.message().first().startsWith("GET /-/healthy ") ? 200 : 404, "", ""));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> {
            module.actions.probe("s");
            module.actions.fail(r.id());
        };
        client().unsafe("id1", 20_000).read();
        assertEquals(Outcome.OK, Peers.next(module.probes, "the probe's end"));
    }
}
