import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients leave right after a long request, while connections to a third of the hosts come up late. No attempt may
 * begin more than 0.1 s after its client has closed the connection.
 */
final class LeftBehind {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 3;
    private static final int LONG_BODY_BYTES = 2 * 1024 * 1024;
    private static final long LENGTH_MS = 30_000;
    /** 0.1 s by the rule, and 50 ms since the limits on sockets are that much longer. */
    private static final long GRACE_MS = 150;

    private static final Map<String, Long> CLOSED_NANOS = new ConcurrentHashMap<>();

    private LeftBehind() {}

    /** A host; while it is late, its connections stay in a full queue, and come up some 1 s after they were asked for. */
    private static void host(
            String id, int number, ServerSocket listener, Record record, boolean late, AtomicInteger broken, AtomicInteger run) {
        Discovery.daemon(() -> {
            List<Socket> fillers = new ArrayList<>();
            long nextLateNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2000 + 300 * number);
            while (!listener.isClosed()) {
                try {
                    if (late && System.nanoTime() > nextLateNanos) {
                        for (int i = 0; i < 3; i++) {
                            Socket filler = new Socket();
                            try {
                                filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), 100);
                            } catch (SocketTimeoutException full) {
                                // The queue is full.
                            }
                            fillers.add(filler);
                        }
                        record.line("connections to %s come up late", id);
                        Thread.sleep(1200);
                        for (Socket filler : fillers) {
                            filler.close();
                        }
                        fillers.clear();
                        nextLateNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2500);
                    }
                    listener.setSoTimeout(50);
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Discovery.daemon(() -> serve(id, socket, record, broken, run));
                } catch (SocketTimeoutException none) {
                    // Nobody has come.
                } catch (IOException | InterruptedException closed) {
                    return;
                }
            }
        });
    }

    private static void serve(String id, Socket socket, Record record, AtomicInteger broken, AtomicInteger run) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            while (true) {
                Http.Message request = Http.readMessage(in);
                String requestId = request.headers().get("x-request-id");
                Long closed = CLOSED_NANOS.get(requestId);
                double afterMs = closed == null ? -1 : (request.firstByteNanos() - closed) / 1e6;
                boolean isBreak = afterMs > GRACE_MS;
                run.incrementAndGet();
                broken.addAndGet(isBreak ? 1 : 0);
                record.line(
                        "run %s at %s, %d bytes%s", requestId, id, request.body().length,
                        closed == null ? "" : String.format(
                                ", begun %.0f ms after its client had closed%s", afterMs, isBreak ? " BREAK" : ""));
                Thread.sleep(60);
                String body = "{\"answer_to\":\"" + requestId + "\"}";
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException ended) {
            // The client proxy has closed the connection.
        }
    }

    public static void main(String[] args) {
        Cases.exit(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger left = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger run = new AtomicInteger();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                host("server-" + i, i, listener, record, trouble && i % 3 == 0, broken, run);
                entries.add(new Discovery.Entry(
                        "server-" + i, listener.getLocalPort(), zones[i % zones.length], "in_service", 0));
            }
            Discovery discovery = new Discovery(record, entries);
            int port = Deploy.freePort();
            Deploy proxy = Deploy.start(
                    folder, "n0", port, Deploy.config("n0", port, discovery.port(), 3, 0, discovery.whole()));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LENGTH_MS);
            byte[] filler = new byte[LONG_BODY_BYTES];
            Arrays.fill(filler, (byte) 'x');
            String body = new String(filler, StandardCharsets.US_ASCII);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    SplittableRandom random = new SplittableRandom(1000 + number);
                    for (int n = 0; System.nanoTime() < end; n++) {
                        String id = String.format("%08x%08x", number, n);
                        boolean leaves = trouble && number > 0;
                        Request request = leaves || n % 4 == 0
                                ? Request.of("advance-payout", id, "k" + random.nextInt(660), 0, body)
                                : Request.of("invoice-lookup", id, "k" + random.nextInt(660), 0, "");
                        try (Socket socket = new Socket("127.0.0.1", port)) {
                            socket.setTcpNoDelay(true);
                            socket.setSoTimeout(5000);
                            sent.incrementAndGet();
                            socket.getOutputStream().write(request.bytes());
                            record.line("%s sent", id);
                            if (leaves) {
                                left.incrementAndGet();
                            } else {
                                Http.Message answer = Http.readMessage(new BufferedInputStream(socket.getInputStream()));
                                answered.incrementAndGet();
                                record.line("%s answered %d", id, answer.status());
                            }
                        } catch (IOException ended) {
                            record.line("%s ended: %s", id, ended);
                        }
                        if (leaves) {
                            CLOSED_NANOS.put(id, System.nanoTime());
                            record.line("%s: its client has closed", id);
                        }
                        try {
                            Thread.sleep(50 + random.nextInt(150));
                        } catch (InterruptedException never) {
                            return;
                        }
                    }
                });
                client.start();
                clients.add(client);
            }
            for (Thread client : clients) {
                client.join();
            }
            boolean alive = proxy.alive();
            proxy.log().forEach(line -> record.line("log: %s", line));
            proxy.close();
            System.out.printf(
                    "sent %d, answered %d, clients that left %d, requests run %d, begun over 0.1 s after the client had closed %d%n",
                    sent.get(), answered.get(), left.get(), run.get(), broken.get());
            return !alive || answered.get() == 0 ? 2 : broken.get() > 0 ? 1 : 0;
        }
    }
}
