package mulleinfront.kit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Loopback addresses of a scale test. Each member has a /24 subnet with the addresses where it listens and one relayed
 * address for each side of the network partition. The members of a side reach it by that side's relayed address, so the
 * relay can block the traffic between the sides.
 */
final class ScaleAddressPlan {
    /** Number of sides of the network partition. */
    static final int SIDES = 2;
    /** Maximum number of members: one /24 subnet each, from 127.32.1.0 on. */
    static final int MAX_MEMBERS = 220 * 250;

    private static final int ADDRESSES_PER_BYTE = 250;
    private static final int MEMBERS_SECOND_BYTE = 32;
    private static final int SERVICES_SECOND_BYTE = 24;
    private static final int NODES_SECOND_BYTE = 25;
    private static final int SERVERS_SECOND_BYTE = 26;
    private static final int FIRST_SIDE_BYTE = 10;

    private final int port;
    private final int serverPort;

    ScaleAddressPlan() throws IOException {
        this.port = AddressPlan.freePort();
        int other = AddressPlan.freePort();
        while (other == port) {
            other = AddressPlan.freePort();
        }
        this.serverPort = other;
    }

    private static InetSocketAddress address(int second, int third, int fourth, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, (byte) second, (byte) third, (byte) fourth}), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a four-byte address was rejected", e);
        }
    }

    private InetSocketAddress member(int member, int fourth) {
        return address(
                MEMBERS_SECOND_BYTE + member / ADDRESSES_PER_BYTE, 1 + member % ADDRESSES_PER_BYTE, fourth, port);
    }

    /** Where a client proxy listens for clients. */
    InetSocketAddress listen(int member) {
        return member(member, 1);
    }

    /** Where a member receives datagrams from its peers. */
    InetSocketAddress peer(int member) {
        return member(member, 2);
    }

    /** The relayed address under which the members of a side reach a member. */
    InetSocketAddress peerFrom(int side, int member) {
        return member(member, FIRST_SIDE_BYTE + side);
    }

    /** The discovery address of a service's members. */
    InetSocketAddress discovery(int service) {
        return address(SERVICES_SECOND_BYTE, 1 + service / ADDRESSES_PER_BYTE, 1 + service % ADDRESSES_PER_BYTE, port);
    }

    /** Where a control-plane node accepts clients. */
    InetSocketAddress node(int node) {
        return address(NODES_SECOND_BYTE, 0, 1 + node, port);
    }

    /** Where a control-plane node accepts connections from the other nodes. */
    InetSocketAddress nodePeer(int node) {
        return address(NODES_SECOND_BYTE, 1, 1 + node, port);
    }

    /** The relayed client address of a control-plane node for one side. */
    InetSocketAddress nodeFrom(int side, int node) {
        return address(NODES_SECOND_BYTE, FIRST_SIDE_BYTE + side, 1 + node, port);
    }

    /** The relayed consensus address of a control-plane node for the nodes of one side. */
    InetSocketAddress nodePeerFrom(int side, int node) {
        return address(NODES_SECOND_BYTE, FIRST_SIDE_BYTE + SIDES + side, 1 + node, port);
    }

    /** The address of a server; one listener on the wildcard address of this port acts as all servers. */
    InetSocketAddress server(int server) {
        return address(
                SERVERS_SECOND_BYTE + server / (ADDRESSES_PER_BYTE * ADDRESSES_PER_BYTE),
                1 + server / ADDRESSES_PER_BYTE % ADDRESSES_PER_BYTE,
                1 + server % ADDRESSES_PER_BYTE,
                serverPort);
    }

    int serverPort() {
        return serverPort;
    }
}
