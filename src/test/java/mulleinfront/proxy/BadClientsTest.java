package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Clients that do what the protocol does not ask of them. */
class BadClientsTest extends ProxyRig {
    @Test
    void atTheMostTheLongestQuietMakesRoom() throws Exception {
        // Guards the limit on descriptors, and the usual clients against hundreds that say nothing.
        start("");
        module.onRequest = r -> {};
        List<Client> silent = new ArrayList<>();
        Client busy = client().unsafe("busy", 20_000);
        for (int i = 0; i < 70; i++) {
            silent.add(client());
        }
        module.onRequest = r -> module.actions.fail(r.id());
        assertEquals(502, client().unsafe("id1", 20_000).read().status());
        assertTrue(silent.get(0).closed(), "the longest quiet one went");
        module.actions.fail("busy");
        assertEquals(502, client().unsafe("id2", 20_000).read().status());
        assertEquals(502, busy.read().status(), "one with a request open stays");
    }

    @Test
    void aClientThatDoesNotGetToTheEndIsToldOrLeft() throws Exception {
        start("");
        Client silent = client();
        Client half = client().write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhal");
        assertTrue(silent.closed());
        assertEquals(408, half.read().status());
        assertTrue(half.closed());
    }

    @Test
    void whatCannotBeReadInOneWayIsRefusedAndItsConnectionCloses() throws Exception {
        // Guards against a request hidden in another's body: what follows such a head is never read.
        start("");
        module.onRequest = r -> {
            throw new AssertionError("told of " + r);
        };
        String post =
                "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n" + "X-Deadline-Ms: 9000\r\n";
        String hidden =
                "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Class: safe\r\n" + "X-Deadline-Ms: 9000\r\n\r\n";
        Map<String, Integer> bad = new LinkedHashMap<>();
        bad.put(post + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        bad.put(post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400);
        bad.put(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400);
        bad.put(post + "Transfer-Encoding: xchunked\r\n\r\n", 400);
        bad.put(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        bad.put(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
        bad.put(post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400);
        for (String length : List.of("-1", "+4", "0x4", "4, 4", "4 4", "four", "", "99999999999999999999")) {
            bad.put(post + "Content-Length: " + length + "\r\n\r\n", 400);
        }
        bad.put(post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400);
        bad.put(post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400);
        bad.put(post + "Content-Length: 40000000\r\n\r\n", 413);
        bad.put(post + "Content-Length: 60000000\r\n\r\n", 413);
        bad.put(post + "Expect: wonders\r\nContent-Length: 4\r\n\r\n", 417);
        bad.put(post + "no colon here\r\n\r\n", 400);
        bad.put(post + "nocolon\r\n\r\n", 400);
        bad.put(post + "X-Class : unsafe\r\n\r\n", 400);
        bad.put(post + "X-Key: a\0b\r\n\r\n", 400);
        bad.put("GET /api HTTP/2.0\r\nHost: h\r\n\r\n", 400);
        bad.put("GET  HTTP/1.1\r\n\r\n", 400);
        bad.put("\0\1\2\r\n\r\n", 400);
        bad.put("X".repeat(10_000), 414);
        bad.put(post + ("X-Pad: " + "p".repeat(100) + "\r\n").repeat(200), 431);
        for (Map.Entry<String, Integer> one : bad.entrySet()) {
            String what = one.getKey().substring(0, Math.min(250, one.getKey().length()));
            Client client = client().write(one.getKey() + hidden);
            assertEquals(one.getValue(), client.read().status(), what);
            assertTrue(client.closed(), what);
        }
    }

    @Test
    void headersThatTwoReadersCouldTakeDifferentlyAreRefused() throws Exception {
        start("");
        module.onRequest = r -> {
            throw new AssertionError("told of " + r);
        };
        String get = "GET /api HTTP/1.1\r\nHost: h\r\n";
        Client client = client();
        for (String headers : List.of(
                "X-Request-Id: a\r\nX-Request-Id: b\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Class: unsafe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: +9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9e3\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 0\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nX-Deadline-Ms: 9\r\n",
                "X-Request-Id: \r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n",
                "X-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 9000\r\nContent-Length: 4\r\n")) {
            String body = headers.contains("Content-Length") ? "body" : "";
            assertEquals(400, client.write(get + headers + "\r\n" + body).read().status(), headers);
        }
    }

    @Test
    void anotherClientsOpenIdIsRefusedAndTheFirstIsServed() throws Exception {
        start("");
        CountDownLatch told = new CountDownLatch(1);
        module.onRequest = r -> told.countDown();
        Client first = client().unsafe("same", 20_000);
        assertTrue(told.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(400, client().unsafe("same", 20_000).read().status());
        module.onRequest = r -> {
            module.actions.fail("same");
            module.actions.refuse(r.id(), 0);
        };
        assertEquals(503, client().unsafe("other", 20_000).read().status());
        assertEquals(502, first.read().status());
    }

    @Test
    void anErrorWaitsForItsTurn() throws Exception {
        // Guards the order: an error written past an open request would be taken for that one's answer.
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n" + "x".repeat(300_000));
        Peers.next(out, "the first request").served("mine");
        assertEquals("mine", client.read().text());
        assertEquals(413, client.read().status());
        assertTrue(client.closed());
    }

    @Test
    void aClientThatAsksFirstIsToldToGoOnInItsTurn() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\n"
                        + "X-Request-Id: b\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n"
                        + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        Peers.next(out, "the first request").served("mine");
        assertEquals("mine", client.read().text());
        assertEquals(100, client.read().status());
        client.write("body");
        Seen second = Peers.next(out, "the second request");
        assertEquals("body", second.message().text());
        second.served("too");
        assertEquals("too", client.read().text());
    }

    @Test
    void manyRequestsSentAheadAreAllAnsweredInOrder() throws Exception {
        // Guards memory: reading stops and goes on again, and no request is closed on.
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        for (int i = 0; i < 300; i++) {
            client.unsafe("id" + i, 20_000);
        }
        for (int i = 0; i < 300; i++) {
            Seen one = Peers.next(out, "request " + i);
            assertEquals("id" + i, one.message().header("x-request-id"));
            one.served("id" + i);
            assertEquals("id" + i, client.read().text());
        }
    }

    @Test
    void aClientThatLeavesIsMissedThoughItSentMuchAhead() throws Exception {
        Server host = host(s -> {});
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        for (int i = 0; i < 40; i++) {
            client.unsafe("id" + i, 20_000);
        }
        Seen first = Peers.next(host.seen, "the first request");
        client.close();
        assertEquals("id0", Peers.next(module.gone, "the client's leaving"));
        first.awaitEnd();
        assertTrue(module.gone.isEmpty(), "the others were never begun");
    }

    @Test
    void aRequestWhoseTimeIsOverInTheQueueIsNotBegun() throws Exception {
        start("");
        BlockingQueue<String> begun = new LinkedBlockingQueue<>();
        module.onRequest = r -> begun.add(r.id());
        Client client = client().unsafe("a", 400).unsafe("b", 100);
        assertEquals(503, client.read().status());
        Message late = client.read();
        assertEquals(503, late.status());
        assertEquals("2", late.header("retry-after"));
        assertEquals("a", Peers.next(begun, "the first"));
        assertTrue(begun.isEmpty());
    }

    @Test
    void aClientThatLeavesTakesItsAttemptAlong() throws Exception {
        Server host = host(s -> {});
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
    void badInputNeverReachesAHost() throws Exception {
        start("");
        module.onRequest = r -> {
            throw new AssertionError("told of " + r);
        };
        String head = "Host: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n";
        assertEquals(400, client().write("nonsense\r\n\r\n").read().status());
        assertEquals(
                404,
                client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        assertEquals(
                400,
                client().write("POST /api HTTP/1.1\r\nHost: h\r\n\r\n").read().status(),
                "no id");
        String post = "POST /api HTTP/1.1\r\n" + head;
        assertEquals(400, client().write(post + "\r\n").read().status(), "no deadline");
        assertEquals(
                400, client().write(post + "X-Deadline-Ms: soon\r\n\r\n").read().status());
        assertEquals(
                400,
                client().write("GET /api HTTP/1.1\r\n" + head + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status(),
                "an unsafe GET");
        assertEquals(
                400,
                client().write(post + "X-Deadline-Ms: 9\r\nX-Tenant: ?\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: ?\r\n"
                                + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                413,
                client().write(post + "X-Deadline-Ms: 9\r\n" + "Content-Length: 40000000\r\n\r\n")
                        .read()
                        .status());
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
    void inACrowdAnAnswerIsTheLastOfItsConnection() throws Exception {
        // 160 descriptors leave room for 56 clients: with more than half of that it is a crowd.
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client kept = client();
        assertNull(kept.unsafe("a", 20_000).read().header("connection"));
        for (int i = 0; i < 40; i++) {
            client();
        }
        // Whoever connects later is accepted later: then all of the crowd are.
        Client late = client();
        assertEquals("close", late.unsafe("b", 20_000).read().header("connection"));
        assertTrue(late.closed());
        assertEquals("close", kept.unsafe("c", 20_000).read().header("connection"));
        assertTrue(kept.closed());
    }
}
