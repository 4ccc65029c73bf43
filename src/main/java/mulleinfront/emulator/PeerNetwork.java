package mulleinfront.emulator;

/**
 * Simulated datagram network between client proxies on virtual time. A datagram carries the number of the address that
 * it was sent from: a peer's, or that of an unknown sender.
 */
final class PeerNetwork {
    /** Address number of an unknown sender. */
    static final int UNKNOWN_SENDER = -1;

    /** Receives the datagrams sent to an address. */
    interface Receiver {
        void datagram(int from, byte[] bytes, int length);
    }

    /** Delay of a datagram from one address to another, microseconds. */
    interface Delay {
        long delayUs(int from, int to);
    }

    private final EventQueue queue;
    private final Delay delay;
    private final Receiver[] receivers;
    private final DatagramFaults faults;

    PeerNetwork(EventQueue queue, RandomStream chance, int peers, Delay delay) {
        this.queue = queue;
        this.delay = delay;
        this.receivers = new Receiver[peers];
        this.faults = new DatagramFaults(chance);
    }

    /** The active datagram faults. */
    DatagramFaults faults() {
        return faults;
    }

    /** Sets the receiver at a peer's address; null: none. */
    void setReceiver(int address, Receiver receiver) {
        receivers[address] = receiver;
    }

    /** Sends a datagram from an address; active faults apply to it. */
    void send(int from, int to, byte[] bytes, int length) {
        for (DatagramFaults.Copy copy : faults.deliver(from, to, bytes, length)) {
            deliver(from, to, copy.bytes(), copy.extraDelayUs());
        }
    }

    /** Delivers a datagram unchanged, after the network delay and {@code extraDelayUs}. */
    void deliver(int from, int to, byte[] bytes, long extraDelayUs) {
        queue.after(delay.delayUs(from, to) + extraDelayUs, () -> {
            if (receivers[to] != null) {
                receivers[to].datagram(from, bytes, bytes.length);
            }
        });
    }
}
