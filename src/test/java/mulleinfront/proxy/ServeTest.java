package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import mulleinfront.FreePorts;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole program, started as it is deployed, with the real balancer. */
class ServeTest {
    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Process process;
    private DiscoveryStandIn discovery;

    private int start(Server... hosts) throws Exception {
        discovery = closeAfterTest(new DiscoveryStandIn());
        List<String> entries = new ArrayList<>();
        for (Server host : hosts) {
            entries.add(StandIns.endpointJson("s" + entries.size(), host.address(), "in_service"));
        }
        int port = FreePorts.next();
        launch(
                StandIns.configJson(
                        port,
                        discovery.server.address(),
                        "",
                        StandIns.listJson(1, true, entries.toArray(String[]::new))),
                ProcessBuilder.Redirect.INHERIT);
        DiscoveryStandIn.push(discovery.acceptWatch(), StandIns.listJson(2, true, entries.toArray(String[]::new)));
        awaitReady(port);
        return port;
    }

    private void awaitReady(int port) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (System.nanoTime() < end) {
            try (Client client = new Client(port)) {
                if (client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                                .read()
                                .status()
                        == 200) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the proxy did not become ready in time");
    }

    /** Command line that starts the program as it is deployed, except for the memory limits. */
    static List<String> serveCommand() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "mulleinfront.Main",
                "serve");
    }

    private void launch(String config, ProcessBuilder.Redirect errors, String... moreArguments) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>(serveCommand());
        command.addAll(List.of(moreArguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors);
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.start();
    }

    private Server startServer(Consumer<ReceivedRequest> script) throws Exception {
        return closeAfterTest(new Server(script));
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @Test
    void unsafeRequestIsRetriedOnlyIfItWasNotExecuted() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        Consumer<ReceivedRequest> script = request -> {
            boolean first = attempts.getAndIncrement() == 0;
            switch (request.message().header("x-request-id")) {
                case "not-run" -> {
                    if (first) {
                        request.respondNotExecuted();
                    } else {
                        request.respondOk("x");
                    }
                }
                case "error" -> request.respond(500, "", "");
                default -> request.reset();
            }
        };
        int port = start(startServer(script), startServer(script), startServer(script));
        try (Client client = new Client(port)) {
            assertEquals(200, client.postUnsafe("not-run", 20_000).read().status());
            assertEquals(2, attempts.getAndSet(0), "retried after a rejection");
            assertEquals(502, client.postUnsafe("error", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "a request with an error response may have run");
            assertEquals(502, client.postUnsafe("reset", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "a request whose connection was reset may have run");
            // Safe to repeat: it is retried at another endpoint, and a refusal is correct whatever the attempts did.
            int status = client.getSafe("reset", 20_000).read().status();
            assertEquals(503, status);
            assertTrue(attempts.get() > 1, "retried: " + attempts);
        }
    }

    @Test
    void sigtermServesIncomingRequestsAndThenExits() throws Exception {
        Server host = startServer(request -> {
            if (!request.message().header("x-request-id").equals("out")) {
                request.respondOk("x");
            }
        });
        int port = start(host);
        try (Client kept = new Client(port);
                Client open = new Client(port);
                Client idle = new Client(port)) {
            assertEquals(200, kept.postUnsafe("before", 20_000).read().status());
            StandIns.awaitNext(host.received, "the first request");
            open.postUnsafe("out", 20_000);
            ReceivedRequest inFlight = StandIns.awaitNext(host.received, "the request in flight");
            long signalledAtNanos = System.nanoTime();
            process.destroy();
            try {
                Message last = null;
                // Until the signal takes effect, responses keep the connection open.
                for (int i = 0; last == null || last.header("connection") == null; i++) {
                    last = kept.postUnsafe("after" + i, 20_000).read();
                    assertEquals(200, last.status());
                }
                assertEquals("close", last.header("connection"));
                assertTrue(kept.closed());
                try (Client newClient = new Client(port)) {
                    assertEquals(
                            200, newClient.postUnsafe("fresh", 20_000).read().status(), "new connections are served");
                }
            } catch (IOException e) {
                // Accepted only on a slow machine, after the time in which new requests are still served.
                assertTrue(System.nanoTime() - signalledAtNanos > TimeUnit.MILLISECONDS.toNanos(500), e.toString());
            }
            assertTrue(idle.closed(), "idle connections close in the end");
            assertTrue(process.isAlive(), "one request is in flight");
            inFlight.respondOk("late");
            assertEquals("late", open.read().text());
            assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    private void awaitLine(File errors, String line) throws Exception {
        while (!Files.readString(errors.toPath()).contains(line)) {
            assertTrue(process.isAlive(), "the process ended before it printed '" + line + "'");
            Thread.sleep(5);
        }
    }

    @Test
    void requestAcceptedDuringTheStartIsAnsweredAfterSigterm() throws Exception {
        // Guards against a lost request: clients are served while the start still waits for the management address.
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        discovery = closeAfterTest(new DiscoveryStandIn());
        File errors = folder.resolve("errors").toFile();
        int port = FreePorts.next();
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            launch(
                    StandIns.configJson(
                                    port,
                                    discovery.server.address(),
                                    "",
                                    StandIns.listJson(
                                            1, true, StandIns.endpointJson("s0", host.address(), "in_service")))
                            .replace(
                                    "{\"name\":\"n0\"",
                                    "{\"name\":\"n0\",\"management\":\"127.0.0.1:" + occupied.getLocalPort() + "\""),
                    ProcessBuilder.Redirect.to(errors));
            awaitLine(errors, "; retrying");
            try (Client client = new Client(port)) {
                client.postUnsafe("a", 20_000);
                ReceivedRequest inFlight = StandIns.awaitNext(received, "the request");
                process.destroy();
                awaitLine(errors, "shutting down; finishing open requests");
                inFlight.respondOk("whole");
                assertEquals("whole", client.read().text());
            }
            assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void signalsDuringTheShutdownChangeNothing() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(received::add);
        File errors = folder.resolve("errors").toFile();
        discovery = closeAfterTest(new DiscoveryStandIn());
        int port = FreePorts.next();
        launch(
                StandIns.configJson(
                        port,
                        discovery.server.address(),
                        "",
                        StandIns.listJson(1, true, StandIns.endpointJson("s0", host.address(), "in_service"))),
                ProcessBuilder.Redirect.to(errors));
        awaitReady(port);
        try (Client client = new Client(port)) {
            client.postUnsafe("a", 20_000);
            ReceivedRequest inFlight = StandIns.awaitNext(received, "the request");
            sendSighup();
            process.destroy();
            awaitLine(errors, "shutting down; finishing open requests");
            sendSighup();
            process.destroy();
            Thread.sleep(50);
            inFlight.respondOk("whole");
            assertEquals("whole", client.read().text());
        }
        assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
    }

    @Test
    void sigtermDuringTheWarmUpExitsWithoutServing() throws Exception {
        discovery = closeAfterTest(new DiscoveryStandIn());
        File errors = folder.resolve("errors").toFile();
        int port = FreePorts.next();
        launch(StandIns.configJson(port, discovery.server.address(), "", "null"), ProcessBuilder.Redirect.to(errors));
        // The warm-up listens on that port and answers that it is not ready.
        int status = 0;
        while (status == 0) {
            try (Client client = new Client(port)) {
                status = client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status();
            } catch (IOException e) {
                assertTrue(process.isAlive());
            }
        }
        process.destroy();
        assertEquals(503, status);
        assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
    }

    @Test
    void sighupMovesTheWatchAndAnInvalidFileChangesNothing() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        int port = start(host);
        DiscoveryStandIn other = closeAfterTest(new DiscoveryStandIn());
        Path file = folder.resolve("config.json");
        String validConfig = Files.readString(file);
        Files.writeString(file, "{");
        sendSighup();
        Files.writeString(file, validConfig.replace(discovery.server.address(), other.server.address()));
        sendSighup();
        sendSighup();
        DiscoveryStandIn.push(
                other.acceptWatch(),
                StandIns.listJson(1, true, StandIns.endpointJson("s0", host.address(), "in_service")));
        try (Client client = new Client(port)) {
            assertEquals(200, client.postUnsafe("after", 20_000).read().status());
        }
        assertEquals(0, other.server.received.size(), "one watch for two signals with the same file");
    }

    private void sendSighup() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
        // Pending signals of one kind are merged: only the last of them is sure to be handled.
        Thread.sleep(50);
    }

    /** Guards against leaking the warm-up's sockets, about 30; the JVM itself has few. */
    @Test
    void warmUpLeavesNoSocketsOpen() throws Exception {
        start(startServer(request -> request.respondOk("x")));
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            long sockets = descriptors
                    .filter(fd -> {
                        try {
                            return Files.readSymbolicLink(fd).toString().startsWith("socket");
                        } catch (IOException e) {
                            return false; // closed meanwhile
                        }
                    })
                    .count();
            assertTrue(sockets <= 5, sockets + " sockets, a listener, a watch and a client among them");
        }
    }

    @Test
    void eventLoopsShareThePortAndNothingElse() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        discovery = closeAfterTest(new DiscoveryStandIn());
        String known = StandIns.listJson(1, true, StandIns.endpointJson("s0", host.address(), "in_service"));
        int port = FreePorts.next();
        Path processFile = folder.resolve("machine.toml");
        Files.writeString(processFile, "loops = 3\n");
        launch(
                StandIns.configJson(port, discovery.server.address(), "", known),
                ProcessBuilder.Redirect.INHERIT,
                "--machine",
                processFile.toString());
        List<ReceivedRequest> watches = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            watches.add(discovery.acceptWatch());
        }
        watches.forEach(watch -> DiscoveryStandIn.push(watch, known));
        awaitReady(port);
        // With 48 connections the probability that one loop has none is about one in a hundred million.
        for (int i = 0; i < 48; i++) {
            assertEquals(
                    200,
                    closeAfterTest(new Client(port))
                            .postUnsafe("a" + i, 20_000)
                            .read()
                            .status());
        }
        assertEquals(48, host.received.size(), "each sent once");
        // The drain reaches all event loops: none of them sends anything new.
        String drained = StandIns.listJson(2, true, StandIns.endpointJson("s0", host.address(), "terminating"));
        watches.forEach(watch -> DiscoveryStandIn.push(watch, drained));
        Thread.sleep(300);
        for (int i = 0; i < 24; i++) {
            assertEquals(
                    503,
                    closeAfterTest(new Client(port))
                            .postUnsafe("b" + i, 300)
                            .read()
                            .status());
        }
        assertEquals(48, host.received.size(), "nothing was sent to the draining endpoint");
        process.destroy();
        assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS), "all event loops end");
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        String validConfig = StandIns.configJson(1, "127.0.0.1:1", "", "null");
        for (String config : List.of(
                "{",
                "7",
                "{\"listen\":\"here\"}",
                "{}",
                "{\"settings\":5}",
                validConfig.replace("{\"cores\"", "5,\"x\":{\"cores\""),
                validConfig.replace("8c1f30d27a5be964", "x"),
                validConfig.replace("\"maxAttempts\":4", "\"maxAttempts\":0"),
                validConfig.replace("\"cores\":1.0", "\"cores\":-1"),
                validConfig.replace("\"cores\":1.0", "\"cores\":1e400"),
                validConfig.replace("\"sockets\":160", "\"sockets\":0"),
                validConfig.replace("\"balancers\":3", "\"balancers\":0"),
                validConfig.replace("\"worth\":1", "\"worth\":1e400"),
                validConfig.replace("\"deadlineUs\":20000000", "\"deadlineUs\":1e300"))) {
            byte[] bytes = config.getBytes(StandardCharsets.UTF_8);
            assertThrows(Exception.class, () -> Config.parse(bytes), config);
        }
        File errors = folder.resolve("errors").toFile();
        launch(
                validConfig.replace("\"effect\":\"retryable\"", "\"effect\":\"odd\""),
                ProcessBuilder.Redirect.to(errors));
        assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertEquals(
                "mulleinfront: " + folder.resolve("config.json") + ": settings: safe: unknown effect odd\n",
                Files.readString(errors.toPath()));
    }

    @Test
    void sampleConfigurationServesOnLoopback() throws Exception {
        // The sample that README starts, as shipped except for the ports, which may be in use here.
        Path sample = Path.of("deploy/sample-config.json");
        Config shipped = Config.load(sample.toString());
        assertTrue(shipped.listen().getAddress().isLoopbackAddress());
        assertTrue(shipped.discovery().getAddress().isLoopbackAddress());
        Server host = startServer(request -> request.respondOk("x"));
        int port = FreePorts.next();
        launch(
                Files.readString(sample)
                        .replace(":8081", ":" + port)
                        .replace(":8500", ":1")
                        .replace("127.0.0.1:9001", host.address())
                        .replace("127.0.0.1:9002", host.address()),
                ProcessBuilder.Redirect.INHERIT);
        awaitReady(port);
        try (Client client = new Client(port)) {
            assertEquals(
                    200,
                    client.write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                                    + "X-Class: advance-payout\r\nX-Tenant: erdenet\r\nX-Deadline-Ms: 2500\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .read()
                            .status());
        }
    }

    @Test
    void portInUseIsReportedInOneLine() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            File errors = folder.resolve("errors").toFile();
            launch(
                    StandIns.configJson(occupied.getLocalPort(), "127.0.0.1:1", "", "null"),
                    ProcessBuilder.Redirect.to(errors));
            assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
            assertFalse(process.exitValue() == 0);
            List<String> lines = Files.readAllLines(errors.toPath());
            assertEquals(2, lines.size(), lines.toString());
            assertTrue(lines.get(0).endsWith("; retrying"), lines.get(0));
            assertTrue(lines.get(1).startsWith("mulleinfront: can't listen on "), lines.get(1));
        }
    }

    @Test
    void portInUseForAMomentIsRetried() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        discovery = closeAfterTest(new DiscoveryStandIn());
        File errors = folder.resolve("errors").toFile();
        int port;
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = occupied.getLocalPort();
            launch(
                    StandIns.configJson(
                            port,
                            discovery.server.address(),
                            "",
                            StandIns.listJson(1, true, StandIns.endpointJson("s0", host.address(), "in_service"))),
                    ProcessBuilder.Redirect.to(errors));
            awaitLine(errors, "; retrying");
        }
        awaitReady(port);
    }
}
