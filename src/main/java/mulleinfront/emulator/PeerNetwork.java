package mulleinfront.emulator;

/**
 * Datagrams between client proxies on virtual time. A datagram carries the number of the address that it was sent
 * from; an address is a peer's, or nobody's.
 */
final class PeerNetwork {
    /** The number of an address that is no peer's. */
    static final int STRANGER = -1;

    /** Whoever is at an address. */
    interface Receiver {
        void datagram(int from, byte[] bytes, int length);
    }

    /** How long a datagram takes from one to another, microseconds. */
    interface Way {
        long us(int from, int to);
    }

    private final EventQueue queue;
    private final Way way;
    private final Receiver[] receivers;
    private final DatagramFaults troubles;

    PeerNetwork(EventQueue queue, Chance chance, int peers, Way way) {
        this.queue = queue;
        this.way = way;
        this.receivers = new Receiver[peers];
        this.troubles = new DatagramFaults(chance);
    }

    /** What happens on the way now. */
    DatagramFaults troubles() {
        return troubles;
    }

    /** Who is at a peer's address now; null: nobody. */
    void at(int address, Receiver receiver) {
        receivers[address] = receiver;
    }

    /** A datagram leaves an address. */
    void send(int from, int to, byte[] bytes, int length) {
        for (DatagramFaults.Copy copy : troubles.deliver(from, to, bytes, length)) {
            deliver(from, to, copy.bytes(), copy.lateUs());
        }
    }

    /** One comes as it is, whoever sent it and when. */
    void deliver(int from, int to, byte[] bytes, long lateUs) {
        queue.after(way.us(from, to) + lateUs, () -> {
            if (receivers[to] != null) {
                receivers[to].datagram(from, bytes, bytes.length);
            }
        });
    }
}
