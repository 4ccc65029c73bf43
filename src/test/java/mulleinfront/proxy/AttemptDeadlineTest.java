package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** An attempt's deadline is at most the client's remaining time when the attempt is written; none is written later. */
class AttemptDeadlineTest extends ProxyTestBase {
    private static final long DEADLINE_MS = 20_000;
    private static final long WAIT_MS = 400;
    private final BlockingQueue<String> sentRequests = new LinkedBlockingQueue<>();

    private static void spinUntil(long nanoTime) {
        while (System.nanoTime() < nanoTime) {
            Thread.onSpinWait();
        }
    }

    private static long nanoTimeAfter(long delayMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
    }

    /**
     * Lets some of the client's time pass before the attempt's connection is established, and checks the deadline sent.
     */
    private static void assertRemainingTimeIsSent(FullBacklogEndpoint host) throws Exception {
        spinUntil(nanoTimeAfter(WAIT_MS));
        host.acceptPending();
        Message request = host.readHead();
        long deadlineMs = Long.parseLong(request.header("x-deadline-ms"));
        assertTrue(deadlineMs > 0 && deadlineMs <= DEADLINE_MS - WAIT_MS, "deadline sent: " + deadlineMs);
    }

    @Test
    void firstAttemptCarriesTheRemainingTime() throws Exception {
        try (FullBacklogEndpoint host = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
            balancer.onRequest = request -> {
                balancer.actions.send(request.id(), "s", 0);
                sentRequests.add(request.id());
            };
            connectClient().postUnsafe("a", DEADLINE_MS);
            StandIns.awaitNext(sentRequests, "the decision");
            assertRemainingTimeIsSent(host);
        }
    }

    @Test
    void retryCarriesTheRemainingTime() throws Exception {
        Server first = startServer(ReceivedRequest::respondNotExecuted);
        try (FullBacklogEndpoint second = new FullBacklogEndpoint()) {
            startProxy(
                    "",
                    StandIns.endpointJson("f", first.address(), "in_service"),
                    StandIns.endpointJson("s", second.address(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "f", 0);
            balancer.onAttemptEnd = attemptEnd -> {
                balancer.actions.send(attemptEnd.requestId(), "s", 0);
                sentRequests.add(attemptEnd.requestId());
            };
            connectClient().postUnsafe("a", DEADLINE_MS);
            StandIns.awaitNext(sentRequests, "the second decision");
            assertRemainingTimeIsSent(second);
        }
    }

    @Test
    void attemptWithABufferedBodyCarriesTheRemainingTime() throws Exception {
        try (FullBacklogEndpoint host = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
            balancer.onRequest = request -> {
                balancer.actions.send(request.id(), "s", 0);
                sentRequests.add(request.id());
            };
            connectClient()
                    .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\nX-Deadline-Ms: "
                            + DEADLINE_MS + "\r\nContent-Length: 200000\r\n\r\n" + "b".repeat(200_000));
            StandIns.awaitNext(sentRequests, "the decision");
            for (int i = 0; i < 2; i++) {
                // The body is read as it arrives: after two responses to other clients all of it has been read.
                assertEquals(
                        404,
                        connectClient()
                                .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                                .read()
                                .status());
            }
            assertRemainingTimeIsSent(host);
        }
    }

    @Test
    void nothingIsWrittenAfterTheTimeoutBeforeItsTimerRuns() throws Exception {
        // The event loop stalls in the turn in which the connection is established; timers run only after that.
        try (FullBacklogEndpoint host = new FullBacklogEndpoint()) {
            startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
            long timeoutMs = 3_000;
            long[] timesOutAtNanos = new long[1];
            BlockingQueue<String> release = new LinkedBlockingQueue<>();
            balancer.onRequest = request -> {
                switch (request.id()) {
                    case "a" -> {
                        balancer.actions.send(request.id(), "s", timeoutMs * 1_000);
                        timesOutAtNanos[0] = nanoTimeAfter(timeoutMs);
                        sentRequests.add(request.id());
                    }
                    case "first" -> {
                        sentRequests.add(request.id());
                        try {
                            StandIns.awaitNext(release, "the release by the test");
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                        balancer.actions.refuse(request.id(), 0);
                    }
                    default -> {
                        spinUntil(timesOutAtNanos[0] + TimeUnit.MILLISECONDS.toNanos(300));
                        balancer.actions.refuse(request.id(), 0);
                    }
                }
            };
            balancer.onAttemptEnd = attemptEnd -> balancer.actions.refuse(attemptEnd.requestId(), 0);
            Client client = connectClient().postUnsafe("a", DEADLINE_MS);
            Client second = connectClient();
            assertEquals(
                    404,
                    connectClient()
                            .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                            .read()
                            .status());
            assertEquals("a", StandIns.awaitNext(sentRequests, "the decision"));
            Client first = connectClient().getSafe("first", DEADLINE_MS);
            assertEquals("first", StandIns.awaitNext(sentRequests, "the block in the first decision"));
            // Events are handled in order of arrival: the second blocking request, then the connection, both in one
            // turn.
            second.getSafe("second", DEADLINE_MS);
            host.acceptPending();
            release.add("on");
            assertEquals(503, first.read().status());
            assertEquals(503, second.read().status());
            assertEquals(
                    Outcome.CONNECT_ERROR,
                    StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
            assertEquals(503, client.read().status(), "no attempt has run");
            assertTrue(host.endedWithoutData(), "nothing was written");
        }
    }
}
