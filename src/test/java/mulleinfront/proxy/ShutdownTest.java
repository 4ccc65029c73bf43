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
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** What a request is in the middle of when the process is told to end: each has its one final answer. */
class ShutdownTest extends ProxyRig {
    private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
    private Future<?> draining;
    /** Clients here wait for 20 s; after SIGTERM there are 3.7. */
    private static final long WAITS_NANOS = TimeUnit.SECONDS.toNanos(15);

    private void sendAll(String host) {
        module.onRequest = r -> {
            module.actions.send(r.id(), host, 0);
            taken.add(r.id());
        };
    }

    private static void lastAnswer(Client client, int status) throws Exception {
        Message answer = client.read();
        assertEquals(status, answer.status());
        assertEquals("close", answer.header("connection"));
        assertEquals(-1, client.in.read());
    }

    private void ends() throws Exception {
        assertTrue(draining.await(Peers.PATIENCE_S, TimeUnit.SECONDS), "it ends");
        proxy = null;
    }

    private void drain() {
        draining = proxy.drain();
    }

    @Test
    void aRequestThatIsHalfReadIsReadToItsEndAndServed() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        String whole = "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n"
                + "Content-Length: 4\r\n\r\nbo";
        Client client = client().write(whole);
        // Whoever is accepted later is read later: by its answer the half request has been read.
        assertEquals(
                404,
                client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        drain();
        client.write("dy");
        assertEquals("a", Peers.next(taken, "the request"));
        lastAnswer(client, 200);
        ends();
    }

    @Test
    void aRequestThatWaitsForItsFirstAttemptIsSentWhenAHostComes() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> taken.add(r.id());
        Client client = client().unsafe("a", 20_000);
        Peers.next(taken, "the request");
        drain();
        // The drain has begun once a new connection's answer is its last.
        assertEquals(
                "close",
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        module.onRequest = r -> {
            module.actions.send("a", "s", 0);
            module.actions.refuse(r.id(), 0);
        };
        lastAnswer(client().unsafe("b", 20_000), 503);
        lastAnswer(client, 200);
        ends();
    }

    @Test
    void aRequestThatWaitsForEverIsToldInTime() throws Exception {
        start("");
        module.onRequest = r -> taken.add(r.id());
        Client client = client().unsafe("a", 20_000);
        Peers.next(taken, "the request");
        long toldAt = System.nanoTime();
        drain();
        lastAnswer(client, 503);
        assertTrue(System.nanoTime() - toldAt < WAITS_NANOS, "long before its own time was up");
        ends();
    }

    @Test
    void anAttemptWhoseConnectionComesUpIsMadeAndServed() throws Exception {
        try (Deaf deaf = new Deaf()) {
            start("", Peers.host("s", deaf.address(), "in_service"));
            sendAll("s");
            Client client = client().unsafe("a", 20_000);
            Peers.next(taken, "the request");
            drain();
            deaf.hear();
            Message got = Peers.read(deaf.in());
            assertEquals("a", got.header("x-request-id"));
            deaf.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
            lastAnswer(client, 200);
            ends();
        }
    }

    @Test
    void anAttemptWhoseHostHangsEndsInTimeAndWithATrueWord() throws Exception {
        Server host = host(s -> {});
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        Client unsafe = client().unsafe("a", 20_000);
        Client safe = client().safe("b", 20_000);
        Seen first = Peers.next(host.seen, "the one");
        Seen second = Peers.next(host.seen, "the other");
        long toldAt = System.nanoTime();
        drain();
        lastAnswer(unsafe, 504);
        lastAnswer(safe, 503);
        assertTrue(System.nanoTime() - toldAt < WAITS_NANOS, "long before their own time was up");
        first.awaitEnd();
        second.awaitEnd();
        ends();
    }

    @Test
    void aRetryThatIsDueIsMade() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server first = host(out::add);
        Server second = host(s -> s.served("second"));
        start("", Peers.host("s", first.address(), "in_service"), Peers.host("t", second.address(), "in_service"));
        sendAll("s");
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.send(e.requestId(), "t", 0);
            }
        };
        Client client = client().safe("a", 20_000);
        Seen open = Peers.next(out, "the first attempt");
        drain();
        assertEquals(
                "close",
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        open.reset();
        assertEquals(Outcome.RESET, Peers.next(module.ends, "its end").outcome());
        lastAnswer(client, 200);
        assertEquals(1, second.seen.size());
        ends();
    }

    @Test
    void aClientThatRestsUntilItIsClosedOnDoesNotHoldUpTheEnd() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        Client rests = client().safe("a", 20_000);
        assertEquals(200, rests.read().status());
        Client silent = client();
        drain();
        // It never closes its own end, whatever it reads.
        ends();
        assertEquals(-1, rests.in.read());
        assertTrue(silent.closed());
        assertFalse(rests.socket.isClosed(), "its own end is open");
    }

    @Test
    void nothingIsSentOnForARequestReadAfterTheEndOfItsConnection() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        Client keeps = client().unsafe("keeps", 20_000);
        Seen open = Peers.next(out, "the one that keeps the process");
        drain();
        assertEquals(
                "close",
                client().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .header("connection"));
        Client last = client().unsafe("last", 20_000);
        Peers.next(out, "the last").served("x");
        assertEquals(200, last.read().status());
        assertEquals(-1, last.in.read());
        last.unsafe("late", 20_000);
        open.served("x");
        lastAnswer(keeps, 200);
        ends();
        assertEquals(0, out.size(), "nothing more was sent on");
        assertEquals(2, taken.size());
    }

    /** The loop stands still at each of these requests until it is let go on, and refuses it then. */
    private final Map<String, CountDownLatch> stands =
            Map.of("stand0", new CountDownLatch(1), "stand1", new CountDownLatch(1), "stand2", new CountDownLatch(1));

    private void standsStill() {
        Consumer<Request> others = module.onRequest;
        module.onRequest = r -> {
            if (!stands.containsKey(r.id())) {
                others.accept(r);
                return;
            }
            taken.add(r.id());
            try {
                assertTrue(stands.get(r.id()).await(Peers.PATIENCE_S, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            module.actions.refuse(r.id(), 0);
        };
    }

    private void standsAt(String id) throws Exception {
        assertEquals(id, Peers.next(taken, "standing still at " + id));
    }

    private void goOn(String id) {
        stands.get(id).countDown();
    }

    /** The drain begins between two stands, and the loop stands still in the second. */
    private void drainThenStand() throws Exception {
        standsStill();
        client().safe("stand0", 20_000);
        standsAt("stand0");
        drain();
        client().safe("stand1", 20_000);
        goOn("stand0");
        standsAt("stand1");
    }

    private static void pass(long ms) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    @Test
    void whatWaitsToBeAcceptedAsTheListenerClosesIsServed() throws Exception {
        // Guards rule 1: the system had accepted it for us, and would reset it, and what was sent there.
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        drainThenStand();
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(client().unsafe("a" + i, 20_000));
        }
        // Past the time at which the listener closes, and of what comes after that.
        pass(800);
        goOn("stand1");
        for (Client one : waiting) {
            lastAnswer(one, 200);
        }
        ends();
        assertEquals(40, host.seen.size());
    }

    @Test
    void whatHasComeAndIsNotReadAtTheLastCallIsServed() throws Exception {
        // Guards rule 1: what was read and dropped then had come whole before its connection ended.
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        sendAll("s");
        drainThenStand();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            silent.add(client());
        }
        client().safe("stand2", 20_000);
        pass(800);
        // The listener closes, and takes these before; the loop stands still again up to the last call.
        goOn("stand1");
        standsAt("stand2");
        for (int i = 0; i < 10; i++) {
            silent.get(i).unsafe("a" + i, 20_000);
        }
        pass(300);
        goOn("stand2");
        for (Client one : silent) {
            lastAnswer(one, 200);
        }
        ends();
        assertEquals(10, host.seen.size());
    }
}
