package mulleinfront.kit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback addresses of a run. Client proxy i has the subnet 127.(16 + i).0.0/16 with an address for the proxy itself,
 * one for discovery and one for each server. All addresses share one port. The port is drawn at random for each run
 * from below the system's ephemeral ports, so that concurrent runs don't collide.
 */
final class AddressPlan {
    /** Maximum number of client proxies in a run. */
    static final int MAX_PROXIES = 64;
    /** Maximum number of server addresses, including unreachable listed servers and servers after a move. */
    static final int MAX_SERVERS = 60_000;

    private static final int FIRST_PROXY_SECOND_BYTE = 16;
    private static final int ADDRESSES_PER_THIRD_BYTE = 250;
    private static final int PORT_TRIES = 100;
    /** Third byte of the addresses under which a proxy reaches its peers; server addresses stay below it. */
    private static final int PEERS_THIRD_BYTE = 254;

    private final int port;

    AddressPlan() throws IOException {
        this.port = freePort();
    }

    static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket probe = new ServerSocket()) {
                // Bound on the wildcard address: a port free there is free on every address.
                probe.bind(new InetSocketAddress(port));
                return port;
            } catch (IOException e) {
                // The port is in use; try another.
            }
        }
        throw new IOException("no port from 20000 to 32000 is free on all loopback addresses");
    }

    private InetSocketAddress address(int proxy, int third, int fourth) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(
                            new byte[] {127, (byte) (FIRST_PROXY_SECOND_BYTE + proxy), (byte) third, (byte) fourth}),
                    port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a four-byte address was rejected", e);
        }
    }

    InetSocketAddress discovery(int proxy) {
        return address(proxy, 0, 1);
    }

    /** The second discovery address of a proxy; a reload switches between the two. */
    InetSocketAddress secondDiscovery(int proxy) {
        return address(proxy, 0, 4);
    }

    InetSocketAddress daemon(int proxy) {
        return address(proxy, 0, 2);
    }

    /** Where a proxy receives datagrams from its peers. */
    InetSocketAddress peerListen(int proxy) {
        return address(proxy, 0, 3);
    }

    /** The address under which a proxy reaches a peer; for the proxy itself, the address where it receives. */
    InetSocketAddress peer(int proxy, int other) {
        return proxy == other ? peerListen(proxy) : address(proxy, PEERS_THIRD_BYTE, 1 + other);
    }

    /**
     * A server by its number in the simulation; numbers counted down from the largest integer are unreachable servers.
     */
    InetSocketAddress server(int proxy, int server) {
        int index =
                server < MAX_SERVERS ? server : MAX_SERVERS + (Integer.MAX_VALUE - server) % ADDRESSES_PER_THIRD_BYTE;
        return address(proxy, 1 + index / ADDRESSES_PER_THIRD_BYTE, 1 + index % ADDRESSES_PER_THIRD_BYTE);
    }
}
