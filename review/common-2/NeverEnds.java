import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few answers of hosts are spoilt so that they never end. The request must have its final answer, or a break that
 * its client can tell, half a second after its deadline at the latest.
 */
final class NeverEnds {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 12;
    /** One answer in so many never ends. */
    private static final int ONE_IN = 50;
    /** Such an answer brings so many bytes in each of these pauses. */
    private static final int PIECE_BYTES = 8 * 1024;
    private static final long PAUSE_MS = 50;
    /** Half a second after the deadline an answer is lost; on sockets each limit is 50 ms longer. */
    private static final long GRACE_MS = 550;
    private static final long LENGTH_MS = 20_000;

    private NeverEnds() {}

    private static void host(String id, int number, ServerSocket listener, Record record, boolean trouble) {
        SplittableRandom seeds = new SplittableRandom(number);
        Discovery.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    SplittableRandom random = seeds.split();
                    Discovery.daemon(() -> serve(id, socket, random, record, trouble));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private static void serve(String id, Socket socket, SplittableRandom random, Record record, boolean trouble) {
        String open = null;
        long bytes = 0;
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.readMessage(in);
                String requestId = request.headers().get("x-request-id");
                record.line("run %s at %s", requestId, id);
                Thread.sleep(20 + random.nextInt(40));
                if (trouble && request.startLine().contains(" /api") && random.nextInt(ONE_IN) == 0) {
                    record.line("an answer without end to %s by %s", requestId, id);
                    open = requestId;
                    byte[] noise = new byte[PIECE_BYTES];
                    Arrays.fill(noise, (byte) '#');
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    while (true) {
                        out.write((Integer.toHexString(PIECE_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                        out.write(noise);
                        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                        bytes += PIECE_BYTES;
                        Thread.sleep(PAUSE_MS);
                    }
                }
                String body = "{\"answer_to\":\"" + requestId + "\"}";
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException ended) {
            if (open != null) {
                record.line("the answer to %s was given up after %d bytes", open, bytes);
            }
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
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        try (Record record = new Record(args[1])) {
            List<Discovery.Entry> entries = new ArrayList<>();
            String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
            for (int i = 0; i < HOSTS; i++) {
                ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
                host("server-" + i, i, listener, record, trouble);
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
                        Request request = null;
                        long writtenNanos = 0;
                        long bytes = 0;
                        try (Socket socket = new Socket("127.0.0.1", port)) {
                            socket.setTcpNoDelay(true);
                            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                            boolean kept = true;
                            while (kept && System.nanoTime() < end) {
                                Thread.sleep((long) (-100 * Math.log(1 - random.nextDouble())));
                                request = Request.draw(random, String.format("%08x%08x", number, n++));
                                record.line("%s %s sent", request.name(), request.id());
                                sent.incrementAndGet();
                                socket.getOutputStream().write(request.bytes());
                                writtenNanos = System.nanoTime();
                                Http.Message answer = Http.readMessage(
                                        in, socket, writtenNanos + TimeUnit.MILLISECONDS.toNanos(
                                                deadlineMs(request) + GRACE_MS));
                                answered.incrementAndGet();
                                record.line(
                                        "%s answered %d, %d bytes, after %.0f ms", request.id(), answer.status(),
                                        answer.body().length, (System.nanoTime() - writtenNanos) / 1e6);
                                kept = !"close".equalsIgnoreCase(answer.headers().get("connection"));
                                request = null;
                            }
                        } catch (SocketTimeoutException late) {
                            lost.incrementAndGet();
                            record.line(
                                    "%s %s LOST: neither whole nor broken %.0f ms after it was sent, deadline %d ms",
                                    request.name(), request.id(), (System.nanoTime() - writtenNanos) / 1e6,
                                    deadlineMs(request));
                        } catch (IOException ended) {
                            if (request != null) {
                                broken.incrementAndGet();
                                record.line(
                                        "%s broke off after %.0f ms: %s", request.id(),
                                        (System.nanoTime() - writtenNanos) / 1e6, ended.getMessage());
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
            proxy.log().forEach(line -> record.line("log: %s", line));
            proxy.close();
            System.out.printf(
                    "sent %d, answered %d, broken off in time %d, neither whole nor broken half a second after the deadline %d%n",
                    sent.get(), answered.get(), broken.get(), lost.get());
            return !alive || answered.get() < sent.get() / 2 ? 2 : lost.get() > 0 ? 1 : 0;
        }
    }
}
