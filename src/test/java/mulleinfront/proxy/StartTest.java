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
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/**
 * What a start waits for: when everything restarts at once discovery is down or has too many callers, hosts are
 * not up yet, and clients come early. A client proxy that knows hosts is ready whatever they do.
 */
class StartTest extends ProxyRig {
    /** More than the rehearsal has room for. */
    private static final int EARLY = 300;

    private Config config(int port, String discovery, String host) throws Exception {
        return Config.parse(Peers.config(port, discovery, "", Peers.list(1, true, Peers.host("s", host, "in_service")))
                .replace("\"balancers\":3", "\"balancers\":670")
                .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whoKnowsHostsIsReadyThoughDiscoveryAndHostsSayNothing() throws Exception {
        discovery = keep(new Discovery());
        try (Deaf deaf = new Deaf()) {
            proxy = ClientProxy.start(config(0, discovery.server.address(), deaf.address()));
            assertEquals(200, ready(), "no list has come, and no host has been reached");
            proxy.drain();
        }
    }

    @Test
    void whoKnowsHostsIsReadyThoughNobodyListensAtDiscovery() throws Exception {
        proxy = ClientProxy.start(config(0, "127.0.0.1:1", "127.0.0.1:1"));
        assertEquals(200, ready());
    }

    @Test
    void clientsThatComeTooEarlyAndSayNothingDoNotHoldItUp() throws Exception {
        int port = ServeTest.freePort();
        AtomicBoolean over = new AtomicBoolean();
        List<Socket> early = new CopyOnWriteArrayList<>();
        Thread crowd = new Thread(() -> {
            while (!over.get() && early.size() < EARLY) {
                try {
                    early.add(new Socket(InetAddress.getLoopbackAddress(), port));
                } catch (IOException e) {
                    Thread.onSpinWait(); // nobody listens: not yet, or between rehearsal and start
                }
            }
        });
        crowd.start();
        try {
            proxy = ClientProxy.start(config(port, "127.0.0.1:1", "127.0.0.1:1"));
            over.set(true);
            crowd.join();
            assertTrue(early.size() > 0, "somebody came before it was ready");
            assertEquals(200, ready());
        } finally {
            over.set(true);
            crowd.join();
            for (Socket s : early) {
                s.close();
            }
        }
    }
}
