package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Bodies and answers that are too large to be held: they go on while they come, under the same rules. */
class BodiesTest extends ProxyRig {
    private static final int LARGE = 5_000_000;
    /** More than all the sockets' buffers on the way can hold. */
    private static final int MOST = 32_000_000;

    private static byte[] noise(int size) {
        byte[] bytes = new byte[size];
        new Random(size).nextBytes(bytes);
        return bytes;
    }

    private Server serving(Consumer<Seen> script) throws Exception {
        Server host = host(script);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (!e.requestDone() && e.outcome().neverRan()) {
                module.actions.refuse(e.requestId(), 0);
            } else if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        return host;
    }

    private static String post(String id, long deadlineMs, String length) {
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\n" + length + "\r\n";
    }

    private static void chunk(OutputStream out, byte[] bytes, int from, int to) throws IOException {
        out.write((Integer.toHexString(to - from) + ";ext=1\r\n").getBytes());
        out.write(bytes, from, to - from);
        out.write("\r\n".getBytes());
    }

    private static void write(Seen seen, byte[] bytes) {
        try {
            seen.socket().getOutputStream().write(bytes);
        } catch (IOException e) {
            // the proxy has closed
        }
    }

    @Test
    void aLargeBodyGoesOnInBothFramings() throws Exception {
        serving(s -> s.served("" + Arrays.hashCode(s.message().body())));
        byte[] body = noise(LARGE);
        Client client = client().write(post("a", 20_000, "Content-Length: " + LARGE + "\r\n"));
        client.socket.getOutputStream().write(body);
        assertEquals("" + Arrays.hashCode(body), client.read().text());
        OutputStream out = client.write(post("b", 20_000, "Transfer-Encoding: chunked\r\n"))
                .socket
                .getOutputStream();
        int at = 0;
        for (int size = 1; at < LARGE; size = size * 3 % 70_001) {
            chunk(out, body, at, Math.min(LARGE, at + size));
            at = Math.min(LARGE, at + size);
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes());
        assertEquals("" + Arrays.hashCode(body), client.read().text(), "on the same connection");
        assertEquals(200, client.unsafe("c", 20_000).read().status(), "which is still in step");
    }

    @Test
    void aRequestsTimeCountsFromItsLastByte() throws Exception {
        serving(s -> s.served("x"));
        byte[] body = noise(200_000);
        Client client = client().write(post("a", 300, "Content-Length: 200000\r\n"));
        for (int i = 0; i < 10; i++) {
            client.socket.getOutputStream().write(body, i * 20_000, 20_000);
            Thread.sleep(100);
        }
        assertEquals(200, client.read().status());
    }

    @Test
    void aLargeAnswerComesUnchangedInEveryFraming() throws Exception {
        byte[] body = noise(LARGE);
        serving(s -> {
            String ok = "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n";
            switch (s.message().header("x-request-id")) {
                case "length" -> s.write(ok + "Content-Length: " + LARGE + "\r\n\r\n");
                case "chunks" -> {
                    s.write(ok + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LARGE) + "\r\n");
                    write(s, body);
                    s.write("\r\n0\r\n\r\n");
                    return;
                }
                default -> s.write(ok + "Connection: close\r\n\r\n");
            }
            write(s, body);
            if (s.message().header("x-request-id").equals("close")) {
                s.finish();
            }
        });
        Client client = client();
        for (String id : List.of("length", "chunks", "close", "length")) {
            Message answer = client.safe(id, 20_000).read();
            assertEquals(200, answer.status());
            assertEquals("text/x", answer.header("content-type"));
            assertArrayEquals(body, answer.body(), id);
        }
        Client old = client().write("GET /api HTTP/1.0\r\nX-Request-Id: chunks\r\nX-Class: safe\r\n"
                + "X-Deadline-Ms: 9000\r\n\r\n");
        assertEquals(200, old.readHead().status());
        assertArrayEquals(body, old.in.readAllBytes(), "an old client is told by the end of the connection");
    }

    @Test
    void firstBytesArePassedOnWhileTheRestIsToCome() throws Exception {
        CountDownLatch rest = new CountDownLatch(1);
        byte[] body = noise(200_000);
        serving(s -> {
            boolean chunked = s.message().header("x-request-id").equals("b");
            s.write("HTTP/1.1 200 OK\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" : "Content-Length: 200000\r\n\r\n"));
            write(s, Arrays.copyOf(body, 1_000));
            await(rest);
            write(s, Arrays.copyOfRange(body, 1_000, 200_000));
            s.write(chunked ? "\r\n0\r\n\r\n" : "");
        });
        Client stated = client().safe("a", 5_000);
        Client chunked = client().safe("b", 5_000);
        assertEquals(200, stated.readHead().status());
        assertArrayEquals(Arrays.copyOf(body, 1_000), stated.in.readNBytes(1_000));
        assertEquals(200, chunked.readHead().status());
        assertArrayEquals(Arrays.copyOf(body, 1_000), Peers.readChunk(chunked.in));
        rest.countDown();
        assertArrayEquals(Arrays.copyOfRange(body, 1_000, 200_000), stated.in.readNBytes(199_000));
        assertEquals(Outcome.OK, Peers.next(module.ends, "an end").outcome());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void theHostIsReadAtTheClientsPace() throws Exception {
        // Guards the memory: what a slow client has not read must stay where it came from.
        AtomicLong written = new AtomicLong();
        byte[] piece = noise(100_000);
        serving(s -> {
            s.write("HTTP/1.1 200 OK\r\nContent-Length: " + MOST + "\r\n\r\n");
            for (int i = 0; i < MOST / piece.length; i++) {
                write(s, piece);
                written.addAndGet(piece.length);
            }
        });
        Client client = client().safe("a", 20_000);
        assertEquals(200, client.readHead().status());
        long before;
        do {
            before = written.get();
            Thread.sleep(300);
        } while (written.get() > before);
        assertTrue(before < MOST, "the host could write all of it to a client that reads nothing");
        for (int i = 0; i < MOST / piece.length; i++) {
            assertArrayEquals(piece, client.in.readNBytes(piece.length));
        }
        assertEquals(200, client.safe("b", 20_000).readHead().status());
    }

    @Test
    void theClientIsReadAtTheHostsPace() throws Exception {
        try (ServerSocket slow = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            start("", Peers.host("s", "127.0.0.1:" + slow.getLocalPort(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            Client client = client().write(post("a", 20_000, "Content-Length: " + MOST + "\r\n"));
            AtomicLong written = new AtomicLong();
            byte[] piece = noise(100_000);
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < MOST / piece.length; i++) {
                        client.socket.getOutputStream().write(piece);
                        written.addAndGet(piece.length);
                    }
                } catch (IOException e) {
                    // closed at the end of a failed test
                }
            });
            writer.setDaemon(true);
            writer.start();
            try (Socket host = slow.accept()) {
                long before;
                do {
                    before = written.get();
                    Thread.sleep(300);
                } while (written.get() > before);
                assertTrue(before < MOST, "all of it was taken from a client whose host reads nothing");
                InputStream in = new BufferedInputStream(host.getInputStream());
                Message got = Peers.read(in);
                assertEquals(MOST, got.body().length);
                host.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na".getBytes());
                assertEquals("a", client.read().text());
            }
        }
    }

    @Test
    void anAnswerThatBreaksOffIsTheClientsAndIsNeverTriedAgain() throws Exception {
        Server host = serving(s -> {
            s.write("HTTP/1.1 200 OK\r\n"
                    + (s.message().header("x-request-id").equals("length")
                            ? "Content-Length: 5000000\r\n\r\n"
                            : s.message().header("x-request-id").equals("chunks")
                                    ? "Transfer-Encoding: chunked\r\n\r\n4c4b40\r\n"
                                    : "Connection: close\r\n\r\n"));
            write(s, noise(100_000));
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            s.reset();
        });
        for (String id : List.of("length", "chunks", "close")) {
            Client client = client().safe(id, 20_000);
            assertThrows(IOException.class, client::read, id + ": the client can tell that it is not whole");
            assertEquals(Outcome.RESET, Peers.next(module.ends, "the end").outcome());
        }
        assertEquals(3, host.seen.size(), "also one that is safe to repeat is not sent again");
    }

    @Test
    void aHostThatEndsBeforeTheLastByteHasNotRunIt() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            start("", Peers.host("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            // A module that would try for ever: the body can't be sent from its beginning once more.
            module.onEnd = e -> {
                if (e.attempt() < 3) {
                    module.actions.send(e.requestId(), "s", 0);
                } else {
                    module.actions.refuse(e.requestId(), 0);
                }
            };
            Client client = client().write(post("a", 20_000, "Content-Length: 1000000\r\n"));
            client.socket.getOutputStream().write(noise(200_000));
            try (Socket host = listening.accept()) {
                assertEquals(150_000, host.getInputStream().readNBytes(150_000).length);
                host.setSoLinger(true, 0);
            }
            assertEquals(
                    Outcome.CONNECT_ERROR, Peers.next(module.ends, "the end").outcome());
            assertEquals(
                    Outcome.IGNORED, Peers.next(module.ends, "the second's end").outcome());
            client.socket.getOutputStream().write(noise(100_000));
            assertEquals(503, client.read().status(), "nothing ran: it may be tried again by the client");
            assertTrue(client.closed());
            listening.setSoTimeout(200);
            assertThrows(IOException.class, listening::accept, "nothing more was sent for it");
        }
    }

    @Test
    void aClientThatLeavesTakesItsAttemptAlong() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        Server host = serving(s -> {
            s.write("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
            write(s, noise(100_000));
            begun.countDown();
        });
        Client reader = client().safe("down", 20_000);
        reader.readHead();
        await(begun);
        reader.close();
        Peers.next(host.seen, "the request").awaitEnd();
        assertEquals("down", Peers.next(module.gone, "word of it"));
        assertEquals(Outcome.CANCELED, Peers.next(module.ends, "the end").outcome());
        // And half a body: the host has the beginning of a request that never comes to its end.
        Client writer = client().write(post("up", 20_000, "Content-Length: 1000000\r\n"));
        writer.socket.getOutputStream().write(noise(200_000));
        while (host.connections.size() < 2) {
            Thread.sleep(5);
        }
        writer.close();
        assertEquals("up", Peers.next(module.gone, "word of it"));
        assertEquals(Outcome.CANCELED, Peers.next(module.ends, "the end").outcome());
        assertEquals(0, host.seen.size(), "it never came in whole");
    }

    @Test
    void aBodyThatStallsIsToldSo() throws Exception {
        serving(s -> s.served("x"));
        Client client = client().write(post("a", 20_000, "Content-Length: 1000000\r\n"));
        client.socket.getOutputStream().write(noise(200_000));
        assertEquals(408, client.read().status());
        assertTrue(client.closed());
        assertEquals("a", Peers.next(module.gone, "word of it"));
    }

    @Test
    void aBodyThatIsTooLargeShowsAsItComes() throws Exception {
        Server host = serving(s -> s.served("x"));
        Client client = client().write(post("a", 20_000, "Transfer-Encoding: chunked\r\n"));
        byte[] piece = noise(1_000_000);
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 60; i++) {
                    chunk(client.socket.getOutputStream(), piece, 0, piece.length);
                }
            } catch (IOException e) {
                // told and closed on
            }
        });
        writer.setDaemon(true);
        writer.start();
        assertEquals(413, client.read().status());
        assertEquals(0, host.seen.size(), "it never came in whole");
    }

    @Test
    void anAnswerThatStallsWhenItsClientsTimeIsUpIsCutOff() throws Exception {
        // Guards rule 1: who is told nothing half a second after its time has lost its request.
        serving(s -> s.write("HTTP/1.1 200 OK\r\n"
                + (s.message().header("x-request-id").equals("chunks")
                        ? "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun"
                        : "Connection: close\r\n\r\nbegun")));
        Client later = client().safe("later", 20_000);
        later.readHead();
        assertEquals("begun", new String(Peers.readChunk(later.in)));
        Client chunked = client().safe("chunks", 500);
        chunked.readHead();
        assertEquals("begun", new String(Peers.readChunk(chunked.in)));
        Client old = client().write(
                        "GET /api HTTP/1.0\r\nX-Request-Id: old\r\nX-Class: safe\r\n" + "X-Deadline-Ms: 500\r\n\r\n");
        old.readHead();
        assertEquals("begun", new String(old.in.readNBytes(5)));
        assertThrows(IOException.class, () -> Peers.readChunk(chunked.in), "not whole");
        assertThrows(IOException.class, old.in::read, "nor this: a mere end would be the end of the answer");
        assertEquals(0, later.in.available());
        later.socket.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, later.in::read, "whose time is not up may go on");
    }
}
