package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Requests in each stage when the process is asked to shut down: every request gets exactly one final answer. */
class ShutdownTest extends ProxyTestBase {
    private final BlockingQueue<String> accepted = new LinkedBlockingQueue<>();
    private Future<?> shutdown;
    /** Below the 20 s that clients here wait, and above the 3.7 s that remain after SIGTERM. */
    private static final long SHUTDOWN_BOUND_NANOS = TimeUnit.SECONDS.toNanos(15);

    private void sendAll(String host) {
        balancer.onRequest = request -> {
            balancer.actions.send(request.id(), host, 0);
            accepted.add(request.id());
        };
    }

    private static void assertFinalResponse(Client client, int status) throws Exception {
        Message answer = client.read();
        assertEquals(status, answer.status());
        assertEquals("close", answer.header("connection"));
        assertEquals(-1, client.in.read());
    }

    private void awaitShutdown() throws Exception {
        assertTrue(shutdown.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS), "the shutdown ends");
        proxy = null;
    }

    private void startDrain() {
        shutdown = proxy.drain();
    }

    @Test
    void halfReadRequestIsReadAndServed() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        String firstPart =
                "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n"
                        + "Content-Length: 4\r\n\r\nbo";
        Client client = connectClient().write(firstPart);
        // Connections accepted later are read later: this response means that the half request has been read.
        assertEquals(
                404,
                connectClient()
                        .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status());
        startDrain();
        client.write("dy");
        assertEquals("a", StandIns.awaitNext(accepted, "the request"));
        assertFinalResponse(client, 200);
        awaitShutdown();
    }

    @Test
    void queuedRequestIsSentDuringTheDrain() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> accepted.add(request.id());
        Client client = connectClient().postUnsafe("a", 20_000);
        StandIns.awaitNext(accepted, "the request");
        startDrain();
        // The drain has begun once a response on a new connection closes it.
        assertEquals(
                "close",
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        balancer.onRequest = request -> {
            balancer.actions.send("a", "s", 0);
            balancer.actions.refuse(request.id(), 0);
        };
        assertFinalResponse(connectClient().postUnsafe("b", 20_000), 503);
        assertFinalResponse(client, 200);
        awaitShutdown();
    }

    @Test
    void unservableRequestIsRefusedInTime() throws Exception {
        startProxy("");
        balancer.onRequest = request -> accepted.add(request.id());
        Client client = connectClient().postUnsafe("a", 20_000);
        StandIns.awaitNext(accepted, "the request");
        long drainedAtNanos = System.nanoTime();
        startDrain();
        assertFinalResponse(client, 503);
        assertTrue(System.nanoTime() - drainedAtNanos < SHUTDOWN_BOUND_NANOS, "long before the client's deadline");
        awaitShutdown();
    }

    @Test
    void attemptConnectedDuringTheDrainIsServed() throws Exception {
        try (FullBacklogEndpoint unresponsive = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", unresponsive.address(), "in_service"));
            sendAll("s");
            Client client = connectClient().postUnsafe("a", 20_000);
            StandIns.awaitNext(accepted, "the request");
            startDrain();
            unresponsive.acceptPending();
            Message request = StandIns.read(unresponsive.in());
            assertEquals("a", request.header("x-request-id"));
            unresponsive.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
            assertFinalResponse(client, 200);
            awaitShutdown();
        }
    }

    @Test
    void attemptAtAnUnresponsiveEndpointEndsInTime() throws Exception {
        Server host = startServer(request -> {});
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        Client unsafe = connectClient().postUnsafe("a", 20_000);
        Client safe = connectClient().getSafe("b", 20_000);
        ReceivedRequest first = StandIns.awaitNext(host.received, "the first request");
        ReceivedRequest second = StandIns.awaitNext(host.received, "the second request");
        long drainedAtNanos = System.nanoTime();
        startDrain();
        assertFinalResponse(unsafe, 504);
        assertFinalResponse(safe, 503);
        assertTrue(System.nanoTime() - drainedAtNanos < SHUTDOWN_BOUND_NANOS, "long before the clients' deadline");
        first.awaitConnectionEnd();
        second.awaitConnectionEnd();
        awaitShutdown();
    }

    @Test
    void retryDuringTheDrainIsSent() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server first = startServer(received::add);
        Server second = startServer(request -> request.respondOk("second"));
        startProxy(
                "",
                StandIns.endpointJson("s", first.address(), "in_service"),
                StandIns.endpointJson("t", second.address(), "in_service"));
        sendAll("s");
        balancer.onAttemptEnd = attemptEnd -> {
            if (!attemptEnd.requestDone()) {
                balancer.actions.send(attemptEnd.requestId(), "t", 0);
            }
        };
        Client client = connectClient().getSafe("a", 20_000);
        ReceivedRequest inFlight = StandIns.awaitNext(received, "the first attempt");
        startDrain();
        assertEquals(
                "close",
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        inFlight.reset();
        assertEquals(
                Outcome.RESET,
                StandIns.awaitNext(balancer.attemptEnds, "the end of the attempt")
                        .outcome());
        assertFinalResponse(client, 200);
        assertEquals(1, second.received.size());
        awaitShutdown();
    }

    @Test
    void idleClientsDoNotDelayTheShutdown() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        Client idle = connectClient().getSafe("a", 20_000);
        assertEquals(200, idle.read().status());
        Client silent = connectClient();
        startDrain();
        // The client never closes its own end.
        awaitShutdown();
        assertEquals(-1, idle.in.read());
        assertTrue(silent.closed());
        assertFalse(idle.socket.isClosed(), "the client's end is still open");
    }

    @Test
    void requestAfterTheCloseIsNotForwarded() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        Client keepsProcessOpen = connectClient().postUnsafe("keeps", 20_000);
        ReceivedRequest inFlight = StandIns.awaitNext(received, "the request that keeps the process running");
        startDrain();
        assertEquals(
                "close",
                connectClient()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        Client last = connectClient().postUnsafe("last", 20_000);
        StandIns.awaitNext(received, "the last request").respondOk("x");
        assertEquals(200, last.read().status());
        assertEquals(-1, last.in.read());
        last.postUnsafe("late", 20_000);
        inFlight.respondOk("x");
        assertFinalResponse(keepsProcessOpen, 200);
        awaitShutdown();
        assertEquals(0, received.size(), "no further request was forwarded");
        assertEquals(2, accepted.size());
    }

    /** Requests at which the event loop blocks until the test releases it; it refuses them after that. */
    private final Map<String, CountDownLatch> releases =
            Map.of("stand0", new CountDownLatch(1), "stand1", new CountDownLatch(1), "stand2", new CountDownLatch(1));

    private void blockAtReleases() {
        Consumer<Request> onOtherRequest = balancer.onRequest;
        balancer.onRequest = request -> {
            if (!releases.containsKey(request.id())) {
                onOtherRequest.accept(request);
                return;
            }
            accepted.add(request.id());
            try {
                assertTrue(releases.get(request.id()).await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            balancer.actions.refuse(request.id(), 0);
        };
    }

    private void awaitBlockedAt(String id) throws Exception {
        assertEquals(id, StandIns.awaitNext(accepted, "the block at " + id));
    }

    private void release(String id) {
        releases.get(id).countDown();
    }

    /** Starts the drain between two blocking requests; the event loop is blocked at the second on return. */
    private void drainAndBlock() throws Exception {
        blockAtReleases();
        connectClient().getSafe("stand0", 20_000);
        awaitBlockedAt("stand0");
        startDrain();
        connectClient().getSafe("stand1", 20_000);
        release("stand0");
        awaitBlockedAt("stand1");
    }

    private static void spinFor(long durationMs) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    @Test
    void pendingConnectionsAreServedWhenTheListenerCloses() throws Exception {
        // Guards against lost requests: the system had accepted these connections and would reset them with the
        // listener.
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        drainAndBlock();
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(connectClient().postUnsafe("a" + i, 20_000));
        }
        // Past the time at which the listener closes, and past the last read after it.
        spinFor(800);
        release("stand1");
        for (Client client : waiting) {
            assertFinalResponse(client, 200);
        }
        awaitShutdown();
        assertEquals(40, host.received.size());
    }

    @Test
    void requestsUnreadAtTheLastReadAreServed() throws Exception {
        // Guards against lost requests: those discarded at the last read had arrived whole before their connection
        // ended.
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        sendAll("s");
        drainAndBlock();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            silent.add(connectClient());
        }
        connectClient().getSafe("stand2", 20_000);
        spinFor(800);
        // The listener accepts these connections and closes; the loop is then blocked until the last read.
        release("stand1");
        awaitBlockedAt("stand2");
        for (int i = 0; i < 10; i++) {
            silent.get(i).postUnsafe("a" + i, 20_000);
        }
        spinFor(300);
        release("stand2");
        for (Client client : silent) {
            assertFinalResponse(client, 200);
        }
        awaitShutdown();
        assertEquals(10, host.received.size());
    }
}
