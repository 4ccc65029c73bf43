package mulleinfront.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.bench.Child.Figures;

/** Direct, relay and client proxy in turn, under the same load in the same run, and the ratios between them. */
public final class Throughput {
    private static final int HOSTS = 12;
    /** As in the deployed run line: small heap, first compiler only, one collector thread. */
    static final List<String> DEPLOYED = List.of(
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx96m", "-Dio.netty.jfr.enabled=false");

    private final PrintWriter out;
    private final long warmMs;
    private final long measuredMs;
    private final String cpus;
    private final List<String> proxyJvm;

    /**
     * @param cpus the processors that relay and client proxy are kept on, or empty
     * @param proxyJvm further flags of the client proxy's JVM: a profiler's, say
     */
    public Throughput(PrintWriter out, long warmMs, long measuredMs, String cpus, List<String> proxyJvm) {
        this.proxyJvm = new ArrayList<>(DEPLOYED);
        this.proxyJvm.addAll(proxyJvm);
        this.out = out;
        this.warmMs = warmMs;
        this.measuredMs = measuredMs;
        this.cpus = cpus;
    }

    /** One line of a table. */
    private record Row(String name, Driver.Result result, double cpuMicros, double bytes) {}

    /**
     * Measures one kind of hosts under some numbers of connections.
     *
     * @param micros mean time to a host's answer; 0: at once
     * @param open share of the direct rate at which an open loop is run too; 0: none
     */
    public void measure(long micros, int[] connections, double open) throws IOException, InterruptedException {
        try (Child.Handle hosts = new Child.Handle("", List.of("-XX:+UseSerialGC"), "hosts", "" + HOSTS, "" + micros);
                Child.Handle relay = new Child.Handle(cpus, DEPLOYED, "relay", "" + hosts.ports.get(0));
                Child.Handle proxy = new Child.Handle(cpus, proxyJvm, "proxy", config(hosts.ports), "1")) {
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
                Row direct = row("direct", count, hosts.ports, null, 0);
                Row by = row("relay", count, relay.ports, relay, 0);
                Row through = row("client proxy", count, proxy.ports, proxy, 0);
                out.printf(
                        Locale.ROOT,
                        "client proxy: %.0f%% of direct, %.0f%% of the relay, p99 %+.1f ms over direct,"
                                + " cpu %.1f times the relay's%n",
                        100 * through.result.perSecond() / direct.result.perSecond(),
                        100 * through.result.perSecond() / by.result.perSecond(),
                        through.result.ms(99) - direct.result.ms(99),
                        through.cpuMicros / by.cpuMicros);
                if (open > 0) {
                    double rate = open * Math.min(by.result.perSecond(), through.result.perSecond());
                    row("direct, open loop", count, hosts.ports, null, rate);
                    row("relay, open loop", count, relay.ports, relay, rate);
                    row("proxy, open loop", count, proxy.ports, proxy, rate);
                }
            }
        }
    }

    /**
     * Measures the client proxy with several event loops against itself with the first number of them.
     *
     * @param micros mean time to a host's answer; 0: at once
     */
    public void measureLoops(long micros, int count, int[] loops) throws IOException, InterruptedException {
        try (Child.Handle hosts = new Child.Handle("", List.of("-XX:+UseSerialGC"), "hosts", "" + HOSTS, "" + micros)) {
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
            double first = 0;
            for (int many : loops) {
                try (Child.Handle proxy = new Child.Handle(cpus, proxyJvm, "proxy", config(hosts.ports), "" + many)) {
                    Row row = row(many + (many == 1 ? " event loop" : " event loops"), count, proxy.ports, proxy, 0);
                    first = first == 0 ? row.result.perSecond() : first;
                    out.printf(Locale.ROOT, "  %.2f times the first%n", row.result.perSecond() / first);
                }
            }
        }
    }

    private Row row(String name, int connections, List<Integer> ports, Child.Handle measured, double perSecond)
            throws InterruptedException {
        Figures[] at = new Figures[1];
        try (Driver driver = new Driver(connections, ports)) {
            Driver.Result result = driver.run(warmMs, measuredMs, perSecond, () -> {
                if (measured != null) {
                    at[0] = measured.figures();
                }
            });
            Figures used =
                    measured == null ? new Figures(0, 0) : measured.figures().since(at[0]);
            double requests = Math.max(1, result.times().getTotalCount());
            Row row = new Row(name, result, used.cpuNanos() / 1e3 / requests, used.allocatedBytes() / requests);
            out.printf(
                    Locale.ROOT,
                    "%-22s %11.0f %9.2f %9.2f %9.2f %9d %9.1f %9.0f%n",
                    name,
                    result.perSecond(),
                    result.ms(50),
                    result.ms(99),
                    result.ms(99.9),
                    result.others(),
                    row.cpuMicros,
                    row.bytes);
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
