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
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Clients that strain or violate the protocol: idle, incomplete, malformed and pipelined requests. */
class BadClientsTest extends ProxyTestBase {
    @Test
    void longestIdleConnectionClosesAtTheLimit() throws Exception {
        // Guards the descriptor limit, and ordinary clients against hundreds of idle ones.
        startProxy("");
        balancer.onRequest = request -> {};
        List<Client> idleClients = new ArrayList<>();
        Client busy = connectClient().postUnsafe("busy", 20_000);
        for (int i = 0; i < 70; i++) {
            idleClients.add(connectClient());
        }
        balancer.onRequest = request -> balancer.actions.fail(request.id());
        assertEquals(502, connectClient().postUnsafe("id1", 20_000).read().status());
        assertTrue(idleClients.get(0).closed(), "the longest idle connection is closed");
        balancer.actions.fail("busy");
        assertEquals(502, connectClient().postUnsafe("id2", 20_000).read().status());
        assertEquals(502, busy.read().status(), "a connection with an open request stays");
    }

    @Test
    void incompleteRequestTimesOutAndIdleConnectionCloses() throws Exception {
        startProxy("");
        Client silent = connectClient();
        Client half = connectClient().write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhal");
        assertTrue(silent.closed());
        assertEquals(408, half.read().status());
        assertTrue(half.closed());
    }

    @Test
    void ambiguousMessagesAreRejectedAndTheConnectionCloses() throws Exception {
        // Guards against request smuggling: what follows a head with ambiguous framing is never read.
        startProxy("");
        balancer.onRequest = request -> {
            throw new AssertionError("passed to the balancer: " + request);
        };
        String post =
                "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n" + "X-Deadline-Ms: 9000\r\n";
        String smuggled =
                "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Class: safe\r\n" + "X-Deadline-Ms: 9000\r\n\r\n";
        Map<String, Integer> invalidMessages = new LinkedHashMap<>();
        invalidMessages.put(post + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: xchunked\r\n\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
        invalidMessages.put(post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400);
        for (String length : List.of("-1", "+4", "0x4", "4, 4", "4 4", "four", "", "99999999999999999999")) {
            invalidMessages.put(post + "Content-Length: " + length + "\r\n\r\n", 400);
        }
        invalidMessages.put(post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400);
        invalidMessages.put(post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400);
        invalidMessages.put(post + "Content-Length: 40000000\r\n\r\n", 413);
        invalidMessages.put(post + "Content-Length: 60000000\r\n\r\n", 413);
        invalidMessages.put(post + "Expect: wonders\r\nContent-Length: 4\r\n\r\n", 417);
        invalidMessages.put(post + "no colon here\r\n\r\n", 400);
        invalidMessages.put(post + "nocolon\r\n\r\n", 400);
        invalidMessages.put(post + "X-Class : unsafe\r\n\r\n", 400);
        invalidMessages.put(post + "X-Key: a\0b\r\n\r\n", 400);
        invalidMessages.put("GET /api HTTP/2.0\r\nHost: h\r\n\r\n", 400);
        invalidMessages.put("GET  HTTP/1.1\r\n\r\n", 400);
        invalidMessages.put("\0\1\2\r\n\r\n", 400);
        invalidMessages.put("X".repeat(10_000), 414);
        invalidMessages.put(post + ("X-Pad: " + "p".repeat(100) + "\r\n").repeat(200), 431);
        for (Map.Entry<String, Integer> entry : invalidMessages.entrySet()) {
            String excerpt =
                    entry.getKey().substring(0, Math.min(250, entry.getKey().length()));
            Client client = connectClient().write(entry.getKey() + smuggled);
            assertEquals(entry.getValue(), client.read().status(), excerpt);
            assertTrue(client.closed(), excerpt);
        }
    }

    @Test
    void duplicateOrMalformedHeadersAreRejected() throws Exception {
        startProxy("");
        balancer.onRequest = request -> {
            throw new AssertionError("passed to the balancer: " + request);
        };
        String get = "GET /api HTTP/1.1\r\nHost: h\r\n";
        Client client = connectClient();
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
    void duplicateOpenRequestIdIsRejected() throws Exception {
        startProxy("");
        CountDownLatch requestSeen = new CountDownLatch(1);
        balancer.onRequest = request -> requestSeen.countDown();
        Client first = connectClient().postUnsafe("same", 20_000);
        assertTrue(requestSeen.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(400, connectClient().postUnsafe("same", 20_000).read().status());
        balancer.onRequest = request -> {
            balancer.actions.fail("same");
            balancer.actions.refuse(request.id(), 0);
        };
        assertEquals(503, connectClient().postUnsafe("other", 20_000).read().status());
        assertEquals(502, first.read().status());
    }

    @Test
    void errorResponseKeepsThePipelineOrder() throws Exception {
        // Guards the response order: an error written before the open request's response would be taken for that
        // response.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient()
                .postUnsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n" + "x".repeat(300_000));
        StandIns.awaitNext(received, "the first request").respondOk("mine");
        assertEquals("mine", client.read().text());
        assertEquals(413, client.read().status());
        assertTrue(client.closed());
    }

    @Test
    void expectContinueIsAnsweredInPipelineOrder() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient()
                .postUnsafe("a", 20_000)
                .write("POST /api HTTP/1.1\r\nHost: h\r\n"
                        + "X-Request-Id: b\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n"
                        + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        StandIns.awaitNext(received, "the first request").respondOk("mine");
        assertEquals("mine", client.read().text());
        assertEquals(100, client.read().status());
        client.write("body");
        ReceivedRequest second = StandIns.awaitNext(received, "the second request");
        assertEquals("body", second.message().text());
        second.respondOk("too");
        assertEquals("too", client.read().text());
    }

    @Test
    void manyPipelinedRequestsAreAnsweredInOrder() throws Exception {
        // Guards memory: reading pauses and resumes, and no connection is closed with requests unanswered.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < 300; i++) {
            client.postUnsafe("id" + i, 20_000);
        }
        for (int i = 0; i < 300; i++) {
            ReceivedRequest request = StandIns.awaitNext(received, "request " + i);
            assertEquals("id" + i, request.message().header("x-request-id"));
            request.respondOk("id" + i);
            assertEquals("id" + i, client.read().text());
        }
    }

    @Test
    void disconnectBehindPipelinedRequestsIsNoticed() throws Exception {
        Server host = startServer(request -> {});
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < 40; i++) {
            client.postUnsafe("id" + i, 20_000);
        }
        ReceivedRequest first = StandIns.awaitNext(host.received, "the first request");
        client.close();
        assertEquals("id0", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        first.awaitConnectionEnd();
        assertTrue(balancer.abandonedRequests.isEmpty(), "the other requests were never started");
    }

    @Test
    void pipelinedRequestPastItsDeadlineIsNotStarted() throws Exception {
        startProxy("");
        BlockingQueue<String> started = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> started.add(request.id());
        Client client = connectClient().postUnsafe("a", 400).postUnsafe("b", 100);
        assertEquals(503, client.read().status());
        Message late = client.read();
        assertEquals(503, late.status());
        assertEquals("2", late.header("retry-after"));
        assertEquals("a", StandIns.awaitNext(started, "the first request"));
        assertTrue(started.isEmpty());
    }

    @Test
    void disconnectCancelsTheAttempt() throws Exception {
        Server host = startServer(request -> {});
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient().postUnsafe("id1", 20_000);
        ReceivedRequest seen = StandIns.awaitNext(host.received, "the request");
        client.close();
        assertEquals("id1", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end");
        assertEquals(Outcome.CANCELED, end.outcome());
        assertTrue(end.requestDone());
        seen.awaitConnectionEnd();
    }

    @Test
    void invalidRequestsAreNotForwarded() throws Exception {
        startProxy("");
        balancer.onRequest = request -> {
            throw new AssertionError("passed to the balancer: " + request);
        };
        String head = "Host: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n";
        assertEquals(400, connectClient().write("nonsense\r\n\r\n").read().status());
        assertEquals(
                404,
                connectClient()
                        .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("POST /api HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status(),
                "no id");
        String post = "POST /api HTTP/1.1\r\n" + head;
        assertEquals(400, connectClient().write(post + "\r\n").read().status(), "no deadline");
        assertEquals(
                400,
                connectClient()
                        .write(post + "X-Deadline-Ms: soon\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("GET /api HTTP/1.1\r\n" + head + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status(),
                "an unsafe GET");
        assertEquals(
                400,
                connectClient()
                        .write(post + "X-Deadline-Ms: 9\r\nX-Tenant: ?\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                400,
                connectClient()
                        .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: ?\r\n"
                                + "X-Deadline-Ms: 9\r\n\r\n")
                        .read()
                        .status());
        assertEquals(
                413,
                connectClient()
                        .write(post + "X-Deadline-Ms: 9\r\n" + "Content-Length: 40000000\r\n\r\n")
                        .read()
                        .status());
        balancer.onRequest = request -> balancer.actions.fail(request.id());
        assertEquals(502, connectClient().postUnsafe("id1", 20_000).read().status(), "the proxy still serves requests");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        Server host = startServer(request -> request.respondOk(request.message().header("x-request-id")));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client =
                connectClient().postUnsafe("a", 20_000).postUnsafe("b", 20_000).postUnsafe("c", 20_000);
        for (String id : List.of("a", "b", "c")) {
            assertEquals(id, client.read().text());
        }
    }

    @Test
    void responsesCloseConnectionsIfManyClientsAreConnected() throws Exception {
        // 160 descriptors leave room for 56 clients; with more than half of them connected, each response closes its
        // connection.
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client kept = connectClient();
        assertNull(kept.postUnsafe("a", 20_000).read().header("connection"));
        for (int i = 0; i < 40; i++) {
            connectClient();
        }
        // Connections are accepted in order: this response means that the other 40 have been accepted.
        Client late = connectClient();
        assertEquals("close", late.postUnsafe("b", 20_000).read().header("connection"));
        assertTrue(late.closed());
        assertEquals("close", kept.postUnsafe("c", 20_000).read().header("connection"));
        assertTrue(kept.closed());
    }
}
