package mulleinfront.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.bench.Child.ResourceUsage;

/** Compares direct connections, the relay and the client proxy under the same load, and prints their ratios. */
public final class Throughput {
    private static final int SERVERS = 12;
    /** JVM flags of the deployed command line: small heap, C1 compiler only, serial garbage collector. */
    static final List<String> DEPLOYED_JVM_FLAGS = List.of(
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx96m", "-Dio.netty.jfr.enabled=false");

    private final PrintWriter out;
    private final long warmMs;
    private final long measuredMs;
    private final String cpus;
    private final List<String> proxyJvm;

    /**
     * @param cpus processors to pin the relay and the client proxy to, or empty
     * @param proxyJvm further JVM flags of the client proxy, such as a profiler's
     */
    public Throughput(PrintWriter out, long warmMs, long measuredMs, String cpus, List<String> proxyJvm) {
        this.proxyJvm = new ArrayList<>(DEPLOYED_JVM_FLAGS);
        this.proxyJvm.addAll(proxyJvm);
        this.out = out;
        this.warmMs = warmMs;
        this.measuredMs = measuredMs;
        this.cpus = cpus;
    }

    /** One row of the table. */
    private record Row(String name, Driver.Result result, double cpuMicros, double allocatedBytes) {}

    /**
     * Measures with several numbers of connections.
     *
     * @param micros mean response time of the servers; 0 to respond at once
     * @param openLoopShare rate of the additional open loop, as a share of the lower of the relay's and the client
     *     proxy's closed-loop rates; 0 for none
     */
    public void measure(long micros, int[] connections, double openLoopShare) throws IOException, InterruptedException {
        try (Child.Handle servers =
                        new Child.Handle("", List.of("-XX:+UseSerialGC"), "hosts", "" + SERVERS, "" + micros);
                Child.Handle relay = new Child.Handle(cpus, DEPLOYED_JVM_FLAGS, "relay", "" + servers.ports.get(0));
                Child.Handle proxy = new Child.Handle(cpus, proxyJvm, "proxy", config(servers.ports), "1")) {
            for (int count : connections) {
                out.printf(
                        Locale.ROOT,
                        "%nhosts of %.1f ms, %d connections%n%-22s %11s %9s %9s %9s %9s %9s %9s%n",
                        micros / 1e3,
                        count,
                        "",
                        "requests/s",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "no 200",
                        "cpu us",
                        "bytes");
                Row direct = measureRow("direct", count, servers.ports, null, 0);
                Row relayed = measureRow("relay", count, relay.ports, relay, 0);
                Row proxied = measureRow("client proxy", count, proxy.ports, proxy, 0);
                out.printf(
                        Locale.ROOT,
                        "client proxy: %.0f%% of direct, %.0f%% of the relay, p99 %+.1f ms over direct,"
                                + " cpu %.1f times the relay's%n",
                        100 * proxied.result.perSecond() / direct.result.perSecond(),
                        100 * proxied.result.perSecond() / relayed.result.perSecond(),
                        proxied.result.latencyMs(99) - direct.result.latencyMs(99),
                        proxied.cpuMicros / relayed.cpuMicros);
                if (openLoopShare > 0) {
                    double rate = openLoopShare * Math.min(relayed.result.perSecond(), proxied.result.perSecond());
                    measureRow("direct, open loop", count, servers.ports, null, rate);
                    measureRow("relay, open loop", count, relay.ports, relay, rate);
                    measureRow("proxy, open loop", count, proxy.ports, proxy, rate);
                }
            }
        }
    }

    /**
     * Measures the client proxy with several numbers of event loops, relative to the first number.
     *
     * @param micros mean response time of the servers; 0 to respond at once
     */
    public void measureLoops(long micros, int count, int[] loops) throws IOException, InterruptedException {
        try (Child.Handle servers =
                new Child.Handle("", List.of("-XX:+UseSerialGC"), "hosts", "" + SERVERS, "" + micros)) {
            out.printf(
                    Locale.ROOT,
                    "%nhosts of %.1f ms, %d connections%n%-22s %11s %9s %9s %9s %9s %9s %9s%n",
                    micros / 1e3,
                    count,
                    "",
                    "requests/s",
                    "p50 ms",
                    "p99 ms",
                    "p99.9 ms",
                    "no 200",
                    "cpu us",
                    "bytes");
            double baseline = 0;
            for (int loopCount : loops) {
                try (Child.Handle proxy =
                        new Child.Handle(cpus, proxyJvm, "proxy", config(servers.ports), "" + loopCount)) {
                    Row row = measureRow(
                            loopCount + (loopCount == 1 ? " event loop" : " event loops"),
                            count,
                            proxy.ports,
                            proxy,
                            0);
                    baseline = baseline == 0 ? row.result.perSecond() : baseline;
                    out.printf(Locale.ROOT, "  %.2f times the first%n", row.result.perSecond() / baseline);
                }
            }
        }
    }

    private Row measureRow(String name, int connections, List<Integer> ports, Child.Handle measured, double perSecond)
            throws InterruptedException {
        ResourceUsage[] before = new ResourceUsage[1];
        try (Driver driver = new Driver(connections, ports)) {
            Driver.Result result = driver.run(warmMs, measuredMs, perSecond, () -> {
                if (measured != null) {
                    before[0] = measured.resourceUsage();
                }
            });
            ResourceUsage used = measured == null
                    ? new ResourceUsage(0, 0)
                    : measured.resourceUsage().since(before[0]);
            double requests = Math.max(1, result.times().getTotalCount());
            Row row = new Row(name, result, used.cpuNanos() / 1e3 / requests, used.allocatedBytes() / requests);
            out.printf(
                    Locale.ROOT,
                    "%-22s %11.0f %9.2f %9.2f %9.2f %9d %9.1f %9.0f%n",
                    name,
                    result.perSecond(),
                    result.latencyMs(50),
                    result.latencyMs(99),
                    result.latencyMs(99.9),
                    result.failures(),
                    row.cpuMicros,
                    row.allocatedBytes);
            out.flush();
            return row;
        }
    }

    static String config(List<Integer> ports) {
        List<String> servers = new ArrayList<>();
        for (int port : ports) {
            servers.add("{\"id\":\"s" + servers.size() + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"a\","
                    + "\"kind\":\"k\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}");
        }
        return "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                + "\"known\":{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", servers) + "]},"
                + "\"settings\":{\"azs\":[\"a\"],\"kinds\":[\"k\"],\"membershipMode\":\"subscribe\",\"classes\":["
                + "{\"name\":\"lookup\",\"effect\":\"retryable\",\"onTimeUs\":500000,\"deadlineUs\":5000000,"
                + "\"worth\":1}],\"limits\":{\"maxAttempts\":4,\"mayCancel\":true,\"mayProbe\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\"connIdleUs\":5000000},"
                + "\"contract\":{\"askWithinUs\":10000000}}}";
    }
}
