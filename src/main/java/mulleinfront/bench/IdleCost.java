package mulleinfront.bench;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import mulleinfront.capacity.Slope;

/**
 * Measures an idle client proxy process with a list of servers: memory, CPU time, and the traffic of its discovery
 * watch.
 */
public final class IdleCost {
    private static final int SETTLE_MS = 8_000;
    private static final int MEASURED_MS = 12_000;
    private static final int HEARTBEAT_MS = 2_000;
    /** Unit of the CPU times in {@code /proc/PID/stat}. */
    private static final int TICK_MS = 10;

    /** The JVM flags of the deployed command line that affect memory and CPU time. */
    private static final List<String> DEPLOYED_JVM_FLAGS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-Dio.netty.jfr.enabled=false",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx96m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Xss512k",
            "-XX:-UsePerfData");

    private IdleCost() {}

    /** Measures one process after the other, with lists of the given sizes. */
    public static List<Slope> measure(int[] sizes, String command) throws IOException, InterruptedException {
        SlopeCollector out = new SlopeCollector("hosts", command);
        for (int size : sizes) {
            measureProcess(size, out);
        }
        return out.slopes();
    }

    private static void measureProcess(int servers, SlopeCollector out) throws IOException, InterruptedException {
        Path file = Files.createTempFile("idle", ".json");
        try (StandInDiscovery discovery = new StandInDiscovery(ListCost.fullList(servers))) {
            Files.writeString(file, config(discovery.port()));
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(DEPLOYED_JVM_FLAGS);
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), "mulleinfront.Main", "serve"));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.environment().put("NODE_CONFIG", file.toString());
            Process process = builder.start();
            try {
                Thread.sleep(SETTLE_MS);
                if (!process.isAlive() || discovery.calls.get() == 0) {
                    throw new IOException("the client proxy did not start and request its list");
                }
                long bytes = discovery.bytes.get();
                long messages = discovery.messages.get();
                long ticks = cpuTicks(process);
                long from = System.nanoTime();
                Thread.sleep(MEASURED_MS);
                double seconds = (System.nanoTime() - from) / 1e9;
                out.add(
                        servers,
                        "idle.processor",
                        "processor time of an idle client proxy",
                        "of a core",
                        (cpuTicks(process) - ticks) * TICK_MS / 1e3 / seconds);
                out.add(
                        servers,
                        "idle.memory",
                        "resident memory of an idle client proxy",
                        "bytes",
                        residentBytes(process));
                out.add(
                        servers,
                        "idle.bytes",
                        "bytes of a quiet watch of discovery",
                        "bytes/s",
                        (discovery.bytes.get() - bytes) / seconds);
                out.add(
                        servers,
                        "idle.messages",
                        "heartbeats of a quiet watch of discovery",
                        "/s",
                        (discovery.messages.get() - messages) / seconds);
            } finally {
                process.destroyForcibly().waitFor();
            }
        } finally {
            Files.delete(file);
        }
    }

    private static long cpuTicks(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc", "" + process.pid(), "stat"));
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(words[11]) + Long.parseLong(words[12]);
    }

    private static long residentBytes(Process process) throws IOException {
        String status = Files.readString(Path.of("/proc", "" + process.pid(), "status"));
        int at = status.indexOf("VmRSS:");
        return 1024
                * Long.parseLong(
                        status.substring(at + 6, status.indexOf("kB", at)).strip());
    }

    private static String config(int discovery) {
        return "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"1\",\"limits\":"
                + "{\"sockets\":1024},\"settings\":{\"azs\":[\"zone-a\"],\"kinds\":[\"new\"],"
                + "\"balancers\":670,\"membershipMode\":\"subscribe\",\"classes\":[{\"name\":\"lookup\","
                + "\"effect\":\"retryable\",\"onTimeUs\":500000,\"deadlineUs\":5000000,\"worth\":1}],"
                + "\"limits\":{\"maxAttempts\":4,\"mayCancel\":true,\"mayProbe\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":2000000,\"connIdleUs\":5000000},"
                + "\"contract\":{\"askWithinUs\":10000000}}}";
    }

    /** Stand-in discovery for one client proxy: sends the full list, then heartbeats. */
    private static final class StandInDiscovery implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        private final byte[] list;
        private final AtomicLong bytes = new AtomicLong();
        private final AtomicLong messages = new AtomicLong();
        private final AtomicLong calls = new AtomicLong();

        StandInDiscovery(byte[] list) throws IOException {
            this.list = list;
            Thread accepting = new Thread(this::accept, "discovery");
            accepting.setDaemon(true);
            accepting.start();
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread watchThread = new Thread(() -> serve(socket), "watch");
                    watchThread.setDaemon(true);
                    watchThread.start();
                } catch (IOException e) {
                    return; // The server socket was closed: the measurement is over.
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                byte[] request = new byte[4096];
                if (socket.getInputStream().read(request) < 0) {
                    return;
                }
                calls.incrementAndGet();
                OutputStream out = socket.getOutputStream();
                write(
                        out,
                        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(list.length) + "\r\n"
                                        + new String(list, StandardCharsets.US_ASCII)
                                        + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    Thread.sleep(HEARTBEAT_MS);
                    write(out, "1\r\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException | InterruptedException e) {
                // The client proxy disconnected: its measurement is over.
            }
        }

        private void write(OutputStream out, byte[] text) throws IOException {
            out.write(text);
            out.flush();
            bytes.addAndGet(text.length);
            messages.incrementAndGet();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
