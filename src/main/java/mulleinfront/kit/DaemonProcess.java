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
 * A process started as the platform starts a client proxy: by a shell command, with {@code NODE_CONFIG} set and a limit
 * on file descriptors. It ends when the kit ends, even if the kit is killed: a background shell waits for end of file
 * on a pipe that only the kit holds open, and then kills the process.
 */
final class DaemonProcess {
    private static final int DESCRIPTOR_LIMIT = 1024;
    private static final int MEMORY_MB = 192;
    private static final int READY_TIMEOUT_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 4096;

    private final int number;
    private final Process process;
    private final InetSocketAddress address;
    private final Path log;
    private final Path configFile;
    private volatile boolean exitRequested;
    private volatile boolean killed;

    /**
     * Membership addresses of a client proxy in a fleet.
     *
     * @param peers addresses of all members by number, including its own
     * @param fleetFile file with the fleet settings
     */
    record FleetMembership(InetSocketAddress listen, List<InetSocketAddress> peers, Path fleetFile) {}

    /** Resource usage at an instant: open descriptors, resident memory, and total CPU time of the process itself. */
    record Sample(int descriptors, long residentKb, long cpuMs) {}

    DaemonProcess(int number, String command, Path root, Path folder, String config, InetSocketAddress address)
            throws IOException {
        this.number = number;
        this.address = address;
        this.configFile = Files.writeString(folder.resolve("daemon-" + number + ".json"), config);
        this.log = folder.resolve("daemon-" + number + ".log");
        String guarded = "trap '' INT; exec 3<&0; (cat <&3 >/dev/null; kill -9 $$ 2>/dev/null) & ulimit -n "
                + DESCRIPTOR_LIMIT + "; exec 3<&- </dev/null; " + command;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", guarded)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("NODE_CONFIG", configFile.toAbsolutePath().toString());
        builder.environment().put("NODE_NAME", "n" + number);
        builder.environment().put("NODE_LISTEN", NetUtil.toSocketAddressString(address));
        this.process = builder.start();
    }

    int number() {
        return number;
    }

    /** Whether the kit has requested the exit, by SIGTERM or SIGKILL. */
    boolean exitRequested() {
        return exitRequested;
    }

    /** Whether it was killed without a SIGTERM before. */
    boolean killed() {
        return killed;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Calls the consumer with the exit code when the process has exited, on another thread. */
    void onExit(IntConsumer listener) {
        process.onExit().thenAccept(exited -> {
            closeGuard();
            listener.accept(exited.exitValue());
        });
    }

    private void closeGuard() {
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // The pipe counts as closed even when closing it reports an error.
        }
    }

    void terminate() {
        exitRequested = true;
        // Process.destroy would also close the pipe, and the guard shell would then send SIGKILL.
        process.toHandle().destroy();
    }

    void kill() {
        killed |= !exitRequested;
        exitRequested = true;
        process.destroyForcibly();
    }

    /** Replaces the configuration file and sends SIGHUP; the signal may still be on its way on return. */
    void reload(String config) throws IOException {
        // Replaced atomically: the process may be reading the previous configuration.
        Path next = Files.writeString(configFile.resolveSibling(configFile.getFileName() + ".next"), config);
        Files.move(next, configFile, StandardCopyOption.ATOMIC_MOVE);
        new ProcessBuilder("kill", "-HUP", "" + process.pid()).start();
    }

    /** Sends SIGSTOP or SIGCONT; the signal may still be on its way on return. */
    void setPaused(boolean paused) throws IOException {
        new ProcessBuilder("kill", paused ? "-STOP" : "-CONT", "" + process.pid()).start();
    }

    /** Waits for the process to exit; false if it still runs after the timeout. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Queries the readiness endpoint; returns the version in the response, or null if the process is not ready. */
    String readyVersion() {
        try (Socket socket = new Socket()) {
            socket.connect(address, READY_TIMEOUT_MS);
            socket.setSoTimeout(READY_TIMEOUT_MS);
            socket.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String response =
                    new String(socket.getInputStream().readNBytes(MAX_RESPONSE_BYTES), StandardCharsets.ISO_8859_1);
            String[] lines = response.split("\r\n");
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

    /** The last three lines of its log, joined into one. */
    String lastLogLines() {
        try {
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
        } catch (IOException e) {
            return "";
        }
    }

    /** Reads {@code /proc}; null if that is not available or the process has exited. */
    Sample sample() {
        Path proc = Path.of("/proc", "" + process.pid());
        try {
            String[] descriptors = new File(proc.toFile(), "fd").list();
            String status = Files.readString(proc.resolve("status"));
            int rssIndex = status.indexOf("VmRSS:");
            String stat = Files.readString(proc.resolve("stat"));
            String[] statFields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            if (descriptors == null || rssIndex < 0) {
                return null;
            }
            long kb = Long.parseLong(status.substring(rssIndex + 6, status.indexOf("kB", rssIndex))
                    .strip());
            // CPU times are in clock ticks of 10 ms.
            return new Sample(
                    descriptors.length, kb, 10 * (Long.parseLong(statFields[11]) + Long.parseLong(statFields[12])));
        } catch (IOException e) {
            return null;
        }
    }

    /** The JSON configuration that the platform would give the process. */
    static String config(
            Scenario scenario,
            int number,
            long seed,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            String known,
            FleetMembership membership)
            throws IOException {
        Settings settings = scenario.settings();
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
            out.writeNumberField("sockets", DESCRIPTOR_LIMIT);
            out.writeEndObject();
            if (membership != null) {
                out.writeStringField("peer_listen", NetUtil.toSocketAddressString(membership.listen()));
                out.writeArrayFieldStart("peers");
                for (InetSocketAddress peer : membership.peers()) {
                    out.writeString(NetUtil.toSocketAddressString(peer));
                }
                out.writeEndArray();
                out.writeStringField(
                        "fleet", membership.fleetFile().toAbsolutePath().toString());
            }
            out.writeFieldName("known");
            out.writeRawValue(known);
            out.writeObjectFieldStart("settings");
            writeNames(out, "azs", scenario.zones());
            writeNames(
                    out,
                    "kinds",
                    scenario.servers().stream().map(Scenario.Servers::name).toList());
            out.writeNumberField("balancers", settings.instances());
            out.writeNumberField("me", number);
            out.writeStringField("membershipMode", settings.subscribe() ? "subscribe" : "automatic");
            out.writeNumberField("overShareWorth", settings.overShareWorth());
            out.writeArrayFieldStart("customers");
            for (Scenario.Tenant tenant : scenario.tenants()) {
                out.writeStartObject();
                out.writeStringField("name", tenant.name());
                out.writeNumberField("share", tenant.share());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("classes");
            for (RequestClass requestClass : settings.classes()) {
                writeRequestClass(out, requestClass);
            }
            out.writeEndArray();
            out.writeObjectFieldStart("prices");
            out.writeNumberField("probe", settings.probePrice());
            out.writeEndObject();
            out.writeObjectFieldStart("limits");
            out.writeNumberField("maxAttempts", settings.limits().maxAttempts());
            out.writeBooleanField("mayCancel", settings.limits().mayCancel());
            out.writeBooleanField("mayProbe", settings.limits().mayProbe());
            out.writeBooleanField("retryAfter", settings.limits().maxRetryAfterUs() > 0);
            out.writeNumberField("maxRetryAfterUs", settings.limits().maxRetryAfterUs());
            out.writeNumberField("connIdleUs", settings.limits().connIdleUs());
            out.writeNumberField("dialTimeoutUs", scenario.limits().dialTimeoutUs());
            out.writeEndObject();
            out.writeObjectFieldStart("contract");
            out.writeNumberField("askWithinUs", settings.contract().askWithinUs());
            out.writeNumberField("coldFrom", settings.contract().coldFrom());
            out.writeNumberField("coldUs", settings.contract().coldUs());
            out.writeEndObject();
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static void writeNames(JsonGenerator out, String field, List<String> names) throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : names) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    private static void writeRequestClass(JsonGenerator out, RequestClass type) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", type.name());
        out.writeStringField("effect", type.effect().name().toLowerCase(Locale.ROOT));
        if (type.scope() != null) {
            out.writeStringField("dedupScope", type.scope().name().toLowerCase(Locale.ROOT));
        }
        out.writeNumberField("dedupWindowUs", type.dedupWindowUs());
        out.writeNumberField("worth", type.worth());
        out.writeNumberField("lateWorth", type.lateWorth());
        out.writeNumberField("onTimeUs", type.targetLatencyUs());
        out.writeNumberField("aimStretch", type.targetStretch());
        out.writeNumberField("deadlineUs", type.deadlineUs());
        out.writeEndObject();
    }
}
