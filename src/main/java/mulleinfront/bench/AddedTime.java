package mulleinfront.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import mulleinfront.capacity.Slope;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency added to each request between client and server: the client's waiting time less the processing
 * time that the server reports. An open loop sends directly to the servers, then over a plain relay, then through the
 * client proxy. The added latency is the measured time less the median of the direct connections, which is the cost of
 * the loopback and the driver. The whole tail thus counts against the client proxy.
 */
public final class AddedTime {
    private static final int SERVERS = 12;
    private static final int CONNECTIONS = 16;
    private static final long SERVER_MEAN_US = 1_000;
    private static final int WARM_UP_MS = 2_000;
    private static final AtomicLong IDS = new AtomicLong();
    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final PrintWriter out;

    /** @param out receives a line for each run */
    public AddedTime(PrintWriter out) {
        this.out = out;
    }

    /**
     * Measures the added latency at several request rates.
     *
     * @param rates requests per second, over all connections
     * @param requests minimum number of measured requests for each rate and route
     */
    public List<Slope> measure(int[] rates, int requests, String command) throws IOException, InterruptedException {
        SlopeCollector results = new SlopeCollector("calls a second", command);
        try (Child.Handle servers =
                        new Child.Handle("", List.of("-XX:+UseSerialGC"), "timed", "" + SERVERS, "" + SERVER_MEAN_US);
                Child.Handle relay =
                        new Child.Handle("", Throughput.DEPLOYED_JVM_FLAGS, "relay", "" + servers.ports.get(0));
                Child.Handle proxy = new Child.Handle(
                        "", Throughput.DEPLOYED_JVM_FLAGS, "proxy", Throughput.config(servers.ports), "1")) {
            out.printf(
                    Locale.ROOT,
                    "%-14s %8s %8s %9s %9s %9s %9s %9s%n",
                    "outside hosts",
                    "calls/s",
                    "calls",
                    "p50 ms",
                    "p99 ms",
                    "p99.9 ms",
                    "cpu us",
                    "no 200");
            // Warm-up: these runs are not counted, and let the JIT compile the code of all three parts.
            for (Child.Handle part : List.of(servers, relay, proxy)) {
                new Load(part.ports, rates[rates.length - 1]).run(WARM_UP_MS, null);
            }
            for (int rate : rates) {
                long durationMs = Math.max(5_000, requests * 1_000L / rate);
                Histogram direct = measureRoute("direct", rate, servers, durationMs, results, null);
                measureRoute("relay", rate, relay, durationMs, results, direct);
                measureRoute("proxy", rate, proxy, durationMs, results, direct);
            }
        }
        return results.slopes();
    }

    private Histogram measureRoute(
            String route, int rate, Child.Handle part, long durationMs, SlopeCollector results, Histogram direct)
            throws IOException, InterruptedException {
        Child.ResourceUsage[] used = new Child.ResourceUsage[1];
        Load load = new Load(part.ports, rate);
        Histogram times = load.run(durationMs, () -> used[0] = part.resourceUsage());
        Child.ResourceUsage cpu = part.resourceUsage().since(used[0]);
        double cpuMicrosPerRequest = cpu.cpuNanos() / 1e3 / Math.max(1, times.getTotalCount());
        out.printf(
                Locale.ROOT,
                "%-14s %8d %8d %9.3f %9.3f %9.3f %9.1f %9d%n",
                route,
                rate,
                times.getTotalCount(),
                percentileMs(times, 50),
                percentileMs(times, 99),
                percentileMs(times, 99.9),
                direct == null ? 0 : cpuMicrosPerRequest,
                load.failures.get());
        out.flush();
        if (direct != null) {
            String name = "data." + route;
            String subject = route.equals("proxy") ? "the client proxy" : "the relay";
            results.add(
                    rate,
                    name + ".p50",
                    "added by " + subject + " to half of the calls, at most",
                    "s",
                    (percentileMs(times, 50) - percentileMs(direct, 50)) / 1e3);
            results.add(
                    rate,
                    name + ".p99",
                    "added by " + subject + " to 99 in 100 calls, at most",
                    "s",
                    (percentileMs(times, 99) - percentileMs(direct, 50)) / 1e3);
            results.add(
                    rate,
                    name + ".p999",
                    "added by " + subject + " to 999 in 1,000 calls, at most",
                    "s",
                    (percentileMs(times, 99.9) - percentileMs(direct, 50)) / 1e3);
            results.add(
                    rate,
                    name + ".processor",
                    "processor time of " + subject,
                    "of a core",
                    cpu.cpuNanos() / 1e9 / (durationMs / 1e3));
        } else {
            results.add(
                    rate,
                    "data.direct.p50",
                    "outside the hosts with nothing between, half of the calls",
                    "s",
                    percentileMs(times, 50) / 1e3);
            results.add(
                    rate,
                    "data.direct.p99",
                    "outside the hosts with nothing between, 99 in 100 calls",
                    "s",
                    percentileMs(times, 99) / 1e3);
        }
        return times;
    }

    private static double percentileMs(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    /** The processing time that a server reports, nanoseconds; -1 if the response does not contain one. */
    static long reportedNanos(String response) {
        String body = response.substring(response.indexOf("\r\n\r\n") + 4);
        return response.startsWith("HTTP/1.1 200") && body.matches("[0-9]{" + TimedServer.BODY_DIGITS + "}")
                ? Long.parseLong(body)
                : -1;
    }

    /**
     * Sends an open-loop load over connections with a thread each. A request that is due while the previous one is open
     * is measured from when it was due.
     */
    private static final class Load {
        private final List<Integer> ports;
        private final long intervalNanos;
        private final AtomicLong failures = new AtomicLong();
        private final Histogram times = new ConcurrentHistogram(MAX_LATENCY_NANOS, 3);
        private volatile boolean measuring;
        private volatile boolean stopped;

        Load(List<Integer> ports, double perSecond) {
            this.ports = ports;
            this.intervalNanos = (long) (1e9 * CONNECTIONS / perSecond);
        }

        Histogram run(long durationMs, Runnable atBegin) throws InterruptedException, IOException {
            List<Thread> clients = new ArrayList<>();
            long begin = System.nanoTime();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(i % ports.size()));
                socket.setTcpNoDelay(true);
                long first = begin + intervalNanos * i / CONNECTIONS;
                Thread client = new Thread(() -> send(socket, first), "client " + i);
                client.start();
                clients.add(client);
            }
            if (atBegin != null) {
                Thread.sleep(WARM_UP_MS);
                atBegin.run();
            }
            measuring = true;
            Thread.sleep(durationMs);
            measuring = false;
            stopped = true;
            for (Thread thread : clients) {
                thread.join();
            }
            return times;
        }

        private void send(Socket socket, long first) {
            byte[] buffer = new byte[4096];
            try (socket) {
                for (long due = first; !stopped; due += intervalNanos) {
                    boolean late = System.nanoTime() > due;
                    while (!stopped && System.nanoTime() < due) {
                        LockSupport.parkNanos(due - System.nanoTime());
                    }
                    long id = IDS.incrementAndGet();
                    byte[] request = ("GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: a" + id
                                    + "\r\nX-Class: lookup\r\nX-Key: k" + id * 7919 % 1000
                                    + "\r\nX-Deadline-Ms: 5000\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    long from = late ? due : System.nanoTime();
                    socket.getOutputStream().write(request);
                    String response = readResponse(socket, buffer);
                    long waited = System.nanoTime() - from;
                    if (!measuring) {
                        continue;
                    }
                    long serverNanos = reportedNanos(response);
                    if (serverNanos < 0) {
                        failures.incrementAndGet();
                    } else {
                        times.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, waited - serverNanos)));
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Reads one response; responses are not pipelined and have a Content-Length. */
        private static String readResponse(Socket socket, byte[] buffer) throws IOException {
            int length = 0;
            while (true) {
                int more = socket.getInputStream().read(buffer, length, buffer.length - length);
                if (more <= 0) {
                    throw new IOException("a connection closed in the middle of a response");
                }
                length += more;
                String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                int end = text.indexOf("\r\n\r\n");
                if (end >= 0 && length >= end + 4 + bodyLength(text)) {
                    return text;
                }
            }
        }

        private static int bodyLength(String head) {
            int at = head.toLowerCase(Locale.ROOT).indexOf("content-length:") + "content-length:".length();
            return Integer.parseInt(head.substring(at, head.indexOf('\r', at)).strip());
        }
    }
}
