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
 * The time that is added to each request on its way, request by request: what its client waited less what its
 * host says that it had it. Straight to hosts, over a plain relay and through the client proxy in turn, in an
 * open loop. What stands for added is that time through the client proxy less the median of the same straight
 * to the hosts: the loopback and the driver cost that much without anything between them, and all of the tail
 * is held against the client proxy.
 */
public final class AddedTime {
    private static final int HOSTS = 12;
    private static final int CONNECTIONS = 16;
    private static final long HOST_MICROS = 1_000;
    private static final int WARM_MS = 2_000;
    private static final AtomicLong IDS = new AtomicLong();
    private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final PrintWriter out;

    /** @param out a line for each run, beside the slopes */
    public AddedTime(PrintWriter out) {
        this.out = out;
    }

    /**
     * Measures some rates.
     *
     * @param rates requests a second, over all connections
     * @param requests measured of each rate and way, at the least
     */
    public List<Slope> measure(int[] rates, int requests, String command) throws IOException, InterruptedException {
        Measured m = new Measured("calls a second", command);
        try (Child.Handle hosts =
                        new Child.Handle("", List.of("-XX:+UseSerialGC"), "timed", "" + HOSTS, "" + HOST_MICROS);
                Child.Handle relay = new Child.Handle("", Throughput.DEPLOYED, "relay", "" + hosts.ports.get(0));
                Child.Handle proxy =
                        new Child.Handle("", Throughput.DEPLOYED, "proxy", Throughput.config(hosts.ports), "1")) {
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
            // The way that is not counted brings all three parts' code up.
            for (Child.Handle part : List.of(hosts, relay, proxy)) {
                new Load(part.ports, rates[rates.length - 1]).run(WARM_MS, null);
            }
            for (int rate : rates) {
                long ms = Math.max(5_000, requests * 1_000L / rate);
                Histogram direct = one("direct", rate, hosts, ms, m, null);
                one("relay", rate, relay, ms, m, direct);
                one("proxy", rate, proxy, ms, m, direct);
            }
        }
        return m.slopes();
    }

    private Histogram one(String way, int rate, Child.Handle part, long ms, Measured m, Histogram direct)
            throws IOException, InterruptedException {
        Child.Figures[] used = new Child.Figures[1];
        Load load = new Load(part.ports, rate);
        Histogram times = load.run(ms, () -> used[0] = part.figures());
        Child.Figures cpu = part.figures().since(used[0]);
        double each = cpu.cpuNanos() / 1e3 / Math.max(1, times.getTotalCount());
        out.printf(
                Locale.ROOT,
                "%-14s %8d %8d %9.3f %9.3f %9.3f %9.1f %9d%n",
                way,
                rate,
                times.getTotalCount(),
                ms(times, 50),
                ms(times, 99),
                ms(times, 99.9),
                direct == null ? 0 : each,
                load.others.get());
        out.flush();
        if (direct != null) {
            String name = "data." + way;
            String of = way.equals("proxy") ? "the client proxy" : "the relay";
            m.add(
                    rate,
                    name + ".p50",
                    "added by " + of + " to half of the calls, at most",
                    "s",
                    (ms(times, 50) - ms(direct, 50)) / 1e3);
            m.add(
                    rate,
                    name + ".p99",
                    "added by " + of + " to 99 in 100 calls, at most",
                    "s",
                    (ms(times, 99) - ms(direct, 50)) / 1e3);
            m.add(
                    rate,
                    name + ".p999",
                    "added by " + of + " to 999 in 1,000 calls, at most",
                    "s",
                    (ms(times, 99.9) - ms(direct, 50)) / 1e3);
            m.add(rate, name + ".processor", "processor time of " + of, "of a core", cpu.cpuNanos() / 1e9 / (ms / 1e3));
        } else {
            m.add(
                    rate,
                    "data.direct.p50",
                    "outside the hosts with nothing between, half of the calls",
                    "s",
                    ms(times, 50) / 1e3);
            m.add(
                    rate,
                    "data.direct.p99",
                    "outside the hosts with nothing between, 99 in 100 calls",
                    "s",
                    ms(times, 99) / 1e3);
        }
        return times;
    }

    private static double ms(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1e6;
    }

    /** How long the host says that it had the request, nanoseconds; -1 if it is no answer of such a host. */
    static long served(String answer) {
        String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
        return answer.startsWith("HTTP/1.1 200") && body.matches("[0-9]{" + TimedHost.DIGITS + "}")
                ? Long.parseLong(body)
                : -1;
    }

    /**
     * Connections with a thread each; a request that is due while the one before it is out counts from when
     * it was due.
     */
    private static final class Load {
        private final List<Integer> ports;
        private final long everyNanos;
        private final AtomicLong others = new AtomicLong();
        private final Histogram times = new ConcurrentHistogram(HIGHEST_NANOS, 3);
        private volatile boolean counted;
        private volatile boolean over;

        Load(List<Integer> ports, double perSecond) {
            this.ports = ports;
            this.everyNanos = (long) (1e9 * CONNECTIONS / perSecond);
        }

        Histogram run(long ms, Runnable atBegin) throws InterruptedException, IOException {
            List<Thread> all = new ArrayList<>();
            long begin = System.nanoTime();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket s = new Socket(InetAddress.getLoopbackAddress(), ports.get(i % ports.size()));
                s.setTcpNoDelay(true);
                long first = begin + everyNanos * i / CONNECTIONS;
                Thread one = new Thread(() -> send(s, first), "client " + i);
                one.start();
                all.add(one);
            }
            if (atBegin != null) {
                Thread.sleep(WARM_MS);
                atBegin.run();
            }
            counted = true;
            Thread.sleep(ms);
            counted = false;
            over = true;
            for (Thread t : all) {
                t.join();
            }
            return times;
        }

        private void send(Socket s, long first) {
            byte[] buffer = new byte[4096];
            try (s) {
                for (long due = first; !over; due += everyNanos) {
                    boolean late = System.nanoTime() > due;
                    while (!over && System.nanoTime() < due) {
                        LockSupport.parkNanos(due - System.nanoTime());
                    }
                    long id = IDS.incrementAndGet();
                    byte[] request = ("GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: a" + id
                                    + "\r\nX-Class: lookup\r\nX-Key: k" + id * 7919 % 1000
                                    + "\r\nX-Deadline-Ms: 5000\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    long from = late ? due : System.nanoTime();
                    s.getOutputStream().write(request);
                    String head = answer(s, buffer);
                    long waited = System.nanoTime() - from;
                    if (!counted) {
                        continue;
                    }
                    long served = served(head);
                    if (served < 0) {
                        others.incrementAndGet();
                    } else {
                        times.recordValue(Math.min(HIGHEST_NANOS, Math.max(0, waited - served)));
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Answers come one at a time and end with their body, whose length they say. */
        private static String answer(Socket s, byte[] buffer) throws IOException {
            int length = 0;
            while (true) {
                int more = s.getInputStream().read(buffer, length, buffer.length - length);
                if (more <= 0) {
                    throw new IOException("a connection ended in the middle");
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
