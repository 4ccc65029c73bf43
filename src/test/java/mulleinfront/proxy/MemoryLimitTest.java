package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The memory that clients and servers can make the deployed process hold, at the limits of its settings. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MemoryLimitTest {
    /** The least memory that the platform's page has a JVM run with: its 32 MB and the 64 MB that a JVM needs. */
    private static final int LEAST_MEMORY_MB = 96;

    private static final int SOCKETS = 1_024;
    private static final long BYTES_PER_MB = 1_000_000;
    private static final int DEADLINE_MS = 2_000;
    private static final int GRACE_MS = 500;
    /** The protocol's page: SIGKILL comes no sooner than this after the longest deadline. */
    private static final int KILLED_AFTER_DEADLINE_MS = 700;
    /** The JVM's exit code after SIGTERM. */
    private static final int SIGTERM_EXIT_CODE = 143;
    /** How long a crowd lasts, in periods after which its members that were closed come again. */
    private static final int ROUNDS = 8;

    private static final int ROUND_MS = 500;
    private static final int CROWD = 450;
    private static final int FLOODERS = 12;
    private static final int MANY_FIELDS = 1_550;
    private static final int LARGE_BODY_BYTES = 256 * 1024;
    private static final int ORDINARY_BODY_BYTES = 65_000;

    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();

    /** What the members of a crowd do on their connections, each in a step that is repeated. */
    enum Crowd {
        /** Whole heads of very many short fields, one after another at full speed. */
        PIPELINED_HEADS(FLOODERS),
        HALF_HEADS(CROWD),
        HALF_HEADS_IN_SINGLE_BYTES(CROWD),
        /** Heads of very many short fields, whose bodies stop half way. */
        HALF_BODIES_AFTER_LONG_HEADS(CROWD),
        HALF_BODIES(CROWD),
        HALF_CHUNKED_BODIES(CROWD),
        HALF_TRAILERS(CROWD),
        SLOW_BODIES(CROWD),
        SLOW_READERS(CROWD),
        READS_NO_ORDINARY_ANSWERS(CROWD),
        /** Calls that servers answer with half a head of very many short fields. */
        HALF_ANSWER_HEADS(CROWD),
        HALF_ANSWER_BODIES(CROWD),
        MIXED(CROWD);

        final int size;

        Crowd(int size) {
            this.size = size;
        }
    }

    private static String manyFields() {
        return "abc:\r\n".repeat(MANY_FIELDS / 2) + "a:b\r\n".repeat(MANY_FIELDS - MANY_FIELDS / 2);
    }

    private static String head(String method, String id, String moreHeaders) {
        return method + " /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + (method.equals("GET") ? "safe" : "unsafe") + "\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n"
                + moreHeaders;
    }

    /** A member of a crowd. */
    private final class Member {
        private final Crowd crowd;
        private final int number;
        private final int port;
        private Socket socket;
        private int steps;
        private int connections;

        Member(Crowd crowd, int number, int port) {
            this.crowd = crowd == Crowd.MIXED ? Crowd.values()[number % Crowd.MIXED.ordinal()] : crowd;
            this.number = number;
            this.port = port;
        }

        void step() {
            try {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(1);
                    steps = 0;
                    connections++;
                }
                send(socket.getOutputStream());
                steps++;
                if (crowd == Crowd.SLOW_READERS ? steps == 1 && isRefused() : readsAnswers() && ended()) {
                    close();
                }
            } catch (IOException closed) {
                close();
            }
        }

        private boolean readsAnswers() {
            return crowd != Crowd.READS_NO_ORDINARY_ANSWERS;
        }

        /** Reads no more than the beginning of an answer; a call that is refused is made again. */
        private boolean isRefused() throws IOException {
            socket.setSoTimeout(DEADLINE_MS);
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            return !new String(start, StandardCharsets.US_ASCII).endsWith("200");
        }

        private boolean ended() throws IOException {
            try {
                return socket.getInputStream().read(new byte[8_192]) < 0;
            } catch (SocketTimeoutException nothing) {
                return false;
            }
        }

        private void send(OutputStream out) throws IOException {
            String id = crowd + "-" + number + "-" + connections;
            boolean first = steps == 0;
            switch (crowd) {
                case PIPELINED_HEADS -> write(out, head("GET", id + "-" + steps, manyFields()) + "\r\n");
                case HALF_HEADS -> write(out, first ? head("GET", id, manyFields()) : "");
                case HALF_HEADS_IN_SINGLE_BYTES -> writeSingleBytes(out, first ? head("GET", id, "a:b\r\nc") : "");
                case HALF_BODIES_AFTER_LONG_HEADS ->
                    write(out, first ? head("POST", id, manyFields()) + "Content-Length: 9000\r\n\r\nx" : "");
                case HALF_BODIES -> writeBody(out, id, "Content-Length: " + LARGE_BODY_BYTES + "\r\n\r\n", first);
                case HALF_CHUNKED_BODIES ->
                    writeBody(out, id, "Transfer-Encoding: chunked\r\n\r\n" + "40000\r\n", first);
                case HALF_TRAILERS ->
                    write(
                            out,
                            first
                                    ? head("POST", id, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
                                            + manyFields()
                                    : "");
                case SLOW_BODIES -> writeSlowBody(out, id, first);
                case SLOW_READERS -> write(out, first ? head("GET", "long-" + id, "") + "\r\n" : "");
                case READS_NO_ORDINARY_ANSWERS -> write(out, head("GET", "ordinary-" + id + steps, "") + "\r\n");
                case HALF_ANSWER_HEADS -> write(out, first ? head("GET", "half-head-" + id, "") + "\r\n" : "");
                case HALF_ANSWER_BODIES -> write(out, first ? head("GET", "half-body-" + id, "") + "\r\n" : "");
                case MIXED -> throw new AssertionError("its members are of the other kinds");
            }
        }

        private void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        }

        private void writeSingleBytes(OutputStream out, String text) throws IOException {
            for (byte b : text.getBytes(StandardCharsets.US_ASCII)) {
                out.write(b);
            }
        }

        private void writeBody(OutputStream out, String id, String framing, boolean first) throws IOException {
            if (first) {
                write(out, head("POST", id, framing));
                // The first half, in one write that the sockets' buffers hold.
                out.write(new byte[LARGE_BODY_BYTES / 2]);
            }
        }

        private void writeSlowBody(OutputStream out, String id, boolean first) throws IOException {
            if (first) {
                write(out, head("POST", id, "Content-Length: " + ORDINARY_BODY_BYTES + "\r\n\r\n"));
            }
            out.write(new byte[ORDINARY_BODY_BYTES / ROUNDS]);
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

    /** Answers by the beginning of the request's id. */
    private static void answer(ReceivedRequest request) {
        String id = request.message().header("x-request-id");
        if (id.startsWith("long-")) {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + "x".repeat(4_000_000));
        } else if (id.startsWith("ordinary-")) {
            request.respondOk("x".repeat(ORDINARY_BODY_BYTES));
        } else if (id.startsWith("half-head-")) {
            request.write("HTTP/1.1 200 OK\r\n" + manyFields());
        } else if (id.startsWith("half-body-")) {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + "x".repeat(60_000));
        } else {
            request.respondOk("x");
        }
    }

    private DeployedProxy start(int memoryMb) throws Exception {
        Server[] servers = new Server[9];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new Server(MemoryLimitTest::answer);
            resources.add(servers[i]);
        }
        DeployedProxy proxy =
                new DeployedProxy(folder, new DeployedProxy.Limits(memoryMb, SOCKETS, DEADLINE_MS), servers);
        resources.add(0, proxy);
        return proxy;
    }

    @AfterEach
    void closeAll() throws Exception {
        members.forEach(Member::close);
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    /** Lets a crowd act for a while, each member in its turn or, if there are few, at full speed. */
    private void play(Crowd crowd, int port) throws InterruptedException {
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> flooders = new ArrayList<>();
        for (int i = 0; i < crowd.size; i++) {
            members.add(new Member(crowd, i, port));
        }
        if (crowd.size == FLOODERS) {
            for (Member member : members) {
                Thread thread = new Thread(() -> {
                    while (!stopped.get()) {
                        member.step();
                    }
                });
                thread.setDaemon(true);
                thread.start();
                flooders.add(thread);
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            if (crowd.size != FLOODERS) {
                members.forEach(Member::step);
            }
            Thread.sleep(ROUND_MS);
        }
        stopped.set(true);
        for (Thread thread : flooders) {
            thread.join(TimeUnit.SECONDS.toMillis(1));
        }
    }

    /**
     * Guards against processes killed for memory: whatever a crowd of clients leaves half done, the process stays below
     * the limit of its settings and goes on.
     */
    @ParameterizedTest
    @EnumSource
    void crowdLeavesTheProcessBelowItsMemoryLimit(Crowd crowd) throws Exception {
        DeployedProxy proxy = start(LEAST_MEMORY_MB);
        long atRest = proxy.peakMemoryBytes();
        try (UsualCalls usual = new UsualCalls(proxy.port, DEADLINE_MS, GRACE_MS)) {
            play(crowd, proxy.port);
            usual.close();
            long peak = proxy.peakMemoryBytes();
            System.err.println("memory " + crowd + ": " + atRest / BYTES_PER_MB + " MB at rest, peak "
                    + peak / BYTES_PER_MB + " MB of " + LEAST_MEMORY_MB + "; usual calls " + usual.calls + ", served "
                    + usual.served + ", late "
                    + usual.late);
            assertTrue(proxy.process.isAlive(), "the process goes on: " + proxy.logText());
            assertTrue(peak < LEAST_MEMORY_MB * BYTES_PER_MB, "peak memory " + peak);
            assertEquals(0, usual.late.get(), "of " + usual.calls + " usual calls");
        }
    }

    /** Guards against a process that is killed at the end of a restart: a crowd does not delay its end. */
    @Test
    void crowdDoesNotDelayTheEndOfTheProcess() throws Exception {
        DeployedProxy proxy = start(LEAST_MEMORY_MB);
        for (int i = 0; i < Crowd.MIXED.size; i++) {
            members.add(new Member(Crowd.MIXED, i, proxy.port));
        }
        members.forEach(Member::step);
        proxy.process.destroy();
        assertTrue(
                proxy.process.waitFor(DEADLINE_MS + KILLED_AFTER_DEADLINE_MS, TimeUnit.MILLISECONDS),
                "it has ended before it would be killed: " + proxy.logText());
        assertEquals(SIGTERM_EXIT_CODE, proxy.process.exitValue());
    }
}
