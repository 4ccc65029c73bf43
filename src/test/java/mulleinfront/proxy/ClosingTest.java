package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** Closing client connections: no response is lost to a reset, and no request that arrives afterwards is forwarded. */
class ClosingTest extends ProxyTestBase {
    private static String getRequest(String id, String headers) {
        return "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n"
                + headers + "\r\n";
    }

    /**
     * Checks that the connection ends without a reset, which could discard data sent before it: the proxy still reads
     * what the client sends for a while after the end. A reset is accepted only after 200 ms, on a machine so slow that
     * this time has passed.
     */
    private static void assertClosesWithoutReset(Client client) throws Exception {
        assertEquals(-1, client.in.read(), "the end of the stream, without a reset");
        long endedAtNanos = System.nanoTime();
        try {
            for (int i = 0; i < 10; i++) {
                client.write("G");
                Thread.sleep(2);
            }
        } catch (SocketException reset) {
            assertTrue(System.nanoTime() - endedAtNanos > TimeUnit.MILLISECONDS.toNanos(200), reset.toString());
        }
    }

    @Test
    void unreadRequestsDoNotResetTheResponse() throws Exception {
        // Guards against a lost response: closing a socket with unread bytes sends a reset, which may overtake the
        // response.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        StringBuilder pipelined = new StringBuilder(getRequest("first", "Connection: close\r\n"));
        for (int i = 0; i < 2_000; i++) {
            pipelined.append(getRequest("more" + i, "X-Pad: " + "p".repeat(500) + "\r\n"));
        }
        Client client = connectClient().write(pipelined.toString());
        StandIns.awaitNext(received, "the first request").respondOk("mine");
        assertEquals("mine", client.read().text());
        assertClosesWithoutReset(client);
        client.close();
        Client other = connectClient().getSafe("other", 20_000);
        StandIns.awaitNext(received, "the other client's request").respondOk("x");
        assertEquals(200, other.read().status());
        assertTrue(received.isEmpty(), "no later request was forwarded");
    }

    @Test
    void requestAfterTheCloseIsNotForwarded() throws Exception {
        // Guards against executing a request twice: the client assumes that it was not read, and sends it again.
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient().write(getRequest("last", "Connection: close\r\n"));
        assertEquals(200, client.read().status());
        assertEquals(-1, client.in.read(), "the end of the stream");
        client.postUnsafe("late", 20_000);
        client.socket.shutdownOutput();
        assertEquals(
                "last",
                StandIns.awaitNext(host.received, "the only request").message().header("x-request-id"));
        assertEquals(200, connectClient().getSafe("after", 20_000).read().status());
        assertEquals(
                "after",
                StandIns.awaitNext(host.received, "the next request").message().header("x-request-id"));
    }

    @Test
    void idleConnectionClosesWithoutAReset() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        Client client = connectClient().getSafe("a", 20_000);
        assertEquals(200, client.read().status());
        assertClosesWithoutReset(client);
        // Half of another request arrives after the end: it is read and discarded.
        client.write("GET /api HTTP/1.1\r\nX-Requ");
        client.socket.shutdownOutput();
        assertEquals(200, connectClient().getSafe("b", 20_000).read().status());
    }

    /** A client with half a request: a drain closes its connection only after it has stopped accepting requests. */
    private Client connectWithHalfRequest() throws Exception {
        return connectClient().write("GET /api HTTP/1.1\r\nX-Requ");
    }

    @Test
    void disconnectDuringADrainIsNoticed() throws Exception {
        // Guards against forwarding requests of disconnected clients: only a read detects the disconnect, and the
        // drain had stopped reading.
        startProxy("");
        BlockingQueue<String> accepted = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> accepted.add(request.id());
        Client half = connectWithHalfRequest();
        Client stays = connectClient().getSafe("stays", 20_000);
        StandIns.awaitNext(accepted, "the request of the client that stays");
        List<Client> leavingClients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            leavingClients.add(connectClient().getSafe("id" + i, 20_000));
            StandIns.awaitNext(accepted, "request " + i);
        }
        proxy.drain();
        assertClosesWithoutReset(half);
        for (Client client : leavingClients) {
            client.close();
        }
        // The client that stays is answered when the drain's time is over; the disconnects are noticed before that.
        for (int i = 0; i < 20; i++) {
            assertTrue(
                    StandIns.awaitNext(balancer.abandonedRequests, "disconnect " + i)
                            .startsWith("id"),
                    "disconnect " + i);
        }
        assertEquals(503, stays.read().status());
        assertEquals(
                "stays", StandIns.awaitNext(balancer.abandonedRequests, "the end of the request that stayed open"));
    }

    @Test
    void disconnectBehindUnreadRequestsIsNoticed() throws Exception {
        startProxy("");
        BlockingQueue<String> accepted = new LinkedBlockingQueue<>();
        balancer.onRequest = request -> accepted.add(request.id());
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            pipelined.append(getRequest("id" + i, "X-Pad: " + "p".repeat(1_000) + "\r\n"));
        }
        Client client = connectClient().write(pipelined.toString());
        assertEquals("id0", StandIns.awaitNext(accepted, "the first request"));
        Client stays = connectClient().getSafe("stays", 5_000);
        assertEquals("stays", StandIns.awaitNext(accepted, "the request of the client that stays"));
        client.close();
        assertEquals(
                "id0",
                StandIns.awaitNext(
                        balancer.abandonedRequests, "the disconnect, long before the other client's deadline"));
        assertEquals(503, stays.read().status());
        assertNull(accepted.poll(), "its pipelined requests were never started");
    }

    @Test
    void drainCompletesAResponseBeingWritten() throws Exception {
        // Guards against a truncated response: a connection whose response was being written looked idle, and a
        // drain closes idle connections.
        String largeBody = "x".repeat(Framing.MAX_BUFFERED_BODY_BYTES);
        Server host = startServer(request -> request.respondOk(largeBody));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        int count = 70;
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < count; i++) {
            pipelined.append(getRequest("i" + i, ""));
        }
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(8 * 1024);
            slow.setSoTimeout((int) StandIns.TIMEOUT_S * 1000);
            slow.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port()));
            slow.getOutputStream().write(pipelined.toString().getBytes(StandardCharsets.US_ASCII));
            int receivedBefore;
            do {
                receivedBefore = host.received.size();
                Thread.sleep(200);
            } while (receivedBefore == 0 || host.received.size() > receivedBefore);
            assertTrue(receivedBefore < count, "all responses were written although the client reads nothing");
            Client half = connectWithHalfRequest();
            proxy.drain();
            assertClosesWithoutReset(half);
            InputStream in = new BufferedInputStream(slow.getInputStream());
            Message last = null;
            for (int i = 0; i < count; i++) {
                last = StandIns.read(in);
                assertEquals(largeBody.length(), last.body().length);
            }
            assertEquals("close", last.header("connection"));
            assertEquals(-1, in.read());
        }
    }
}
