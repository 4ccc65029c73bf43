package mulleinfront.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Sound clients, each with one small request at a time on a connection that it keeps. */
final class UsualCalls implements AutoCloseable {
    private static final int CLIENTS = 4;
    private static final int INTERVAL_MS = 100;

    final AtomicInteger calls = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicLong longestMs = new AtomicLong();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private final int port;
    private final int deadlineMs;
    private final int graceMs;

    /** Starts the clients; a call is late if it has no final answer at its deadline and the grace after it. */
    UsualCalls(int port, int deadlineMs, int graceMs) {
        this.port = port;
        this.deadlineMs = deadlineMs;
        this.graceMs = graceMs;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void run(int number) {
        Connection connection = new Connection();
        for (int i = 0; !stopped.get(); i++) {
            calls.incrementAndGet();
            long startNanos = System.nanoTime();
            if (!connection.answered("usual-" + number + "-" + i)) {
                late.incrementAndGet();
                connection.close();
                connection = new Connection();
            }
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            longestMs.accumulateAndGet(tookMs, Math::max);
            try {
                Thread.sleep(INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
        connection.close();
    }

    /** One client's connection, opened with its first call. */
    private final class Connection {
        private Socket socket;

        boolean answered(String id) {
            for (int attempt = 0; attempt < 2; attempt++) {
                try {
                    boolean reused = socket != null;
                    if (!reused) {
                        socket = new Socket();
                        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), deadlineMs);
                        socket.setSoTimeout(deadlineMs + graceMs);
                    }
                    String head = call(id);
                    if (head == null && reused) {
                        // The proxy may close a connection between requests; the client sends once more on a new one.
                        close();
                        continue;
                    }
                    if (head == null || head.toLowerCase(Locale.ROOT).contains("connection: close")) {
                        close();
                    }
                    return head != null;
                } catch (IOException noAnswer) {
                    return false;
                }
            }
            return false;
        }

        /** Sends a call and reads its answer; returns the head, or null if the connection ended before any of it. */
        private String call(String id) throws IOException {
            socket.getOutputStream()
                    .write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                                    + "\r\nX-Class: safe\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            int first;
            try {
                first = socket.getInputStream().read();
            } catch (SocketException reset) {
                return null;
            }
            if (first < 0) {
                return null;
            }
            StandIns.Message answer = StandIns.read(socket.getInputStream());
            served.addAndGet(answer.startLine().contains(" 200 ") ? 1 : 0);
            return String.join("\n", answer.headers());
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // it is closed
            }
            socket = null;
        }
    }

    /** Lets the calls under way end. */
    @Override
    public void close() throws InterruptedException {
        stopped.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
