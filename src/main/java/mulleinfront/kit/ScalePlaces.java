package mulleinfront.kit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Loopback addresses of a fleet at its full size. Each member has a /24 of its own; beside where it really is, it has an
 * address for each side of a cut, under which those of that side know it: what stands there can be cut off.
 */
final class ScalePlaces {
    /** Sides that can be cut from each other. */
    static final int SIDES = 2;
    /** Members that have room: one /24 each, from 127.32.1.0 on. */
    static final int MOST = 220 * 250;

    private static final int EACH = 250;
    private static final int MEMBERS = 32;
    private static final int SERVICES = 24;
    private static final int MACHINES = 25;
    private static final int HOSTS = 26;
    private static final int SIDE = 10;

    private final int port;
    private final int hostPort;

    ScalePlaces() throws IOException {
        this.port = Places.freePort();
        int other = Places.freePort();
        while (other == port) {
            other = Places.freePort();
        }
        this.hostPort = other;
    }

    private static InetSocketAddress at(int second, int third, int fourth, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, (byte) second, (byte) third, (byte) fourth}), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    private InetSocketAddress member(int member, int fourth) {
        return at(MEMBERS + member / EACH, 1 + member % EACH, fourth, port);
    }

    /** Where a client proxy listens for clients. */
    InetSocketAddress listen(int member) {
        return member(member, 1);
    }

    /** Where one really hears the others. */
    InetSocketAddress peer(int member) {
        return member(member, 2);
    }

    /** Where those of a side know one. */
    InetSocketAddress peerFrom(int side, int member) {
        return member(member, SIDE + side);
    }

    /** Where a service's callers ask discovery. */
    InetSocketAddress discovery(int service) {
        return at(SERVICES, 1 + service / EACH, 1 + service % EACH, port);
    }

    /** Where a control machine really is. */
    InetSocketAddress machine(int machine) {
        return at(MACHINES, 0, 1 + machine, port);
    }

    /** Where a control machine hears the others. */
    InetSocketAddress machinePeer(int machine) {
        return at(MACHINES, 1, 1 + machine, port);
    }

    /** Where those of a side know a control machine. */
    InetSocketAddress machineFrom(int side, int machine) {
        return at(MACHINES, SIDE + side, 1 + machine, port);
    }

    /** Where those of a side, control machines themselves, know a control machine as one that decides. */
    InetSocketAddress machinePeerFrom(int side, int machine) {
        return at(MACHINES, SIDE + SIDES + side, 1 + machine, port);
    }

    /** Where a host serves; one listener on all addresses of this port stands for all. */
    InetSocketAddress host(int host) {
        return at(HOSTS + host / (EACH * EACH), 1 + host / EACH % EACH, 1 + host % EACH, hostPort);
    }

    int hostPort() {
        return hostPort;
    }
}
