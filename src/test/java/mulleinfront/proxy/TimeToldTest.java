package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Hosts are told at most what is left to the client as the attempt is written, and nothing after that time. */
class TimeToldTest extends ProxyRig {
    private static final long DEADLINE_MS = 20_000;
    private static final long WAIT_MS = 400;
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();

    private static void until(long at) {
        while (System.nanoTime() < at) {
            Thread.onSpinWait();
        }
    }

    private static long inMs(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Lets some of the client's time pass before the connection that an attempt waits for comes up. */
    private static void tellsWhatIsLeft(Deaf host) throws Exception {
        until(inMs(WAIT_MS));
        host.hear();
        Message got = host.readHead();
        long told = Long.parseLong(got.header("x-deadline-ms"));
        assertTrue(told > 0 && told <= DEADLINE_MS - WAIT_MS, "told " + told);
    }

    @Test
    void aFirstAttemptTellsWhatIsLeftAsItIsWritten() throws Exception {
        try (Deaf host = new Deaf()) {
            start("", Peers.host("s", host.address(), "in_service"));
            module.onRequest = r -> {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            client().unsafe("a", DEADLINE_MS);
            Peers.next(sent, "the decision");
            tellsWhatIsLeft(host);
        }
    }

    @Test
    void aFurtherAttemptDoesSoToo() throws Exception {
        Server first = host(Seen::notRun);
        try (Deaf second = new Deaf()) {
            start("", Peers.host("f", first.address(), "in_service"), Peers.host("s", second.address(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "f", 0);
            module.onEnd = e -> {
                module.actions.send(e.requestId(), "s", 0);
                sent.add(e.requestId());
            };
            client().unsafe("a", DEADLINE_MS);
            Peers.next(sent, "the second decision");
            tellsWhatIsLeft(second);
        }
    }

    @Test
    void soDoesOneOfABodyThatCameWholeBeforeItCouldBeWritten() throws Exception {
        try (Deaf host = new Deaf()) {
            start("", Peers.host("s", host.address(), "in_service"));
            module.onRequest = r -> {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\nX-Deadline-Ms: "
                    + DEADLINE_MS + "\r\nContent-Length: 200000\r\n\r\n" + "b".repeat(200_000));
            Peers.next(sent, "the decision");
            for (int i = 0; i < 2; i++) {
                // It is read on as it comes: after a turn for others all of it has been.
                assertEquals(
                        404,
                        client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                                .read()
                                .status());
            }
            tellsWhatIsLeft(host);
        }
    }

    @Test
    void nothingIsWrittenOnceItsTimeIsOverThoughItsTimerHasNotRun() throws Exception {
        // The loop stands still in the turn in which the connection comes up: timers have theirs after that.
        try (Deaf host = new Deaf()) {
            start("", Peers.host("s", host.address(), "in_service"));
            long withinMs = 3_000;
            long[] over = new long[1];
            BlockingQueue<String> go = new LinkedBlockingQueue<>();
            module.onRequest = r -> {
                switch (r.id()) {
                    case "a" -> {
                        module.actions.send(r.id(), "s", withinMs * 1_000);
                        over[0] = inMs(withinMs);
                        sent.add(r.id());
                    }
                    case "first" -> {
                        sent.add(r.id());
                        try {
                            Peers.next(go, "word to go on");
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                        module.actions.refuse(r.id(), 0);
                    }
                    default -> {
                        until(over[0] + TimeUnit.MILLISECONDS.toNanos(300));
                        module.actions.refuse(r.id(), 0);
                    }
                }
            };
            module.onEnd = e -> module.actions.refuse(e.requestId(), 0);
            Client client = client().unsafe("a", DEADLINE_MS);
            Client second = client();
            assertEquals(
                    404,
                    client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                            .read()
                            .status());
            assertEquals("a", Peers.next(sent, "the decision"));
            Client first = client().safe("first", DEADLINE_MS);
            assertEquals("first", Peers.next(sent, "the first stand"));
            // What has come first is told first: the second stand, then the connection, both in one turn.
            second.safe("second", DEADLINE_MS);
            host.hear();
            go.add("on");
            assertEquals(503, first.read().status());
            assertEquals(503, second.read().status());
            assertEquals(
                    Outcome.CONNECT_ERROR, Peers.next(module.ends, "the end").outcome());
            assertEquals(503, client.read().status(), "nothing has run");
            assertTrue(host.silent(), "nothing was written");
        }
    }
}
