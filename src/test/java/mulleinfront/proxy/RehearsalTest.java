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
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** When a start rehearses: what it costs is paid by every instance of a fleet, whatever it is there for. */
class RehearsalTest {
    private static Config config(double cores, int instances, String... allowances) throws Exception {
        return Config.parse(
                ("""
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
                 "limits": {"cores": %s, "memory_mb": 160, "sockets": 512},
                 "settings": {"balancers": %d, "customers": [%s],
                  "classes": [{"name": "c", "effect": "retryable", "onTimeUs": 1000, "deadlineUs": 1000}]}}
                """.formatted(cores, instances, String.join(",", allowances))).getBytes(StandardCharsets.UTF_8));
    }

    private static String tenant(String name, double allowancePerS) {
        return "{\"name\": \"%s\", \"share\": 0.5, \"allowancePerS\": %s}".formatted(name, allowancePerS);
    }

    @Test
    void whatTenantsMaySendIsDividedByAllInstances() throws Exception {
        Config config = config(0.5, 60, tenant("a", 400), tenant("b", 240));
        assertEquals(640.0 / 60, config.requestsPerS(), 1e-9);
        assertEquals(0.5, config.cores());
        assertEquals(512, config.sockets());
    }

    @Test
    void anInstanceOfManyWithLittleTrafficDoesNotRehearse() throws Exception {
        assertFalse(Rehearsal.pays(config(0.5, 60, tenant("a", 400), tenant("b", 240))));
    }

    @Test
    void anInstanceThatIsBusyFromItsFirstSecondDoes() throws Exception {
        assertTrue(Rehearsal.pays(config(0.5, 3, tenant("a", 400), tenant("b", 240))));
        assertTrue(Rehearsal.pays(config(0.05, 60, tenant("a", 400), tenant("b", 240))));
    }

    /** Netty's event loop may end without closing what is registered with it: this caller waited for ever. */
    @Test
    void whoeverCallsTheOperatorsDoorMeanwhileIsClosedOn() throws Exception {
        String config =
                Peers.config(0, "127.0.0.1:1", "", Peers.list(1, true, Peers.host("s", "127.0.0.1:1", "in_service")));
        ExecutorService starter = Executors.newSingleThreadExecutor();
        try (ServerSocketChannel held = ServerSocketChannel.open()) {
            held.bind(new InetSocketAddress("127.0.0.1", 0));
            int door = ServeTest.freePort();
            Config operated = Config.parse(
                    config.replace("{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:" + door + "\"")
                            .getBytes(StandardCharsets.UTF_8));
            Future<ClientProxy> started = starter.submit(() -> ClientProxy.start(operated, held, begun -> {}));
            Socket silent = connect(door, started);
            assertNotNull(silent, "the rehearsal was over before anybody came");
            ClientProxy proxy = started.get(Peers.PATIENCE_S, TimeUnit.SECONDS);
            silent.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            try (silent) {
                assertEquals(-1, silent.getInputStream().read());
            } catch (SocketException reset) {
                // closed on, too
            }
            proxy.drain().await(Peers.PATIENCE_S, TimeUnit.SECONDS);
        } finally {
            starter.shutdownNow();
        }
    }

    private static Socket connect(int port, Future<?> unless) throws Exception {
        while (!unless.isDone()) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                Thread.sleep(1);
            }
        }
        return null;
    }

    @Test
    void whereNothingIsSaidOfTrafficItDoes() throws Exception {
        assertTrue(Rehearsal.pays(config(1, 60, "{\"name\": \"a\", \"share\": 1}")));
        assertTrue(Rehearsal.pays(config(1, 60)));
    }
}
