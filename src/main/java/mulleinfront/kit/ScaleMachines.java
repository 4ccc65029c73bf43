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
 * The control machines of a fleet at its size: three processes, on the two sides of a cut, that decide versions of the
 * configuration and hand them out. What is in force where is read from their event logs.
 */
final class ScaleMachines {
    /** How many there are. */
    static final int COUNT = 3;

    private static final int PATIENCE_MS = 5_000;
    private static final long AGAIN_MS = 100;
    private static final long DECIDE_MS = 15_000;
    private static final int KEYS = 300;

    private final ScalePlaces places;
    private final Path folder;
    private final Path root;
    private final String keep;
    private final DaemonProcess[] processes = new DaemonProcess[COUNT];
    private final long[] spentMs = new long[COUNT];
    private final TailedLog[] logs = new TailedLog[COUNT];
    /** For each reader, when it first said of each version that it is in force, milliseconds since 1970. */
    private final Map<String, TreeMap<Long, Long>> inForce = new HashMap<>();
    /** Readers that said of an older version after a newer one, without having begun anew. */
    private final List<String> wentBack = new ArrayList<>();

    private final List<Map<String, String>> news = new ArrayList<>();
    private boolean late;
    private final Map<String, Long> last = new HashMap<>();
    private long proposals;

    /** @param keep the shell command of the program's {@code keep} */
    ScaleMachines(ScalePlaces places, Path root, Path folder, String keep) throws IOException {
        this.places = places;
        this.root = root;
        this.folder = folder;
        this.keep = keep;
        for (int m = 0; m < COUNT; m++) {
            logs[m] = new TailedLog(folder.resolve("control-m" + m + ".json"), news::add);
            Files.writeString(file(m), text(m, side(m), true));
        }
        for (int side = 0; side < ScalePlaces.SIDES; side++) {
            Files.writeString(followers(side), text(-1, side, false));
        }
    }

    /** Two on the first side and one on the other. */
    static int side(int machine) {
        return machine / 2;
    }

    /** What client proxies of a side are told. */
    Path followers(int side) {
        return folder.resolve("control-side" + side + ".toml");
    }

    private Path file(int machine) {
        return folder.resolve("control-m" + machine + ".toml");
    }

    private String text(int own, int side, boolean events) {
        StringBuilder text = new StringBuilder();
        if (events) {
            text.append("events = \"")
                    .append(folder.toAbsolutePath().resolve("control-%n.json"))
                    .append("\"\n");
        }
        for (int m = 0; m < COUNT; m++) {
            text.append("[[machine]]\nname = \"m")
                    .append(m)
                    .append("\"\nconsensus = \"")
                    .append(at(m == own ? places.machinePeer(m) : places.machinePeerFrom(side, m)))
                    .append("\"\ndoor = \"")
                    .append(at(m == own ? places.machine(m) : places.machineFrom(side, m)))
                    .append("\"\n");
        }
        return text.toString();
    }

    private static String at(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    /** Stands between them and everybody. */
    void open(SideRelay relay) throws IOException, InterruptedException {
        for (int side = 0; side < ScalePlaces.SIDES; side++) {
            for (int m = 0; m < COUNT; m++) {
                relay.between(side, places.machineFrom(side, m), side(m), places.machine(m), m);
                relay.between(side, places.machinePeerFrom(side, m), side(m), places.machinePeer(m), -1);
            }
        }
    }

    void start(int machine) throws IOException {
        processes[machine] = new DaemonProcess(
                1_000 + machine,
                keep + " --config '" + file(machine) + "' --me " + (machine + 1) + " --dir '"
                        + folder.toAbsolutePath().resolve("log-m" + machine) + "'",
                root,
                folder,
                "",
                places.machine(machine));
    }

    void kill(int machine) throws InterruptedException {
        DaemonProcess.Sample s = processes[machine].sample();
        spentMs[machine] += s == null ? 0 : s.cpuMs();
        processes[machine].kill();
    }

    /** Waits until they have decided something, which makes a fleet's configuration begin. */
    long begin(long untilNanos) throws IOException, InterruptedException {
        for (; ; ) {
            long version = propose("the first", false);
            if (version > 0) {
                return version;
            }
            for (DaemonProcess p : processes) {
                if (!p.alive() || System.nanoTime() > untilNanos) {
                    throw new IOException("the control machines decide nothing: " + p.lastWords());
                }
            }
        }
    }

    /**
     * Has a version decided: a few hundred keys, of which one differs from the version before.
     *
     * @param must whether it is a failure if it is not
     * @return its number, or 0 if nobody says that it is decided
     */
    long propose(String why, boolean must) throws IOException, InterruptedException {
        long number = ++proposals;
        TreeMap<String, String> entries = new TreeMap<>();
        for (int k = 0; k < KEYS; k++) {
            entries.put("service.s" + k % 77 + ".route" + k + ".time-out", (k == number % KEYS ? number : 250) + "ms");
        }
        byte[] body = WatchLine.proposal(new Proposal("kit-" + number, -1, entries, why, System.currentTimeMillis()));
        long until = System.nanoTime() + DECIDE_MS * 1_000_000;
        for (int turn = 0; System.nanoTime() < until; turn++) {
            int m = turn % COUNT;
            if (processes[m].alive()) {
                try {
                    Map<String, String> answer = ask(places.machine(m), "/config/propose", body);
                    if ("decided".equals(answer.get("what"))) {
                        return Long.parseLong(answer.get("version"));
                    }
                } catch (IOException e) {
                    // The next one may know.
                }
            }
            Thread.sleep(AGAIN_MS);
            if (!must && turn >= COUNT) {
                return 0;
            }
        }
        throw new IOException("proposal " + number + " was not decided within " + DECIDE_MS / 1000 + " s");
    }

    private static Map<String, String> ask(InetSocketAddress at, String call, byte[] body) throws IOException {
        HttpURLConnection http = (HttpURLConnection)
                URI.create("http://" + at(at) + call).toURL().openConnection(Proxy.NO_PROXY);
        try {
            http.setConnectTimeout(PATIENCE_MS);
            http.setReadTimeout(PATIENCE_MS);
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

    private void take(Map<String, String> fields) {
        String reader = fields.get("reader");
        switch (fields.getOrDefault("event", "")) {
            case "watch-opened" -> {
                // A process that starts anew holds nothing, and nothing is older than that.
                if ("0".equals(fields.get("after"))) {
                    last.remove(reader);
                }
            }
            case "in-force" -> {
                long version = Long.parseLong(fields.get("version"));
                long at = Long.parseLong(fields.get("timestamp"));
                inForce.computeIfAbsent(reader, r -> new TreeMap<>()).merge(version, at, Math::min);
                if (!late && version < last.getOrDefault(reader, 0L)) {
                    wentBack.add(reader + " from " + last.get(reader) + " to " + version);
                }
                last.merge(reader, version, Math::max);
            }
            default -> {}
        }
    }

    /** Takes up what the event logs say by now, in the order of this machine's clock. */
    void catchUp() throws IOException {
        for (TailedLog log : logs) {
            log.catchUp();
        }
        news.sort(Comparator.comparingLong(f -> Long.parseLong(f.getOrDefault("timestamp", "0"))));
        news.forEach(this::take);
        news.clear();
    }

    /**
     * From now on what readers say may come late, as across a cut that heals, or no longer: while it may, an older
     * word after a newer one says nothing of who said it.
     */
    void late(boolean may) throws IOException {
        catchUp();
        late = may;
    }

    /** When a reader first said that a version, or a newer one, is in force after an instant; -1: not yet. */
    long inForceAt(String reader, long version, long afterMs) {
        return inForce.getOrDefault(reader, new TreeMap<>()).tailMap(version).values().stream()
                .filter(at -> at >= afterMs)
                .min(Long::compare)
                .orElse(-1L);
    }

    /** Whether the newest that a reader has said is at least this. */
    boolean isAt(String reader, long version) {
        return last.getOrDefault(reader, -1L) >= version;
    }

    Collection<String> wentBack() {
        return wentBack;
    }

    long cpuMs(int machine) {
        DaemonProcess.Sample s = processes[machine].sample();
        return spentMs[machine] + (s == null ? 0 : s.cpuMs());
    }

    /** The most resident memory of one, kilobytes. */
    long residentKb() {
        long most = 0;
        for (DaemonProcess p : processes) {
            DaemonProcess.Sample s = p.sample();
            most = Math.max(most, s == null ? 0 : s.residentKb());
        }
        return most;
    }

    boolean alive(int machine) {
        return processes[machine].alive();
    }

    void close() {
        for (DaemonProcess p : processes) {
            if (p != null) {
                p.kill();
            }
        }
    }
}
