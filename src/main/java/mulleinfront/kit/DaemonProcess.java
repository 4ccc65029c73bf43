package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.util.NetUtil;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.emulator.Scenario;
import mulleinfront.settings.Version;

/**
 * One client proxy as a process, started as the platform starts it: a shell command, {@code NODE_CONFIG}, a limit on
 * descriptors. It dies with the kit, however that ends: beside it a shell waits for the end of a pipe that only the
 * kit holds.
 */
final class DaemonProcess {
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final int ASK_MS = 1_000;
    private static final int LONGEST_ANSWER = 4096;

    private final int number;
    private final Process process;
    private final InetSocketAddress address;
    private final Path log;
    private final Path file;
    private volatile boolean told;
    private volatile boolean killed;

    /**
     * How it is a member of a fleet.
     *
     * @param file the operators' file
     */
    record Peering(InetSocketAddress listen, List<InetSocketAddress> peers, Path file) {}

    /** How it is at a moment; descriptors and memory are of the process itself. */
    record Sample(int descriptors, long residentKb, long cpuMs) {}

    DaemonProcess(int number, String command, Path root, Path folder, String config, InetSocketAddress address)
            throws IOException {
        this.number = number;
        this.address = address;
        this.file = Files.writeString(folder.resolve("daemon-" + number + ".json"), config);
        this.log = folder.resolve("daemon-" + number + ".log");
        String guarded = "trap '' INT; exec 3<&0; (cat <&3 >/dev/null; kill -9 $$ 2>/dev/null) & ulimit -n " + SOCKETS
                + "; exec 3<&- </dev/null; " + command;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", guarded)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("NODE_CONFIG", file.toAbsolutePath().toString());
        builder.environment().put("NODE_NAME", "n" + number);
        builder.environment().put("NODE_LISTEN", NetUtil.toSocketAddressString(address));
        this.process = builder.start();
    }

    int number() {
        return number;
    }

    /** Whether its end is expected: it was told to end, or killed. */
    boolean told() {
        return told;
    }

    /** Whether it was killed outright, without having been told to end. */
    boolean killed() {
        return killed;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Runs something when it has ended, on another thread; the code is its exit code. */
    void onExit(IntConsumer then) {
        process.onExit().thenAccept(p -> {
            closeGuard();
            then.accept(p.exitValue());
        });
    }

    private void closeGuard() {
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // The pipe is closed either way.
        }
    }

    void end() {
        told = true;
        // Not the process's own destroy: that closes its pipe too, which is what the guard waits for.
        process.toHandle().destroy();
    }

    void kill() {
        killed |= !told;
        told = true;
        process.destroyForcibly();
    }

    /** Another configuration, and SIGHUP, on its way when this returns. */
    void reload(String config) throws IOException {
        // In one step: it may be reading the file for the configuration before.
        Path next = Files.writeString(file.resolveSibling(file.getFileName() + ".next"), config);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        new ProcessBuilder("kill", "-HUP", "" + process.pid()).start();
    }

    /** SIGSTOP or SIGCONT, on its way when this returns. */
    void stands(boolean still) throws IOException {
        new ProcessBuilder("kill", still ? "-STOP" : "-CONT", "" + process.pid()).start();
    }

    /** Waits for its end; false if it goes on all the same. */
    boolean ended(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Asks whether it is ready; the version that it says, or null if it is not. */
    String ready() {
        try (Socket s = new Socket()) {
            s.connect(address, ASK_MS);
            s.setSoTimeout(ASK_MS);
            s.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(s.getInputStream().readNBytes(LONGEST_ANSWER), StandardCharsets.ISO_8859_1);
            String[] lines = answer.split("\r\n");
            String version = "none";
            for (String line : lines) {
                if (line.toLowerCase(Locale.ROOT).startsWith(Version.HEADER + ":")) {
                    version = line.substring(Version.HEADER.length() + 1).strip();
                }
            }
            return lines[0].startsWith("HTTP/1.1 200") ? version : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** The last lines that it wrote, in one. */
    String lastWords() {
        try {
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
        } catch (IOException e) {
            return "";
        }
    }

    /** From {@code /proc}; null where there is none, or it has ended. */
    Sample sample() {
        Path proc = Path.of("/proc", "" + process.pid());
        try {
            String[] open = new File(proc.toFile(), "fd").list();
            String status = Files.readString(proc.resolve("status"));
            int at = status.indexOf("VmRSS:");
            String stat = Files.readString(proc.resolve("stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            if (open == null || at < 0) {
                return null;
            }
            long kb = Long.parseLong(
                    status.substring(at + 6, status.indexOf("kB", at)).strip());
            return new Sample(open.length, kb, 10 * (Long.parseLong(words[11]) + Long.parseLong(words[12])));
        } catch (IOException e) {
            return null;
        }
    }

    /** What the platform would tell it, as JSON. */
    static String config(
            Scenario scenario,
            int number,
            long seed,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            String known,
            Peering peering)
            throws IOException {
        Settings s = scenario.settings();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("name", "n" + number);
            out.writeStringField("listen", NetUtil.toSocketAddressString(listen));
            out.writeStringField("discovery", NetUtil.toSocketAddressString(discovery));
            out.writeStringField("seed", Long.toHexString(seed));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", 1.0);
            out.writeNumberField("memory_mb", MEMORY_MB);
            out.writeNumberField("sockets", SOCKETS);
            out.writeEndObject();
            if (peering != null) {
                out.writeStringField("peer_listen", NetUtil.toSocketAddressString(peering.listen()));
                out.writeArrayFieldStart("peers");
                for (InetSocketAddress peer : peering.peers()) {
                    out.writeString(NetUtil.toSocketAddressString(peer));
                }
                out.writeEndArray();
                out.writeStringField("fleet", peering.file().toAbsolutePath().toString());
            }
            out.writeFieldName("known");
            out.writeRawValue(known);
            out.writeObjectFieldStart("settings");
            names(out, "azs", scenario.zones());
            names(
                    out,
                    "kinds",
                    scenario.servers().stream().map(Scenario.Servers::name).toList());
            out.writeNumberField("balancers", s.instances());
            out.writeNumberField("me", number);
            out.writeStringField("membershipMode", s.subscribe() ? "subscribe" : "automatic");
            out.writeNumberField("overShareWorth", s.overShareWorth());
            out.writeArrayFieldStart("customers");
            for (Scenario.Tenant t : scenario.tenants()) {
                out.writeStartObject();
                out.writeStringField("name", t.name());
                out.writeNumberField("share", t.share());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("classes");
            for (RequestClass c : s.classes()) {
                requestClass(out, c);
            }
            out.writeEndArray();
            out.writeObjectFieldStart("prices");
            out.writeNumberField("probe", s.probePrice());
            out.writeEndObject();
            out.writeObjectFieldStart("limits");
            out.writeNumberField("maxAttempts", s.limits().maxAttempts());
            out.writeBooleanField("mayCancel", s.limits().mayCancel());
            out.writeBooleanField("mayProbe", s.limits().mayProbe());
            out.writeBooleanField("retryAfter", s.limits().maxRetryAfterUs() > 0);
            out.writeNumberField("maxRetryAfterUs", s.limits().maxRetryAfterUs());
            out.writeNumberField("connIdleUs", s.limits().connIdleUs());
            out.writeNumberField("dialTimeoutUs", scenario.limits().dialTimeoutUs());
            out.writeEndObject();
            out.writeObjectFieldStart("contract");
            out.writeNumberField("askWithinUs", s.contract().askWithinUs());
            out.writeNumberField("coldFrom", s.contract().coldFrom());
            out.writeNumberField("coldUs", s.contract().coldUs());
            out.writeEndObject();
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static void names(JsonGenerator out, String field, List<String> names) throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : names) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    private static void requestClass(JsonGenerator out, RequestClass c) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", c.name());
        out.writeStringField("effect", c.effect().name().toLowerCase(Locale.ROOT));
        if (c.scope() != null) {
            out.writeStringField("dedupScope", c.scope().name().toLowerCase(Locale.ROOT));
        }
        out.writeNumberField("dedupWindowUs", c.dedupWindowUs());
        out.writeNumberField("worth", c.worth());
        out.writeNumberField("lateWorth", c.lateWorth());
        out.writeNumberField("onTimeUs", c.targetLatencyUs());
        out.writeNumberField("aimStretch", c.targetStretch());
        out.writeNumberField("deadlineUs", c.deadlineUs());
        out.writeEndObject();
    }
}
