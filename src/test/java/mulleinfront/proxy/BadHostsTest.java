package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Malformed, late and missing responses, and the attempt outcome that follows from each. */
class BadHostsTest extends ProxyTestBase {
    @Test
    void status500IsFailed() throws Exception {
        assertEquals(
                Outcome.FAILED,
                runAttempt(request -> request.respond(500, "", "x"), 0).outcome());
    }

    @Test
    void plain503IsFailed() throws Exception {
        // Guards against executing a request twice: a 503 from an intermediary says nothing about the endpoint.
        assertEquals(
                Outcome.FAILED,
                runAttempt(request -> request.respond(503, "", ""), 0).outcome());
    }

    @Test
    void notRun503IsQueueFull() throws Exception {
        assertEquals(
                Outcome.QUEUE_FULL,
                runAttempt(ReceivedRequest::respondNotExecuted, 0).outcome());
    }

    @Test
    void notRun504IsQueueFull() throws Exception {
        assertEquals(
                Outcome.QUEUE_FULL,
                runAttempt(request -> request.respond(504, "X-Not-Run: 1\r\n", ""), 0)
                        .outcome());
    }

    @Test
    void loadReportPrecedesTheOutcomeOfItsAttempt() throws Exception {
        runAttempt(request -> request.respond(200, "X-Load: {\"outstanding\":4.5}\r\n", "x"), 0);
        assertEquals("s holds 4.5", balancer.reportsAndOutcomes.poll());
        assertEquals("OK", balancer.reportsAndOutcomes.poll());
    }

    @Test
    void notRunResponseMayCarryALoadReport() throws Exception {
        runAttempt(request -> request.respond(503, "X-Not-Run: 1\r\nX-Load: {\"inflight\":0}\r\n", ""), 0);
        assertEquals("s holds 0.0", balancer.reportsAndOutcomes.poll());
        assertEquals("QUEUE_FULL", balancer.reportsAndOutcomes.poll());
    }

    @Test
    void malformedLoadReportIsIgnored() throws Exception {
        // Guards against a malformed load report failing the valid response that carries it.
        assertEquals(
                Outcome.OK,
                runAttempt(request -> request.respond(200, "X-Load: {\"outstanding\":\r\n", "x"), 0)
                        .outcome());
        assertEquals("OK", balancer.reportsAndOutcomes.poll());
    }

    @Test
    void notRunHeaderOn500IsFailed() throws Exception {
        assertEquals(
                Outcome.FAILED,
                runAttempt(request -> request.respond(500, "X-Not-Run: 1\r\n", ""), 0)
                        .outcome());
    }

    @Test
    void resetAfterTheRequestIsReset() throws Exception {
        assertEquals(Outcome.RESET, runAttempt(ReceivedRequest::reset, 0).outcome());
    }

    @Test
    void truncatedResponseIsReset() throws Exception {
        assertEquals(
                Outcome.RESET,
                runAttempt(
                                request -> {
                                    request.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                                    request.reset();
                                },
                                0)
                        .outcome());
    }

    @Test
    void malformedResponsesFailAndAreNotForwarded() throws Exception {
        // Guards against serving a truncated or ambiguously framed response.
        String ok = "HTTP/1.1 200 OK\r\n";
        List<String> malformed = List.of(
                "\0\1garbage\r\n\r\n",
                "ICY 200 OK\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na",
                "HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\na",
                ok + "no colon here\r\nContent-Length: 1\r\n\r\na",
                ok + "nocolon\r\nContent-Length: 1\r\n\r\na",
                ok + "\r\nno length",
                ok + "Content-Length: -1\r\nContent-Length: 1\r\n\r\na",
                ok + "Content-Length: 1\r\nContent-Length: 3\r\n\r\nabc",
                ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
                ok + "Content-Length: +1\r\n\r\na",
                ok + "Content-Length: 1, 1\r\n\r\na",
                ok + "Content-Length: 3000000000\r\n\r\na",
                ok + "Content-Length: 40000000\r\n\r\n",
                ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
                ok + "X-Pad: p\r\n".repeat(2000),
                "HTTP/1.1 101 Switching\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n".repeat(30) + ok + "Content-Length: 1\r\n\r\na",
                "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na");
        Server host = startServer(request ->
                request.write(malformed.get(Integer.parseInt(request.message().header("x-request-id")))));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> {
            if (!attemptEnd.requestDone()) {
                balancer.actions.fail(attemptEnd.requestId());
            }
        };
        Client client = connectClient();
        for (int i = 0; i < malformed.size(); i++) {
            String excerpt =
                    malformed.get(i).substring(0, Math.min(80, malformed.get(i).length()));
            assertEquals(502, client.postUnsafe("" + i, 20_000).read().status(), excerpt);
            assertEquals(
                    Outcome.FAILED,
                    StandIns.awaitNext(balancer.attemptEnds, "an end").outcome(),
                    excerpt);
            StandIns.awaitNext(host.received, "the request").awaitConnectionEnd();
        }
    }

    @Test
    void bytesBesideAValidResponseAreDiscarded() throws Exception {
        String complete = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        List<String> validResponses = List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + complete,
                complete + complete,
                complete + "noise that has no end",
                complete + "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Load: %%%\r\nContent-Length: 1\r\nX-Load: {\"\r\n\r\na",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n");
        Server host = startServer(request -> request.write(
                validResponses.get(Integer.parseInt(request.message().header("x-request-id")))));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient();
        for (int i = 0; i < validResponses.size(); i++) {
            Message answer = client.postUnsafe("" + i, 20_000).read();
            assertEquals(200, answer.status(), validResponses.get(i));
            assertEquals("a", answer.text(), validResponses.get(i));
        }
    }

    @Test
    void unsolicitedBytesCloseAnIdleConnection() throws Exception {
        // Guards against reusing a connection with unread bytes: a stray response would answer another request, and
        // other bytes would corrupt its response.
        Server host = startServer(request -> request.respondOk(request.message().header("x-request-id")));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient();
        for (String late : List.of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", "no", "\r\n")) {
            String id = "id" + late.length();
            assertEquals(id, client.postUnsafe(id, 20_000).read().text());
            ReceivedRequest seen = StandIns.awaitNext(host.received, "the request");
            seen.write(late);
            seen.awaitConnectionEnd();
        }
        assertEquals("last", client.postUnsafe("last", 20_000).read().text());
    }

    @Test
    void missingResponseTimesOutAndClosesTheConnection() throws Exception {
        BlockingQueue<ReceivedRequest> seen = new LinkedBlockingQueue<>();
        assertEquals(Outcome.TIMED_OUT, runAttempt(seen::add, 50_000).outcome());
        StandIns.awaitNext(seen, "the request").awaitConnectionEnd();
    }

    @Test
    void connectionsAreNotReusedPastTheEndpointsIdleTimeout() throws Exception {
        // Guards against repeated resets: after a reset of an idle connection, connections idle for as long are not
        // reused.
        Map<Socket, Long> served = new ConcurrentHashMap<>();
        Server host = startServer(request -> {
            Long last = served.put(request.socket(), System.nanoTime());
            if (last != null && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(200)) {
                request.reset();
            } else {
                request.respondOk("x");
            }
        });
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> {
            if (!attemptEnd.requestDone()) {
                balancer.actions.fail(attemptEnd.requestId());
            }
        };
        Client client = connectClient();
        assertEquals(200, client.postUnsafe("id1", 20_000).read().status());
        Thread.sleep(400);
        assertEquals(
                502, client.postUnsafe("id2", 20_000).read().status(), "the first request on a reset connection fails");
        assertEquals(200, client.postUnsafe("id3", 20_000).read().status());
        Thread.sleep(800);
        assertEquals(200, client.postUnsafe("id4", 20_000).read().status(), "a new connection is used");
    }

    @Test
    void fewConnectionResetsAreNoConnectError() throws Exception {
        // Guards against taking a reachable endpoint for unreachable because a few of its new connections are reset.
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread resets = new Thread(() -> {
                try {
                    while (true) {
                        Socket connection = listening.accept();
                        accepted.incrementAndGet();
                        connection.setSoLinger(true, 0);
                        connection.close();
                    }
                } catch (IOException e) {
                    // the server socket was closed at the end of the test
                }
            });
            resets.setDaemon(true);
            resets.start();
            startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            balancer.onAttemptEnd = attemptEnd -> balancer.actions.fail(attemptEnd.requestId());
            Client client = connectClient();
            for (int i = 0; i < 20; i++) {
                int acceptedBefore = accepted.get();
                assertEquals(502, client.postUnsafe("id" + i, 20_000).read().status());
                Outcome outcome =
                        StandIns.awaitNext(balancer.attemptEnds, "the end").outcome();
                // The outcome depends on when the reset arrives; only a third reset in a row means an unreachable
                // endpoint.
                assertTrue(outcome == Outcome.RESET || accepted.get() - acceptedBefore >= 3, outcome + " at once");
            }
        }
    }
}
