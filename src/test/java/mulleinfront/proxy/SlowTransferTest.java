package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Long requests and answers that servers read or write slowly, at the deployed process: a sound transfer goes on beyond
 * its client's deadline, one that brings next to nothing is ended half a second after it.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class SlowTransferTest {
    private static final int LONG_BYTES = 200_000;
    /** The pace of servers that write slowly: pieces of this size, one each interval, 90 KB a second. */
    private static final int PIECE_BYTES = 4_500;

    private static final int PIECE_INTERVAL_MS = 50;
    private static final int PIECES_IN_LUMP = 6;
    private static final int LATE_BODY_MS = 700;
    /** Bytes a second: an ordinary body, by the protocol, within its longest deadline. */
    private static final int MINIMUM_RATE = 64 * 1024 / 3;
    /** The pace of a client that reads slowly: 100 KB a second. */
    private static final int CLIENT_READ_BYTES = 5_000;

    private static final int CLIENT_READ_INTERVAL_MS = 50;
    private static final int TRICKLE_BYTES = 16;
    private static final int TRICKLE_INTERVAL_MS = 100;
    /** The platform's page: an answer is lost half a second after its time, each limit on sockets is 50 ms longer. */
    private static final int GRACE_MS = 550;

    private static final int CLASS_DEADLINE_MS = 3_000;
    private static final int[] DEADLINES_MS = {750, 1_500, 2_500};
    private static final int THREADS = 64;
    private static final int CALL_INTERVAL_MS = 40;
    private static final int RETRY_MS = 100;
    private static final int MAX_RETRIES = 20;

    @TempDir
    Path folder;

    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    private final List<AutoCloseable> resources = new ArrayList<>();
    private DeployedProxy proxy;
    private volatile int clientReadIntervalMs;

    /** How a server delimits the body of its answer. */
    enum Framing {
        LENGTH("Content-Length: " + LONG_BYTES),
        CHUNKED("Transfer-Encoding: chunked"),
        CLOSE("Connection: close");

        final String header;

        Framing(String header) {
            this.header = header;
        }

        void write(OutputStream out, byte[] piece) throws IOException {
            String size = this == CHUNKED ? Integer.toHexString(piece.length) + "\r\n" : "";
            String end = this == CHUNKED ? "\r\n" : "";
            byte[] framed =
                    (size + new String(piece, StandardCharsets.ISO_8859_1) + end).getBytes(StandardCharsets.ISO_8859_1);
            out.write(framed);
        }
    }

    /** How a server paces the body of its answer. */
    enum Pace {
        STEADY,
        LUMPS,
        LATE_BODY,
        AT_ONCE,
        /** Half as much again as an ordinary body of 64 KiB in 3 s. */
        ABOVE_MINIMUM_RATE,
        /** Half of that rate. */
        BELOW_MINIMUM_RATE,
        /** A few bytes each tenth of a second, without end. */
        TRICKLE
    }

    private static void writeAnswer(ReceivedRequest request) {
        String[] id = request.message().header("x-request-id").split("-");
        Framing framing = Framing.valueOf(id[0]);
        Pace pace = Pace.valueOf(id[1]);
        try {
            OutputStream out = request.socket().getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\n" + framing.header + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(pace == Pace.LATE_BODY ? LATE_BODY_MS : 0);
            if (pace == Pace.TRICKLE) {
                while (true) {
                    framing.write(out, new byte[TRICKLE_BYTES]);
                    Thread.sleep(TRICKLE_INTERVAL_MS);
                }
            }
            int pieceBytes = switch (pace) {
                case LUMPS -> PIECES_IN_LUMP * PIECE_BYTES;
                case AT_ONCE -> LONG_BYTES;
                case ABOVE_MINIMUM_RATE -> MINIMUM_RATE * 3 / 2 * PIECE_INTERVAL_MS / 1_000;
                case BELOW_MINIMUM_RATE -> MINIMUM_RATE / 2 * PIECE_INTERVAL_MS / 1_000;
                default -> PIECE_BYTES;
            };
            int intervalMs = pace == Pace.LUMPS ? PIECES_IN_LUMP * PIECE_INTERVAL_MS : PIECE_INTERVAL_MS;
            for (int sent = 0; sent < LONG_BYTES; sent += pieceBytes) {
                framing.write(out, new byte[Math.min(pieceBytes, LONG_BYTES - sent)]);
                Thread.sleep(intervalMs);
            }
            if (framing == Framing.CHUNKED) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else if (framing == Framing.CLOSE) {
                request.socket().close();
            }
        } catch (IOException closed) {
            // the proxy has ended the transfer
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @BeforeEach
    void start() throws Exception {
        Server[] servers = new Server[9];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new Server(SlowTransferTest::writeAnswer);
            resources.add(servers[i]);
        }
        proxy = new DeployedProxy(folder, new DeployedProxy.Limits(192, 1_024, CLASS_DEADLINE_MS), servers);
        resources.add(0, proxy);
    }

    @AfterEach
    void closeAll() throws Exception {
        threads.shutdownNow();
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    /** What a client saw of one call. */
    private record Call(String name, long deadlineMs, String result, int bodyBytes, long tookMs) {}

    private static String head(String requestClass, String id, long deadlineMs) {
        String method = requestClass.equals("safe") ? "GET" : "POST";
        String key = requestClass.equals("keyed") ? "Idempotency-Key: " + id + "\r\n" : "";
        return method + " /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + key;
    }

    /** Makes a call, and again under another id if it is refused at once, which a client may do without harm. */
    private Call callUntilAdmitted(String name, Function<String, String> headOfId, byte[] body, long deadlineMs) {
        Call call = call(name, headOfId.apply(name), body, deadlineMs);
        for (int retry = 1; call.result().equals("status 503") && retry <= MAX_RETRIES; retry++) {
            pause(RETRY_MS);
            call = call(name, headOfId.apply(name + "-" + retry), body, deadlineMs);
        }
        return call;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Sends a request and reads its answer to its end, or to the end of the connection. */
    private Call call(String name, String head, byte[] body, long deadlineMs) {
        long sentNanos = System.nanoTime();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String result;
        try (Client client = proxy.connect()) {
            client.write(head);
            client.socket.getOutputStream().write(body);
            sentNanos = System.nanoTime();
            StandIns.Message answer = client.readHead();
            result = "cut";
            readBody(client, answer, received);
            result = "status " + answer.status();
        } catch (IOException end) {
            result = "cut: " + end.getMessage();
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        return new Call(name, deadlineMs, result, received.size(), tookMs);
    }

    private void readBody(Client client, StandIns.Message head, ByteArrayOutputStream received) throws IOException {
        if ("chunked".equals(head.header("transfer-encoding"))) {
            for (byte[] chunk; (chunk = StandIns.readChunk(client.in)).length > 0; ) {
                received.write(chunk);
                pause((long) clientReadIntervalMs * chunk.length / CLIENT_READ_BYTES);
            }
            return;
        }
        int length = Integer.parseInt(head.header("content-length"));
        byte[] piece = new byte[CLIENT_READ_BYTES];
        while (received.size() < length) {
            int bytes = client.in.read(piece, 0, Math.min(piece.length, length - received.size()));
            if (bytes < 0) {
                throw new EOFException("ended in the body");
            }
            received.write(piece, 0, bytes);
            pause(clientReadIntervalMs);
        }
    }

    private List<Call> callAll(List<Callable<Call>> calls) throws Exception {
        List<Future<Call>> started = new ArrayList<>();
        for (Callable<Call> call : calls) {
            started.add(threads.submit(call));
            pause(CALL_INTERVAL_MS);
        }
        List<Call> results = new ArrayList<>();
        for (Future<Call> result : started) {
            results.add(result.get());
        }
        return results;
    }

    private List<Call> answersOf(Pace pace) throws Exception {
        List<Callable<Call>> calls = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (String requestClass : List.of("safe", "keyed", "unsafe")) {
                for (int deadlineMs : DEADLINES_MS) {
                    String name = framing + "-" + pace + "-" + requestClass + "-" + deadlineMs;
                    String framingHeader = requestClass.equals("safe") ? "\r\n" : "Content-Length: 0\r\n\r\n";
                    calls.add(() -> callUntilAdmitted(
                            name, id -> head(requestClass, id, deadlineMs) + framingHeader, new byte[0], deadlineMs));
                }
            }
        }
        return callAll(calls);
    }

    private static void assertAllWhole(List<Call> calls) {
        assertEquals(
                List.of(),
                calls.stream()
                        .filter(call -> !call.result().equals("status 200") || call.bodyBytes() != LONG_BYTES)
                        .toList());
    }

    /** Guards against sound streams that are cut off: long answers that come steadily, also after the deadline. */
    @Test
    void steadyLongAnswerArrivesWhole() throws Exception {
        assertAllWhole(answersOf(Pace.STEADY));
    }

    /** Guards against sound streams that are cut off: long answers that come in lumps. */
    @Test
    void longAnswerInLumpsArrivesWhole() throws Exception {
        assertAllWhole(answersOf(Pace.LUMPS));
    }

    /** Guards against answers that are given up although their head has come: the body follows within the deadline. */
    @Test
    void longAnswerWhoseBodyFollowsLaterArrivesWhole() throws Exception {
        assertAllWhole(answersOf(Pace.LATE_BODY));
    }

    /** Guards against sound streams that are cut off: the slowest pace that is sound, also after the deadline. */
    @Test
    void longAnswerAboveTheMinimumRateArrivesWhole() throws Exception {
        assertAllWhole(answersOf(Pace.ABOVE_MINIMUM_RATE));
    }

    /** Guards against lost requests: an answer slower than that ends soon after its client's deadline. */
    @Test
    void longAnswerBelowTheMinimumRateEndsHalfASecondAfterTheDeadline() throws Exception {
        assertAllEndInTime(answersOf(Pace.BELOW_MINIMUM_RATE));
    }

    /** Guards against sound streams that are cut off: the client reads slowly, and beyond its deadline. */
    @Test
    void longAnswerThatItsClientReadsSlowlyArrivesWhole() throws Exception {
        clientReadIntervalMs = CLIENT_READ_INTERVAL_MS;
        assertAllWhole(answersOf(Pace.AT_ONCE));
    }

    /** Guards against lost requests: an answer that brings next to nothing ends soon after its client's deadline. */
    @Test
    void trickleEndsHalfASecondAfterTheDeadline() throws Exception {
        assertAllEndInTime(answersOf(Pace.TRICKLE));
    }

    private static void assertAllEndInTime(List<Call> calls) {
        assertEquals(
                List.of(),
                calls.stream()
                        .filter(call ->
                                call.result().equals("status 200") || call.tookMs() > call.deadlineMs() + GRACE_MS)
                        .toList());
    }

    /** A server that reads requests at a limited pace, and answers each after its last byte. */
    private static final class SlowReader implements AutoCloseable {
        private static final int READ_BYTES = 5_000;
        private static final int READ_INTERVAL_MS = 50;
        private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
        private final ServerSocket socket = new ServerSocket();
        private final List<Socket> connections = new ArrayList<>();

        SlowReader() throws IOException {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startDaemon(() -> {
                while (true) {
                    Socket connection = socket.accept();
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    startDaemon(() -> serve(connection));
                }
            });
        }

        /** A step that ends with its connection. */
        private interface Step {
            void run() throws IOException, InterruptedException;
        }

        private static void startDaemon(Step step) {
            Thread thread = new Thread(() -> {
                try {
                    step.run();
                } catch (IOException | InterruptedException ended) {
                    // the connection or the server has ended
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private static void serve(Socket connection) throws IOException, InterruptedException {
            InputStream in = connection.getInputStream();
            while (true) {
                StandIns.Message head = StandIns.readHead(in);
                int length =
                        head.header("content-length") == null ? 0 : Integer.parseInt(head.header("content-length"));
                for (int read = 0; read < length; ) {
                    int bytes = in.readNBytes(Math.min(READ_BYTES, length - read)).length;
                    if (bytes == 0) {
                        return;
                    }
                    read += bytes;
                    Thread.sleep(READ_INTERVAL_MS);
                }
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
            }
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            synchronized (connections) {
                for (Socket connection : connections) {
                    connection.close();
                }
            }
        }
    }

    private void listSlowReaders() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            SlowReader server = new SlowReader();
            resources.add(server);
            entries.add(StandIns.endpointJson("slow" + i, server.address(), "in_service"));
        }
        proxy.replaceList(entries.toArray(String[]::new));
    }

    private List<Call> requestsOf(int bytes, long deadlineMs) throws Exception {
        List<Callable<Call>> calls = new ArrayList<>();
        for (String requestClass : List.of("keyed", "unsafe")) {
            for (int i = 0; i < 3; i++) {
                String name = requestClass + "-" + bytes + "-" + deadlineMs + "-" + i;
                String length = "Content-Length: " + bytes + "\r\n\r\n";
                calls.add(() -> callUntilAdmitted(
                        name, id -> head(requestClass, id, deadlineMs) + length, new byte[bytes], deadlineMs));
            }
        }
        return callAll(calls);
    }

    /** Guards against requests that are given up while their server still reads them and time is left. */
    @Test
    void requestReadSlowlyWithinItsDeadlineIsServed() throws Exception {
        listSlowReaders();
        List<Call> calls = new ArrayList<>(requestsOf(60_000, 2_500));
        calls.addAll(requestsOf(120_000, 2_500));
        assertEquals(
                List.of(),
                calls.stream()
                        .filter(call -> !call.result().equals("status 200"))
                        .toList());
    }

    /** Guards against final answers that come late: a server that reads slowly delays none beyond the deadline. */
    @Test
    void requestReadTooSlowlyIsAnsweredInTime() throws Exception {
        listSlowReaders();
        List<Call> calls = new ArrayList<>();
        for (int deadlineMs : DEADLINES_MS) {
            for (int bytes : new int[] {400_000, 2_000_000, 8_000_000}) {
                calls.addAll(requestsOf(bytes, deadlineMs));
            }
        }
        assertEquals(
                List.of(),
                calls.stream()
                        .filter(call -> call.tookMs() > call.deadlineMs() + GRACE_MS)
                        .toList());
    }
}
