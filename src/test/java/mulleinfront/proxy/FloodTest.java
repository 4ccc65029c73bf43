package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One client that sends at full speed on one connection, beside sound clients, at the deployed process. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class FloodTest {
    private static final int MEMORY_MB = 96;
    private static final long BYTES_PER_MB = 1_000_000;
    private static final int DEADLINE_MS = 2_000;
    private static final int GRACE_MS = 500;
    private static final int FLOOD_MS = 4_000;
    private static final int REQUESTS_IN_WRITE = 200;

    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();

    /** What the client sends, and whether it reads its answers. */
    enum Flood {
        NEW_KEYS(true),
        NEW_KEYS_UNREAD(false),
        NEW_CLASSES(true),
        NEW_TENANTS(true),
        READY_CALLS(true),
        UNKNOWN_PATHS(true),
        UNSOUND_HEADS(true),
        SMALL_CHUNKS(true),
        INTERIM_EXPECTATIONS(true);

        final boolean reads;

        Flood(boolean reads) {
            this.reads = reads;
        }

        String request(long number) {
            String start =
                    "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: flood" + number + "\r\nX-Deadline-Ms: 2000\r\n";
            return switch (this) {
                case NEW_KEYS, NEW_KEYS_UNREAD -> start + "X-Class: safe\r\nX-Key: k" + number + "\r\n\r\n";
                case NEW_CLASSES -> start + "X-Class: c" + number + "\r\n\r\n";
                case NEW_TENANTS -> start + "X-Class: safe\r\nX-Tenant: t" + number + "\r\n\r\n";
                case READY_CALLS -> "GET /-/ready HTTP/1.1\r\n\r\n";
                case UNKNOWN_PATHS -> "GET /x" + number + " HTTP/1.1\r\n\r\n";
                case UNSOUND_HEADS -> "G(T / HTTP/1.1\r\nnoise " + number + "\r\n\r\n";
                case SMALL_CHUNKS ->
                    "POST /api HTTP/1.1\r\nX-Request-Id: flood" + number + "\r\nX-Deadline-Ms: 2000\r\n"
                            + "X-Class: unsafe\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(50)
                            + "0\r\n\r\n";
                case INTERIM_EXPECTATIONS ->
                    "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nX-Request-Id: flood" + number
                            + "\r\nContent-Length: 1\r\n\r\nx";
            };
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends until it is stopped, on a new connection whenever the proxy has closed the one before. */
    private static void send(Flood flood, int port, AtomicBoolean stopped) {
        long number = 0;
        while (!stopped.get()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                if (flood.reads) {
                    startDaemon(() -> readAll(socket));
                }
                OutputStream out = socket.getOutputStream();
                while (!stopped.get()) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < REQUESTS_IN_WRITE; i++) {
                        requests.append(flood.request(number++));
                    }
                    out.write(requests.toString().getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException closed) {
                // connects again
            }
        }
    }

    private static void readAll(Socket socket) {
        try (InputStream in = socket.getInputStream()) {
            byte[] buffer = new byte[64 * 1024];
            while (in.read(buffer) >= 0) {
                // discards the answers
            }
        } catch (IOException closed) {
            // the connection has ended
        }
    }

    /** Guards against a client that takes all of the event loop's time: the calls of other clients are answered. */
    @ParameterizedTest
    @EnumSource
    void floodOnOneConnectionDelaysNoOtherClient(Flood flood) throws Exception {
        Server[] servers = new Server[9];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new Server(request -> request.respondOk("x"));
            resources.add(servers[i]);
        }
        DeployedProxy proxy =
                new DeployedProxy(folder, new DeployedProxy.Limits(MEMORY_MB, 1_024, DEADLINE_MS), servers);
        resources.add(0, proxy);
        AtomicBoolean stopped = new AtomicBoolean();
        try (UsualCalls usual = new UsualCalls(proxy.port, DEADLINE_MS, GRACE_MS)) {
            Thread flooder = startDaemon(() -> send(flood, proxy.port, stopped));
            Thread.sleep(FLOOD_MS);
            usual.close();
            stopped.set(true);
            long peak = proxy.peakMemoryBytes();
            System.err.println(
                    "flood " + flood + ": usual calls " + usual.calls + ", served " + usual.served + ", late "
                            + usual.late + ", longest " + usual.longestMs + " ms, peak " + peak / BYTES_PER_MB + " MB");
            assertEquals(0, usual.late.get(), "late of " + usual.calls + " usual calls");
            assertTrue(!proxy.logText().contains("discovery_end"), "the watch is read: " + proxy.logText());
            assertTrue(peak < MEMORY_MB * BYTES_PER_MB, "peak memory " + peak);
            flooder.join(TimeUnit.SECONDS.toMillis(5));
        }
    }
}
