package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
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
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Request and response bodies that are too large to buffer: they are streamed, under the same invariants. */
class BodiesTest extends ProxyTestBase {
    private static final int LARGE_BYTES = 5_000_000;
    /** More than all socket buffers on the path can hold. */
    private static final int EXCEEDS_BUFFERS_BYTES = 32_000_000;

    private static byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        new Random(size).nextBytes(bytes);
        return bytes;
    }

    private Server startWithServer(Consumer<ReceivedRequest> script) throws Exception {
        Server host = startServer(script);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        balancer.onAttemptEnd = attemptEnd -> {
            if (!attemptEnd.requestDone() && attemptEnd.outcome().neverRan()) {
                balancer.actions.refuse(attemptEnd.requestId(), 0);
            } else if (!attemptEnd.requestDone()) {
                balancer.actions.fail(attemptEnd.requestId());
            }
        };
        return host;
    }

    private static String postHead(String id, long deadlineMs, String framing) {
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\n" + framing + "\r\n";
    }

    private static void writeChunk(OutputStream out, byte[] bytes, int from, int to) throws IOException {
        out.write((Integer.toHexString(to - from) + ";ext=1\r\n").getBytes());
        out.write(bytes, from, to - from);
        out.write("\r\n".getBytes());
    }

    private static void writeBytes(ReceivedRequest seen, byte[] bytes) {
        try {
            seen.socket().getOutputStream().write(bytes);
        } catch (IOException e) {
            // the proxy has closed the connection
        }
    }

    @Test
    void largeRequestsAreForwardedInBothFramings() throws Exception {
        startWithServer(request ->
                request.respondOk("" + Arrays.hashCode(request.message().body())));
        byte[] body = randomBytes(LARGE_BYTES);
        Client client = connectClient().write(postHead("a", 20_000, "Content-Length: " + LARGE_BYTES + "\r\n"));
        client.socket.getOutputStream().write(body);
        assertEquals("" + Arrays.hashCode(body), client.read().text());
        OutputStream out = client.write(postHead("b", 20_000, "Transfer-Encoding: chunked\r\n"))
                .socket
                .getOutputStream();
        int offset = 0;
        for (int size = 1; offset < LARGE_BYTES; size = size * 3 % 70_001) {
            writeChunk(out, body, offset, Math.min(LARGE_BYTES, offset + size));
            offset = Math.min(LARGE_BYTES, offset + size);
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes());
        assertEquals("" + Arrays.hashCode(body), client.read().text(), "on the same connection");
        assertEquals(200, client.postUnsafe("c", 20_000).read().status(), "the connection is still in sync");
    }

    @Test
    void deadlineCountsFromTheLastRequestByte() throws Exception {
        startWithServer(request -> request.respondOk("x"));
        byte[] body = randomBytes(200_000);
        Client client = connectClient().write(postHead("a", 300, "Content-Length: 200000\r\n"));
        for (int i = 0; i < 10; i++) {
            client.socket.getOutputStream().write(body, i * 20_000, 20_000);
            Thread.sleep(100);
        }
        assertEquals(200, client.read().status());
    }

    @Test
    void largeResponsesAreForwardedUnchangedInEveryFraming() throws Exception {
        byte[] body = randomBytes(LARGE_BYTES);
        startWithServer(request -> {
            String ok = "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n";
            switch (request.message().header("x-request-id")) {
                case "length" -> request.write(ok + "Content-Length: " + LARGE_BYTES + "\r\n\r\n");
                case "chunks" -> {
                    request.write(
                            ok + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LARGE_BYTES) + "\r\n");
                    writeBytes(request, body);
                    request.write("\r\n0\r\n\r\n");
                    return;
                }
                default -> request.write(ok + "Connection: close\r\n\r\n");
            }
            writeBytes(request, body);
            if (request.message().header("x-request-id").equals("close")) {
                request.shutDownOutput();
            }
        });
        Client client = connectClient();
        for (String id : List.of("length", "chunks", "close", "length")) {
            Message answer = client.getSafe(id, 20_000).read();
            assertEquals(200, answer.status());
            assertEquals("text/x", answer.header("content-type"));
            assertArrayEquals(body, answer.body(), id);
        }
        Client http10Client = connectClient()
                .write("GET /api HTTP/1.0\r\nX-Request-Id: chunks\r\nX-Class: safe\r\n"
                        + "X-Deadline-Ms: 9000\r\n\r\n");
        assertEquals(200, http10Client.readHead().status());
        assertArrayEquals(
                body, http10Client.in.readAllBytes(), "the end of the connection ends the body for an HTTP/1.0 client");
    }

    @Test
    void responseIsForwardedBeforeItIsComplete() throws Exception {
        CountDownLatch releaseRest = new CountDownLatch(1);
        byte[] body = randomBytes(200_000);
        startWithServer(request -> {
            boolean chunked = request.message().header("x-request-id").equals("b");
            request.write("HTTP/1.1 200 OK\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" : "Content-Length: 200000\r\n\r\n"));
            writeBytes(request, Arrays.copyOf(body, 1_000));
            await(releaseRest);
            writeBytes(request, Arrays.copyOfRange(body, 1_000, 200_000));
            request.write(chunked ? "\r\n0\r\n\r\n" : "");
        });
        Client withLength = connectClient().getSafe("a", 5_000);
        Client chunked = connectClient().getSafe("b", 5_000);
        assertEquals(200, withLength.readHead().status());
        assertArrayEquals(Arrays.copyOf(body, 1_000), withLength.in.readNBytes(1_000));
        assertEquals(200, chunked.readHead().status());
        assertArrayEquals(Arrays.copyOf(body, 1_000), StandIns.readChunk(chunked.in));
        releaseRest.countDown();
        assertArrayEquals(Arrays.copyOfRange(body, 1_000, 200_000), withLength.in.readNBytes(199_000));
        assertEquals(
                Outcome.OK, StandIns.awaitNext(balancer.attemptEnds, "an end").outcome());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void endpointIsReadAtTheClientsPace() throws Exception {
        // Guards memory: the proxy must not read what a slow client has not read yet.
        AtomicLong written = new AtomicLong();
        byte[] piece = randomBytes(100_000);
        startWithServer(request -> {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: " + EXCEEDS_BUFFERS_BYTES + "\r\n\r\n");
            for (int i = 0; i < EXCEEDS_BUFFERS_BYTES / piece.length; i++) {
                writeBytes(request, piece);
                written.addAndGet(piece.length);
            }
        });
        Client client = connectClient().getSafe("a", 20_000);
        assertEquals(200, client.readHead().status());
        long before;
        do {
            before = written.get();
            Thread.sleep(300);
        } while (written.get() > before);
        assertTrue(before < EXCEEDS_BUFFERS_BYTES, "the endpoint wrote all of it although the client reads nothing");
        for (int i = 0; i < EXCEEDS_BUFFERS_BYTES / piece.length; i++) {
            assertArrayEquals(piece, client.in.readNBytes(piece.length));
        }
        assertEquals(200, client.getSafe("b", 20_000).readHead().status());
    }

    /** Writes pieces to a client's connection in a thread of their own, until the last one or the connection's end. */
    private static void writeInBackground(Client client, byte[] piece, int pieces, AtomicLong writtenBytes) {
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < pieces; i++) {
                    client.socket.getOutputStream().write(piece);
                    writtenBytes.addAndGet(piece.length);
                }
            } catch (IOException closed) {
                // the proxy has answered and closed the connection, or the test has ended
            }
        });
        writer.setDaemon(true);
        writer.start();
    }

    @Test
    void clientIsReadAtTheEndpointsPace() throws Exception {
        try (ServerSocket slow = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + slow.getLocalPort(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            Client client =
                    connectClient().write(postHead("a", 20_000, "Content-Length: " + EXCEEDS_BUFFERS_BYTES + "\r\n"));
            AtomicLong written = new AtomicLong();
            byte[] piece = randomBytes(100_000);
            writeInBackground(client, piece, EXCEEDS_BUFFERS_BYTES / piece.length, written);
            try (Socket host = slow.accept()) {
                long before;
                do {
                    before = written.get();
                    Thread.sleep(300);
                } while (written.get() > before);
                assertTrue(
                        before < EXCEEDS_BUFFERS_BYTES,
                        "all of it was read from the client although the endpoint reads nothing");
                InputStream in = new BufferedInputStream(host.getInputStream());
                Message request = StandIns.read(in);
                assertEquals(EXCEEDS_BUFFERS_BYTES, request.body().length);
                host.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na".getBytes());
                assertEquals("a", client.read().text());
            }
        }
    }

    @Test
    void brokenResponseIsForwardedAndNotRetried() throws Exception {
        Server host = startWithServer(request -> {
            request.write("HTTP/1.1 200 OK\r\n"
                    + (request.message().header("x-request-id").equals("length")
                            ? "Content-Length: 5000000\r\n\r\n"
                            : request.message().header("x-request-id").equals("chunks")
                                    ? "Transfer-Encoding: chunked\r\n\r\n4c4b40\r\n"
                                    : "Connection: close\r\n\r\n"));
            writeBytes(request, randomBytes(100_000));
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            request.reset();
        });
        for (String id : List.of("length", "chunks", "close")) {
            Client client = connectClient().getSafe(id, 20_000);
            assertThrows(IOException.class, client::read, id + ": the client can tell that the response is incomplete");
            assertEquals(
                    Outcome.RESET,
                    StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
        }
        assertEquals(3, host.received.size(), "a request that is safe to retry is not sent again either");
    }

    @Test
    void connectionLostBeforeTheLastRequestByteIsConnectError() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + listening.getLocalPort(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            // The balancer keeps retrying, but a partly forwarded body cannot be sent from its beginning again.
            balancer.onAttemptEnd = attemptEnd -> {
                if (attemptEnd.attempt() < 3) {
                    balancer.actions.send(attemptEnd.requestId(), "s", 0);
                } else {
                    balancer.actions.refuse(attemptEnd.requestId(), 0);
                }
            };
            Client client = connectClient().write(postHead("a", 20_000, "Content-Length: 1000000\r\n"));
            client.socket.getOutputStream().write(randomBytes(200_000));
            try (Socket host = listening.accept()) {
                assertEquals(150_000, host.getInputStream().readNBytes(150_000).length);
                host.setSoLinger(true, 0);
            }
            assertEquals(
                    Outcome.CONNECT_ERROR,
                    StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
            assertEquals(
                    Outcome.IGNORED,
                    StandIns.awaitNext(balancer.attemptEnds, "the end of the second attempt")
                            .outcome());
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals(503, client.read().status(), "no attempt ran, so the client may retry");
            assertTrue(client.closed());
            listening.setSoTimeout(200);
            assertThrows(IOException.class, listening::accept, "no further attempt was sent");
        }
    }

    @Test
    void disconnectCancelsTheAttempt() throws Exception {
        CountDownLatch responseStarted = new CountDownLatch(1);
        Server host = startWithServer(request -> {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
            writeBytes(request, randomBytes(100_000));
            responseStarted.countDown();
        });
        Client reader = connectClient().getSafe("down", 20_000);
        reader.readHead();
        await(responseStarted);
        reader.close();
        StandIns.awaitNext(host.received, "the request").awaitConnectionEnd();
        assertEquals("down", StandIns.awaitNext(balancer.abandonedRequests, "the abandoned request"));
        assertEquals(
                Outcome.CANCELED,
                StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
        // Half a request body: the endpoint has received the beginning of a request that is never completed.
        Client writer = connectClient().write(postHead("up", 20_000, "Content-Length: 1000000\r\n"));
        writer.socket.getOutputStream().write(randomBytes(200_000));
        while (host.connections.size() < 2) {
            Thread.sleep(5);
        }
        writer.close();
        assertEquals("up", StandIns.awaitNext(balancer.abandonedRequests, "the abandoned request"));
        assertEquals(
                Outcome.CANCELED,
                StandIns.awaitNext(balancer.attemptEnds, "the end").outcome());
        assertEquals(0, host.received.size(), "no endpoint received a complete request");
    }

    @Test
    void stalledRequestBodyTimesOut() throws Exception {
        startWithServer(request -> request.respondOk("x"));
        Client client = connectClient().write(postHead("a", 20_000, "Content-Length: 1000000\r\n"));
        client.socket.getOutputStream().write(randomBytes(200_000));
        assertEquals(408, client.read().status());
        assertTrue(client.closed());
        assertEquals("a", StandIns.awaitNext(balancer.abandonedRequests, "the abandoned request"));
    }

    @Test
    void oversizedChunkedBodyIsRejected() throws Exception {
        Server host = startWithServer(request -> request.respondOk("x"));
        Client client = connectClient().write(postHead("a", 20_000, "Transfer-Encoding: chunked\r\n"));
        byte[] piece = randomBytes(1_000_000);
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 60; i++) {
                    writeChunk(client.socket.getOutputStream(), piece, 0, piece.length);
                }
            } catch (IOException e) {
                // the proxy has responded and closed the connection
            }
        });
        writer.setDaemon(true);
        writer.start();
        assertEquals(413, client.read().status());
        assertEquals(0, host.received.size(), "no endpoint received a complete request");
    }

    @Test
    void responseStalledAtItsDeadlineIsAborted() throws Exception {
        // Guards against lost requests: one without a final answer half a second after its deadline is lost.
        startWithServer(request -> request.write("HTTP/1.1 200 OK\r\n"
                + (request.message().header("x-request-id").equals("chunks")
                        ? "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun"
                        : "Connection: close\r\n\r\nbegun")));
        Client later = connectClient().getSafe("later", 20_000);
        later.readHead();
        assertEquals("begun", new String(StandIns.readChunk(later.in)));
        Client chunked = connectClient().getSafe("chunks", 500);
        chunked.readHead();
        assertEquals("begun", new String(StandIns.readChunk(chunked.in)));
        Client http10Client = connectClient()
                .write("GET /api HTTP/1.0\r\nX-Request-Id: old\r\nX-Class: safe\r\n" + "X-Deadline-Ms: 500\r\n\r\n");
        http10Client.readHead();
        assertEquals("begun", new String(http10Client.in.readNBytes(5)));
        assertThrows(IOException.class, () -> StandIns.readChunk(chunked.in), "the response is incomplete");
        assertThrows(IOException.class, http10Client.in::read, "a regular close would end the response");
        assertEquals(0, later.in.available());
        later.socket.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, later.in::read, "a response before its client's deadline continues");
    }

    /** Interval between two reads or writes of a slow client. */
    private static final long PACE_MS = 20;

    /** What a client reads at a time that reads too slowly: a few hundred bytes a second. */
    private static final int SLOWLY_READ_BYTES = 10;

    /** The ways in which a server may send a response that never ends. */
    enum EndlessResponse {
        SLOW_CHUNKS("Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", 20),
        FAST_CHUNKS("Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n".repeat(1_000), 1),
        TRAILERS("Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n", "X-T: 1\r\n", 20),
        CHUNK_EXTENSION("Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5;", "x", 20),
        UNTIL_CLOSE("Connection: close\r\n\r\nabcde", "abcde", 20),
        LONG_LENGTH("Content-Length: 30000000\r\n\r\nabcde", "abcde", 20),
        SHORT_LENGTH("Content-Length: 60000\r\n\r\nabcde", "abcde", 20),
        HEAD("X-Long: a", "a", 20);

        final String start;
        final String piece;
        final long intervalMs;

        EndlessResponse(String start, String piece, long intervalMs) {
            this.start = start;
            this.piece = piece;
            this.intervalMs = intervalMs;
        }

        /** Sends the response until the proxy closes the connection. */
        void send(ReceivedRequest request) {
            try {
                OutputStream out = request.socket().getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\n" + start).getBytes());
                while (true) {
                    out.write(piece.getBytes());
                    Thread.sleep(intervalMs);
                }
            } catch (IOException closed) {
                // the end of the response
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Guards against lost requests: progress of a response may not keep it open beyond its client's deadline. */
    @ParameterizedTest
    @EnumSource
    void endlessResponseIsAnsweredOrAborted(EndlessResponse endless) throws Exception {
        Server server = startWithServer(endless::send);
        Client client = connectClient().getSafe("a", 500);
        Client http10Client = connectClient()
                .write("GET /api HTTP/1.0\r\nX-Request-Id: old\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\n\r\n");
        assertTrue(failsOrBreaksOff(client), "the client can tell that it is not served");
        assertTrue(failsOrBreaksOff(http10Client), "a regular close would end the response");
        for (int i = 0; i < 2; i++) {
            StandIns.awaitNext(server.received, "the request").awaitConnectionEnd();
        }
    }

    /** Whether a response is an error or breaks off. */
    private static boolean failsOrBreaksOff(Client client) throws IOException {
        return client.readHead().status() != 200 || breaksOff(client);
    }

    /** Reads to the end of the connection, within a time limit; returns whether that is a reset. */
    private static boolean breaksOff(Client client) {
        byte[] piece = new byte[10_000];
        long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        try {
            while (client.in.read(piece) >= 0 && System.nanoTime() < limitNanos) {
                // discards the body
            }
            return false;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /**
     * Guards against lost requests: a client that takes next to nothing may not keep its response open beyond its
     * deadline.
     */
    @Test
    void responseThatItsClientHardlyReadsIsAborted() throws Exception {
        Server server = startWithServer(request -> {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: " + EXCEEDS_BUFFERS_BYTES + "\r\n\r\n");
            writeBytes(request, new byte[EXCEEDS_BUFFERS_BYTES]);
        });
        Client client = connectClient().getSafe("a", 500);
        assertEquals(200, client.readHead().status());
        ReceivedRequest request = StandIns.awaitNext(server.received, "the request");
        long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (!request.connectionEnded().isDone() && System.nanoTime() < limitNanos) {
            client.in.readNBytes(SLOWLY_READ_BYTES);
            Thread.sleep(PACE_MS);
        }
        assertTrue(request.connectionEnded().isDone(), "the attempt ends while the client hardly reads");
        assertTrue(breaksOff(client), "the client can tell that the response is incomplete");
    }

    /** Guards against connections that stay open for ever: what a client sends does not show that it reads. */
    @Test
    void clientThatSendsAndDoesNotReadIsClosed() throws Exception {
        int responseBytes = 60_000;
        startWithServer(request -> request.respondOk("x".repeat(responseBytes)));
        Client client = connectClient();
        for (int i = 0; i < EXCEEDS_BUFFERS_BYTES / responseBytes; i++) {
            client.getSafe("id" + i, 60_000);
        }
        long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        assertThrows(IOException.class, () -> {
            while (System.nanoTime() < limitNanos) {
                client.socket.getOutputStream().write('G');
                Thread.sleep(PACE_MS);
            }
        });
    }

    /** Guards against an unanswered close: the client has sent all of its request, which its endpoint does not take. */
    @Test
    void requestThatItsEndpointDoesNotReadFailsAtItsDeadline() throws Exception {
        try (ServerSocket hung = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            startProxy("", StandIns.endpointJson("s", "127.0.0.1:" + hung.getLocalPort(), "in_service"));
            balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
            Client client =
                    connectClient().write(postHead("a", 500, "Content-Length: " + EXCEEDS_BUFFERS_BYTES + "\r\n"));
            writeInBackground(client, new byte[EXCEEDS_BUFFERS_BYTES], 1, new AtomicLong());
            assertEquals(504, client.read().status());
        }
    }

    /** Guards the end of the process: a response that never ends may not delay it beyond the shutdown deadline. */
    @Test
    void endlessResponseDoesNotDelayTheShutdown() throws Exception {
        startWithServer(EndlessResponse.SLOW_CHUNKS::send);
        Client client = connectClient().getSafe("a", 60_000);
        client.readHead();
        Future<?> shutdown = proxy.drain();
        assertTrue(breaksOff(client));
        assertTrue(shutdown.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS), "the shutdown ends");
        proxy = null;
    }
}
