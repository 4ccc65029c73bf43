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
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Answers that are spoilt, late or none, and what they prove. */
class BadHostsTest extends ProxyRig {
    @Test
    void anyOtherAnswerMayHaveRun() throws Exception {
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(500, "", "x"), 0).outcome());
    }

    @Test
    void a503WithoutTheMarkMayHaveRun() throws Exception {
        // Guards rule 2: a 503 from something in between says nothing of the host.
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(503, "", ""), 0).outcome());
    }

    @Test
    void turnedAwayIsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, outcome(Seen::notRun, 0).outcome());
    }

    @Test
    void turnedAwayBy504IsKnownNotToHaveRun() throws Exception {
        assertEquals(
                Outcome.QUEUE_FULL,
                outcome(s -> s.answer(504, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void whatAHostSaysOfItsLoadIsToldAheadOfTheOutcomeThatBroughtIt() throws Exception {
        outcome(s -> s.answer(200, "X-Load: {\"outstanding\":4.5}\r\n", "x"), 0);
        assertEquals("s holds 4.5", module.told.poll());
        assertEquals("OK", module.told.poll());
    }

    @Test
    void oneThatTurnsARequestAwaySaysItToo() throws Exception {
        outcome(s -> s.answer(503, "X-Not-Run: 1\r\nX-Load: {\"inflight\":0}\r\n", ""), 0);
        assertEquals("s holds 0.0", module.told.poll());
        assertEquals("QUEUE_FULL", module.told.poll());
    }

    @Test
    void aLoadReportThatCantBeReadCostsNothing() throws Exception {
        // Guards against a defect of the report becoming one of the answer, which is good.
        assertEquals(
                Outcome.OK,
                outcome(s -> s.answer(200, "X-Load: {\"outstanding\":\r\n", "x"), 0)
                        .outcome());
        assertEquals("OK", module.told.poll());
    }

    @Test
    void aMarkOnAnErrorProvesNothing() throws Exception {
        assertEquals(
                Outcome.FAILED,
                outcome(s -> s.answer(500, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void aResetAfterTheRequestMayHaveRun() throws Exception {
        assertEquals(Outcome.RESET, outcome(Seen::reset, 0).outcome());
    }

    @Test
    void anAnswerCutShortIsAReset() throws Exception {
        assertEquals(
                Outcome.RESET,
                outcome(
                                s -> {
                                    s.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                                    s.reset();
                                },
                                0)
                        .outcome());
    }

    @Test
    void spoiltAnswersMayHaveRunAndAreNeverServed() throws Exception {
        // Guards against half an answer, or one that can be read in two ways: only what is whole is served.
        String ok = "HTTP/1.1 200 OK\r\n";
        List<String> spoilt = List.of(
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
        Server host = host(s -> s.write(spoilt.get(Integer.parseInt(s.message().header("x-request-id")))));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        Client client = client();
        for (int i = 0; i < spoilt.size(); i++) {
            String what = spoilt.get(i).substring(0, Math.min(80, spoilt.get(i).length()));
            assertEquals(502, client.unsafe("" + i, 20_000).read().status(), what);
            assertEquals(Outcome.FAILED, Peers.next(module.ends, "an end").outcome(), what);
            Peers.next(host.seen, "the request").awaitEnd();
        }
    }

    @Test
    void goodAnswersThatBringMoreAreServedAndTheRestMeetsNobody() throws Exception {
        String a = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        List<String> good = List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + a,
                a + a,
                a + "noise that has no end",
                a + "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Load: %%%\r\nContent-Length: 1\r\nX-Load: {\"\r\n\r\na",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n");
        Server host = host(s -> s.write(good.get(Integer.parseInt(s.message().header("x-request-id")))));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        for (int i = 0; i < good.size(); i++) {
            Message answer = client.unsafe("" + i, 20_000).read();
            assertEquals(200, answer.status(), good.get(i));
            assertEquals("a", answer.text(), good.get(i));
        }
    }

    @Test
    void whatComesLateOnAnIdleConnectionEndsIt() throws Exception {
        // Guards against a later read: a second copy would be served to another, noise would spoil it.
        Server host = host(s -> s.served(s.message().header("x-request-id")));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client();
        for (String late : List.of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", "no", "\r\n")) {
            String id = "id" + late.length();
            assertEquals(id, client.unsafe(id, 20_000).read().text());
            Seen seen = Peers.next(host.seen, "the request");
            seen.write(late);
            seen.awaitEnd();
        }
        assertEquals("last", client.unsafe("last", 20_000).read().text());
    }

    @Test
    void silenceTimesOutAndTheConnectionCloses() throws Exception {
        BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
        assertEquals(Outcome.TIMED_OUT, outcome(seen::add, 50_000).outcome());
        Peers.next(seen, "the request").awaitEnd();
    }

    @Test
    void aHostThatDropsIdleConnectionsSoonerIsReachedAnew() throws Exception {
        // Guards against one reset after another: what was stale once is not trusted for as long again.
        Map<Socket, Long> served = new ConcurrentHashMap<>();
        Server host = host(s -> {
            Long last = served.put(s.socket(), System.nanoTime());
            if (last != null && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(200)) {
                s.reset();
            } else {
                s.served("x");
            }
        });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        Client client = client();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Thread.sleep(400);
        assertEquals(502, client.unsafe("id2", 20_000).read().status(), "the first to be dropped");
        assertEquals(200, client.unsafe("id3", 20_000).read().status());
        Thread.sleep(800);
        assertEquals(200, client.unsafe("id4", 20_000).read().status(), "on a fresh one");
    }

    @Test
    void aConnectionResetAtOnceIsNoHostThatIsAway() throws Exception {
        // Guards against shunning a host that is up: a few resets among its new connections say little.
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread resets = new Thread(() -> {
                try {
                    while (true) {
                        Socket s = listening.accept();
                        accepted.incrementAndGet();
                        s.setSoLinger(true, 0);
                        s.close();
                    }
                } catch (IOException e) {
                    // closed: the test is over
                }
            });
            resets.setDaemon(true);
            resets.start();
            start("", Peers.host("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            module.onEnd = e -> module.actions.fail(e.requestId());
            Client client = client();
            for (int i = 0; i < 20; i++) {
                int before = accepted.get();
                assertEquals(502, client.unsafe("id" + i, 20_000).read().status());
                Outcome how = Peers.next(module.ends, "the end").outcome();
                // Which of the two it is depends on when the reset comes; only the third in a row tells.
                assertTrue(how == Outcome.RESET || accepted.get() - before >= 3, how + " at once");
            }
        }
    }
}
