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
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/**
 * For a client that has closed no attempt begins, whatever the loop was at when it closed. The test holds the loop up
 * inside a decision while the client leaves, so that its leaving has surely come and surely was not read.
 */
class GoneTest extends ProxyRig {
    private final BlockingQueue<String> deciding = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();
    private final CountDownLatch left = new CountDownLatch(1);

    /** Ends a connection and comes back once the other machine's system has all of it, its end too. */
    private static void leave(Client client) throws Exception {
        client.socket.setSoLinger(true, (int) Peers.PATIENCE_S);
        client.close();
    }

    /** The loop stands still here until the test lets it go on. */
    private void standStill(String where) {
        deciding.add(where);
        try {
            assertTrue(left.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void sendAllButTheBlocker() {
        module.onRequest = r -> {
            if (r.id().equals("blocker")) {
                standStill(r.id());
                module.actions.refuse(r.id(), 0);
            } else {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            }
        };
    }

    /** A request that holds the loop up, and is refused after that. */
    private Client blocker() throws Exception {
        Client blocker = client().safe("blocker", 20_000);
        assertEquals("blocker", Peers.next(deciding, "the loop's standing still"));
        return blocker;
    }

    private static String get(String id) {
        return "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n"
                + "X-Pad: " + "p".repeat(1_000) + "\r\n\r\n";
    }

    /** It still serves, and by then whatever was sent for the other has come to the host. */
    private void onlyThisIsSent(Server host, String id) throws Exception {
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        assertEquals(200, client().safe(id, 20_000).read().status());
        assertEquals(id, Peers.next(host.seen, "the one").message().header("x-request-id"), "nothing before it");
    }

    private Server serving() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        warm(host);
        return host;
    }

    /** Leaves an idle connection to the host that has rested: an attempt is written in the moment of its decision. */
    private void warm(Server host) throws Exception {
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        assertEquals(200, client().safe("warm", 20_000).read().status());
        long rested = System.nanoTime() + 2_000 * Wire.CONNECTION_COOL_DOWN_US;
        Peers.next(host.seen, "the warm one");
        Peers.next(module.ends, "its end");
        while (System.nanoTime() < rested) {
            Thread.onSpinWait();
        }
    }

    @Test
    void nothingBeginsForOneThatLeftWhileItWasDecidedOn() throws Exception {
        Server host = serving();
        module.onRequest = r -> {
            standStill(r.id());
            module.actions.send(r.id(), "s", 0);
        };
        Client client = client().unsafe("a", 20_000);
        assertEquals("a", Peers.next(deciding, "the decision"));
        leave(client);
        left.countDown();
        assertEquals("a", Peers.next(module.gone, "its leaving"));
        AttemptEnd end = Peers.next(module.ends, "the end");
        assertEquals(Outcome.IGNORED, end.outcome());
        assertTrue(end.requestDone(), "nothing follows");
        onlyThisIsSent(host, "b");
        assertTrue(module.gone.isEmpty(), "told once");
    }

    @Test
    void nothingBeginsForOneThatCameAndLeftBeforeAnybodyLooked() throws Exception {
        Server host = serving();
        sendAllButTheBlocker();
        Client blocker = blocker();
        for (int i = 0; i < 20; i++) {
            leave(client().unsafe("a" + i, 20_000));
        }
        left.countDown();
        assertEquals(503, blocker.read().status());
        for (int i = 0; i < 20; i++) {
            assertTrue(Peers.next(module.gone, "a leaving").startsWith("a"));
        }
        onlyThisIsSent(host, "b");
    }

    @Test
    void nothingBeginsForOneThatLeavesBehindWhatItSentAhead() throws Exception {
        Server host = serving();
        sendAllButTheBlocker();
        Client blocker = blocker();
        StringBuilder much = new StringBuilder();
        for (int i = 0; i < 30; i++) {
            much.append(get("a" + i));
        }
        leave(client().write(much.toString()));
        left.countDown();
        assertEquals(503, blocker.read().status());
        assertEquals("a0", Peers.next(module.gone, "its leaving"));
        onlyThisIsSent(host, "b");
    }

    @Test
    void noFurtherAttemptBegins() throws Exception {
        Server first = host(Seen::reset);
        Server second = host(s -> s.served("x"));
        start("", Peers.host("f", first.address(), "in_service"), Peers.host("s", second.address(), "in_service"));
        warm(second);
        module.onRequest = r -> module.actions.send(r.id(), "f", 0);
        module.onEnd = e -> {
            if (e.attempt() == 0 && e.requestId().equals("a")) {
                standStill(e.requestId());
                module.actions.send(e.requestId(), "s", 0);
            }
        };
        Client client = client().safe("a", 20_000);
        assertEquals("a", Peers.next(deciding, "the second decision"));
        leave(client);
        left.countDown();
        assertEquals("a", Peers.next(module.gone, "its leaving"));
        assertEquals(Outcome.RESET, Peers.next(module.ends, "the first's end").outcome());
        assertEquals(
                Outcome.IGNORED, Peers.next(module.ends, "the second's end").outcome());
        onlyThisIsSent(second, "b");
    }

    @Test
    void nothingIsWrittenOnAConnectionThatComesUpAsItLeaves() throws Exception {
        try (Deaf host = new Deaf()) {
            start("", Peers.host("s", host.address(), "in_service"));
            sendAllButTheBlocker();
            Client client = client().unsafe("a", 20_000);
            assertEquals("a", Peers.next(sent, "the decision"));
            Client blocker = blocker();
            host.hear();
            leave(client);
            left.countDown();
            assertEquals("a", Peers.next(module.gone, "its leaving"));
            assertTrue(host.silent(), "nothing was written");
            assertEquals(503, blocker.read().status());
        }
    }

    @Test
    void nothingBeginsAfterAHoldThatEndsDuringTheDrain() throws Exception {
        Server host = serving();
        BlockingQueue<String> held = new LinkedBlockingQueue<>();
        module.onRequest = r -> {
            if (r.id().equals("blocker")) {
                standStill(r.id());
                module.actions.refuse(r.id(), 0);
                module.actions.send("a", "s", 0);
            } else {
                held.add(r.id());
            }
        };
        Client client = client().unsafe("a", 20_000);
        assertEquals("a", Peers.next(held, "the hold"));
        Future<?> draining = proxy.drain();
        assertEquals(
                "close",
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        Client blocker = blocker();
        leave(client);
        left.countDown();
        assertEquals(503, blocker.read().status());
        assertEquals("a", Peers.next(module.gone, "its leaving"));
        assertTrue(draining.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
        proxy = null;
        assertTrue(host.seen.isEmpty(), "nothing was sent");
    }

    @Test
    void oneThatLeavesBehindABodyThatWaitsForAHostIsMissed() throws Exception {
        // Reading had stopped there until somebody took the body: nobody would have noticed.
        start("");
        BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        module.onRequest = r -> taken.add(r.id());
        Client client = client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 20000\r\nContent-Length: 1000000\r\n\r\n");
        client.write("b".repeat(400_000));
        assertEquals("a", Peers.next(taken, "the one that leaves"));
        Client stays = client().safe("stays", 4_000);
        assertEquals("stays", Peers.next(taken, "the one that stays"));
        leave(client);
        assertEquals("a", Peers.next(module.gone, "its leaving, long before the other's time is up"));
        assertEquals(503, stays.read().status());
    }

    @Test
    void oneThatLeavesBehindMoreThanIsHeldIsMissed() throws Exception {
        start("");
        BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        module.onRequest = r -> taken.add(r.id());
        StringBuilder much = new StringBuilder();
        for (int i = 0; i < 4_000; i++) {
            much.append(get("a" + i));
        }
        Client client = client().write(get("a"));
        assertEquals("a", Peers.next(taken, "the first"));
        client.write(much.toString());
        Client stays = client().safe("stays", 4_000);
        assertEquals("stays", Peers.next(taken, "the one that stays"));
        client.close();
        assertEquals("a", Peers.next(module.gone, "its leaving, long before the other's time is up"));
        assertEquals(503, stays.read().status());
        assertNull(taken.poll(), "what it had sent besides was never begun");
    }

    @Test
    void whatIsMoreThanIsHeldIsRefusedInItsTurn() throws Exception {
        // Guards rule 1 where the memory ends: each has one answer, in order, and what is refused was never sent on.
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(s -> {
            if (s.message().header("x-request-id").equals("a")) {
                out.add(s);
            } else {
                s.served(s.message().header("x-request-id"));
            }
        });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().write(get("a"));
        Seen first = Peers.next(out, "the first");
        int count = 4_000;
        StringBuilder much = new StringBuilder();
        for (int i = 0; i < count; i++) {
            much.append(get("a" + i));
        }
        client.write(much.toString());
        first.served("a");
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
            assertNull(answer.header("connection"), "and its connection stays");
        }
        assertEquals(served + 1, host.seen.size(), "what was refused was not sent");
        assertTrue(served >= 400, "what can be held is served: " + served);
        assertEquals("b", client.safe("b", 20_000).read().text());
    }

    @Test
    void oneThatComesAgainAtOnceIsServedOnceAndItsFirstTryIsOver() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        sendAllButTheBlocker();
        Client client = client().unsafe("a", 20_000);
        Seen first = Peers.next(out, "the first try");
        Client blocker = blocker();
        leave(client);
        Client again = client().unsafe("a2", 20_000);
        left.countDown();
        assertEquals(503, blocker.read().status());
        Seen second = Peers.next(out, "the second try");
        assertEquals("a2", second.message().header("x-request-id"));
        first.awaitEnd();
        second.served("x");
        assertEquals(200, again.read().status());
        assertEquals("a", Peers.next(module.gone, "the first's leaving"));
        assertEquals(2, host.seen.size());
        assertTrue(module.gone.isEmpty());
    }
}
