package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.core.Wire;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/**
 * No attempt starts for a client that has disconnected, whatever the event loop was doing at that time. The tests block
 * the loop inside a balancer callback while the client disconnects, so that the disconnect has arrived but has not been
 * read.
 */
class ClientDisconnectTest extends ProxyTestBase {
    private final BlockingQueue<String> blockedAt = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> sentRequests = new LinkedBlockingQueue<>();
    private final CountDownLatch release = new CountDownLatch(1);

    /** Closes a connection and returns once the proxy's system has received all of it, including the close. */
    private static void disconnect(Client client) throws Exception {
        client.socket.setSoLinger(true, (int) StandIns.TIMEOUT_S);
        client.close();
    }

    /** Blocks the event loop until the test releases it. */
    private void blockLoop(String requestId) {
        blockedAt.add(requestId);
        try {
            assertTrue(release.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void blockAtTheBlockerAndSendOthers() {
        balancer.onRequest = request -> {
            if (request.id().equals("blocker")) {
                blockLoop(request.id());
                balancer.actions.refuse(request.id(), 0);
            } else {
                balancer.actions.send(request.id(), "s", 0);
                sentRequests.add(request.id());
            }
        };
    }

    /** Sends a request that blocks the event loop and is refused after that. */
    private Client sendBlocker() throws Exception {
        Client blocker = connectClient().getSafe("blocker", 20_000);
        assertEquals("blocker", StandIns.awaitNext(blockedAt, "the blocked event loop"));
        return blocker;
    }

    private static String getRequest(String id) {
        return "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n"
                + "X-Pad: " + "p".repeat(1_000) + "\r\n\r\n";
    }

    /** Sends a request and checks that it is the next to reach the server: by then all earlier attempts would have. */
    private void assertNextSentIs(Server host, String id) throws Exception {
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        assertEquals(200, connectClient().getSafe(id, 20_000).read().status());
        assertEquals(
                id,
                StandIns.awaitNext(host.received, "the request").message().header("x-request-id"),
                "no other request was sent before");
    }

    private Server startWithServer() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        openCooledDownConnection(host);
        return host;
    }

    /** Leaves an idle connection past its cool-down, so that the next attempt is written as soon as it is decided. */
    private void openCooledDownConnection(Server host) throws Exception {
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        assertEquals(200, connectClient().getSafe("warm", 20_000).read().status());
        long cooledDownAtNanos = System.nanoTime() + 2_000 * Wire.CONNECTION_COOL_DOWN_US;
        StandIns.awaitNext(host.received, "the request that opens a connection");
        StandIns.awaitNext(balancer.attemptEnds, "its end");
        while (System.nanoTime() < cooledDownAtNanos) {
            Thread.onSpinWait();
        }
    }

    @Test
    void noAttemptAfterADisconnectDuringTheDecision() throws Exception {
        Server host = startWithServer();
        balancer.onRequest = request -> {
            blockLoop(request.id());
            balancer.actions.send(request.id(), "s", 0);
        };
        Client client = connectClient().postUnsafe("a", 20_000);
        assertEquals("a", StandIns.awaitNext(blockedAt, "the decision"));
        disconnect(client);
        release.countDown();
        assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        AttemptEnd end = StandIns.awaitNext(balancer.attemptEnds, "the end");
        assertEquals(Outcome.IGNORED, end.outcome());
        assertTrue(end.requestDone(), "no retry follows");
        assertNextSentIs(host, "b");
        assertTrue(balancer.abandonedRequests.isEmpty(), "the disconnect is reported once");
    }

    @Test
    void noAttemptAfterADisconnectBeforeTheRequestIsRead() throws Exception {
        Server host = startWithServer();
        blockAtTheBlockerAndSendOthers();
        Client blocker = sendBlocker();
        for (int i = 0; i < 20; i++) {
            disconnect(connectClient().postUnsafe("a" + i, 20_000));
        }
        release.countDown();
        assertEquals(503, blocker.read().status());
        for (int i = 0; i < 20; i++) {
            assertTrue(StandIns.awaitNext(balancer.abandonedRequests, "a client's disconnect")
                    .startsWith("a"));
        }
        assertNextSentIs(host, "b");
    }

    @Test
    void noAttemptForPipelinedRequestsAfterADisconnect() throws Exception {
        Server host = startWithServer();
        blockAtTheBlockerAndSendOthers();
        Client blocker = sendBlocker();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 30; i++) {
            pipelined.append(getRequest("a" + i));
        }
        disconnect(connectClient().write(pipelined.toString()));
        release.countDown();
        assertEquals(503, blocker.read().status());
        assertEquals("a0", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        assertNextSentIs(host, "b");
    }

    @Test
    void noRetryAfterADisconnect() throws Exception {
        Server first = startServer(ReceivedRequest::reset);
        Server second = startServer(request -> request.respondOk("x"));
        startProxy(
                "",
                StandIns.endpointJson("f", first.address(), "in_service"),
                StandIns.endpointJson("s", second.address(), "in_service"));
        openCooledDownConnection(second);
        balancer.onRequest = request -> balancer.actions.send(request.id(), "f", 0);
        balancer.onAttemptEnd = attemptEnd -> {
            if (attemptEnd.attempt() == 0 && attemptEnd.requestId().equals("a")) {
                blockLoop(attemptEnd.requestId());
                balancer.actions.send(attemptEnd.requestId(), "s", 0);
            }
        };
        Client client = connectClient().getSafe("a", 20_000);
        assertEquals("a", StandIns.awaitNext(blockedAt, "the second decision"));
        disconnect(client);
        release.countDown();
        assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        assertEquals(
                Outcome.RESET,
                StandIns.awaitNext(balancer.attemptEnds, "the end of the first attempt")
                        .outcome());
        assertEquals(
                Outcome.IGNORED,
                StandIns.awaitNext(balancer.attemptEnds, "the end of the second attempt")
                        .outcome());
        assertNextSentIs(second, "b");
    }

    @Test
    void nothingIsWrittenAfterADisconnectWhileConnecting() throws Exception {
        try (FullBacklogEndpoint host = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
            blockAtTheBlockerAndSendOthers();
            Client client = connectClient().postUnsafe("a", 20_000);
            assertEquals("a", StandIns.awaitNext(sentRequests, "the decision"));
            Client blocker = sendBlocker();
            host.acceptPending();
            disconnect(client);
            release.countDown();
            assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
            assertTrue(host.endedWithoutData(), "nothing was written");
            assertEquals(503, blocker.read().status());
        }
    }

    @Test
    void noAttemptForAQueuedRequestAfterADisconnectDuringTheDrain() throws Exception {
        Server host = startWithServer();
        BlockingQueue<String> queued = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> {
            if (request.id().equals("blocker")) {
                blockLoop(request.id());
                balancer.actions.refuse(request.id(), 0);
                balancer.actions.send("a", "s", 0);
            } else {
                queued.add(request.id());
            }
        };
        Client client = connectClient().postUnsafe("a", 20_000);
        assertEquals("a", StandIns.awaitNext(queued, "the queued request"));
        Future<?> shutdown = proxy.drain();
        assertEquals(
                "close",
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        Client blocker = sendBlocker();
        disconnect(client);
        release.countDown();
        assertEquals(503, blocker.read().status());
        assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the client's disconnect"));
        assertTrue(shutdown.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        proxy = null;
        assertTrue(host.received.isEmpty(), "no attempt was sent");
    }

    @Test
    void disconnectBehindABufferedBodyIsNoticed() throws Exception {
        // Guards against a missed disconnect: the proxy stops reading until an attempt takes the body.
        startProxy("");
        BlockingQueue<String> accepted = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> accepted.add(request.id());
        Client client = connectClient()
                .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n"
                        + "X-Deadline-Ms: 20000\r\nContent-Length: 1000000\r\n\r\n");
        client.write("b".repeat(400_000));
        assertEquals("a", StandIns.awaitNext(accepted, "the request of the client that disconnects"));
        Client stays = connectClient().getSafe("stays", 4_000);
        assertEquals("stays", StandIns.awaitNext(accepted, "the request of the client that stays"));
        disconnect(client);
        assertEquals(
                "a",
                StandIns.awaitNext(
                        balancer.abandonedRequests, "the disconnect, long before the other client's deadline"));
        assertEquals(503, stays.read().status());
    }

    @Test
    void disconnectBehindMoreThanIsBufferedIsNoticed() throws Exception {
        startProxy("");
        BlockingQueue<String> accepted = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> accepted.add(request.id());
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 4_000; i++) {
            pipelined.append(getRequest("a" + i));
        }
        Client client = connectClient().write(getRequest("a"));
        assertEquals("a", StandIns.awaitNext(accepted, "the first request"));
        client.write(pipelined.toString());
        Client stays = connectClient().getSafe("stays", 4_000);
        assertEquals("stays", StandIns.awaitNext(accepted, "the request of the client that stays"));
        client.close();
        assertEquals(
                "a",
                StandIns.awaitNext(
                        balancer.abandonedRequests, "the disconnect, long before the other client's deadline"));
        assertEquals(503, stays.read().status());
        assertNull(accepted.poll(), "its pipelined requests were never started");
    }

    @Test
    void requestsBeyondTheBufferAreRefusedInOrder() throws Exception {
        // At the memory limit each request still gets one answer, in order, and a refused request is never forwarded.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(request -> {
            if (request.message().header("x-request-id").equals("a")) {
                received.add(request);
            } else {
                request.respondOk(request.message().header("x-request-id"));
            }
        });
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient().write(getRequest("a"));
        ReceivedRequest first = StandIns.awaitNext(received, "the first request");
        int count = 4_000;
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < count; i++) {
            pipelined.append(getRequest("a" + i));
        }
        client.write(pipelined.toString());
        first.respondOk("a");
        assertEquals("a", client.read().text());
        int served = 0;
        for (int i = 0; i < count; i++) {
            Message answer = client.read();
            if (answer.status() == 200) {
                assertEquals("a" + i, answer.text(), "in order");
                served++;
            } else {
                assertEquals(503, answer.status());
                assertNotNull(answer.header("retry-after"));
            }
            assertNull(answer.header("connection"), "its connection stays open");
        }
        assertEquals(served + 1, host.received.size(), "refused requests were not sent");
        assertTrue(served >= 400, "requests within the buffer limit are served: " + served);
        assertEquals("b", client.getSafe("b", 20_000).read().text());
    }

    @Test
    void immediateRepeatIsServedAndTheFirstTryCancelled() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        blockAtTheBlockerAndSendOthers();
        Client client = connectClient().postUnsafe("a", 20_000);
        ReceivedRequest first = StandIns.awaitNext(received, "the first try");
        Client blocker = sendBlocker();
        disconnect(client);
        Client again = connectClient().postUnsafe("a2", 20_000);
        release.countDown();
        assertEquals(503, blocker.read().status());
        ReceivedRequest second = StandIns.awaitNext(received, "the second try");
        assertEquals("a2", second.message().header("x-request-id"));
        first.awaitConnectionEnd();
        second.respondOk("x");
        assertEquals(200, again.read().status());
        assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the disconnect of the first client"));
        assertEquals(2, host.received.size());
        assertTrue(balancer.abandonedRequests.isEmpty());
    }
}
