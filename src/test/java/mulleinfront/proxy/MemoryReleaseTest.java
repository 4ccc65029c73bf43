package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.StandIns.Client;
import org.junit.jupiter.api.Test;

/** What is held for a connection is released with it, however it ends. */
class MemoryReleaseTest extends ProxyTestBase {
    private static final int LONG_ANSWER_BYTES = 3_000_000;
    private static final int CLIENTS_OF_EACH_KIND = 5;

    private static String post(String id, String framing) {
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n" + framing;
    }

    private static String get(String id) {
        return "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n\r\n";
    }

    /** Beginnings of requests, and whole ones, for each part of the account. */
    private static List<String> inputs(int number) {
        return List.of(
                "GET /api HTTP/1.1\r\nHost: h\r\n" + "a:b\r\n".repeat(500),
                post("half-body" + number, "Content-Length: 60000\r\n\r\n" + "x".repeat(30_000)),
                post("upload" + number, "Content-Length: 600000\r\n\r\n" + "x".repeat(300_000)),
                post("trailers" + number, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + "a: b\r\n".repeat(500)),
                post("noise" + number, "Content-Length: 9\r\n\r\n123456789") + "noise\r\n\r\n",
                get("long" + number),
                get("half-head" + number),
                get("half-answer" + number),
                get("pipelined" + number) + get("more" + number).repeat(50));
    }

    /** Guards against an account that fills up for good, after which only small requests would be accepted. */
    @Test
    void nothingIsHeldOnceAllConnectionsHaveEnded() throws Exception {
        StandIns.Server server = startServer(request -> {
            String id = request.message().header("x-request-id");
            if (id.startsWith("long")) {
                request.write("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n"
                        + "x".repeat(LONG_ANSWER_BYTES));
            } else if (id.startsWith("half-head")) {
                request.write("HTTP/1.1 200 OK\r\n" + "a:b\r\n".repeat(500));
            } else if (id.startsWith("half-answer")) {
                request.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(30_000));
            } else {
                request.respondOk("x");
            }
        });
        startProxy("", StandIns.endpointJson("s", server.address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_OF_EACH_KIND; i++) {
            for (String input : inputs(i)) {
                Client client = connectClient();
                client.socket.setSoLinger(i % 2 == 0, 0);
                clients.add(client.write(input));
            }
        }
        awaitHeld(true);
        assertTrue(proxy.heldBytes().get() > 0);
        for (Client client : clients) {
            client.close();
        }
        awaitHeld(false);
        assertEquals(0, proxy.heldBytes().get());
    }

    private void awaitHeld(boolean held) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (proxy.heldBytes().get() > 0 != held && System.nanoTime() < end) {
            Thread.sleep(5);
        }
    }
}
