package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Races between list updates, connections to endpoints and attempts, in an order set by the test. */
class EndpointRaceTest extends ProxyTestBase {
    /** Sends a request of the keyed class. */
    private static Client sendKeyed(Client client, String id) throws Exception {
        return client.write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: keyed\r\nX-Deadline-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
    }

    @Test
    void retryConnectedAfterTheDeduplicationWindowIsNotSent() throws Exception {
        // Guards against a duplicate: the deduplication window is open when the retry is decided, and over when the
        // retry could be written.
        long windowMs = 400;
        Server first = startServer(ReceivedRequest::reset);
        try (FullBacklogEndpoint second = new FullBacklogEndpoint()) {
            startProxy(
                    "",
                    c -> c.replace("\"dedupWindowUs\":20000000", "\"dedupWindowUs\":" + windowMs * 1000),
                    StandIns.endpointJson("s", first.address(), "in_service"),
                    StandIns.endpointJson("t", second.address(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            balancer.onAttemptEnd = attemptEnd -> {
                if (attemptEnd.attempt() == 0) {
                    balancer.actions.send(attemptEnd.requestId(), "t", 0);
                } else {
                    balancer.actions.fail(attemptEnd.requestId());
                }
            };
            Client client = sendKeyed(connectClient(), "id1");
            assertEquals(
                    Outcome.RESET,
                    StandIns.awaitNext(balancer.attemptEnds, "the end of the first attempt")
                            .outcome());
            long windowEndsAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(windowMs);
            while (System.nanoTime() < windowEndsAtNanos) {
                Thread.onSpinWait();
            }
            second.acceptPending();
            assertEquals(
                    Outcome.IGNORED,
                    StandIns.awaitNext(balancer.attemptEnds, "the end of the second attempt")
                            .outcome());
            assertEquals(502, client.read().status(), "it may have run: no refusal");
            assertTrue(second.endedWithoutData(), "nothing was written");
        }
    }

    @Test
    void endpointMovedWhileConnectingIsReachedAtItsNewAddress() throws Exception {
        // Guards against sending to an unlisted endpoint: no listed endpoint is at the old address any more.
        Server after = startServer(request -> request.respondOk("there"));
        try (FullBacklogEndpoint before = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", before.address(), "in_service"));
            ReceivedRequest watch = discovery.acceptWatch();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            balancer.onRequest = request -> {
                balancer.actions.send(request.id(), "s", 0);
                sent.add(request.id());
            };
            Client client = connectClient().postUnsafe("id1", 20_000);
            StandIns.awaitNext(sent, "the decision");
            DiscoveryStandIn.push(
                    watch, StandIns.listJson(2, false, StandIns.endpointJson("s", after.address(), "in_service")));
            assertEquals("DELTA [s 1 READY]", StandIns.awaitNext(balancer.listEvents, "the move"));
            before.acceptPending();
            assertEquals("there", client.read().text());
            assertTrue(before.endedWithoutData(), "nothing was written to the old address");
            AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end");
            assertEquals(Outcome.OK, end.outcome());
            assertEquals(0, end.attempt(), "there was only one attempt");
        }
    }

    @Test
    void connectionToAMovedEndpointIsNotReused() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server before = startServer(received::add);
        Server after = startServer(request -> request.respondOk("there"));
        startProxy("", StandIns.endpointJson("s", before.address(), "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient().postUnsafe("id1", 20_000);
        ReceivedRequest inFlight = StandIns.awaitNext(received, "the request");
        DiscoveryStandIn.push(
                watch, StandIns.listJson(2, false, StandIns.endpointJson("s", after.address(), "in_service")));
        assertEquals("DELTA [s 1 READY]", StandIns.awaitNext(balancer.listEvents, "the move"));
        inFlight.respondOk("here");
        assertEquals("here", client.read().text(), "the request in flight is served");
        inFlight.awaitConnectionEnd();
        assertEquals("there", client.postUnsafe("id2", 20_000).read().text());
        assertEquals(1, before.received.size());
    }

    /** Sends part of a request whose body is too large to buffer and is therefore forwarded as it arrives. */
    private static Client sendPartially(Client client, String id, int length, int sentLength) throws Exception {
        return client.write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 20000\r\nContent-Length: " + length + "\r\n\r\n" + "b".repeat(sentLength));
    }

    @Test
    void partlySentRequestCompletesAtADrainingEndpoint() throws Exception {
        // The attempt in flight completes; later requests are not sent to the draining endpoint.
        int length = 200_000;
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + listening.getLocalPort();
            startProxy("", StandIns.endpointJson("s", address, "in_service"));
            ReceivedRequest watch = discovery.acceptWatch();
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            balancer.onAttemptEnd = attemptEnd -> {
                if (!attemptEnd.requestDone()) {
                    balancer.actions.refuse(attemptEnd.requestId(), 0);
                }
            };
            Client client = sendPartially(connectClient(), "a", length, length / 2);
            try (Socket host = listening.accept()) {
                InputStream in = new BufferedInputStream(host.getInputStream());
                assertEquals("a", StandIns.readHead(in).header("x-request-id"));
                assertEquals(length / 2, in.readNBytes(length / 2).length);
                DiscoveryStandIn.push(
                        watch, StandIns.listJson(2, false, StandIns.endpointJson("s", address, "terminating")));
                assertEquals("DELTA [s 1 DRAINING]", StandIns.awaitNext(balancer.listEvents, "the drain"));
                assertEquals(503, connectClient().getSafe("b", 20_000).read().status());
                assertEquals(
                        Outcome.IGNORED,
                        StandIns.awaitNext(balancer.attemptEnds, "the end of the other attempt")
                                .outcome());
                client.write("b".repeat(length / 2));
                assertEquals(length / 2, in.readNBytes(length / 2).length);
                host.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".getBytes());
                assertEquals("x", client.read().text());
                assertEquals(-1, in.read(), "nothing more arrives on this connection");
            }
            listening.setSoTimeout(100);
            assertThrows(IOException.class, listening::accept, "no other connection is opened");
        }
    }

    @Test
    void retryIsNotSentToAnEndpointDrainingMeanwhile() throws Exception {
        Server first = startServer(ReceivedRequest::respondNotExecuted);
        try (FullBacklogEndpoint second = new FullBacklogEndpoint()) {
            startProxy(
                    "",
                    StandIns.endpointJson("f", first.address(), "in_service"),
                    StandIns.endpointJson("s", second.address(), "in_service"));
            ReceivedRequest watch = discovery.acceptWatch();
            balancer.onRequest = request -> balancer.actions.send(request.id(), "f", 0);
            balancer.onAttemptEnd = attemptEnd -> {
                if (attemptEnd.attempt() == 0) {
                    balancer.actions.send(attemptEnd.requestId(), "s", 0);
                } else {
                    balancer.actions.refuse(attemptEnd.requestId(), 0);
                }
            };
            Client client = connectClient().postUnsafe("a", 20_000);
            assertEquals(
                    Outcome.QUEUE_FULL,
                    StandIns.awaitNext(balancer.attemptEnds, "the end of the first attempt")
                            .outcome());
            DiscoveryStandIn.push(
                    watch, StandIns.listJson(2, false, StandIns.endpointJson("s", second.address(), "terminating")));
            assertEquals("DELTA [s 1 DRAINING]", StandIns.awaitNext(balancer.listEvents, "the drain"));
            second.acceptPending();
            assertEquals(
                    Outcome.IGNORED,
                    StandIns.awaitNext(balancer.attemptEnds, "the end of the second attempt")
                            .outcome());
            assertEquals(503, client.read().status());
            assertTrue(second.endedWithoutData(), "nothing was written");
        }
    }

    @Test
    void earlyResponseEndsTheRequest() throws Exception {
        int length = 1_000_000;
        Map<String, Integer> answers = new LinkedHashMap<>();
        answers.put("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 200);
        answers.put("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503);
        answers.put("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", 502);
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            balancer.onAttemptEnd = attemptEnd -> {
                if (!attemptEnd.requestDone() && attemptEnd.outcome().neverRan()) {
                    balancer.actions.refuse(attemptEnd.requestId(), 0);
                } else if (!attemptEnd.requestDone()) {
                    balancer.actions.fail(attemptEnd.requestId());
                }
            };
            int id = 0;
            for (Map.Entry<String, Integer> entry : answers.entrySet()) {
                Client client = sendPartially(connectClient(), "a" + id, length, 100_000);
                try (Socket host = listening.accept()) {
                    InputStream in = new BufferedInputStream(host.getInputStream());
                    assertEquals("a" + id++, StandIns.readHead(in).header("x-request-id"));
                    assertEquals(100_000, in.readNBytes(100_000).length);
                    host.getOutputStream().write(entry.getKey().getBytes());
                    Message answer = client.read();
                    assertEquals(entry.getValue(), answer.status());
                    assertEquals(
                            "close",
                            answer.header("connection"),
                            "a later request can't be told from the rest of the body");
                    client.write("b".repeat(1_000));
                    assertTrue(client.closed());
                    assertEquals(-1, in.read(), "its connection is not used again, and the rest was not written");
                }
            }
            assertEquals(3, balancer.attemptEnds.size(), "one attempt each");
        }
    }

    @Test
    void restartedEndpointWithANewIdIsAnotherEndpoint() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server before = startServer(received::add);
        Server after = startServer(request -> request.respondOk("after"));
        startProxy("", StandIns.endpointJson("s", before.address(), "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        BlockingQueue<AttemptEnd> unsentEnds = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> {
            if (attemptEnd.requestDone()) {
                return;
            }
            if (attemptEnd.requestId().equals("unsafe")) {
                balancer.actions.fail(attemptEnd.requestId());
            } else if (attemptEnd.outcome() == Outcome.RESET) {
                balancer.actions.send(attemptEnd.requestId(), "s", 0);
            } else {
                unsentEnds.add(attemptEnd);
            }
        };
        Client safe = connectClient().getSafe("safe", 20_000);
        ReceivedRequest first = StandIns.awaitNext(received, "the safe request");
        Client unsafe = connectClient().postUnsafe("unsafe", 20_000);
        ReceivedRequest second = StandIns.awaitNext(received, "the unsafe request");
        before.stopListening();
        first.reset();
        assertEquals(
                Outcome.CONNECT_ERROR,
                StandIns.awaitNext(unsentEnds, "the end of the attempt at the removed endpoint")
                        .outcome());
        // One list update removes the endpoint and adds another while an attempt is still in flight at the first.
        DiscoveryStandIn.push(
                watch,
                StandIns.listJson(
                        2,
                        false,
                        StandIns.endpointJson("s", before.address(), "terminated"),
                        StandIns.endpointJson("t", after.address(), "in_service")));
        assertEquals("DELTA [s 1 GONE, t 1 READY]", StandIns.awaitNext(balancer.listEvents, "the replacement"));
        second.reset();
        assertEquals(502, unsafe.read().status(), "it may have run, so it is not sent again");
        balancer.onRequest = request -> {
            balancer.actions.send("safe", "t", 0);
            balancer.actions.send(request.id(), "s", 0);
        };
        Client other = connectClient().getSafe("other", 20_000);
        assertEquals("after", safe.read().text());
        AttemptEnd end = StandIns.awaitNext(unsentEnds, "the end of the attempt at the old id");
        assertEquals("other", end.requestId());
        assertEquals(Outcome.IGNORED, end.outcome());
        balancer.onRequest = request -> {
            balancer.actions.send("other", "t", 0);
            balancer.actions.refuse(request.id(), 0);
        };
        assertEquals(503, connectClient().getSafe("last", 20_000).read().status());
        assertEquals("after", other.read().text());
        assertEquals(2, before.received.size());
        assertEquals(2, after.received.size());
    }

    @Test
    void newIdAtTheSameAddressGetsANewConnection() throws Exception {
        // Connections to the earlier process are closed, and its successor is treated as a new endpoint.
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        assertEquals(200, connectClient().getSafe("a", 20_000).read().status());
        ReceivedRequest first = StandIns.awaitNext(host.received, "the first request");
        DiscoveryStandIn.push(
                watch, StandIns.listJson(2, true, StandIns.endpointJson("t", host.address(), "in_service")));
        assertEquals("FULL [t 1 READY]", StandIns.awaitNext(balancer.listEvents, "the replacement"));
        first.awaitConnectionEnd();
        balancer.onRequest = request -> balancer.actions.send(request.id(), "t", 0);
        assertEquals(200, connectClient().getSafe("b", 20_000).read().status());
        assertEquals(2, host.connections.size());
    }
}
