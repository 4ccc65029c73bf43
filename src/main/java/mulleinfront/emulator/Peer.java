package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.function.Function;
import mulleinfront.core.Time;
import mulleinfront.fleet.Fleet;

/**
 * One process of a fleet member on virtual time. A paused process receives nothing and its timers fire late; datagrams
 * that arrive in the pause wait in its socket buffer, as far as there is space.
 */
final class Peer implements Fleet.Actions, PeerNetwork.Receiver {
    /** Datagrams in a socket buffer: about 200 KB, including the operating system's overhead for each. */
    private static final int SOCKET_BUFFER_DATAGRAMS = 256;

    /** A datagram in the socket buffer. */
    private record BufferedDatagram(int from, byte[] bytes, int length) {}

    private final EventQueue queue;
    private final PeerNetwork network;
    private final int address;
    private final Fleet fleet;
    private final ArrayDeque<BufferedDatagram> socketBuffer = new ArrayDeque<>();
    private Time.Timer timer;
    private boolean alive = true;
    private boolean paused;
    private boolean timerMissed;

    /**
     * @param address address of the process: the member's number, unless misconfigured
     * @param memberFactory creates the member
     */
    Peer(EventQueue queue, PeerNetwork network, int address, Function<Fleet.Actions, Fleet> memberFactory) {
        this.queue = queue;
        this.network = network;
        this.address = address;
        this.fleet = memberFactory.apply(this);
    }

    Fleet fleet() {
        return fleet;
    }

    boolean alive() {
        return alive;
    }

    boolean paused() {
        return paused;
    }

    void start() {
        network.setReceiver(address, this);
        fleet.start(queue.now());
    }

    /** Ends the process without notice. */
    void kill() {
        alive = false;
        network.setReceiver(address, null);
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Lets the member announce that it leaves; the process ends when its owner kills it. */
    void leave() {
        fleet.leave(queue.now());
    }

    /** Pauses the process, as SIGSTOP does. */
    void pause() {
        paused = true;
    }

    /** Resumes the process, as SIGCONT does. Waiting datagrams are read first, as an event loop does. */
    void resume() {
        paused = false;
        while (alive && !paused && !socketBuffer.isEmpty()) {
            BufferedDatagram datagram = socketBuffer.poll();
            fleet.onDatagram(queue.now(), datagram.from(), datagram.bytes(), datagram.length());
        }
        if (alive && timerMissed) {
            timerMissed = false;
            fleet.onTimer(queue.now());
        }
    }

    @Override
    public void datagram(int from, byte[] bytes, int length) {
        if (paused) {
            if (socketBuffer.size() < SOCKET_BUFFER_DATAGRAMS) {
                socketBuffer.add(new BufferedDatagram(from, bytes, length));
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
            if (paused) {
                timerMissed = true;
            } else if (alive) {
                fleet.onTimer(queue.now());
            }
        });
    }
}
