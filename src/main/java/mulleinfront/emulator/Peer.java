package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.function.Function;
import mulleinfront.core.Time;
import mulleinfront.fleet.Fleet;

/**
 * One process of a fleet's member on virtual time. A process that stands still hears nothing and its timers come
 * late; what came meanwhile waits in its socket, as far as there is room.
 */
final class Peer implements Fleet.Actions, PeerNetwork.Receiver {
    /** Datagrams that a socket holds: some 200 KB, each with the system's overhead. */
    private static final int SOCKET = 256;

    /** One that waits in the socket. */
    private record Waiting(int from, byte[] bytes, int length) {}

    private final EventQueue queue;
    private final PeerNetwork network;
    private final int address;
    private final Fleet fleet;
    private final ArrayDeque<Waiting> socket = new ArrayDeque<>();
    private Time.Timer timer;
    private boolean alive = true;
    private boolean still;
    private boolean missed;

    /**
     * @param address where it is: its own number, unless something is wrong
     * @param maker makes the member that it is
     */
    Peer(EventQueue queue, PeerNetwork network, int address, Function<Fleet.Actions, Fleet> maker) {
        this.queue = queue;
        this.network = network;
        this.address = address;
        this.fleet = maker.apply(this);
    }

    Fleet fleet() {
        return fleet;
    }

    boolean alive() {
        return alive;
    }

    boolean still() {
        return still;
    }

    void start() {
        network.at(address, this);
        fleet.start(queue.now());
    }

    /** It ends without a word. */
    void kill() {
        alive = false;
        network.at(address, null);
        if (timer != null) {
            timer.cancel();
        }
    }

    /** It is told to end and says so; it ends when its owner kills it. */
    void leave() {
        fleet.leave(queue.now());
    }

    /** SIGSTOP. */
    void stop() {
        still = true;
    }

    /** SIGCONT: what waits in the socket is read first, as an event loop does. */
    void go() {
        still = false;
        while (alive && !still && !socket.isEmpty()) {
            Waiting w = socket.poll();
            fleet.onDatagram(queue.now(), w.from(), w.bytes(), w.length());
        }
        if (alive && missed) {
            missed = false;
            fleet.onTimer(queue.now());
        }
    }

    @Override
    public void datagram(int from, byte[] bytes, int length) {
        if (still) {
            if (socket.size() < SOCKET) {
                socket.add(new Waiting(from, bytes, length));
            }
        } else {
            fleet.onDatagram(queue.now(), from, bytes, length);
        }
    }

    @Override
    public void send(int member, byte[] bytes, int length) {
        network.send(address, member, bytes, length);
    }

    @Override
    public void wakeAt(long atUs) {
        if (timer != null) {
            timer.cancel();
        }
        timer = queue.after(atUs - queue.now(), () -> {
            timer = null;
            if (still) {
                missed = true;
            } else if (alive) {
                fleet.onTimer(queue.now());
            }
        });
    }
}
