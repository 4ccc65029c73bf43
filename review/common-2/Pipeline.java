import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send several requests at once on a connection, and hosts answer in pieces; a few connections to hosts are
 * reset while an answer is under way. Each request that the client proxy has taken must get its answer.
 */
final class Pipeline {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 8;
    /** Requests that a client sends at once. */
    private static final int AT_ONCE = 4;
    /** One answer in so many is reset on the way. */
    private static final int ONE_IN = 40;
    /** Pause between two pieces of an answer. */
    private static final long PIECE_MS = 60;
    private static final long LENGTH_MS = 20_000;

    private Pipeline() {}

    private static void host(String id, int number, ServerSocket listener, Record record, boolean trouble, Set<String> run) {
        SplittableRandom seeds = new SplittableRandom(number);
        Discovery.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    SplittableRandom random = seeds.split();
                    Discovery.daemon(() -> serve(id, socket, random, record, trouble, run));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private static void serve(
            String id, Socket socket, SplittableRandom random, Record record, boolean trouble, Set<String> run) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.readMessage(in);
                String requestId = request.headers().get("x-request-id");
                run.add(requestId);
                record.line("run %s at %s", requestId, id);
                Thread.sleep(20 + random.nextInt(40));
                String body = "{\"answer_to\":\"" + requestId + "\"}";
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body.substring(0, 10)));
                Thread.sleep(PIECE_MS);
                if (trouble && request.startLine().contains(" /api") && random.nextInt(ONE_IN) == 0) {
                    record.line("reset under the answer to %s by %s", requestId, id);
                    socket.setSoLinger(true, 0);
                    return;
                }
                write(out, chunk(body.substring(10)) + "0\r\n\r\n");
            }
        } catch (IOException | InterruptedException ended) {
            // The client proxy has closed the connection.
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    public static void main(String[] args) {
        Cases.exit(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Set<String> run = ConcurrentHashMap.newKeySet();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
                host("server-" + i, i, listener, record, trouble, run);
                entries.add(new Discovery.Entry(
                        "server-" + i, listener.getLocalPort(), zones[i % zones.length], "in_service", 0));
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
                        List<Request> open = new ArrayList<>();
                        boolean started = false;
                        try (Socket socket = new Socket("127.0.0.1", port)) {
                            socket.setTcpNoDelay(true);
                            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                            boolean kept = true;
                            while (kept && System.nanoTime() < end) {
                                Thread.sleep((long) (-300 * Math.log(1 - random.nextDouble())));
                                StringBuilder atOnce = new StringBuilder();
                                for (int k = 0; k < AT_ONCE; k++) {
                                    Request request = Request.draw(random, String.format("%08x%08x", number, n++));
                                    open.add(request);
                                    atOnce.append(new String(request.bytes(), StandardCharsets.US_ASCII));
                                    record.line("%s %s sent", request.name(), request.id());
                                }
                                sent.addAndGet(AT_ONCE);
                                socket.getOutputStream().write(atOnce.toString().getBytes(StandardCharsets.US_ASCII));
                                while (!open.isEmpty()) {
                                    Request first = open.get(0);
                                    started = false;
                                    // The longest deadline of all classes, and the half second after it.
                                    socket.setSoTimeout(4500);
                                    in.mark(1);
                                    if (in.read() < 0) {
                                        throw new EOFException("closed");
                                    }
                                    in.reset();
                                    started = true;
                                    Http.Message answer = Http.readMessage(in);
                                    started = false;
                                    open.remove(0);
                                    answered.incrementAndGet();
                                    record.line("%s answered %d %s", first.id(), answer.status(), answer.text());
                                    kept = !"close".equalsIgnoreCase(answer.headers().get("connection"));
                                }
                            }
                        } catch (SocketTimeoutException silent) {
                            record.line("no answer in time: %s", open.get(0).id());
                            lost.addAndGet(open.size());
                        } catch (IOException ended) {
                            record.line("the client proxy ended the connection: %s", ended.getMessage());
                            for (Request request : open) {
                                // An answer that breaks on the way has failed and is not lost: the client can tell.
                                boolean failed = started && request == open.get(0);
                                (failed ? broken : lost).incrementAndGet();
                                record.line("%s %s", request.id(), failed ? "answer broke on the way" : "LOST");
                            }
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
            long reported = proxy.log().stream().filter(line -> line.contains("close_unanswered request")).count();
            proxy.close();
            record.line("sent %d answered %d broken %d lost %d", sent.get(), answered.get(), broken.get(), lost.get());
            System.out.printf(
                    "sent %d, answered %d, answers broken on the way %d, closed unanswered %d (its own log: %d violations)%n",
                    sent.get(), answered.get(), broken.get(), lost.get(), reported);
            proxy.log().forEach(line -> record.line("log: %s", line));
            return !alive || answered.get() < sent.get() / 2 ? 2 : lost.get() > 0 ? 1 : 0;
        }
    }
}
