package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mulleinfront.FreePorts;
import mulleinfront.proxy.ControlPlaneNodes.Subscriber;
import mulleinfront.proxy.StandIns.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Configuration distribution on sockets, with control-plane nodes and client proxies as processes. */
class ConfigServeTest {
    @TempDir
    Path folder;

    private ControlPlaneNodes controlPlane;
    private final List<Process> proxies = new ArrayList<>();

    @BeforeEach
    void begin() throws Exception {
        controlPlane = new ControlPlaneNodes(folder);
    }

    @AfterEach
    void end() throws Exception {
        for (Process process : proxies) {
            process.destroyForcibly().waitFor();
        }
        controlPlane.close();
    }

    private Process startProxy(int port, String discovery, Path errors, String... options) throws Exception {
        Path configFile = Files.writeString(
                folder.resolve("n.json"),
                StandIns.configJson(
                        port,
                        discovery,
                        "",
                        StandIns.listJson(1, true, StandIns.endpointJson("s", "127.0.0.1:1", "in_service"))));
        List<String> command = new ArrayList<>(ServeTest.serveCommand());
        command.addAll(1, List.of(options));
        command.addAll(List.of("--config-watch", controlPlane.controlFile.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors.toFile());
        builder.environment().put("NODE_CONFIG", configFile.toString());
        Process process = builder.start();
        proxies.add(process);
        return process;
    }

    private static void awaitLine(Path file, String line) throws Exception {
        ControlPlaneNodes.await(file.getFileName() + " contains: " + line, () -> {
            try {
                return Files.exists(file) && Files.readString(file).contains(line);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    @Test
    void committedVersionBecomesActiveAndIsCached() throws Exception {
        controlPlane.startAll();
        controlPlane.addSubscribers(10);
        Path errors = folder.resolve("served");
        int port = FreePorts.next();
        Process process = startProxy(port, "127.0.0.1:1", errors);
        controlPlane.propose(1, "[service.a]\nlimit = \"5ms\"\n");
        controlPlane.awaitActiveEverywhere(1);
        awaitLine(errors, "configuration version 1 in force, by c");
        ControlPlaneNodes.await(
                "the status shows the version at all client proxies",
                () -> controlPlane
                        .runConfigCommand("status")
                        .endsWith("version 1 is in force at 11 of 11 client proxies\n"));
        assertTrue(
                controlPlane.runConfigCommand("history").contains("2 keys, 2 changed, 0 removed  number 1"),
                controlPlane.runConfigCommand("history"));
        Path cachedCopy = folder.resolve("state/n0/configuration.json");
        ControlPlaneNodes.await("the cached copy exists", () -> Files.exists(cachedCopy));
        process.destroyForcibly().waitFor();
        for (int i = 1; i <= 3; i++) {
            controlPlane.kill(i);
        }
        // No control-plane node is running: the proxy starts with its cached copy.
        Path restartErrors = folder.resolve("again");
        startProxy(FreePorts.next(), "127.0.0.1:1", restartErrors);
        awaitLine(restartErrors, "configuration version 1 in force, kept");
        // A truncated copy is rejected, and the proxy reports it.
        byte[] completeCopy = Files.readAllBytes(cachedCopy);
        Files.write(cachedCopy, Arrays.copyOf(completeCopy, completeCopy.length / 2));
        Path truncatedErrors = folder.resolve("cut");
        startProxy(FreePorts.next(), "127.0.0.1:1", truncatedErrors);
        awaitLine(truncatedErrors, "configuration.json: cached configuration ignored: ");
        assertTrue(controlPlane.runConfigCommand("status").startsWith("1\n"), "no control-plane node responds");
    }

    @Test
    void nodeKilledDuringDistributionWhileAnotherIsBehind() throws Exception {
        controlPlane.startAll();
        controlPlane.addSubscribers(30);
        controlPlane.propose(1, "");
        controlPlane.awaitActiveEverywhere(1);
        // The third node misses the second version, and the first node is killed right after the commit, before all of
        // its subscribers have received the version.
        ControlPlaneNodes.signal(controlPlane.nodes[2], "STOP");
        controlPlane.propose(2, "x = \"" + "y".repeat(4_000) + "\"\nz = \"" + "y".repeat(4_000) + "\"\n");
        controlPlane.kill(1);
        ControlPlaneNodes.signal(controlPlane.nodes[2], "CONT");
        controlPlane.awaitActiveEverywhere(2);
        controlPlane.propose(3, "");
        controlPlane.awaitActiveEverywhere(3);
        controlPlane.checkVersionsIncrease();
        // The restarted node catches up and takes no subscriber back to an older version.
        controlPlane.startNode(1);
        controlPlane.propose(4, "");
        controlPlane.awaitActiveEverywhere(4);
        controlPlane.checkVersionsIncrease();
    }

    @Test
    void withoutAQuorumChangesAreRefusedAndProxiesServe() throws Exception {
        controlPlane.startAll();
        controlPlane.addSubscribers(10);
        Path errors = folder.resolve("served");
        int port = FreePorts.next();
        startProxy(port, "127.0.0.1:1", errors);
        controlPlane.propose(1, "");
        controlPlane.awaitActiveEverywhere(1);
        awaitLine(errors, "configuration version 1 in force");
        controlPlane.kill(1);
        controlPlane.kill(2);
        Path toml = Files.writeString(folder.resolve("more.toml"), "more = 1\n");
        String output = controlPlane.runConfigCommand("propose", toml.toString(), "--why", "in vain");
        assertTrue(output.startsWith("8\n") || output.startsWith("7\n") || output.startsWith("1\n"), output);
        try (Client client = new Client(port)) {
            assertEquals(
                    503,
                    client.getSafe("a", 1_000).read().status(),
                    "the proxy answers although its endpoint is unreachable");
        }
        for (Subscriber subscriber : controlPlane.subscribers) {
            assertEquals(List.of(1L), subscriber.activeVersions);
        }
        controlPlane.startNode(1);
        ControlPlaneNodes.await("a new version is committed again", () -> {
            try {
                return controlPlane
                        .runConfigCommand(
                                "propose",
                                Files.writeString(folder.resolve("back.toml"), "back = 1\n")
                                        .toString(),
                                "--why",
                                "back")
                        .startsWith("0\n");
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        controlPlane.awaitActiveEverywhere(2);
        controlPlane.checkVersionsIncrease();
    }

    @Test
    void nodeRestoredFromAnOlderCopyExits() throws Exception {
        controlPlane.startAll();
        controlPlane.addSubscribers(6);
        controlPlane.propose(1, "");
        controlPlane.awaitActiveEverywhere(1);
        controlPlane.kill(3);
        Path folder3 = folder.resolve("dir3");
        Path older = folder.resolve("older3");
        copy(folder3, older);
        controlPlane.startNode(3);
        controlPlane.propose(2, "");
        controlPlane.propose(3, "");
        controlPlane.awaitActiveEverywhere(3);
        ControlPlaneNodes.await(
                "the third node has the versions too",
                () -> controlPlane.runConfigCommand("status").contains("c3               version 3"));
        controlPlane.kill(3);
        copy(older, folder3);
        controlPlane.startNode(3);
        assertTrue(
                controlPlane.nodes[2].waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS),
                "the node with the older copy ends");
        assertEquals(1, controlPlane.nodes[2].exitValue());
        assertTrue(
                Files.readString(folder.resolve("errors3")).contains("older copy"),
                Files.readString(folder.resolve("errors3")));
        controlPlane.propose(4, "");
        controlPlane.awaitActiveEverywhere(4);
        controlPlane.checkVersionsIncrease();
    }

    /** Replaces the files of the target folder by copies of the source folder's files. */
    private static void copy(Path from, Path to) throws Exception {
        if (Files.exists(to)) {
            try (Stream<Path> existing = Files.list(to)) {
                for (Path path : existing.toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path path : files.toList()) {
                Files.copy(path, to.resolve(path.getFileName()));
            }
        }
    }

    @Test
    void pausedProxyCatchesUpWithTheNewestVersion() throws Exception {
        controlPlane.startAll();
        Path errors = folder.resolve("served");
        Process process = startProxy(FreePorts.next(), "127.0.0.1:1", errors);
        controlPlane.propose(1, "");
        awaitLine(errors, "configuration version 1 in force");
        ControlPlaneNodes.await(
                "the proxy has reported the version",
                () -> controlPlane.runConfigCommand("status").contains("in force at 1 of 1"));
        ControlPlaneNodes.signal(process, "STOP");
        for (int i = 2; i <= 4; i++) {
            controlPlane.propose(i, "");
        }
        ControlPlaneNodes.await(
                "the status shows that the proxy is behind",
                () -> controlPlane.runConfigCommand("status").contains("n0                   version 1, "));
        ControlPlaneNodes.signal(process, "CONT");
        awaitLine(errors, "configuration version 4 in force");
        String text = Files.readString(errors);
        assertTrue(text.indexOf("version 1 in force") < text.indexOf("version 4 in force"), text);
    }

    @Test
    void subscribingProxyLoadsNoControlPlaneClasses() throws Exception {
        Path errors = folder.resolve("served");
        Path loaded = folder.resolve("loaded");
        Process process = startProxy(FreePorts.next(), "127.0.0.1:1", errors, "-Xlog:class+load:file=" + loaded);
        awaitLine(errors, "listening on");
        awaitLine(loaded, "mulleinfront.follow.ConfigWatcher ");
        process.destroy();
        assertTrue(
                process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS),
                "the proxy ends although no control-plane node is running");
        String classes = Files.readString(loaded);
        for (String forbidden : List.of(
                "mulleinfront.handout.",
                "mulleinfront.keep.",
                "io.microraft",
                "mulleinfront.cli.",
                "ch.qos.logback",
                "org.slf4j",
                "picocli.",
                "mulleinfront.fleet.",
                "mulleinfront.gossip.")) {
            assertFalse(
                    classes.contains(forbidden),
                    forbidden + ": "
                            + classes.lines()
                                    .filter(line -> line.contains(forbidden))
                                    .findFirst());
        }
    }

    @Test
    void discoveryKeyMovesTheWatch() throws Exception {
        try (StandIns.DiscoveryStandIn old = new StandIns.DiscoveryStandIn();
                StandIns.DiscoveryStandIn other = new StandIns.DiscoveryStandIn()) {
            controlPlane.startAll();
            Path errors = folder.resolve("served");
            startProxy(FreePorts.next(), old.server.address(), errors);
            old.acceptWatch();
            controlPlane.propose(1, "discovery = \"" + other.server.address() + "\"\n");
            other.acceptWatch();
            controlPlane.propose(2, "");
            old.acceptWatch();
        }
    }

    @Test
    void slowSubscriberDoesNotDelayOthers() throws Exception {
        controlPlane.startAll();
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(1_024);
            slow.connect(controlPlane.clientAddress(1));
            slow.getOutputStream()
                    .write("POST /config/watch?name=slow HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked"
                            .concat("\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = slow.getInputStream();
            assertEquals('H', in.read());
            controlPlane.addSubscribers(10);
            controlPlane.propose(1, ("x = \"" + "y".repeat(4_000) + "\"\n"));
            controlPlane.awaitActiveEverywhere(1);
            for (int i = 2; i <= 4; i++) {
                in.read();
                controlPlane.propose(i, ("x = \"" + "z".repeat(4_000) + "\"\n"));
                controlPlane.awaitActiveEverywhere(i);
            }
        }
        controlPlane.checkVersionsIncrease();
    }

    @Test
    void invalidRequestsAndConfigurationsAreRejected() throws Exception {
        controlPlane.startAll();
        assertEquals(400, requestStatus("POST /config/propose HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"));
        String invalidProposal = "{\"id\":\"a\",\"entries\":{\"discovery\":\"nowhere\"}}";
        assertEquals(
                400,
                requestStatus("POST /config/propose HTTP/1.1\r\nContent-Length: " + invalidProposal.length()
                        + "\r\n\r\n" + invalidProposal));
        assertEquals(400, requestStatus("GET /config/watch?name=a HTTP/1.1\r\n\r\n"));
        assertEquals(400, requestStatus("POST /config/watch?name=a&after=x HTTP/1.1\r\n\r\n"));
        assertEquals(404, requestStatus("GET /other HTTP/1.1\r\n\r\n"));
        Path invalidFile = Files.writeString(folder.resolve("bad.toml"), "a = 1\n\ndiscovery = \"nowhere\"\n");
        assertEquals(
                "2\nmulleinfront: " + invalidFile + ":3: discovery: not an address and port: nowhere\n",
                controlPlane.runConfigCommand("propose", invalidFile.toString(), "--why", "bad"));
        assertTrue(controlPlane.runConfigCommand("status").contains("version 0 is in force at 0 of 0 client proxies"));
    }

    private int requestStatus(String request) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(controlPlane.clientAddress(1));
            socket.setSoTimeout((int) StandIns.TIMEOUT_S * 1_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            for (int b; (b = socket.getInputStream().read()) >= 0 && b != '\r'; ) {
                head.write(b);
            }
            return Integer.parseInt(head.toString(StandardCharsets.US_ASCII).split(" ")[1]);
        }
    }
}
