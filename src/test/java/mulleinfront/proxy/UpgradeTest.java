package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process replaced under load, as a platform does that holds the listening socket. Java can't hand a socket to a
 * process that it starts, so a few lines of Perl are the platform: they listen, and start what they are told with
 * that socket as descriptor 0.
 */
class UpgradeTest {
    private static final String PLATFORM = """
            use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die;
            bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die; listen($s, 1024) or die;
            my ($port) = sockaddr_in(getsockname($s)); print "$port\\n";
            while (my $line = <STDIN>) {
                chomp $line; my $pid = fork();
                if (!$pid) { open(STDIN, '<&', $s) or die; exec('/bin/sh', '-c', "exec $line"); }
                print "$pid\\n";
            }
            """;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<ProcessHandle> started = new ArrayList<>();
    private Process platform;
    private BufferedReader told;
    private int port;

    private void listen() throws IOException {
        platform = new ProcessBuilder("perl", "-e", PLATFORM)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        told = new BufferedReader(new InputStreamReader(platform.getInputStream(), StandardCharsets.US_ASCII));
        port = Integer.parseInt(told.readLine());
    }

    /** Starts the program with the socket; returns its process. */
    private ProcessHandle start(String name, int management, Discovery discovery, String known) throws Exception {
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                Peers.config(port, discovery.server.address(), "", known)
                        .replace(
                                "{\"name\":\"n0\"",
                                "{\"name\":\"n0\",\"management\":\"127.0.0.1:" + management + "\""));
        String command = "env NODE_INHERITED_FD=0 NODE_CONFIG='" + config + "' '"
                + String.join("' '", ServeTest.command()) + "'\n";
        platform.getOutputStream().write(command.getBytes(StandardCharsets.UTF_8));
        platform.getOutputStream().flush();
        ProcessHandle process =
                ProcessHandle.of(Long.parseLong(told.readLine())).orElseThrow();
        started.add(process);
        return process;
    }

    private void awaitHealth(int management) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.PATIENCE_S);
        String answer = "";
        while (System.nanoTime() < end) {
            try {
                answer = "" + OperatedTest.call(management, "health\n");
                if (answer.equals("+OK serving")) {
                    return;
                }
                assertTrue(answer.equals("-ERR starting") || answer.equals("null"), answer);
            } catch (IOException e) {
                // not listening, or between the rehearsal and the real one
            }
            Thread.sleep(5);
        }
        throw new AssertionError("never healthy: " + answer);
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        started.forEach(ProcessHandle::destroyForcibly);
        if (platform != null) {
            platform.destroyForcibly().waitFor();
        }
    }

    @Test
    void aNewProcessTakesOverUnderLoadAndNoRequestIsTurnedBack() throws Exception {
        Server host = new Server(s -> s.served(s.message().header("x-request-id")));
        Discovery discovery = new Discovery();
        open.add(host);
        open.add(discovery);
        String known = Peers.list(1, true, Peers.host("s0", host.address(), "in_service"));
        listen();
        int oldDoor = ServeTest.freePort();
        ProcessHandle old = start("old", oldDoor, discovery, known);
        awaitHealth(oldDoor);
        AtomicBoolean enough = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        Queue<String> wrong = new ConcurrentLinkedQueue<>();
        List<Thread> load = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            load.add(new Thread(() -> {
                while (!enough.get()) {
                    String id = "r" + sent.incrementAndGet();
                    try (Client client = new Client(port)) {
                        String text = client.unsafe(id, 20_000).read().text();
                        if (!text.equals(id)) {
                            wrong.add(id + " got " + text);
                        }
                    } catch (IOException e) {
                        wrong.add(id + " " + e);
                    }
                }
            }));
        }
        load.forEach(Thread::start);
        int newDoor = ServeTest.freePort();
        ProcessHandle next = start("new", newDoor, discovery, known);
        awaitHealth(newDoor);
        assertTrue(old.isAlive());
        old.destroy();
        old.onExit().get(Peers.PATIENCE_S, TimeUnit.SECONDS);
        int whenOldEnded = sent.get();
        while (sent.get() < whenOldEnded + 200 && wrong.isEmpty()) {
            Thread.sleep(5);
        }
        enough.set(true);
        for (Thread one : load) {
            one.join();
        }
        assertEquals(List.of(), List.copyOf(wrong));
        // Its port may have been another's discovery a moment ago: what has no id is nobody's request.
        List<String> ids = host.seen.stream()
                .map(s -> s.message().header("x-request-id"))
                .filter(Objects::nonNull)
                .toList();
        assertEquals(sent.get(), ids.size(), "each sent once");
        assertEquals(sent.get(), new HashSet<>(ids).size(), "each sent once");
        assertTrue(next.isAlive());
        assertFalse(old.isAlive());
    }

    @Test
    void whatWasNotInheritedIsSaidInOneLine() throws Exception {
        for (String descriptor : List.of("7", "0")) {
            Path errors = folder.resolve("errors");
            Path config = folder.resolve("config.json");
            Files.writeString(config, Peers.config(1, "127.0.0.1:1", "", "null"));
            ProcessBuilder builder = new ProcessBuilder(ServeTest.command()).redirectError(errors.toFile());
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("NODE_INHERITED_FD", descriptor);
            Process process = builder.start();
            assertTrue(process.waitFor(Peers.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
            assertEquals(
                    descriptor.equals("7")
                            ? "mulleinfront: NODE_INHERITED_FD: only descriptor 0 can be taken up, not 7\n"
                            : "mulleinfront: NODE_INHERITED_FD: descriptor 0 is no listening socket\n",
                    Files.readString(errors));
        }
    }
}
