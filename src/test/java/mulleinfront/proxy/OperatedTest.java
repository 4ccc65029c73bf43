package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer;
import mulleinfront.manage.ManagementServer;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** The management endpoint, and the effect of connection draining on clients. */
class OperatedTest extends ProxyTestBase {
    private void start(Server host) throws Exception {
        discovery = closeAfterTest(new StandIns.DiscoveryStandIn());
        String config = StandIns.configJson(
                0,
                discovery.server.address(),
                "",
                host == null
                        ? "null"
                        : StandIns.listJson(1, true, StandIns.endpointJson("s", host.address(), "in_service")));
        proxy = ClientProxy.start(
                Config.parse(config.replace("{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:0\"")
                        .getBytes(StandardCharsets.UTF_8)),
                Balancer::create);
        ClientProxy.openManagement(List.of(proxy));
    }

    private String sendCommand(String command) throws IOException {
        return sendCommand(proxy.managementPort(), command);
    }

    static String sendCommand(int port, String command) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) StandIns.TIMEOUT_S * 1000);
            socket.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String answer = in.readLine();
            assertNull(in.readLine(), "one line, then the end");
            return answer;
        }
    }

    @Test
    void healthIsOkOnceClientsAreAccepted() throws Exception {
        start(null);
        assertEquals("-ERR starting", sendCommand("health\n"));
        Server host = startServer(request -> request.respondOk("x"));
        StandIns.DiscoveryStandIn.push(
                discovery.acceptWatch(),
                StandIns.listJson(1, true, StandIns.endpointJson("s", host.address(), "in_service")));
        while (readyStatus() != 200) {
            Thread.sleep(5);
        }
        assertEquals("+OK serving", sendCommand("health\r\n"));
    }

    @Test
    void invalidCommandsAffectOnlyTheirOwnConnection() throws Exception {
        start(startServer(request -> request.respondOk("x")));
        for (int i = 0; i < 3 * ManagementServer.MAX_CONNECTIONS; i++) {
            Socket silent = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), proxy.managementPort()));
            silent.getOutputStream().write(i % 2 == 0 ? new byte[0] : "heal".getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("+OK serving", sendCommand("health\n"));
        assertTrue(sendCommand("x".repeat(5_000) + "\n").startsWith("-ERR a call has "));
        assertTrue(sendCommand("restart\n").startsWith("-ERR unknown call"));
        assertTrue(sendCommand("\n").startsWith("-ERR unknown call"));
        assertEquals("+OK none", sendCommand("refusals\n"), "no request was refused or failed");
        assertEquals("+OK serving", sendCommand("HEALTH\nquiesce\n"), "one command per connection");
        assertEquals(200, readyStatus());
    }

    @Test
    void shutdownDropsHalfRequestsAndAnswersOpenOnes() throws Exception {
        Server host = startServer(request -> {});
        start(host);
        Client half = connectClient().write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\n");
        Client body = connectClient()
                .write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Class: unsafe\r\n"
                        + "X-Deadline-Ms: 9000\r\nContent-Length: 9\r\n\r\nhalf");
        Client open = connectClient().postUnsafe("out", 20_000);
        StandIns.ReceivedRequest inFlight = StandIns.awaitNext(host.received, "the request in flight");
        Future<?> shutdown = proxy.drain();
        assertTrue(half.closed());
        body.socket.getInputStream().readAllBytes();
        assertFalse(shutdown.isDone(), "one request is still open");
        inFlight.respondOk("last");
        assertEquals("last", open.read().text());
        assertTrue(shutdown.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, host.received.size(), "nothing else was sent");
        proxy = null;
    }

    @Test
    void quiesceClosesConnectionsAndLosesNothing() throws Exception {
        Server host = startServer(request -> {
            if (!request.message().header("x-request-id").equals("out")) {
                request.respondOk("x");
            }
        });
        start(host);
        Client kept = connectClient();
        Client idle = connectClient();
        Client open = connectClient();
        Client half = connectClient();
        assertEquals(200, kept.postUnsafe("a", 20_000).read().status());
        assertEquals(200, idle.postUnsafe("b", 20_000).read().status());
        StandIns.awaitNext(host.received, "a");
        StandIns.awaitNext(host.received, "b");
        open.postUnsafe("out", 20_000);
        StandIns.ReceivedRequest inFlight = StandIns.awaitNext(host.received, "the request in flight");
        half.write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\n");

        assertEquals("+OK quiesced", sendCommand("quiesce\n"));
        assertEquals("+OK quiesced", sendCommand("quiesce\n"));
        assertEquals("-ERR quiesced", sendCommand("health\n"));
        assertEquals(503, readyStatus());
        StandIns.Message last = kept.postUnsafe("c", 20_000).read();
        assertEquals(200, last.status(), "a request on a connection that is still open is served");
        assertEquals("close", last.header("connection"));
        assertTrue(kept.closed());
        StandIns.Message onNewConnection =
                connectClient().postUnsafe("d", 20_000).read();
        assertEquals(200, onNewConnection.status(), "a new connection is still accepted for a short time");
        assertEquals("close", onNewConnection.header("connection"));
        assertTrue(idle.closed());
        half.write("X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
        assertEquals(200, half.read().status(), "a connection with a partly read request is not idle");
        inFlight.respondOk("late");
        assertEquals("late", open.read().text());
        assertTrue(open.closed());

        assertEquals("+OK serving", sendCommand("resume\n"));
        assertEquals(200, readyStatus());
        Client afterResume = connectClient();
        assertNull(afterResume.postUnsafe("e", 20_000).read().header("connection"));
        assertEquals(200, afterResume.postUnsafe("f", 20_000).read().status());
    }
}
