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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole program, started as it is deployed, with the real module. */
class ServeTest {
    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private Process process;
    private Discovery discovery;

    private int start(Server... hosts) throws Exception {
        discovery = keep(new Discovery());
        List<String> known = new ArrayList<>();
        for (Server host : hosts) {
            known.add(Peers.host("s" + known.size(), host.address(), "in_service"));
        }
        int port = freePort();
        launch(
                Peers.config(port, discovery.server.address(), "", Peers.list(1, true, known.toArray(String[]::new))),
                ProcessBuilder.Redirect.INHERIT);
        Discovery.push(discovery.asked(), Peers.list(2, true, known.toArray(String[]::new)));
        awaitReady(port);
        return port;
    }

    private void awaitReady(int port) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.PATIENCE_S);
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
        throw new AssertionError("never ready");
    }

    /** A port under those that the system gives to outgoing connections, which could take it again. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // taken: try another
            }
        }
    }

    /** Starts the program as it is deployed, but for the memory bounds. */
    static List<String> command() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "mulleinfront.Main",
                "serve");
    }

    private void launch(String config, ProcessBuilder.Redirect errors, String... more) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>(command());
        command.addAll(List.of(more));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors);
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.start();
    }

    private Server host(Consumer<Seen> script) throws Exception {
        return keep(new Server(script));
    }

    private <T extends AutoCloseable> T keep(T one) {
        open.add(one);
        return one;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @Test
    void anUnsafeRequestIsTriedAgainOnlyWhenItSurelyDidNotRun() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        Consumer<Seen> script = s -> {
            boolean first = attempts.getAndIncrement() == 0;
            switch (s.message().header("x-request-id")) {
                case "not-run" -> {
                    if (first) {
                        s.notRun();
                    } else {
                        s.served("x");
                    }
                }
                case "error" -> s.answer(500, "", "");
                default -> s.reset();
            }
        };
        int port = start(host(script), host(script), host(script));
        try (Client client = new Client(port)) {
            assertEquals(200, client.unsafe("not-run", 20_000).read().status());
            assertEquals(2, attempts.getAndSet(0), "tried again after it was turned away");
            assertEquals(502, client.unsafe("error", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "an error may have run");
            assertEquals(502, client.unsafe("reset", 20_000).read().status());
            assertEquals(1, attempts.getAndSet(0), "a reset may have run");
            // Safe to repeat: it goes on to another host, and a refusal is a true word whatever came of it.
            int status = client.safe("reset", 20_000).read().status();
            assertEquals(503, status);
            assertTrue(attempts.get() > 1, "tried again: " + attempts);
        }
    }

    @Test
    void afterSigtermAllThatComesIsServedAndThenItEnds() throws Exception {
        Server host = host(s -> {
            if (!s.message().header("x-request-id").equals("out")) {
                s.served("x");
            }
        });
        int port = start(host);
        try (Client kept = new Client(port);
                Client out = new Client(port);
                Client idle = new Client(port)) {
            assertEquals(200, kept.unsafe("before", 20_000).read().status());
            Peers.next(host.seen, "the first request");
            out.unsafe("out", 20_000);
            Seen waiting = Peers.next(host.seen, "the request that is out");
            long told = System.nanoTime();
            process.destroy();
            try {
                Message last = null;
                // The signal takes a moment: until then answers keep the connection.
                for (int i = 0; last == null || last.header("connection") == null; i++) {
                    last = kept.unsafe("after" + i, 20_000).read();
                    assertEquals(200, last.status());
                }
                assertEquals("close", last.header("connection"));
                assertTrue(kept.closed());
                try (Client fresh = new Client(port)) {
                    assertEquals(200, fresh.unsafe("fresh", 20_000).read().status(), "new ones are served");
                }
            } catch (IOException e) {
                // Only this machine's being slow excuses it: the time in which requests still come was over.
                assertTrue(System.nanoTime() - told > TimeUnit.MILLISECONDS.toNanos(500), e.toString());
            }
            assertTrue(idle.closed(), "idle connections close in the end");
            assertTrue(process.isAlive(), "one request is out");
            waiting.served("late");
            assertEquals("late", out.read().text());
            assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    private void awaitLine(File errors, String line) throws Exception {
        while (!Files.readString(errors.toPath()).contains(line)) {
            assertTrue(process.isAlive(), "it ended before it said '" + line + "'");
            Thread.sleep(5);
        }
    }

    @Test
    void aRequestTakenBeforeTheStartIsDoneIsAnsweredThoughSigtermComesThen() throws Exception {
        // Guards rule 1: clients are served while the operators' door is still waited for.
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        discovery = keep(new Discovery());
        File errors = folder.resolve("errors").toFile();
        int port = freePort();
        try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            launch(
                    Peers.config(
                                    port,
                                    discovery.server.address(),
                                    "",
                                    Peers.list(1, true, Peers.host("s0", host.address(), "in_service")))
                            .replace(
                                    "{\"name\":\"n0\"",
                                    "{\"name\":\"n0\",\"management\":\"127.0.0.1:" + door.getLocalPort() + "\""),
                    ProcessBuilder.Redirect.to(errors));
            awaitLine(errors, "; trying on");
            try (Client client = new Client(port)) {
                client.unsafe("a", 20_000);
                Seen open = Peers.next(out, "the request");
                process.destroy();
                awaitLine(errors, "told to end");
                open.served("whole");
                assertEquals("whole", client.read().text());
            }
            assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void aSecondSigtermAndASighupMeanwhileChangeNothing() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        File errors = folder.resolve("errors").toFile();
        discovery = keep(new Discovery());
        int port = freePort();
        launch(
                Peers.config(
                        port,
                        discovery.server.address(),
                        "",
                        Peers.list(1, true, Peers.host("s0", host.address(), "in_service"))),
                ProcessBuilder.Redirect.to(errors));
        awaitReady(port);
        try (Client client = new Client(port)) {
            client.unsafe("a", 20_000);
            Seen open = Peers.next(out, "the request");
            hangUp();
            process.destroy();
            awaitLine(errors, "told to end");
            hangUp();
            process.destroy();
            Thread.sleep(50);
            open.served("whole");
            assertEquals("whole", client.read().text());
        }
        assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
    }

    @Test
    void sigtermDuringTheRehearsalEndsItAtOnceAndNobodyIsTaken() throws Exception {
        discovery = keep(new Discovery());
        File errors = folder.resolve("errors").toFile();
        int port = freePort();
        launch(Peers.config(port, discovery.server.address(), "", "null"), ProcessBuilder.Redirect.to(errors));
        // The rehearsal answers on that port, and says that it is not ready.
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
        assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
    }

    @Test
    void sighupMovesTheWatchAndABadFileChangesNothing() throws Exception {
        Server host = host(s -> s.served("x"));
        int port = start(host);
        Discovery other = keep(new Discovery());
        Path file = folder.resolve("config.json");
        String good = Files.readString(file);
        Files.writeString(file, "{");
        hangUp();
        Files.writeString(file, good.replace(discovery.server.address(), other.server.address()));
        hangUp();
        hangUp();
        Discovery.push(other.asked(), Peers.list(1, true, Peers.host("s0", host.address(), "in_service")));
        try (Client client = new Client(port)) {
            assertEquals(200, client.unsafe("after", 20_000).read().status());
        }
        assertEquals(0, other.server.seen.size(), "one watch for two signals with the same file");
    }

    private void hangUp() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
        // Signals of one kind that are still pending are one: only the last of them is sure to be seen.
        Thread.sleep(50);
    }

    /** The JVM's own are few; the rehearsal had opened some thirty. */
    @Test
    void nothingIsLeftOpenOfTheRehearsal() throws Exception {
        start(host(s -> s.served("x")));
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            long sockets = all.filter(fd -> {
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
    void severalLoopsShareThePortAndNothingElse() throws Exception {
        Server host = host(s -> s.served("x"));
        discovery = keep(new Discovery());
        String known = Peers.list(1, true, Peers.host("s0", host.address(), "in_service"));
        int port = freePort();
        Path machine = folder.resolve("machine.toml");
        Files.writeString(machine, "loops = 3\n");
        launch(
                Peers.config(port, discovery.server.address(), "", known),
                ProcessBuilder.Redirect.INHERIT,
                "--machine",
                machine.toString());
        List<Seen> watches = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            watches.add(discovery.asked());
        }
        watches.forEach(watch -> Discovery.push(watch, known));
        awaitReady(port);
        // With 48 connections the chance that one loop has none is under one in a hundred million.
        for (int i = 0; i < 48; i++) {
            assertEquals(
                    200, keep(new Client(port)).unsafe("a" + i, 20_000).read().status());
        }
        assertEquals(48, host.seen.size(), "each sent once");
        // The drain reaches all of them: nothing new goes out on any.
        String drained = Peers.list(2, true, Peers.host("s0", host.address(), "terminating"));
        watches.forEach(watch -> Discovery.push(watch, drained));
        Thread.sleep(300);
        for (int i = 0; i < 24; i++) {
            assertEquals(503, keep(new Client(port)).unsafe("b" + i, 300).read().status());
        }
        assertEquals(48, host.seen.size(), "nothing to a draining host");
        process.destroy();
        assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS), "all of them end");
    }

    @Test
    void aBadConfigurationIsOnePlainLine() throws Exception {
        String good = Peers.config(1, "127.0.0.1:1", "", "null");
        for (String config : List.of(
                "{",
                "7",
                "{\"listen\":\"here\"}",
                "{}",
                "{\"settings\":5}",
                good.replace("{\"cores\"", "5,\"x\":{\"cores\""),
                good.replace("8c1f30d27a5be964", "x"),
                good.replace("\"maxAttempts\":4", "\"maxAttempts\":0"),
                good.replace("\"cores\":1.0", "\"cores\":-1"),
                good.replace("\"cores\":1.0", "\"cores\":1e400"),
                good.replace("\"sockets\":160", "\"sockets\":0"),
                good.replace("\"balancers\":3", "\"balancers\":0"),
                good.replace("\"worth\":1", "\"worth\":1e400"),
                good.replace("\"deadlineUs\":20000000", "\"deadlineUs\":1e300"))) {
            byte[] bytes = config.getBytes(StandardCharsets.UTF_8);
            assertThrows(Exception.class, () -> Config.parse(bytes), config);
        }
        File errors = folder.resolve("errors").toFile();
        launch(good.replace("\"effect\":\"retryable\"", "\"effect\":\"odd\""), ProcessBuilder.Redirect.to(errors));
        assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertEquals(
                "mulleinfront: " + folder.resolve("config.json") + ": settings: safe: unknown effect odd\n",
                Files.readString(errors.toPath()));
    }

    @Test
    void theSampleConfigurationServesOnLoopback() throws Exception {
        // What README tells a newcomer to start: as it is shipped, but for the ports, which may be in use here.
        Path sample = Path.of("deploy/sample-config.json");
        Config shipped = Config.load(sample.toString());
        assertTrue(shipped.listen().getAddress().isLoopbackAddress());
        assertTrue(shipped.discovery().getAddress().isLoopbackAddress());
        Server host = host(s -> s.served("x"));
        int port = freePort();
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
    void aPortInUseIsOnePlainLine() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            File errors = folder.resolve("errors").toFile();
            launch(Peers.config(taken.getLocalPort(), "127.0.0.1:1", "", "null"), ProcessBuilder.Redirect.to(errors));
            assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
            assertFalse(process.exitValue() == 0);
            List<String> lines = Files.readAllLines(errors.toPath());
            assertEquals(2, lines.size(), lines.toString());
            assertTrue(lines.get(0).endsWith("; trying on"), lines.get(0));
            assertTrue(lines.get(1).startsWith("mulleinfront: can't listen on "), lines.get(1));
        }
    }

    @Test
    void aPortInUseForAMomentIsWaitedFor() throws Exception {
        Server host = host(s -> s.served("x"));
        discovery = keep(new Discovery());
        File errors = folder.resolve("errors").toFile();
        int port;
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = taken.getLocalPort();
            launch(
                    Peers.config(
                            port,
                            discovery.server.address(),
                            "",
                            Peers.list(1, true, Peers.host("s0", host.address(), "in_service"))),
                    ProcessBuilder.Redirect.to(errors));
            awaitLine(errors, "; trying on");
        }
        awaitReady(port);
    }
}
