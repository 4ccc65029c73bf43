package review;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** The way between a client proxy and a host in another data centre: each byte takes the same time in both directions. */
final class Link {
    private static final Piece END = new Piece(new byte[0], 0);

    private record Piece(byte[] bytes, long dueNanos) {}

    private final ServerSocket listener;
    private final long delayNanos;

    Link(int hostPort, double oneWayMs) throws Exception {
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        this.delayNanos = (long) (oneWayMs * 1e6);
        Threads.run(() -> {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket(InetAddress.getByName("127.0.0.1"), hostPort);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                carry(near, far);
                carry(far, near);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void carry(Socket from, Socket to) {
        LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Threads.run(() -> {
            try {
                InputStream in = from.getInputStream();
                byte[] buffer = new byte[65536];
                for (int count; (count = in.read(buffer)) >= 0; ) {
                    pieces.add(new Piece(java.util.Arrays.copyOf(buffer, count), System.nanoTime() + delayNanos));
                }
            } finally {
                pieces.add(END);
            }
        });
        Threads.run(() -> {
            try {
                for (Piece piece; (piece = pieces.take()) != END; ) {
                    sleepUntil(piece.dueNanos());
                    to.getOutputStream().write(piece.bytes());
                }
            } finally {
                to.close();
                from.close();
            }
        });
    }

    static void sleepUntil(long nanos) {
        for (long left; (left = nanos - System.nanoTime()) > 0; ) {
            LockSupport.parkNanos(left);
        }
    }
}
