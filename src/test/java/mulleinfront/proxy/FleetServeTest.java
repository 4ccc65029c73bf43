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
import mulleinfront.FreePorts;
import mulleinfront.cli.CommandLine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a fleet member: three processes, queried at their management endpoints. */
class FleetServeTest {
    private static final int MEMBERS = 3;

    @TempDir
    Path folder;

    private final Process[] processes = new Process[MEMBERS];
    private final int[] managementPorts = new int[MEMBERS];
    private final int[] peerPorts = new int[MEMBERS];
    private Path fleetFile;

    private void configureFleet(String moreToml) throws Exception {
        fleetFile = Files.writeString(
                folder.resolve("fleet.toml"),
                "fleet = \"test\"\nperiod = \"100ms\"\nsettled-after = \"400ms\"\n" + moreToml);
        for (int i = 0; i < MEMBERS; i++) {
            managementPorts[i] = FreePorts.next();
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                peerPorts[i] = free.getLocalPort();
            }
        }
    }

    private String proxyConfig(int number) throws Exception {
        String peers = IntStream.of(peerPorts)
                .mapToObj(port -> "\"127.0.0.1:" + port + "\"")
                .collect(Collectors.joining(","));
        return StandIns.configJson(
                        0,
                        "127.0.0.1:1",
                        "",
                        StandIns.listJson(1, true, StandIns.endpointJson("s", "127.0.0.1:1", "in_service")))
                .replace(
                        "{\"name\":\"n0\"",
                        "{\"name\":\"n" + number + "\",\"management\":\"127.0.0.1:" + managementPorts[number]
                                + "\",\"peer_listen\":\"127.0.0.1:" + peerPorts[number] + "\"")
                .replace("\"peers\":[]", "\"peers\":[" + peers + "]")
                .replace("\"settings\":{", "\"settings\":{\"me\":" + number + ",");
    }

    private Process start(int number, String config, ProcessBuilder.Redirect errors, String... moreArguments)
            throws Exception {
        Path configFile = Files.writeString(folder.resolve("n" + number + ".json"), config);
        List<String> command = new ArrayList<>(ServeTest.serveCommand());
        command.addAll(List.of(moreArguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors);
        builder.environment().put("NODE_CONFIG", configFile.toString());
        processes[number] = builder.start();
        return processes[number];
    }

    private void start(int number) throws Exception {
        start(number, proxyConfig(number), ProcessBuilder.Redirect.INHERIT, "--fleet", fleetFile.toString());
    }

    @AfterEach
    void end() throws Exception {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    /** Runs a command; returns its exit code, a line break and its output. */
    private static String runCommand(String... arguments) {
        StringWriter output = new StringWriter();
        PrintWriter writer = new PrintWriter(output, true);
        int exitCode = CommandLine.run(writer, writer, arguments);
        return exitCode + "\n" + output;
    }

    private String membersOutput(int member) {
        return runCommand("fleet", "members", "--door", "127.0.0.1:" + managementPorts[member]);
    }

    private void awaitMembers(int member, String... wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        String output = "";
        while (System.nanoTime() < end) {
            output = membersOutput(member);
            String normalized = output.replaceAll(" +", " ");
            if (List.of(wanted).stream().allMatch(normalized::contains)) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("timed out waiting for " + List.of(wanted) + "; last output: " + output);
    }

    @Test
    void membersObserveAFailureALeaveAndTheirReturn() throws Exception {
        configureFleet("events = \"" + folder.resolve("events-%n.json") + "\"\n");
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
        awaitMembers(0, "0\nfleet test", "alive 3", "reach all", "settled true", "2 n2 alive");
        Process watchCommand = new ProcessBuilder(
                        programCommand("fleet", "watch", "--door", "127.0.0.1:" + managementPorts[0]))
                .redirectOutput(folder.resolve("watched").toFile())
                .redirectError(folder.resolve("watch-errors").toFile())
                .start();
        try {
            for (int i = 0;
                    i < 50 * StandIns.TIMEOUT_S
                            && !Files.readString(folder.resolve("watch-errors")).contains("watching");
                    i++) {
                Thread.sleep(20);
            }
            processes[2].destroyForcibly().waitFor();
            awaitMembers(0, "2 n2 failed", "reach majority");
            start(2);
            awaitMembers(0, "2 n2 alive", "reach all", "settled true");
            processes[1].destroy();
            assertTrue(processes[1].waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
            awaitMembers(0, "1 n1 left", "reach all", "living 2");
            awaitMembers(2, "1 n1 left");
            start(1);
            awaitMembers(0, "1 n1 alive", "living 3", "settled true");
            assertTrue(
                    runCommand("fleet", "leave", "--door", "127.0.0.1:" + managementPorts[0])
                            .startsWith("1\n"),
                    "refused while the proxy accepts clients");
            assertEquals("+OK quiesced", OperatedTest.sendCommand(managementPorts[0], "quiesce\n"));
            assertEquals("0\nleft\n", runCommand("fleet", "leave", "--door", "127.0.0.1:" + managementPorts[0]));
            awaitMembers(2, "0 n0 left", "alive 2");
            OperatedTest.sendCommand(managementPorts[0], "resume\n");
            awaitMembers(2, "0 n0 alive", "alive 3");
        } finally {
            watchCommand.destroy();
            watchCommand.waitFor();
        }
        String watched = Files.readString(folder.resolve("watched"));
        assertTrue(watched.contains("\"from\":\"suspected\",\"to\":\"failed\""), watched);
        assertTrue(watched.contains("\"to\":\"left\""), watched);
        String events = Files.readString(folder.resolve("events-n0.json"));
        assertTrue(events.contains("\"message\":\"began\""), events);
        assertTrue(
                events.lines()
                        .anyMatch(line -> line.contains("\"message\":\"changed\"")
                                && line.contains("\"member\":2")
                                && line.contains("\"from\":\"suspected\"")
                                && line.contains("\"to\":\"failed\"")),
                events);
        assertTrue(runCommand("fleet", "members", "--json", "--door", "127.0.0.1:" + managementPorts[1])
                .contains("\"digest\""));
    }

    private static List<String> programCommand(String... arguments) {
        List<String> command = new ArrayList<>(ServeTest.serveCommand());
        command.remove("serve");
        command.addAll(List.of(arguments));
        return command;
    }

    @Test
    void damagedDatagramsAreCountedWhileServing() throws Exception {
        configureFleet("");
        start(0);
        awaitMembers(0, "alive 1");
        try (DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 50; i++) {
                byte[] bytes = new byte[i * 20];
                unknownSender.send(
                        new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), peerPorts[0]));
            }
        }
        awaitMembers(0, "damaged=", "too-long=");
        assertEquals("+OK serving", OperatedTest.sendCommand(managementPorts[0], "health\n"));
    }

    @Test
    void peerAddressInUseIsRetriedWhileServing() throws Exception {
        configureFleet("");
        try (DatagramSocket occupied = new DatagramSocket(peerPorts[0], InetAddress.getLoopbackAddress())) {
            start(0);
            awaitHealth(0);
        }
        awaitMembers(0, "alive 1");
    }

    private void awaitHealth(int number) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (System.nanoTime() < end) {
            try {
                if ("+OK serving".equals(OperatedTest.sendCommand(managementPorts[number], "health\n"))) {
                    return;
                }
            } catch (java.io.IOException e) {
                // not listening yet
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the proxy did not become healthy in time");
    }

    @Test
    void invalidFleetSettingsAreReportedInOneLine() throws Exception {
        configureFleet("helpers = 99\n");
        Path errors = folder.resolve("errors");
        String validConfig = proxyConfig(0);
        for (String[] invalidConfig : new String[][] {
            {validConfig, "mulleinfront: " + fleetFile + ":4: helpers: must be 10 at most"},
            {
                validConfig.replace("\"peers\":[\"", "\"peers\":[\"1.2.3.4:5\",\"1.2.3.4:5\",\""),
                "mulleinfront: configuration: peers contains 1.2.3.4:5 twice; each member needs its own address"
            },
            {
                validConfig.replace("\"me\":0", "\"me\":3"),
                "mulleinfront: configuration: settings.me is 3, but peers has only the members 0 to 2"
            },
            {
                validConfig.replace("\"peer_listen\"", "\"peer_hear\""),
                "mulleinfront: configuration: peer_listen is missing; fleet membership requires it"
            }
        }) {
            Process process = start(
                    0, invalidConfig[0], ProcessBuilder.Redirect.to(errors.toFile()), "--fleet", fleetFile.toString());
            assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
            assertEquals(invalidConfig[1] + "\n", Files.readString(errors));
        }
        assertEquals(
                "2\nmulleinfront: " + fleetFile + ":4: helpers: must be 10 at most\n",
                runCommand("fleet", "check", fleetFile.toString()));
        assertTrue(runCommand("fleet", "check", "deploy/fleet.toml").startsWith("0\nfleet factoring: "));
        for (String[] invalidLine : new String[][] {
            {"period = \"1ms\"", "2: period: must be from 20ms to 60s"},
            {"perod = \"1s\"", "2: perod: unknown key"},
            {"datagrams = 64", "2: datagrams: '64' is not a rate: it must be a number per second, such as \"240/s\""},
            {"answer = \"700ms\"", "2: answer: must be from 1us to 599999us"},
            {"gone-after = \"2s\"", "2: gone-after: must be from 10s up"},
            {"accusers = nan", "2: accusers: must be a plain number, 0 or more"}
        }) {
            Files.writeString(fleetFile, "fleet = \"a\"\n" + invalidLine[0] + "\n");
            assertEquals(
                    "2\nmulleinfront: " + fleetFile + ":" + invalidLine[1] + "\n",
                    runCommand("fleet", "check", fleetFile.toString()));
        }
        Files.writeString(fleetFile, "period = \"1s\"\n");
        assertEquals(
                "2\nmulleinfront: " + fleetFile + ":1: : missing fleet\n",
                runCommand("fleet", "check", fleetFile.toString()));
    }

    @Test
    void withoutAFleetNoFleetClassesAreLoaded() throws Exception {
        configureFleet("");
        Path loaded = folder.resolve("loaded");
        Path configFile = Files.writeString(folder.resolve("n0.json"), proxyConfig(0));
        List<String> command = new ArrayList<>(ServeTest.serveCommand());
        command.add(1, "-Xlog:class+load:file=" + loaded);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("NODE_CONFIG", configFile.toString());
        processes[0] = builder.start();
        awaitHealth(0);
        assertTrue(membersOutput(0).startsWith("1\nmulleinfront: this client proxy is in no fleet"), membersOutput(0));
        processes[0].destroy();
        assertTrue(processes[0].waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        String classes = Files.readString(loaded, StandardCharsets.UTF_8);
        assertTrue(classes.contains("mulleinfront.proxy.ClientProxy"));
        for (String forbidden : List.of(
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
                    classes.contains(forbidden),
                    forbidden + ": "
                            + classes.lines()
                                    .filter(line -> line.contains(forbidden))
                                    .findFirst());
        }
    }
}
