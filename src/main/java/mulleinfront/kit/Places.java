package mulleinfront.kit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback addresses of a run. Each client proxy has a part of 127.0.0.0/8 to itself, 127.(16 + its number).x.y, where
 * every server, discovery and itself have an address of their own; the port is one for all and drawn anew for each run,
 * under those that the system gives to outgoing connections, so that two runs at once do not meet.
 */
final class Places {
    /** Client proxies of a run at most: there are no more parts. */
    static final int MOST_PROXIES = 64;
    /** Servers at most, ghosts and moves included. */
    static final int MOST_SERVERS = 60_000;

    private static final int FIRST_PART = 16;
    private static final int EACH = 250;
    private static final int TRIES = 100;
    /** The part of each client proxy's addresses where it knows the others; servers end below it. */
    private static final int PEERS_PART = 254;

    private final int port;

    Places() throws IOException {
        this.port = freePort();
    }

    static int freePort() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket probe = new ServerSocket()) {
                // Bound on all addresses: free here is free on each.
                probe.bind(new InetSocketAddress(port));
                return port;
            } catch (IOException e) {
                // taken: another
            }
        }
        throw new IOException("no port from 20000 to 32000 is free on all loopback addresses");
    }

    private InetSocketAddress at(int proxy, int third, int fourth) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(
                            new byte[] {127, (byte) (FIRST_PART + proxy), (byte) third, (byte) fourth}),
                    port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    InetSocketAddress discovery(int proxy) {
        return at(proxy, 0, 1);
    }

    /** Where discovery is after a move, and from where it moves back. */
    InetSocketAddress secondDiscovery(int proxy) {
        return at(proxy, 0, 4);
    }

    InetSocketAddress daemon(int proxy) {
        return at(proxy, 0, 2);
    }

    /** Where one hears other client proxies. */
    InetSocketAddress peerListen(int proxy) {
        return at(proxy, 0, 3);
    }

    /** The address under which one knows another; itself under where it hears. */
    InetSocketAddress peer(int proxy, int other) {
        return proxy == other ? peerListen(proxy) : at(proxy, PEERS_PART, 1 + other);
    }

    /** A server by its number in the world; those counted down from the largest number are not there at all. */
    InetSocketAddress server(int proxy, int address) {
        int n = address < MOST_SERVERS ? address : MOST_SERVERS + (Integer.MAX_VALUE - address) % EACH;
        return at(proxy, 1 + n / EACH, 1 + n % EACH);
    }
}
