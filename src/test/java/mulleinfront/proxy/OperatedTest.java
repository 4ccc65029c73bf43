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
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** The operators' door, and what a drain is to clients. */
class OperatedTest extends ProxyRig {
    private void start(Server host) throws Exception {
        discovery = keep(new Peers.Discovery());
        String config = Peers.config(
                0,
                discovery.server.address(),
                "",
                host == null ? "null" : Peers.list(1, true, Peers.host("s", host.address(), "in_service")));
        proxy = ClientProxy.start(
                Config.parse(config.replace("{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:0\"")
                        .getBytes(StandardCharsets.UTF_8)),
                Balancer::create);
        ClientProxy.operate(List.of(proxy));
    }

    private String call(String line) throws IOException {
        return call(proxy.managementPort(), line);
    }

    static String call(int port, String line) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            s.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            String answer = in.readLine();
            assertNull(in.readLine(), "one line, then the end");
            return answer;
        }
    }

    @Test
    void healthIsYesAsSoonAsClientsAreTaken() throws Exception {
        start(null);
        assertEquals("-ERR starting", call("health\n"));
        Server host = host(s -> s.served("x"));
        Peers.Discovery.push(discovery.asked(), Peers.list(1, true, Peers.host("s", host.address(), "in_service")));
        while (ready() != 200) {
            Thread.sleep(5);
        }
        assertEquals("+OK serving", call("health\r\n"));
    }

    @Test
    void callersThatSayNothingOrHalfOrTooMuchCostOnlyTheirOwnConnection() throws Exception {
        start(host(s -> s.served("x")));
        for (int i = 0; i < 3 * ManagementServer.MOST; i++) {
            Socket silent = keep(new Socket(InetAddress.getLoopbackAddress(), proxy.managementPort()));
            silent.getOutputStream().write(i % 2 == 0 ? new byte[0] : "heal".getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("+OK serving", call("health\n"));
        assertTrue(call("x".repeat(5_000) + "\n").startsWith("-ERR a call has "));
        assertTrue(call("restart\n").startsWith("-ERR unknown call"));
        assertTrue(call("\n").startsWith("-ERR unknown call"));
        assertEquals("+OK none", call("refusals\n"), "nothing has been given up");
        assertEquals("+OK serving", call("HEALTH\nquiesce\n"), "one call on a connection");
        assertEquals(200, ready());
    }

    @Test
    void atTheEndHalfARequestHoldsNobodyUpAndAnOpenOneIsAnswered() throws Exception {
        Server host = host(s -> {});
        start(host);
        Client half = client().write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\n");
        Client body = client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 9000\r\nContent-Length: 9\r\n\r\nhalf");
        Client out = client().unsafe("out", 20_000);
        Peers.Seen waiting = Peers.next(host.seen, "the request that is out");
        Future<?> end = proxy.drain();
        assertTrue(half.closed());
        body.socket.getInputStream().readAllBytes();
        assertFalse(end.isDone(), "one is still open");
        waiting.served("last");
        assertEquals("last", out.read().text());
        assertTrue(end.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(0, host.seen.size(), "nothing else was sent");
        proxy = null;
    }

    @Test
    void aDrainSendsClientsAwayAndLosesNothing() throws Exception {
        Server host = host(s -> {
            if (!s.message().header("x-request-id").equals("out")) {
                s.served("x");
            }
        });
        start(host);
        Client kept = client();
        Client idle = client();
        Client out = client();
        Client half = client();
        assertEquals(200, kept.unsafe("a", 20_000).read().status());
        assertEquals(200, idle.unsafe("b", 20_000).read().status());
        Peers.next(host.seen, "a");
        Peers.next(host.seen, "b");
        out.unsafe("out", 20_000);
        Peers.Seen waiting = Peers.next(host.seen, "the request that is out");
        half.write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\n");

        assertEquals("+OK quiesced", call("quiesce\n"));
        assertEquals("+OK quiesced", call("quiesce\n"));
        assertEquals("-ERR quiesced", call("health\n"));
        assertEquals(503, ready());
        Peers.Message last = kept.unsafe("c", 20_000).read();
        assertEquals(200, last.status(), "what comes on a connection that stays open is served");
        assertEquals("close", last.header("connection"));
        assertTrue(kept.closed());
        Peers.Message fresh = client().unsafe("d", 20_000).read();
        assertEquals(200, fresh.status(), "and so is a new connection: the front goes on for a moment");
        assertEquals("close", fresh.header("connection"));
        assertTrue(idle.closed());
        half.write("X-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
        assertEquals(200, half.read().status(), "a request that was being read is no idle connection");
        waiting.served("late");
        assertEquals("late", out.read().text());
        assertTrue(out.closed());

        assertEquals("+OK serving", call("resume\n"));
        assertEquals(200, ready());
        Client back = client();
        assertNull(back.unsafe("e", 20_000).read().header("connection"));
        assertEquals(200, back.unsafe("f", 20_000).read().status());
    }
}
