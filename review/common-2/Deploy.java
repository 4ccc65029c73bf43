import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts one client proxy as a separate process by the {@code run} line of {@code deploy/balancer.toml}. */
final class Deploy {
    /** The three classes of the site: safe to repeat, never twice, and keyed. */
    static final String CLASSES =
            "{\"name\":\"invoice-lookup\",\"effect\":\"retryable\",\"onTimeUs\":500000,\"deadlineUs\":1500000,\"worth\":1},"
                    + "{\"name\":\"advance-payout\",\"effect\":\"fragile\",\"onTimeUs\":600000,\"deadlineUs\":2500000,\"worth\":8},"
                    + "{\"name\":\"invoice-submit\",\"effect\":\"dedup\",\"dedupScope\":\"zone\",\"dedupWindowUs\":20000000,"
                    + "\"onTimeUs\":750000,\"deadlineUs\":4000000,\"worth\":5}";

    private final Process process;
    private final int port;
    private final Path log;

    private Deploy(Process process, int port, Path log) {
        this.process = process;
        this.port = port;
        this.log = log;
    }

    /** Returns a loopback port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the text of a key of the deploy file. */
    static String deployLine(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no line " + key);
        }
        return line.group(1);
    }

    /** Returns the configuration of one client proxy, like that of the sample, with the given list and addresses. */
    static String config(String name, int port, int discoveryPort, int instances, int me, String knownList) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + knownList + ",\"settings\":{"
                + "\"azs\":[\"khan-uul\",\"bayanzurkh\",\"sukhbaatar\"],\"kinds\":[\"new\",\"old\"],"
                + "\"balancers\":" + instances + ",\"me\":" + me + ",\"membershipMode\":\"subscribe\",\"overShareWorth\":0.1,"
                + "\"customers\":[{\"name\":\"ulaanbaatar\",\"share\":0.6},{\"name\":\"erdenet\",\"share\":0.4}],"
                + "\"classes\":[" + CLASSES + "],"
                + "\"limits\":{\"maxAttempts\":4,\"mayCancel\":true,\"mayProbe\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":2000000,\"connIdleUs\":5000000,\"dialTimeoutUs\":250000},"
                + "\"contract\":{\"askWithinUs\":10000000,\"coldFrom\":0.13,\"coldUs\":24000000,\"overloadFactor\":4.0,"
                + "\"overloadForUs\":3000000,\"stopSendingWithinUs\":250000,\"answerSlackUs\":20000}}}";
    }

    /** Returns the same configuration for a deployment where lists are pushed to an agent. */
    static String pushed(String config) {
        return config.replace("\"membershipMode\":\"subscribe\"", "\"membershipMode\":\"automatic\"");
    }

    /** Starts a client proxy and returns when {@code /-/ready} has answered 200; fails after 30 s. */
    static Deploy start(Path folder, String name, int port, String config) throws Exception {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", deployLine("run"));
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        Deploy deploy = new Deploy(builder.start(), port, log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> deploy.process.destroyForcibly()));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!deploy.ready()) {
            if (!deploy.process.isAlive() || System.nanoTime() > end) {
                deploy.close();
                throw new IOException("the client proxy is not ready: " + Files.readString(log));
            }
            Thread.sleep(50);
        }
        return deploy;
    }

    private boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return Http.readMessage(new java.io.BufferedInputStream(socket.getInputStream())).startLine().contains(" 200");
        } catch (IOException notYet) {
            return false;
        }
    }

    int port() {
        return port;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the lines that the process has logged. */
    List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    /** Ends the process that this object started, by its id. */
    void close() throws Exception {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
}
