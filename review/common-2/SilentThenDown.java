import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All open watches fall silent, a host begins to drain right after, and then discovery is down for 8 s. What a silent
 * watch misses counts as told 6 s later, so from then on nothing may be sent to the draining host. With "pushed" as the
 * third argument discovery is the agent of a deployment where lists are pushed, which is silent while discovery is down.
 */
final class SilentThenDown {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 8;
    /** By STANDING discovery is down for 8 s. */
    private static final long DOWN_MS = 8_000;
    /** What a silent watch misses, and any change that discovery had while it could be reached, is told by then. */
    private static final long TOLD_AFTER_MS = 6_000;
    /** The grace of the settings, 250 ms, and 50 ms since the limits on sockets are that much longer. */
    private static final long GRACE_MS = 300;

    /** When the draining host's state counts as told; 0 while it is not. */
    private static final AtomicLong TOLD_NANOS = new AtomicLong();

    private SilentThenDown() {}

    private static void host(
            String id, int number, ServerSocket listener, Record record, AtomicInteger run, AtomicInteger broken) {
        Discovery.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Discovery.daemon(() -> serve(id, number == 0, socket, record, run, broken));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private static void serve(
            String id, boolean drains, Socket socket, Record record, AtomicInteger run, AtomicInteger broken) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readMessage(in);
                String requestId = request.headers().get("x-request-id");
                long told = TOLD_NANOS.get();
                double afterMs = (request.firstByteNanos() - told) / 1e6;
                boolean isBreak = drains && told != 0 && afterMs > GRACE_MS;
                run.incrementAndGet();
                broken.addAndGet(isBreak ? 1 : 0);
                record.line(
                        "%s comes to %s%s", requestId, id,
                        isBreak ? String.format(", which drains: told %.0f ms ago BREAK", afterMs) : "");
                boolean turnsAway = drains && told != 0;
                Thread.sleep(turnsAway ? 1 : 30);
                String body = turnsAway ? "" : "{\"answer_to\":\"" + requestId + "\"}";
                socket.getOutputStream()
                        .write(((turnsAway ? "HTTP/1.1 503 Draining\r\nX-Not-Run: 1\r\n" : "HTTP/1.1 200 OK\r\n")
                                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException ended) {
            // The client proxy has closed the connection.
        }
    }

    /** Sends for some time from some clients, one request at a time on each connection. */
    private static void load(int port, long forMs, int round, Record record, AtomicInteger sent, AtomicInteger answered)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = round * 100 + i;
            Thread client = new Thread(() -> {
                SplittableRandom random = new SplittableRandom(1000 + number);
                for (int n = 0; System.nanoTime() < end; ) {
                    try (Socket socket = new Socket("127.0.0.1", port)) {
                        socket.setTcpNoDelay(true);
                        socket.setSoTimeout(5000);
                        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                        boolean kept = true;
                        while (kept && System.nanoTime() < end) {
                            Thread.sleep((long) (-150 * Math.log(1 - random.nextDouble())));
                            Request request = Request.draw(random, String.format("%08x%08x", number, n++));
                            sent.incrementAndGet();
                            socket.getOutputStream().write(request.bytes());
                            Http.Message answer = Http.readMessage(in);
                            answered.incrementAndGet();
                            record.line("%s answered %d", request.id(), answer.status());
                            kept = !"close".equalsIgnoreCase(answer.headers().get("connection"));
                        }
                    } catch (IOException | InterruptedException closed) {
                        // A new connection is opened.
                    }
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    public static void main(String[] args) {
        Cases.exit(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean pushed = args.length > 2 && args[2].equals("pushed");
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger run = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
                host("server-" + i, i, listener, record, run, broken);
                entries.add(new Discovery.Entry(
                        "server-" + i, listener.getLocalPort(), zones[i % zones.length], "in_service", 0));
            }
            Discovery discovery = new Discovery(record, entries);
            int port = Deploy.freePort();
            String config = Deploy.config("n0", port, discovery.port(), 3, 0, discovery.whole());
            Deploy proxy = Deploy.start(folder, "n0", port, pushed ? Deploy.pushed(config) : config);
            load(port, 3_000, 0, record, sent, answered);
            if (trouble) {
                discovery.silenceOpenWatches();
            }
            load(port, 400, 1, record, sent, answered);
            Discovery.Entry old = entries.get(0);
            discovery.change(new Discovery.Entry(old.id(), old.port(), old.zone(), "terminating", 0));
            TOLD_NANOS.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TOLD_AFTER_MS));
            load(port, 800, 2, record, sent, answered);
            if (trouble && pushed) {
                discovery.fallSilent();
            } else if (trouble) {
                discovery.goDown();
            }
            load(port, DOWN_MS, 3, record, sent, answered);
            if (trouble && pushed) {
                discovery.speakAgain();
            } else if (trouble) {
                discovery.comeBack();
            }
            load(port, 3_000, 4, record, sent, answered);
            boolean alive = proxy.alive();
            proxy.log().forEach(line -> record.line("log: %s", line));
            proxy.close();
            System.out.printf(
                    "sent %d, answered %d, came to hosts %d, to the draining host after it was told %d%n",
                    sent.get(), answered.get(), run.get(), broken.get());
            return !alive || answered.get() == 0 ? 2 : broken.get() > 0 ? 1 : 0;
        }
    }
}
