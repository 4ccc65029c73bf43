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
import mulleinfront.proxy.ControlMachines.Reader;
import mulleinfront.proxy.Peers.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The fleet's configuration on sockets: control machines and client proxies as processes. */
class ConfigServeTest {
    @TempDir
    Path folder;

    private ControlMachines control;
    private final List<Process> served = new ArrayList<>();

    @BeforeEach
    void begin() throws Exception {
        control = new ControlMachines(folder);
    }

    @AfterEach
    void end() throws Exception {
        for (Process p : served) {
            p.destroyForcibly().waitFor();
        }
        control.close();
    }

    private Process serve(int port, String discovery, Path errors, String... options) throws Exception {
        Path json = Files.writeString(
                folder.resolve("n.json"),
                Peers.config(port, discovery, "", Peers.list(1, true, Peers.host("s", "127.0.0.1:1", "in_service"))));
        List<String> command = new ArrayList<>(ServeTest.command());
        command.addAll(1, List.of(options));
        command.addAll(List.of("--config-watch", control.file.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors.toFile());
        builder.environment().put("NODE_CONFIG", json.toString());
        Process process = builder.start();
        served.add(process);
        return process;
    }

    private static void awaitLine(Path file, String line) throws Exception {
        ControlMachines.await(file.getFileName() + " says " + line, () -> {
            try {
                return Files.exists(file) && Files.readString(file).contains(line);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    @Test
    void aVersionIsProposedDecidedInForceKeptAndKnown() throws Exception {
        control.startAll();
        control.follow(10);
        Path errors = folder.resolve("served");
        int port = ServeTest.freePort();
        Process process = serve(port, "127.0.0.1:1", errors);
        control.propose(1, "[service.a]\nlimit = \"5ms\"\n");
        control.awaitAll(1);
        awaitLine(errors, "configuration version 1 in force, by c");
        ControlMachines.await(
                "all are known to have it",
                () -> control.config("status").endsWith("version 1 is in force at 11 of 11 client proxies\n"));
        assertTrue(
                control.config("history").contains("2 keys, 2 changed, 0 removed  number 1"),
                control.config("history"));
        Path kept = folder.resolve("state/n0/configuration.json");
        ControlMachines.await("it is kept", () -> Files.exists(kept));
        process.destroyForcibly().waitFor();
        for (int i = 1; i <= 3; i++) {
            control.kill(i);
        }
        // Nobody hands out: it goes by what it kept, and serves.
        Path again = folder.resolve("again");
        serve(ServeTest.freePort(), "127.0.0.1:1", again);
        awaitLine(again, "configuration version 1 in force, kept");
        // A copy that was cut is nothing, and said.
        byte[] whole = Files.readAllBytes(kept);
        Files.write(kept, Arrays.copyOf(whole, whole.length / 2));
        Path cut = folder.resolve("cut");
        serve(ServeTest.freePort(), "127.0.0.1:1", cut);
        awaitLine(cut, "not taken");
        assertTrue(control.config("status").startsWith("1\n"), "nobody answers");
    }

    @Test
    void aMachineKilledWhileItHandsOutAndTheNextOneBehindByAVersion() throws Exception {
        control.startAll();
        control.follow(30);
        control.propose(1, "");
        control.awaitAll(1);
        // The third misses the second version; whoever decided it is killed before all of its readers are
        // told.
        ControlMachines.signal(control.machines[2], "STOP");
        control.propose(2, "x = \"" + "y".repeat(4_000) + "\"\nz = \"" + "y".repeat(4_000) + "\"\n");
        control.kill(1);
        ControlMachines.signal(control.machines[2], "CONT");
        control.awaitAll(2);
        control.propose(3, "");
        control.awaitAll(3);
        control.check();
        // It comes back with what it has, learns the rest and takes nobody back.
        control.start(1);
        control.propose(4, "");
        control.awaitAll(4);
        control.check();
    }

    @Test
    void twoMachinesKilledChangesAreRefusedAndServiceGoesOn() throws Exception {
        control.startAll();
        control.follow(10);
        Path errors = folder.resolve("served");
        int port = ServeTest.freePort();
        serve(port, "127.0.0.1:1", errors);
        control.propose(1, "");
        control.awaitAll(1);
        awaitLine(errors, "configuration version 1 in force");
        control.kill(1);
        control.kill(2);
        Path toml = Files.writeString(folder.resolve("more.toml"), "more = 1\n");
        String said = control.config("propose", toml.toString(), "--why", "in vain");
        assertTrue(said.startsWith("8\n") || said.startsWith("7\n") || said.startsWith("1\n"), said);
        try (Client client = new Client(port)) {
            assertEquals(503, client.safe("a", 1_000).read().status(), "it answers, though its host is nobody");
        }
        for (Reader r : control.readers) {
            assertEquals(List.of(1L), r.history);
        }
        control.start(1);
        ControlMachines.await("a change is decided again", () -> {
            try {
                return control.config(
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
        control.awaitAll(2);
        control.check();
    }

    @Test
    void aMachineRestoredToAnOlderCopyEndsAndTakesNobodyBack() throws Exception {
        control.startAll();
        control.follow(6);
        control.propose(1, "");
        control.awaitAll(1);
        control.kill(3);
        Path folder3 = folder.resolve("dir3");
        Path older = folder.resolve("older3");
        copy(folder3, older);
        control.start(3);
        control.propose(2, "");
        control.propose(3, "");
        control.awaitAll(3);
        ControlMachines.await(
                "the third has them too", () -> control.config("status").contains("c3               version 3"));
        control.kill(3);
        copy(older, folder3);
        control.start(3);
        assertTrue(control.machines[2].waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS), "it ends");
        assertEquals(1, control.machines[2].exitValue());
        assertTrue(
                Files.readString(folder.resolve("errors3")).contains("older copy"),
                Files.readString(folder.resolve("errors3")));
        control.propose(4, "");
        control.awaitAll(4);
        control.check();
    }

    /** All files of a folder, and nothing else there. */
    private static void copy(Path from, Path to) throws Exception {
        if (Files.exists(to)) {
            try (Stream<Path> old = Files.list(to)) {
                for (Path p : old.toList()) {
                    Files.delete(p);
                }
            }
        }
        Files.createDirectories(to);
        try (Stream<Path> all = Files.list(from)) {
            for (Path p : all.toList()) {
                Files.copy(p, to.resolve(p.getFileName()));
            }
        }
    }

    @Test
    void aClientProxyStoppedThroughThreeChanges() throws Exception {
        control.startAll();
        Path errors = folder.resolve("served");
        Process process = serve(ServeTest.freePort(), "127.0.0.1:1", errors);
        control.propose(1, "");
        awaitLine(errors, "configuration version 1 in force");
        ControlMachines.await("it has said so", () -> control.config("status").contains("in force at 1 of 1"));
        ControlMachines.signal(process, "STOP");
        for (int i = 2; i <= 4; i++) {
            control.propose(i, "");
        }
        ControlMachines.await(
                "it is known to be behind",
                () -> control.config("status").contains("n0                   version 1, "));
        ControlMachines.signal(process, "CONT");
        awaitLine(errors, "configuration version 4 in force");
        String text = Files.readString(errors);
        assertTrue(text.indexOf("version 1 in force") < text.indexOf("version 4 in force"), text);
    }

    @Test
    void aClientProxyThatFollowsLoadsNothingOfWhoDecides() throws Exception {
        Path errors = folder.resolve("served");
        Path loaded = folder.resolve("loaded");
        Process process = serve(ServeTest.freePort(), "127.0.0.1:1", errors, "-Xlog:class+load:file=" + loaded);
        awaitLine(errors, "listening on");
        awaitLine(loaded, "mulleinfront.follow.ConfigWatcher ");
        process.destroy();
        assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS), "nobody hands out, and it ends all the same");
        String classes = Files.readString(loaded);
        for (String no : List.of(
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
                    classes.contains(no),
                    no + ": " + classes.lines().filter(l -> l.contains(no)).findFirst());
        }
    }

    @Test
    void theKeyDiscoveryMovesTheWatchOfHosts() throws Exception {
        try (Peers.Discovery old = new Peers.Discovery();
                Peers.Discovery other = new Peers.Discovery()) {
            control.startAll();
            Path errors = folder.resolve("served");
            serve(ServeTest.freePort(), old.server.address(), errors);
            old.asked();
            control.propose(1, "discovery = \"" + other.server.address() + "\"\n");
            other.asked();
            control.propose(2, "");
            old.asked();
        }
    }

    @Test
    void whoReadsAByteASecondHoldsUpNobody() throws Exception {
        control.startAll();
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(1_024);
            slow.connect(control.door(1));
            slow.getOutputStream()
                    .write("POST /config/watch?name=slow HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked"
                            .concat("\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = slow.getInputStream();
            assertEquals('H', in.read());
            control.follow(10);
            control.propose(1, ("x = \"" + "y".repeat(4_000) + "\"\n"));
            control.awaitAll(1);
            for (int i = 2; i <= 4; i++) {
                in.read();
                control.propose(i, ("x = \"" + "z".repeat(4_000) + "\"\n"));
                control.awaitAll(i);
            }
        }
        control.check();
    }

    @Test
    void whatIsNoCallIsRefusedAndWhatIsBadIsNotDecided() throws Exception {
        control.startAll();
        assertEquals(400, call("POST /config/propose HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"));
        String nowhere = "{\"id\":\"a\",\"entries\":{\"discovery\":\"nowhere\"}}";
        assertEquals(
                400,
                call("POST /config/propose HTTP/1.1\r\nContent-Length: " + nowhere.length() + "\r\n\r\n" + nowhere));
        assertEquals(400, call("GET /config/watch?name=a HTTP/1.1\r\n\r\n"));
        assertEquals(400, call("POST /config/watch?name=a&after=x HTTP/1.1\r\n\r\n"));
        assertEquals(404, call("GET /other HTTP/1.1\r\n\r\n"));
        Path bad = Files.writeString(folder.resolve("bad.toml"), "a = 1\n\ndiscovery = \"nowhere\"\n");
        assertEquals(
                "2\nmulleinfront: " + bad + ":3: discovery: not an address and port: nowhere\n",
                control.config("propose", bad.toString(), "--why", "bad"));
        assertTrue(control.config("status").contains("version 0 is in force at 0 of 0 client proxies"));
    }

    private int call(String text) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(control.door(1));
            socket.setSoTimeout((int) Peers.PATIENCE_S * 1_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            for (int b; (b = socket.getInputStream().read()) >= 0 && b != '\r'; ) {
                head.write(b);
            }
            return Integer.parseInt(head.toString(StandardCharsets.US_ASCII).split(" ")[1]);
        }
    }
}
