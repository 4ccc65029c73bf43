package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mulleinfront.config.Proposal;
import mulleinfront.settings.WatchLine;

/**
 * The control plane of a scale test: three control-plane nodes as processes, on both sides of the network partition,
 * that commit configuration versions and distribute them. Which version is active at which proxy is read from their
 * event logs.
 */
final class ScaleControlPlane {
    /** Number of control-plane nodes. */
    static final int COUNT = 3;

    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final long RETRY_DELAY_MS = 100;
    private static final long COMMIT_TIMEOUT_MS = 15_000;
    private static final int KEYS = 300;

    private final ScaleAddressPlan addresses;
    private final Path folder;
    private final Path root;
    private final String keepCommand;
    private final DaemonProcess[] processes = new DaemonProcess[COUNT];
    private final long[] earlierCpuMs = new long[COUNT];
    private final TailedLog[] logs = new TailedLog[COUNT];
    /** For each subscriber, when it first reported each version as active, Unix time in milliseconds. */
    private final Map<String, TreeMap<Long, Long>> activeTimes = new HashMap<>();
    /** Subscribers that reported an older version after a newer one without a restart. */
    private final List<String> regressions = new ArrayList<>();

    private final List<Map<String, String>> newEvents = new ArrayList<>();
    private boolean delayedReports;
    /** For each subscriber, the newest version that its current process has reported. */
    private final Map<String, Long> newestVersions = new HashMap<>();

    private long proposals;

    /** @param keepCommand the shell command that runs the program's {@code keep} command */
    ScaleControlPlane(ScaleAddressPlan addresses, Path root, Path folder, String keepCommand) throws IOException {
        this.addresses = addresses;
        this.root = root;
        this.folder = folder;
        this.keepCommand = keepCommand;
        for (int node = 0; node < COUNT; node++) {
            logs[node] = new TailedLog(folder.resolve("control-m" + node + ".json"), newEvents::add);
            Files.writeString(nodeFile(node), controlFile(node, side(node), true));
        }
        for (int side = 0; side < ScaleAddressPlan.SIDES; side++) {
            Files.writeString(subscriberFile(side), controlFile(-1, side, false));
        }
    }

    /** The side of a node: two nodes are on the first side, one is on the other. */
    static int side(int node) {
        return node / 2;
    }

    /** The control file for the client proxies of a side. */
    Path subscriberFile(int side) {
        return folder.resolve("control-side" + side + ".toml");
    }

    private Path nodeFile(int node) {
        return folder.resolve("control-m" + node + ".toml");
    }

    private String controlFile(int ownNode, int side, boolean events) {
        StringBuilder text = new StringBuilder();
        if (events) {
            text.append("events = \"")
                    .append(folder.toAbsolutePath().resolve("control-%n.json"))
                    .append("\"\n");
        }
        for (int node = 0; node < COUNT; node++) {
            text.append("[[machine]]\nname = \"m")
                    .append(node)
                    .append("\"\nconsensus = \"")
                    .append(hostAndPort(
                            node == ownNode ? addresses.nodePeer(node) : addresses.nodePeerFrom(side, node)))
                    .append("\"\ndoor = \"")
                    .append(hostAndPort(node == ownNode ? addresses.node(node) : addresses.nodeFrom(side, node)))
                    .append("\"\n");
        }
        return text.toString();
    }

    private static String hostAndPort(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    /** Opens the relayed addresses of the nodes, for client proxies and for other nodes. */
    void open(PartitionRelay relay) throws IOException, InterruptedException {
        for (int side = 0; side < ScaleAddressPlan.SIDES; side++) {
            for (int node = 0; node < COUNT; node++) {
                relay.relay(side, addresses.nodeFrom(side, node), side(node), addresses.node(node), node);
                relay.relay(side, addresses.nodePeerFrom(side, node), side(node), addresses.nodePeer(node), -1);
            }
        }
    }

    void start(int node) throws IOException {
        processes[node] = new DaemonProcess(
                1_000 + node,
                keepCommand + " --config '" + nodeFile(node) + "' --me " + (node + 1) + " --dir '"
                        + folder.toAbsolutePath().resolve("log-m" + node) + "'",
                root,
                folder,
                "",
                addresses.node(node));
    }

    void kill(int node) throws InterruptedException {
        DaemonProcess.Sample sample = processes[node].sample();
        earlierCpuMs[node] += sample == null ? 0 : sample.cpuMs();
        processes[node].kill();
    }

    /** Waits until the nodes have committed a first configuration version, and returns its number. */
    long awaitFirstVersion(long untilNanos) throws IOException, InterruptedException {
        for (; ; ) {
            long version = propose("the first", false);
            if (version > 0) {
                return version;
            }
            for (DaemonProcess process : processes) {
                if (!process.alive() || System.nanoTime() > untilNanos) {
                    throw new IOException(
                            "the control-plane nodes committed no first version: " + process.lastLogLines());
                }
            }
        }
    }

    /**
     * Proposes a configuration version with a few hundred keys and one changed value.
     *
     * @param required whether to retry until the time limit and then fail; otherwise to give up after a few attempts
     * @return the committed version, or 0 if no node reports it as committed
     */
    long propose(String reason, boolean required) throws IOException, InterruptedException {
        long number = ++proposals;
        TreeMap<String, String> entries = new TreeMap<>();
        for (int k = 0; k < KEYS; k++) {
            entries.put("service.s" + k % 77 + ".route" + k + ".time-out", (k == number % KEYS ? number : 250) + "ms");
        }
        byte[] body =
                WatchLine.proposal(new Proposal("kit-" + number, -1, entries, reason, System.currentTimeMillis()));
        long until = System.nanoTime() + COMMIT_TIMEOUT_MS * 1_000_000;
        for (int turn = 0; System.nanoTime() < until; turn++) {
            int node = turn % COUNT;
            if (processes[node].alive()) {
                try {
                    Map<String, String> response = post(addresses.node(node), "/config/propose", body);
                    if ("decided".equals(response.get("what"))) {
                        return Long.parseLong(response.get("version"));
                    }
                } catch (IOException e) {
                    // Try the next node.
                }
            }
            Thread.sleep(RETRY_DELAY_MS);
            if (!required && turn >= COUNT) {
                return 0;
            }
        }
        throw new IOException("proposal " + number + " was not committed within " + COMMIT_TIMEOUT_MS / 1000 + " s");
    }

    private static Map<String, String> post(InetSocketAddress address, String path, byte[] body) throws IOException {
        HttpURLConnection http = (HttpURLConnection)
                URI.create("http://" + hostAndPort(address) + path).toURL().openConnection(Proxy.NO_PROXY);
        try {
            http.setConnectTimeout(CALL_TIMEOUT_MS);
            http.setReadTimeout(CALL_TIMEOUT_MS);
            http.setDoOutput(true);
            http.getOutputStream().write(body);
            Map<String, String> fields = new HashMap<>();
            try (JsonParser in = new JsonFactory().createParser(http.getInputStream())) {
                in.nextToken();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    fields.put(name, in.getText());
                }
            }
            return fields;
        } finally {
            http.disconnect();
        }
    }

    private void apply(Map<String, String> fields) {
        String subscriber = fields.get("reader");
        switch (fields.getOrDefault("event", "")) {
            case "watch-opened" -> {
                // A restarted process has no version yet, so any version it reports is newer.
                if ("0".equals(fields.get("after"))) {
                    newestVersions.remove(subscriber);
                }
            }
            case "in-force" -> {
                long version = Long.parseLong(fields.get("version"));
                long at = Long.parseLong(fields.get("timestamp"));
                activeTimes.computeIfAbsent(subscriber, r -> new TreeMap<>()).merge(version, at, Math::min);
                if (!delayedReports && version < newestVersions.getOrDefault(subscriber, 0L)) {
                    regressions.add(subscriber + " from " + newestVersions.get(subscriber) + " to " + version);
                }
                newestVersions.merge(subscriber, version, Math::max);
            }
            default -> {}
        }
    }

    /** Processes the event log lines added since the last call, in timestamp order. */
    void catchUp() throws IOException {
        for (TailedLog log : logs) {
            log.catchUp();
        }
        newEvents.sort(Comparator.comparingLong(f -> Long.parseLong(f.getOrDefault("timestamp", "0"))));
        newEvents.forEach(this::apply);
        newEvents.clear();
    }

    /**
     * Sets whether reports of subscribers may be delayed, as by a network partition. While they may, an older version
     * reported after a newer one does not count as a step back.
     */
    void setDelayedReports(boolean possible) throws IOException {
        catchUp();
        delayedReports = possible;
    }

    /** The first time after an instant when a subscriber reported this or a newer version as active; -1 if not yet. */
    long activeAtMs(String subscriber, long version, long afterMs) {
        return activeTimes.getOrDefault(subscriber, new TreeMap<>()).tailMap(version).values().stream()
                .filter(at -> at >= afterMs)
                .min(Long::compare)
                .orElse(-1L);
    }

    /** Whether the newest version that a subscriber has reported is at least this. */
    boolean hasVersion(String subscriber, long version) {
        return newestVersions.getOrDefault(subscriber, -1L) >= version;
    }

    Collection<String> regressions() {
        return regressions;
    }

    long cpuMs(int node) {
        DaemonProcess.Sample sample = processes[node].sample();
        return earlierCpuMs[node] + (sample == null ? 0 : sample.cpuMs());
    }

    /** The largest resident memory of a node, kilobytes. */
    long maxResidentKb() {
        long max = 0;
        for (DaemonProcess process : processes) {
            DaemonProcess.Sample sample = process.sample();
            max = Math.max(max, sample == null ? 0 : sample.residentKb());
        }
        return max;
    }

    boolean alive(int node) {
        return processes[node].alive();
    }

    void close() {
        for (DaemonProcess process : processes) {
            if (process != null) {
                process.kill();
            }
        }
    }
}
