package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mulleinfront.cli.CommandLine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a member of a fleet: three processes side by side, asked at their doors. */
class FleetServeTest {
    private static final int MEMBERS = 3;

    @TempDir
    Path folder;

    private final Process[] processes = new Process[MEMBERS];
    private final int[] doors = new int[MEMBERS];
    private final int[] ports = new int[MEMBERS];
    private Path file;

    private void fleet(String more) throws Exception {
        file = Files.writeString(
                folder.resolve("fleet.toml"),
                "fleet = \"test\"\nperiod = \"100ms\"\nsettled-after = \"400ms\"\n" + more);
        for (int i = 0; i < MEMBERS; i++) {
            doors[i] = ServeTest.freePort();
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                ports[i] = free.getLocalPort();
            }
        }
    }

    private String config(int number) throws Exception {
        String peers =
                IntStream.of(ports).mapToObj(p -> "\"127.0.0.1:" + p + "\"").collect(Collectors.joining(","));
        return Peers.config(0, "127.0.0.1:1", "", Peers.list(1, true, Peers.host("s", "127.0.0.1:1", "in_service")))
                .replace(
                        "{\"name\":\"n0\"",
                        "{\"name\":\"n" + number + "\",\"management\":\"127.0.0.1:" + doors[number]
                                + "\",\"peer_listen\":\"127.0.0.1:" + ports[number] + "\"")
                .replace("\"peers\":[]", "\"peers\":[" + peers + "]")
                .replace("\"settings\":{", "\"settings\":{\"me\":" + number + ",");
    }

    private Process start(int number, String config, ProcessBuilder.Redirect errors, String... more) throws Exception {
        Path json = Files.writeString(folder.resolve("n" + number + ".json"), config);
        List<String> command = new ArrayList<>(ServeTest.command());
        command.addAll(List.of(more));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors);
        builder.environment().put("NODE_CONFIG", json.toString());
        processes[number] = builder.start();
        return processes[number];
    }

    private void start(int number) throws Exception {
        start(number, config(number), ProcessBuilder.Redirect.INHERIT, "--fleet", file.toString());
    }

    @AfterEach
    void end() throws Exception {
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** What the command line says: its exit code, a line's end, its output. */
    private static String call(String... words) {
        StringWriter text = new StringWriter();
        PrintWriter out = new PrintWriter(text, true);
        int code = CommandLine.run(out, out, words);
        return code + "\n" + text;
    }

    private String members(int of) {
        return call("fleet", "members", "--door", "127.0.0.1:" + doors[of]);
    }

    private void await(int of, String... wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.PATIENCE_S);
        String said = "";
        while (System.nanoTime() < end) {
            said = members(of);
            String now = said.replaceAll(" +", " ");
            if (List.of(wanted).stream().allMatch(now::contains)) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("never " + List.of(wanted) + " but " + said);
    }

    @Test
    void threeKnowEachOtherOneIsKilledOneLeavesAndBothComeBack() throws Exception {
        fleet("events = \"" + folder.resolve("events-%n.json") + "\"\n");
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
        await(0, "0\nfleet test", "alive 3", "reach all", "settled true", "2 n2 alive");
        Process watch = new ProcessBuilder(program("fleet", "watch", "--door", "127.0.0.1:" + doors[0]))
                .redirectOutput(folder.resolve("watched").toFile())
                .redirectError(folder.resolve("word").toFile())
                .start();
        try {
            for (int i = 0;
                    i < 50 * Peers.PATIENCE_S
                            && !Files.readString(folder.resolve("word")).contains("watching");
                    i++) {
                Thread.sleep(20);
            }
            processes[2].destroyForcibly().waitFor();
            await(0, "2 n2 failed", "reach majority");
            start(2);
            await(0, "2 n2 alive", "reach all", "settled true");
            processes[1].destroy();
            assertTrue(processes[1].waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
            await(0, "1 n1 left", "reach all", "living 2");
            await(2, "1 n1 left");
            start(1);
            await(0, "1 n1 alive", "living 3", "settled true");
            assertTrue(call("fleet", "leave", "--door", "127.0.0.1:" + doors[0]).startsWith("1\n"), "it takes clients");
            assertEquals("+OK quiesced", OperatedTest.call(doors[0], "quiesce\n"));
            assertEquals("0\nleft\n", call("fleet", "leave", "--door", "127.0.0.1:" + doors[0]));
            await(2, "0 n0 left", "alive 2");
            OperatedTest.call(doors[0], "resume\n");
            await(2, "0 n0 alive", "alive 3");
        } finally {
            watch.destroy();
            watch.waitFor();
        }
        String watched = Files.readString(folder.resolve("watched"));
        assertTrue(watched.contains("\"from\":\"suspected\",\"to\":\"failed\""), watched);
        assertTrue(watched.contains("\"to\":\"left\""), watched);
        String events = Files.readString(folder.resolve("events-n0.json"));
        assertTrue(events.contains("\"message\":\"began\""), events);
        assertTrue(
                events.lines()
                        .anyMatch(l -> l.contains("\"message\":\"changed\"")
                                && l.contains("\"member\":2")
                                && l.contains("\"from\":\"suspected\"")
                                && l.contains("\"to\":\"failed\"")),
                events);
        assertTrue(call("fleet", "members", "--json", "--door", "127.0.0.1:" + doors[1])
                .contains("\"digest\""));
    }

    private static List<String> program(String... words) {
        List<String> command = new ArrayList<>(ServeTest.command());
        command.remove("serve");
        command.addAll(List.of(words));
        return command;
    }

    @Test
    void strangersAndDamagedDatagramsAreCountedAndItServesAllTheSame() throws Exception {
        fleet("");
        start(0);
        await(0, "alive 1");
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 50; i++) {
                byte[] bytes = new byte[i * 20];
                stranger.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), ports[0]));
            }
        }
        await(0, "damaged=", "too-long=");
        assertEquals("+OK serving", OperatedTest.call(doors[0], "health\n"));
    }

    @Test
    void anAddressInUseIsWaitedForWhileItServes() throws Exception {
        fleet("");
        try (DatagramSocket taken = new DatagramSocket(ports[0], InetAddress.getLoopbackAddress())) {
            start(0);
            awaitHealth(0);
        }
        await(0, "alive 1");
    }

    private void awaitHealth(int number) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.PATIENCE_S);
        while (System.nanoTime() < end) {
            try {
                if ("+OK serving".equals(OperatedTest.call(doors[number], "health\n"))) {
                    return;
                }
            } catch (java.io.IOException e) {
                // not there yet
            }
            Thread.sleep(20);
        }
        throw new AssertionError("never healthy");
    }

    @Test
    void whatCannotBeGoneByIsOneLineAndNothingStarts() throws Exception {
        fleet("helpers = 99\n");
        Path errors = folder.resolve("errors");
        String good = config(0);
        for (String[] wrong : new String[][] {
            {good, "mulleinfront: " + file + ":4: helpers: must be 10 at most"},
            {
                good.replace("\"peers\":[\"", "\"peers\":[\"1.2.3.4:5\",\"1.2.3.4:5\",\""),
                "mulleinfront: configuration: peers names 1.2.3.4:5 twice: each member has an address of its own"
            },
            {
                good.replace("\"me\":0", "\"me\":3"),
                "mulleinfront: configuration: settings.me is 3, and peers has the numbers 0 to 2"
            },
            {
                good.replace("\"peer_listen\"", "\"peer_hear\""),
                "mulleinfront: configuration: peer_listen is missing, which a fleet needs"
            }
        }) {
            Process p = start(0, wrong[0], ProcessBuilder.Redirect.to(errors.toFile()), "--fleet", file.toString());
            assertTrue(p.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(1, p.exitValue());
            assertEquals(wrong[1] + "\n", Files.readString(errors));
        }
        assertEquals(
                "2\nmulleinfront: " + file + ":4: helpers: must be 10 at most\n",
                call("fleet", "check", file.toString()));
        assertTrue(call("fleet", "check", "deploy/fleet.toml").startsWith("0\nfleet factoring: "));
        for (String[] line : new String[][] {
            {"period = \"1ms\"", "2: period: must be from 20ms to 60s"},
            {"perod = \"1s\"", "2: perod: unknown key"},
            {"datagrams = 64", "2: datagrams: '64' is no rate: a number for" + " each second, as \"240/s\""},
            {"answer = \"700ms\"", "2: answer: must be from 1us to 599999us"},
            {"gone-after = \"2s\"", "2: gone-after: must be from 10s up"},
            {"accusers = nan", "2: accusers: must be a plain number, 0 or more"}
        }) {
            Files.writeString(file, "fleet = \"a\"\n" + line[0] + "\n");
            assertEquals("2\nmulleinfront: " + file + ":" + line[1] + "\n", call("fleet", "check", file.toString()));
        }
        Files.writeString(file, "period = \"1s\"\n");
        assertEquals("2\nmulleinfront: " + file + ":1: : missing fleet\n", call("fleet", "check", file.toString()));
    }

    @Test
    void withoutAFleetNothingOfItIsLoaded() throws Exception {
        fleet("");
        Path loaded = folder.resolve("loaded");
        Path json = Files.writeString(folder.resolve("n0.json"), config(0));
        List<String> command = new ArrayList<>(ServeTest.command());
        command.add(1, "-Xlog:class+load:file=" + loaded);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("NODE_CONFIG", json.toString());
        processes[0] = builder.start();
        awaitHealth(0);
        assertTrue(members(0).startsWith("1\nmulleinfront: this client proxy is in no fleet"), members(0));
        processes[0].destroy();
        assertTrue(processes[0].waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
        String classes = Files.readString(loaded, StandardCharsets.UTF_8);
        assertTrue(classes.contains("mulleinfront.proxy.ClientProxy"));
        for (String no : List.of(
                "mulleinfront.fleet.",
                "mulleinfront.gossip.",
                "mulleinfront.emulator.",
                "mulleinfront.kit.",
                "mulleinfront.cli.",
                "ch.qos.logback",
                "org.slf4j",
                "org.tomlj",
                "picocli.",
                "mulleinfront.settings.FleetFile",
                "mulleinfront.config.",
                "mulleinfront.follow.",
                "mulleinfront.handout.",
                "mulleinfront.keep.",
                "mulleinfront.settings.ControlFile",
                "io.microraft")) {
            assertFalse(
                    classes.contains(no),
                    no + ": " + classes.lines().filter(l -> l.contains(no)).findFirst());
        }
    }
}
