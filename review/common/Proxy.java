package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A client proxy as a process of its own, started by the {@code run} line of {@code deploy/balancer.toml}. */
final class Proxy {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();
    private static final List<Path> FOLDERS = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Proxy::cleanUp));
    }

    final String name;
    final int port;
    final Path folder;
    final Path config;
    Process process;
    private int starts;

    Proxy(String name) throws IOException {
        this.name = name;
        this.port = freePort();
        this.folder = Files.createTempDirectory("review-");
        this.config = folder.resolve("config.json");
        synchronized (FOLDERS) {
            FOLDERS.add(folder);
        }
    }

    /** A port of the loopback address that nothing listens on at this moment. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The value of a key of a deploy file. */
    static String deployLine(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no " + key);
        }
        return line.group(1);
    }

    /** Replaces the configuration file in one step. */
    void writeConfig(String json) throws IOException {
        Path next = Files.writeString(folder.resolve("config.next"), json);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process; its configuration has been written. */
    void start() throws IOException {
        File log = folder.resolve("log-" + ++starts).toFile();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        process.getOutputStream().close();
        STARTED.add(process);
        Record.line("%s: started as process %d", name, process.pid());
    }

    /** Waits until {@code GET /-/ready} answers 200. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        for (double end = Record.ms() + timeoutMs; Record.ms() < end; Thread.sleep(20)) {
            try (Socket socket = new Socket()) {
                socket.connect(address(), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write("GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200")) {
                    Record.line("%s: ready", name);
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            if (!process.isAlive()) {
                return false;
            }
        }
        return false;
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Sends a signal by its name, such as TERM. */
    void signal(String signal) throws IOException, InterruptedException {
        Record.line("%s: SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Copies the process's log into the record. */
    void recordLog() throws IOException {
        for (int i = 1; i <= starts; i++) {
            for (String line : Files.readAllLines(folder.resolve("log-" + i), StandardCharsets.ISO_8859_1)) {
                Record.line("%s log %d: %s", name, i, line);
            }
        }
    }

    private static void cleanUp() {
        STARTED.forEach(Process::destroyForcibly);
        synchronized (FOLDERS) {
            for (Path folder : FOLDERS) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
                } catch (IOException e) {
                    // The folder is temporary.
                }
            }
        }
    }
}
