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

/**
 * Clients send many requests at once on a connection. Nothing else is out of order: each request that the client proxy
 * has taken must have its final answer half a second after its deadline at the latest.
 */
final class ManyAtOnce {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 4;
    private static final int AT_ONCE = 32;
    /** Half a second after the deadline an answer is lost; on sockets each limit is 50 ms longer. */
    private static final long GRACE_MS = 550;
    private static final int GROUPS = 5;

    private ManyAtOnce() {}

    private static void host(String id, int number, ServerSocket listener, Record record) {
        SplittableRandom seeds = new SplittableRandom(number);
        Discovery.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    SplittableRandom random = seeds.split();
                    Discovery.daemon(() -> serve(id, socket, random, record));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private static void serve(String id, Socket socket, SplittableRandom random, Record record) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readMessage(in);
                String requestId = request.headers().get("x-request-id");
                record.line("run %s at %s", requestId, id);
                // The brief has a mean work of 64 to 110, 68 to 120 and 92 to 170 ms.
                Thread.sleep(64 + random.nextInt(46));
                String body = "{\"answer_to\":\"" + requestId + "\"}";
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException ended) {
            // The client proxy has closed the connection.
        }
    }

    private static long deadlineMs(Request request) {
        return switch (request.name()) {
            case "invoice-lookup" -> 1500;
            case "advance-payout" -> 2500;
            default -> 4000;
        };
    }

    public static void main(String[] args) {
        Cases.exit(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        int atOnce = "0".equals(System.getenv("TROUBLE")) ? 1 : AT_ONCE;
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
                host("server-" + i, i, listener, record);
                entries.add(new Discovery.Entry(
                        "server-" + i, listener.getLocalPort(), zones[i % zones.length], "in_service", 0));
            }
            Discovery discovery = new Discovery(record, entries);
            int port = Deploy.freePort();
            Deploy proxy = Deploy.start(
                    folder, "n0", port, Deploy.config("n0", port, discovery.port(), 3, 0, discovery.whole()));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    SplittableRandom random = new SplittableRandom(1000 + number);
                    int n = 0;
                    for (int group = 0; group < GROUPS * (atOnce == 1 ? 20 : 1); group++) {
                        List<Request> open = new ArrayList<>();
                        try (Socket socket = new Socket("127.0.0.1", port)) {
                            socket.setTcpNoDelay(true);
                            socket.setSoTimeout(10_000);
                            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                            StringBuilder text = new StringBuilder();
                            for (int k = 0; k < atOnce; k++) {
                                Request request = Request.draw(random, String.format("%08x%08x", number, n++));
                                open.add(request);
                                text.append(new String(request.bytes(), StandardCharsets.US_ASCII));
                            }
                            sent.addAndGet(atOnce);
                            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
                            long writtenNanos = System.nanoTime();
                            record.line("%d sent at once, from %s on", atOnce, open.get(0).id());
                            while (!open.isEmpty()) {
                                Http.Message answer = Http.readMessage(in);
                                Request first = open.remove(0);
                                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos);
                                boolean lost = tookMs > deadlineMs(first) + GRACE_MS;
                                answered.incrementAndGet();
                                served.addAndGet(answer.status() == 200 ? 1 : 0);
                                late.addAndGet(lost ? 1 : 0);
                                record.line(
                                        "%s %s answered %d after %d ms of %d%s",
                                        first.name(), first.id(), answer.status(), tookMs, deadlineMs(first),
                                        lost ? " LOST" : "");
                            }
                            Thread.sleep(200);
                        } catch (IOException ended) {
                            late.addAndGet(open.size());
                            open.forEach(request -> record.line("%s never answered LOST: %s", request.id(), ended));
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
                    "sent %d, answered %d (served %d), answered more than half a second late or never %d%n",
                    sent.get(), answered.get(), served.get(), late.get());
            return !alive || answered.get() == 0 ? 2 : late.get() > 0 ? 1 : 0;
        }
    }
}
