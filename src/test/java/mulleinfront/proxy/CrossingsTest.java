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
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Two events that meet, in the order that the test gives them: hosts and their connections. */
class CrossingsTest extends ProxyRig {
    /** A request of the keyed class. */
    private static Client keyed(Client client, String id) throws Exception {
        return client.write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: keyed\r\nX-Deadline-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
    }

    @Test
    void aRepeatWhoseConnectionComesUpAfterTheWindowIsNotSent() throws Exception {
        // Guards rule 2: the window was open when the repeat was decided, and closed when it could be written.
        long windowMs = 400;
        Server first = host(Seen::reset);
        try (Deaf second = new Deaf()) {
            start(
                    "",
                    c -> c.replace("\"dedupWindowUs\":20000000", "\"dedupWindowUs\":" + windowMs * 1000),
                    Peers.host("s", first.address(), "in_service"),
                    Peers.host("t", second.address(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            module.onEnd = e -> {
                if (e.attempt() == 0) {
                    module.actions.send(e.requestId(), "t", 0);
                } else {
                    module.actions.fail(e.requestId());
                }
            };
            Client client = keyed(client(), "id1");
            assertEquals(
                    Outcome.RESET, Peers.next(module.ends, "the first's end").outcome());
            long closesAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(windowMs);
            while (System.nanoTime() < closesAt) {
                Thread.onSpinWait();
            }
            second.hear();
            assertEquals(
                    Outcome.IGNORED, Peers.next(module.ends, "the second's end").outcome());
            assertEquals(502, client.read().status(), "it may have run: no refusal");
            assertTrue(second.silent(), "nothing was written");
        }
    }

    @Test
    void aHostThatMovesWhileAConnectionToItComesUpIsReachedWhereItIs() throws Exception {
        // Guards rule 3: nobody that the list names is at the old address any more.
        Server after = host(s -> s.served("there"));
        try (Deaf before = new Deaf()) {
            start("", Peers.host("s", before.address(), "in_service"));
            Seen watch = discovery.asked();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            module.onRequest = r -> {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            Client client = client().unsafe("id1", 20_000);
            Peers.next(sent, "the decision");
            Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
            assertEquals("DELTA [s 1 READY]", Peers.next(module.lists, "the move"));
            before.hear();
            assertEquals("there", client.read().text());
            assertTrue(before.silent(), "nothing was written to the old address");
            AttemptEnd end = Peers.next(module.ends, "the end");
            assertEquals(Outcome.OK, end.outcome());
            assertEquals(0, end.attempt(), "of the one attempt");
        }
    }

    @Test
    void aConnectionInUseWhileItsHostMovesIsNotUsedAgain() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server before = host(out::add);
        Server after = host(s -> s.served("there"));
        start("", Peers.host("s", before.address(), "in_service"));
        Seen watch = discovery.asked();
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("id1", 20_000);
        Seen open = Peers.next(out, "the request");
        Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
        assertEquals("DELTA [s 1 READY]", Peers.next(module.lists, "the move"));
        open.served("here");
        assertEquals("here", client.read().text(), "what was out is served");
        open.awaitEnd();
        assertEquals("there", client.unsafe("id2", 20_000).read().text());
        assertEquals(1, before.seen.size());
    }

    /** A request whose body is too large to be held: it goes on while it comes, from its first byte. */
    private static Client half(Client client, String id, int length, int sent) throws Exception {
        return client.write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 20000\r\nContent-Length: " + length + "\r\n\r\n" + "b".repeat(sent));
    }

    @Test
    void aRequestThatIsHalfWrittenWhenItsHostIsToldToDrainGoesToItsEnd() throws Exception {
        // What is out stays; what comes after the word goes elsewhere.
        int length = 200_000;
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + listening.getLocalPort();
            start("", Peers.host("s", address, "in_service"));
            Seen watch = discovery.asked();
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            module.onEnd = e -> {
                if (!e.requestDone()) {
                    module.actions.refuse(e.requestId(), 0);
                }
            };
            Client client = half(client(), "a", length, length / 2);
            try (Socket host = listening.accept()) {
                InputStream in = new BufferedInputStream(host.getInputStream());
                assertEquals("a", Peers.readHead(in).header("x-request-id"));
                assertEquals(length / 2, in.readNBytes(length / 2).length);
                Discovery.push(watch, Peers.list(2, false, Peers.host("s", address, "terminating")));
                assertEquals("DELTA [s 1 DRAINING]", Peers.next(module.lists, "the drain"));
                assertEquals(503, client().safe("b", 20_000).read().status());
                assertEquals(
                        Outcome.IGNORED,
                        Peers.next(module.ends, "the other's end").outcome());
                client.write("b".repeat(length / 2));
                assertEquals(length / 2, in.readNBytes(length / 2).length);
                host.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".getBytes());
                assertEquals("x", client.read().text());
                assertEquals(-1, in.read(), "and nothing more comes there");
            }
            listening.setSoTimeout(100);
            assertThrows(IOException.class, listening::accept, "nor on another connection");
        }
    }

    @Test
    void nothingIsWrittenToTheTargetOfARetryThatIsToldToDrainMeanwhile() throws Exception {
        Server first = host(Seen::notRun);
        try (Deaf second = new Deaf()) {
            start("", Peers.host("f", first.address(), "in_service"), Peers.host("s", second.address(), "in_service"));
            Seen watch = discovery.asked();
            module.onRequest = r -> module.actions.send(r.id(), "f", 0);
            module.onEnd = e -> {
                if (e.attempt() == 0) {
                    module.actions.send(e.requestId(), "s", 0);
                } else {
                    module.actions.refuse(e.requestId(), 0);
                }
            };
            Client client = client().unsafe("a", 20_000);
            assertEquals(
                    Outcome.QUEUE_FULL,
                    Peers.next(module.ends, "the first's end").outcome());
            Discovery.push(watch, Peers.list(2, false, Peers.host("s", second.address(), "terminating")));
            assertEquals("DELTA [s 1 DRAINING]", Peers.next(module.lists, "the drain"));
            second.hear();
            assertEquals(
                    Outcome.IGNORED, Peers.next(module.ends, "the second's end").outcome());
            assertEquals(503, client.read().status());
            assertTrue(second.silent(), "nothing was written");
        }
    }

    @Test
    void anAnswerBeforeTheRequestsLastByteIsTheAnswerAndTheRestGoesNowhere() throws Exception {
        int length = 1_000_000;
        Map<String, Integer> answers = new LinkedHashMap<>();
        answers.put("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 200);
        answers.put("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503);
        answers.put("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", 502);
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            start("", Peers.host("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            module.onEnd = e -> {
                if (!e.requestDone() && e.outcome().neverRan()) {
                    module.actions.refuse(e.requestId(), 0);
                } else if (!e.requestDone()) {
                    module.actions.fail(e.requestId());
                }
            };
            int id = 0;
            for (Map.Entry<String, Integer> one : answers.entrySet()) {
                Client client = half(client(), "a" + id, length, 100_000);
                try (Socket host = listening.accept()) {
                    InputStream in = new BufferedInputStream(host.getInputStream());
                    assertEquals("a" + id++, Peers.readHead(in).header("x-request-id"));
                    assertEquals(100_000, in.readNBytes(100_000).length);
                    host.getOutputStream().write(one.getKey().getBytes());
                    Message answer = client.read();
                    assertEquals(one.getValue(), answer.status());
                    assertEquals("close", answer.header("connection"), "what follows can't be told from the rest");
                    client.write("b".repeat(1_000));
                    assertTrue(client.closed());
                    assertEquals(-1, in.read(), "its connection is not used again, and the rest was not written");
                }
            }
            assertEquals(3, module.ends.size(), "one attempt each");
        }
    }

    @Test
    void aHostThatCrashesAndComesBackUnderANewIdIsAnother() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server before = host(out::add);
        Server after = host(s -> s.served("after"));
        start("", Peers.host("s", before.address(), "in_service"));
        Seen watch = discovery.asked();
        BlockingQueue<AttemptEnd> held = new LinkedBlockingQueue<>();
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (e.requestDone()) {
                return;
            }
            if (e.requestId().equals("unsafe")) {
                module.actions.fail(e.requestId());
            } else if (e.outcome() == Outcome.RESET) {
                module.actions.send(e.requestId(), "s", 0);
            } else {
                held.add(e);
            }
        };
        Client safe = client().safe("safe", 20_000);
        Seen first = Peers.next(out, "the safe one");
        Client unsafe = client().unsafe("unsafe", 20_000);
        Seen second = Peers.next(out, "the unsafe one");
        before.listenNoMore();
        first.reset();
        assertEquals(Outcome.CONNECT_ERROR, Peers.next(held, "nobody is there").outcome());
        // One word says that it is gone and that there is another, while an attempt is still out at the first.
        Discovery.push(
                watch,
                Peers.list(
                        2,
                        false,
                        Peers.host("s", before.address(), "terminated"),
                        Peers.host("t", after.address(), "in_service")));
        assertEquals("DELTA [s 1 GONE, t 1 READY]", Peers.next(module.lists, "the replacement"));
        second.reset();
        assertEquals(502, unsafe.read().status(), "it may have run: nobody gets it again");
        module.onRequest = r -> {
            module.actions.send("safe", "t", 0);
            module.actions.send(r.id(), "s", 0);
        };
        Client other = client().safe("other", 20_000);
        assertEquals("after", safe.read().text());
        AttemptEnd end = Peers.next(held, "nothing goes to the old id");
        assertEquals("other", end.requestId());
        assertEquals(Outcome.IGNORED, end.outcome());
        module.onRequest = r -> {
            module.actions.send("other", "t", 0);
            module.actions.refuse(r.id(), 0);
        };
        assertEquals(503, client().safe("word", 20_000).read().status());
        assertEquals("after", other.read().text());
        assertEquals(2, before.seen.size());
        assertEquals(2, after.seen.size());
    }

    @Test
    void oneAddressUnderAnotherIdIsAConnectionOfItsOwn() throws Exception {
        // What is left of the process before leads nowhere, and what the list says of its successor counts anew.
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        Seen watch = discovery.asked();
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        assertEquals(200, client().safe("a", 20_000).read().status());
        Seen first = Peers.next(host.seen, "the first");
        Discovery.push(watch, Peers.list(2, true, Peers.host("t", host.address(), "in_service")));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the replacement"));
        first.awaitEnd();
        module.onRequest = r -> module.actions.send(r.id(), "t", 0);
        assertEquals(200, client().safe("b", 20_000).read().status());
        assertEquals(2, host.connections.size());
    }
}
