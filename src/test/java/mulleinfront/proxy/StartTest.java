package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import mulleinfront.FreePorts;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/**
 * What a start waits for. When everything restarts at once, discovery is unreachable or overloaded, endpoints are not
 * up yet and clients connect early; a client proxy that has a list of endpoints is ready all the same.
 */
class StartTest extends ProxyTestBase {
    /** More clients than the warm-up has room for. */
    private static final int EARLY_CLIENTS = 300;

    private Config config(int port, String discovery, String host) throws Exception {
        return Config.parse(StandIns.configJson(
                        port, discovery, "", StandIns.listJson(1, true, StandIns.endpointJson("s", host, "in_service")))
                .replace("\"balancers\":3", "\"balancers\":670")
                .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readyThoughDiscoveryAndEndpointsAreUnresponsive() throws Exception {
        discovery = closeAfterTest(new DiscoveryStandIn());
        try (FullBacklogEndpoint unresponsive = new FullBacklogEndpoint()) {
            proxy = ClientProxy.start(config(0, discovery.server.address(), unresponsive.address()));
            assertEquals(
                    200,
                    readyStatus(),
                    "ready before a list has arrived from discovery and before an endpoint is reached");
            proxy.drain();
        }
    }

    @Test
    void readyThoughDiscoveryIsUnreachable() throws Exception {
        proxy = ClientProxy.start(config(0, "127.0.0.1:1", "127.0.0.1:1"));
        assertEquals(200, readyStatus());
    }

    @Test
    void earlyIdleClientsDoNotDelayTheStart() throws Exception {
        int port = FreePorts.next();
        AtomicBoolean stopFlood = new AtomicBoolean();
        List<Socket> early = new CopyOnWriteArrayList<>();
        Thread flood = new Thread(() -> {
            while (!stopFlood.get() && early.size() < EARLY_CLIENTS) {
                try {
                    early.add(new Socket(InetAddress.getLoopbackAddress(), port));
                } catch (IOException e) {
                    Thread.onSpinWait(); // not listening: before the warm-up, or between the warm-up and the start
                }
            }
        });
        flood.start();
        try {
            proxy = ClientProxy.start(config(port, "127.0.0.1:1", "127.0.0.1:1"));
            stopFlood.set(true);
            flood.join();
            assertTrue(early.size() > 0, "clients connected before the proxy was ready");
            assertEquals(200, readyStatus());
        } finally {
            stopFlood.set(true);
            flood.join();
            for (Socket socket : early) {
                socket.close();
            }
        }
    }
}
