import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A host sends some of its answers a second time, some milliseconds later, while nothing else waits on the connection.
 * The client proxy must not pass the second answer on as the answer to another request.
 */
final class LateCopy {
    /** One way between data centres, by the operators' brief 1.4 to 2.6 ms. */
    private static final long LINK_NANOS = TimeUnit.MICROSECONDS.toNanos(2_000);
    /** How long after an answer its second copy comes. */
    private static final long COPY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** One answer in so many comes twice. */
    private static final int ONE_IN = 25;
    private static final int HOSTS = 6;
    private static final int CLIENTS = 24;
    private static final long LENGTH_MS = 25_000;

    private static final ScheduledExecutorService LINK = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private LateCopy() {}

    /** A host behind a link that delays each way by {@link #LINK_NANOS}. */
    private static final class Host {
        final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        final String id;
        final Record record;
        final boolean trouble;
        final SplittableRandom random;

        Host(String id, int number, Record record, boolean trouble) throws IOException {
            this.id = id;
            this.record = record;
            this.trouble = trouble;
            this.random = new SplittableRandom(number);
            Discovery.daemon(() -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        Discovery.daemon(() -> serve(socket));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        private synchronized double draw() {
            return random.nextDouble();
        }

        private void serve(Socket socket) {
            AtomicInteger arrived = new AtomicInteger();
            try (socket) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    in.mark(1);
                    if (in.read() < 0) {
                        return;
                    }
                    in.reset();
                    // The request's first byte is at the host when it has passed the link.
                    LINK.schedule(arrived::incrementAndGet, LINK_NANOS, TimeUnit.NANOSECONDS);
                    Http.Message request = Http.readMessage(in);
                    String requestId = request.headers().get("x-request-id");
                    TimeUnit.NANOSECONDS.sleep(LINK_NANOS);
                    record.line("run %s at %s", requestId, id);
                    // 20 to 60 ms of work: an invoice that the host has met a short time ago.
                    Thread.sleep(20 + (long) (40 * draw()));
                    byte[] answer = answer(requestId);
                    int seen = arrived.get();
                    write(socket, answer, LINK_NANOS);
                    if (trouble && request.startLine().contains(" /api") && draw() * ONE_IN < 1) {
                        LINK.schedule(
                                () -> {
                                    if (arrived.get() <= seen) {
                                        record.line("second copy of the answer to %s by %s", requestId, id);
                                        write(socket, answer, LINK_NANOS);
                                    }
                                },
                                COPY_AFTER_NANOS,
                                TimeUnit.NANOSECONDS);
                    }
                }
            } catch (IOException | InterruptedException ended) {
                // The client proxy has closed the connection.
            }
        }

        private static byte[] answer(String requestId) {
            String body = "{\"answer_to\":\"" + requestId + "\"}";
            return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        private static void write(Socket socket, byte[] bytes, long afterNanos) {
            LINK.schedule(
                    () -> {
                        try {
                            OutputStream out = socket.getOutputStream();
                            out.write(bytes);
                            out.flush();
                        } catch (IOException closed) {
                            // The client proxy has closed the connection.
                        }
                    },
                    afterNanos,
                    TimeUnit.NANOSECONDS);
        }
    }

    public static void main(String[] args) {
        Cases.exit(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                Host host = new Host("server-" + i, i, record, trouble);
                entries.add(new Discovery.Entry(
                        host.id, host.listener.getLocalPort(), zones[i % zones.length], "in_service", 0));
            }
            Discovery discovery = new Discovery(record, entries);
            int port = Deploy.freePort();
            Deploy proxy = Deploy.start(
                    folder, "n0", port, Deploy.config("n0", port, discovery.port(), 3, 0, discovery.whole()));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LENGTH_MS);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    SplittableRandom random = new SplittableRandom(1000 + number);
                    for (int n = 0; System.nanoTime() < end; ) {
                        try (Socket socket = new Socket("127.0.0.1", port)) {
                            socket.setTcpNoDelay(true);
                            socket.setSoTimeout(6000);
                            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                            boolean open = true;
                            while (open && System.nanoTime() < end) {
                                Thread.sleep((long) (-80 * Math.log(1 - random.nextDouble())));
                                String id = String.format("%08x%08x", number, n++);
                                Request request = Request.draw(random, id);
                                sent.incrementAndGet();
                                socket.getOutputStream().write(request.bytes());
                                Http.Message answer = Http.readMessage(in);
                                open = !"close".equalsIgnoreCase(answer.headers().get("connection"));
                                String expected = "{\"answer_to\":\"" + id + "\"}";
                                if (answer.status() == 200) {
                                    served.incrementAndGet();
                                }
                                boolean wrong = answer.status() == 200 && !answer.text().equals(expected);
                                record.line(
                                        "%s %s answered %d %s%s",
                                        request.name(), id, answer.status(), answer.text(), wrong ? " FOREIGN" : "");
                                if (wrong) {
                                    foreign.incrementAndGet();
                                }
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
            boolean alive = proxy.alive();
            proxy.close();
            record.line("sent %d served %d foreign %d", sent.get(), served.get(), foreign.get());
            System.out.printf(
                    "sent %d, served %d, served with the answer to another request %d%n",
                    sent.get(), served.get(), foreign.get());
            proxy.log().forEach(line -> record.line("log: %s", line));
            return !alive || served.get() < sent.get() / 2 ? 2 : foreign.get() > 0 ? 1 : 0;
        }
    }
}
