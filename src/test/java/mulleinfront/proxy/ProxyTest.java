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
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Requests and attempts: what is forwarded to endpoints and what clients get back. */
class ProxyTest extends ProxyTestBase {
    @Test
    void status200IsOk() throws Exception {
        assertEquals(
                Outcome.OK, runAttempt(request -> request.respondOk("x"), 0).outcome());
    }

    @Test
    void bodiesOf64KibPass() throws Exception {
        String largeBody = "x".repeat(64 * 1024);
        Server host = startServer(request -> request.respondOk(request.message().text()));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Message answer = connectClient()
                .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                        + "X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 65536\r\n\r\n" + largeBody)
                .read();
        assertEquals(200, answer.status());
        assertEquals(largeBody, answer.text());
    }

    @Test
    void refusedConnectionIsConnectError() throws Exception {
        ServerSocket closedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closedSocket.close();
        startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + closedSocket.getLocalPort(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> balancer.actions.refuse(attemptEnd.requestId(), 250_000);
        Message answer = connectClient().postUnsafe("id1", 20_000).read();
        assertEquals(
                Outcome.CONNECT_ERROR,
                StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
        assertEquals(503, answer.status());
        assertEquals("0.25", answer.header("retry-after"));
    }

    @Test
    void timeoutCoversConnecting() throws Exception {
        // Guards against an attempt that hangs while connecting; such an attempt was not executed.
        try (FullBacklogEndpoint unresponsive = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", unresponsive.address(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 100_000);
            balancer.onAttemptEnd = attemptEnd -> balancer.actions.refuse(attemptEnd.requestId(), 0);
            assertEquals(503, connectClient().postUnsafe("id1", 20_000).read().status());
            assertEquals(
                    Outcome.CONNECT_ERROR,
                    StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
        }
    }

    @Test
    void nothingIsWrittenToAnEndpointDrainingWhileConnecting() throws Exception {
        // Guards against sending to a draining endpoint: the attempt is decided before the drain, and its connection is
        // established after it.
        try (FullBacklogEndpoint unresponsive = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", unresponsive.address(), "in_service"));
            ReceivedRequest watch = discovery.acceptWatch();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            balancer.onRequest = request -> {
                balancer.actions.send(request.id(), "s", 0);
                sent.add(request.id());
            };
            balancer.onAttemptEnd = attemptEnd -> balancer.actions.refuse(attemptEnd.requestId(), 0);
            Client client = connectClient().postUnsafe("id1", 20_000);
            StandIns.awaitNext(sent, "the decision");
            DiscoveryStandIn.push(
                    watch,
                    StandIns.listJson(2, false, StandIns.endpointJson("s", unresponsive.address(), "terminating")));
            assertEquals("DELTA [s 1 DRAINING]", StandIns.awaitNext(balancer.listEvents, "the drain"));
            unresponsive.acceptPending();
            assertEquals(
                    Outcome.IGNORED,
                    StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
            assertEquals(503, client.read().status());
            assertTrue(unresponsive.endedWithoutData(), "nothing was written");
        }
    }

    @Test
    void requestIsForwardedUnchanged() throws Exception {
        String body = "\0\r\n\u00ff binary";
        Server host = startServer(request ->
                request.respond(200, "Content-Type: a/b\r\n", request.message().text() + "!"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Message answer = connectClient()
                .write("POST /api/x?q=%20a&b HTTP/1.1\r\nHost: origin.svc\r\n"
                        + "X-Request-Id: id1\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Key: k\r\n"
                        + "X-Deadline-Ms: 20000\r\n"
                        + "Idempotency-Key: i-k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .read();
        Message forwarded = StandIns.awaitNext(host.received, "the request").message();
        assertEquals("POST /api/x?q=%20a&b HTTP/1.1", forwarded.startLine());
        assertEquals("id1", forwarded.header("x-request-id"));
        assertEquals("i-k", forwarded.header("idempotency-key"));
        assertNull(forwarded.header("x-hop"), "hop-by-hop headers are not forwarded");
        assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), forwarded.body());
        long deadline = Long.parseLong(forwarded.header("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline < 20_000, "the deadline of the attempt: " + deadline);
        assertEquals(200, answer.status());
        assertEquals(body + "!", answer.text());
        assertEquals("a/b", answer.header("content-type"));
    }

    @Test
    void connectionsAreReusedAndADeadOneIsReset() throws Exception {
        Server host = startServer(request -> {
            if (request.message().header("x-request-id").equals("id2")) {
                request.reset();
            } else {
                request.respondOk("x");
            }
        });
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> balancer.actions.fail(attemptEnd.requestId());
        Client client = connectClient();
        assertEquals(200, client.postUnsafe("id1", 20_000).read().status());
        Thread.sleep(50); // the connection's cool-down after a response
        assertEquals(502, client.postUnsafe("id2", 20_000).read().status());
        assertEquals(
                Outcome.OK,
                StandIns.awaitNext(balancer.attemptEnds, "the first end").outcome());
        assertEquals(
                Outcome.RESET,
                StandIns.awaitNext(balancer.attemptEnds, "the second end").outcome());
        assertEquals(1, host.connections.size());
        assertEquals(2, host.received.size(), "each request was sent once");
    }

    @Test
    void idleConnectionsCloseBeforeTheEndpointClosesThem() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy(",\"connIdleUs\":400000", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        assertEquals(200, connectClient().postUnsafe("id1", 20_000).read().status());
        StandIns.awaitNext(host.received, "the request").awaitConnectionEnd();
    }

    @Test
    void nextAttemptIsSentOnlyAfterThePreviousIsClosed() throws Exception {
        // Guards the limit of one attempt at a time: the first attempt's connection closes before the second is sent.
        Server silent = startServer(request -> {});
        Server other = startServer(request -> request.respondOk("x"));
        startProxy(
                "",
                StandIns.endpointJson("s", silent.address(), "in_service"),
                StandIns.endpointJson("t", other.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 50_000);
        balancer.onAttemptEnd = attemptEnd -> {
            if (attemptEnd.attempt() == 0) {
                balancer.actions.send(attemptEnd.requestId(), "t", 0);
            }
        };
        assertEquals(200, connectClient().getSafe("id1", 20_000).read().status());
        StandIns.awaitNext(silent.received, "the first attempt").awaitConnectionEnd();
        assertEquals(1, other.received.size());
    }

    @Test
    void concurrentAttemptIsNotSent() throws Exception {
        Server silent = startServer(request -> {});
        Server other = startServer(request -> request.respondOk("x"));
        startProxy(
                "",
                StandIns.endpointJson("s", silent.address(), "in_service"),
                StandIns.endpointJson("t", other.address(), "in_service"));
        balancer.onRequest = request -> {
            balancer.actions.send(request.id(), "s", 0);
            balancer.actions.send(request.id(), "t", 0);
        };
        connectClient().postUnsafe("id1", 20_000);
        AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end of the second copy");
        assertEquals(1, end.attempt());
        assertEquals(Outcome.IGNORED, end.outcome());
        assertEquals(0, other.received.size());
    }

    @Test
    void cancelClosesOnlyTheGivenAttempt() throws Exception {
        // Guards the attempt numbers: an attempt that was not sent has a number too, and is not the one in flight.
        Server host = startServer(request -> {});
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> {
            balancer.actions.send(request.id(), "s", 0);
            balancer.actions.send(request.id(), "s", 0);
        };
        balancer.onAttemptEnd = attemptEnd -> {
            if (attemptEnd.attempt() == 1) {
                balancer.actions.cancel(attemptEnd.requestId(), 1);
                balancer.actions.cancel(attemptEnd.requestId(), 0);
            } else {
                balancer.actions.fail(attemptEnd.requestId());
            }
        };
        assertEquals(502, connectClient().postUnsafe("id1", 20_000).read().status());
        assertEquals(
                Outcome.IGNORED,
                StandIns.awaitNext(balancer.attemptEnds, "the end of the second copy")
                        .outcome());
        AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end of the first copy");
        assertEquals(0, end.attempt());
        assertEquals(Outcome.CANCELED, end.outcome());
        assertFalse(end.requestDone());
        assertTrue(balancer.attemptEnds.isEmpty());
    }

    @Test
    void clientIsAnsweredInTimeWhateverTheBalancerDoes() throws Exception {
        Server host = startServer(request -> {});
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        // Without any attempt a refusal is correct; with one in flight, only for a request that is safe to repeat.
        Message withoutAttempt = connectClient().postUnsafe("held", 300).read();
        assertEquals(503, withoutAttempt.status());
        assertEquals("2", withoutAttempt.header("retry-after"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        assertEquals(504, connectClient().postUnsafe("out", 300).read().status());
        assertEquals(503, connectClient().getSafe("safe", 300).read().status());
    }

    @Test
    void attemptAfterTheFinalAnswerIsNotSent() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> {
            balancer.actions.refuse(request.id(), 0);
            balancer.actions.send(request.id(), "s", 0);
        };
        assertEquals(503, connectClient().postUnsafe("id1", 20_000).read().status());
        AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end");
        assertEquals(Outcome.IGNORED, end.outcome());
        assertTrue(end.requestDone());
        assertEquals(0, host.received.size());
    }

    @Test
    void throwingBalancerLosesNoRequest() throws Exception {
        startProxy("");
        balancer.onRequest = request -> {
            throw new IllegalStateException("simulated defect");
        };
        assertEquals(503, connectClient().postUnsafe("id1", 300).read().status());
        balancer.onRequest = request -> balancer.actions.fail(request.id());
        assertEquals(502, connectClient().postUnsafe("id2", 20_000).read().status());
    }

    @Test
    void probeOutcomeIsReported() throws Exception {
        Server host = startServer(request ->
                request.respond(request.message().startLine().startsWith("GET /-/healthy ") ? 200 : 404, "", ""));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> {
            balancer.actions.probe("s");
            balancer.actions.fail(request.id());
        };
        connectClient().postUnsafe("id1", 20_000).read();
        assertEquals(Outcome.OK, StandIns.awaitNext(balancer.probeOutcomes, "the probe's end"));
    }

    /** Guards against a connection that stays open for ever: nothing else limits the time of a probe. */
    @Test
    void probeWhoseResponseStopsBehindItsHeadTimesOut() throws Exception {
        Server host = startServer(request -> request.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
        startProxy(
                "",
                config -> config.replace("\"dialTimeoutUs\":20000000", "\"dialTimeoutUs\":300000"),
                StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> {
            balancer.actions.probe("s");
            balancer.actions.fail(request.id());
        };
        connectClient().getSafe("a", 20_000).read();
        assertEquals(Outcome.TIMED_OUT, StandIns.awaitNext(balancer.probeOutcomes, "the probe's end"));
        StandIns.awaitNext(host.received, "the probe").awaitConnectionEnd();
    }
}
