package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import mulleinfront.FreePorts;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** When a start warms up: every instance of a fleet pays the cost, however little traffic it gets. */
class WarmUpTest {
    private static Config config(double cores, int instances, String... tenants) throws Exception {
        return Config.parse(
                ("""
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
                 "limits": {"cores": %s, "memory_mb": 160, "sockets": 512},
                 "settings": {"balancers": %d, "customers": [%s],
                  "classes": [{"name": "c", "effect": "retryable", "onTimeUs": 1000, "deadlineUs": 1000}]}}
                """.formatted(cores, instances, String.join(",", tenants))).getBytes(StandardCharsets.UTF_8));
    }

    private static String tenant(String name, double allowancePerS) {
        return "{\"name\": \"%s\", \"share\": 0.5, \"allowancePerS\": %s}".formatted(name, allowancePerS);
    }

    @Test
    void tenantAllowancesAreDividedByAllInstances() throws Exception {
        Config config = config(0.5, 60, tenant("a", 400), tenant("b", 240));
        assertEquals(640.0 / 60, config.requestsPerS(), 1e-9);
        assertEquals(0.5, config.cores());
        assertEquals(512, config.maxSockets());
    }

    @Test
    void instanceWithLittleTrafficDoesNotWarmUp() throws Exception {
        assertFalse(WarmUp.isWorthwhile(config(0.5, 60, tenant("a", 400), tenant("b", 240))));
    }

    @Test
    void busyInstanceWarmsUp() throws Exception {
        assertTrue(WarmUp.isWorthwhile(config(0.5, 3, tenant("a", 400), tenant("b", 240))));
        assertTrue(WarmUp.isWorthwhile(config(0.05, 60, tenant("a", 400), tenant("b", 240))));
    }

    /**
     * Guards against a connection that stays open for ever: Netty's event loop may end without closing its channels.
     */
    @Test
    void managementConnectionsDuringTheWarmUpAreClosed() throws Exception {
        String config = StandIns.configJson(
                0,
                "127.0.0.1:1",
                "",
                StandIns.listJson(1, true, StandIns.endpointJson("s", "127.0.0.1:1", "in_service")));
        ExecutorService starter = Executors.newSingleThreadExecutor();
        try (ServerSocketChannel inherited = ServerSocketChannel.open()) {
            inherited.bind(new InetSocketAddress("127.0.0.1", 0));
            int managementPort = FreePorts.next();
            Config configWithManagement = Config.parse(config.replace(
                            "{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:" + managementPort + "\"")
                    .getBytes(StandardCharsets.UTF_8));
            Future<ClientProxy> started =
                    starter.submit(() -> ClientProxy.start(configWithManagement, inherited, begun -> {}));
            Socket idleConnection = connect(managementPort, started);
            assertNotNull(idleConnection, "the warm-up ended before a client connected");
            ClientProxy proxy = started.get(StandIns.TIMEOUT_S, TimeUnit.SECONDS);
            idleConnection.setSoTimeout((int) StandIns.TIMEOUT_S * 1000);
            try (idleConnection) {
                assertEquals(-1, idleConnection.getInputStream().read());
            } catch (SocketException reset) {
                // the connection was closed by a reset
            }
            proxy.drain().await(StandIns.TIMEOUT_S, TimeUnit.SECONDS);
        } finally {
            starter.shutdownNow();
        }
    }

    private static Socket connect(int port, Future<?> start) throws Exception {
        while (!start.isDone()) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                Thread.sleep(1);
            }
        }
        return null;
    }

    @Test
    void instanceWithUnknownTrafficWarmsUp() throws Exception {
        assertTrue(WarmUp.isWorthwhile(config(1, 60, "{\"name\": \"a\", \"share\": 1}")));
        assertTrue(WarmUp.isWorthwhile(config(1, 60)));
    }
}
