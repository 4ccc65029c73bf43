package mulleinfront.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import mulleinfront.FreePorts;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.Server;

/** A client proxy as a process of its own, with the JVM flags of the deploy file's run line and the real balancer. */
final class DeployedProxy implements AutoCloseable {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s*(\\d+) kB");
    private static final int BYTES_PER_KB = 1024;
    private static final int POLL_MS = 20;
    private static final int ON_TIME_US = 500_000;
    private static final int HEARTBEAT_MS = 1_000;

    final int port = FreePorts.next();
    final DiscoveryStandIn discovery = new DiscoveryStandIn();
    final Process process;
    private final Path log;
    private final StandIns.ReceivedRequest watch;

    /** Limits and deadlines of a process under test. */
    record Limits(int memoryMb, int sockets, long deadlineMs) {}

    DeployedProxy(Path folder, Limits limits, Server... hosts) throws Exception {
        List<String> entries = new ArrayList<>();
        for (Server host : hosts) {
            entries.add(StandIns.endpointJson("s" + entries.size(), host.address(), "in_service"));
        }
        String[] listed = entries.toArray(String[]::new);
        Path config = folder.resolve("config.json");
        log = folder.resolve("log.txt");
        Files.writeString(config, configuration(limits, listed));
        ProcessBuilder builder =
                new ProcessBuilder(command()).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("NODE_CONFIG", config.toString());
        process = builder.start();
        watch = discovery.acceptWatch();
        DiscoveryStandIn.push(watch, StandIns.listJson(2, true, listed));
        startHeartbeats();
        awaitReady();
    }

    private void startHeartbeats() {
        Thread heartbeats = new Thread(() -> {
            try {
                while (process.isAlive()) {
                    Thread.sleep(HEARTBEAT_MS);
                    DiscoveryStandIn.push(watch, "");
                }
            } catch (InterruptedException ended) {
                // the test has ended
            }
        });
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    private String configuration(Limits limits, String... listed) {
        return StandIns.configJson(port, discovery.server.address(), "", StandIns.listJson(1, true, listed))
                .replace("\"sockets\":160", "\"memory_mb\":" + limits.memoryMb() + ",\"sockets\":" + limits.sockets())
                .replace("\"onTimeUs\":20000000", "\"onTimeUs\":" + ON_TIME_US)
                .replace(
                        "\"deadlineUs\":20000000",
                        "\"deadlineUs\":" + TimeUnit.MILLISECONDS.toMicros(limits.deadlineMs()));
    }

    /** The run line with this test's classes in place of the packaged program, which is built after the tests. */
    private static List<String> command() throws IOException {
        Matcher line = RUN_LINE.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Stream.of(line.group(1).split(" "))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(word -> !word.contains("SharedArchiveFile"))
                .forEach(command::add);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "mulleinfront.Main", "serve"));
        return command;
    }

    private void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (System.nanoTime() < end) {
            try (Client client = connect()) {
                client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
                if (client.read().status() == 200) {
                    return;
                }
            } catch (IOException notListening) {
                // tried again
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("the proxy did not become ready in time: " + logText());
    }

    /** Tells the proxy a list that replaces the first one. */
    void replaceList(String... listed) throws Exception {
        String before = logText();
        DiscoveryStandIn.push(watch, StandIns.listJson(3, true, listed));
        while (!logText().substring(before.length()).contains("discovery_list")) {
            Thread.sleep(POLL_MS);
        }
    }

    Client connect() throws IOException {
        return new Client(port);
    }

    String logText() throws IOException {
        return Files.readString(log, StandardCharsets.ISO_8859_1);
    }

    /** The highest resident memory of the process so far, bytes. */
    long peakMemoryBytes() throws IOException {
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        if (!peak.find()) {
            throw new IOException("the process has ended: " + logText());
        }
        return Long.parseLong(peak.group(1)) * BYTES_PER_KB;
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
        discovery.close();
    }
}
