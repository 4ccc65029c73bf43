package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idle clients fill the descriptors while discovery is down: the whole program, held by the system to the
 * limit that its configuration names, so that one too many of clients is one too few for discovery or a host.
 */
class IdleClientsTest {
    /** Descriptors that the configuration of {@link Peers#config} grants. */
    private static final int SOCKETS = 160;
    /** What is left of them for clients once the process and connections to hosts have theirs. */
    private static final int MOST_CLIENTS = (SOCKETS - ClientProxy.OWN_SOCKETS) / 2;
    /** The module has no more attempts out at a host of which it has had no answer yet. */
    private static final int OUT = 2;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private Process process;
    private int port;

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

    private void start(String discovery, String known) throws Exception {
        port = ServeTest.freePort();
        Path file = folder.resolve("config.json");
        Files.writeString(file, Peers.config(port, discovery, "", known));
        // The JVM of a test holds a descriptor for each part of its class path; the deployed one has one jar.
        int limit = SOCKETS + System.getProperty("java.class.path").split(File.pathSeparator).length;
        List<String> command =
                new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + limit + " && exec \"$@\"", "sh"));
        command.addAll(ServeTest.command());
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.start();
        for (int status = 0; status != 200; ) {
            try (Client client = new Client(port)) {
                status = client.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                        .read()
                        .status();
            } catch (IOException e) {
                assertTrue(process.isAlive(), "it ended before it was ready");
            }
        }
    }

    /** More connections than there is room for, on which nobody says anything. */
    private void crowd() throws IOException {
        for (int i = 0; i < SOCKETS; i++) {
            keep(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }

    private long sockets() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return all.filter(fd -> {
                        try {
                            return Files.readSymbolicLink(fd).toString().startsWith("socket");
                        } catch (IOException e) {
                            return false; // closed meanwhile
                        }
                    })
                    .count();
        }
    }

    /**
     * A request of a client that comes again where its connection is closed on unread, as may be in a crowd;
     * more of those that say nothing come before each try.
     */
    private Message ask(String id) throws Exception {
        for (int i = 0; ; i++) {
            crowd();
            try (Client client = new Client(port)) {
                return client.safe(id + "-" + i, 20_000).read();
            } catch (IOException e) {
                assertTrue(i < 20 && process.isAlive(), "closed on unread, again and again: " + e);
            }
        }
    }

    @Test
    void discoveryThatComesBackIsReachedAndSoAreTheHostsThatItNames() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server old = keep(new Server(out::add));
        Server fresh = keep(new Server(s -> s.served("fresh")));
        Discovery before = keep(new Discovery());
        int at = before.server.socket.getLocalPort();
        String list = Peers.list(1, true, Peers.host("old", old.address(), "in_service"));
        start(before.server.address(), list);
        Seen watch = before.asked();
        Discovery.push(watch, list);

        // Some have a request out at a host before the crowd comes.
        List<Client> busy = new ArrayList<>();
        List<Seen> open = new ArrayList<>();
        for (int i = 0; i < OUT; i++) {
            busy.add(keep(new Client(port)).safe("busy" + i, 20_000));
        }
        for (int i = 0; i < busy.size(); i++) {
            open.add(Peers.next(out, "request " + i + " of those that are out"));
        }
        before.close();
        crowd();
        // A new client's answer tells that all who came before it have been accepted, or closed to make room.
        Client last = keep(new Client(port)).write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
        long most = 0;
        while (last.in.available() == 0) {
            most = Math.max(most, sockets());
        }
        assertEquals(404, last.read().status());
        assertTrue(most <= MOST_CLIENTS + ClientProxy.OWN_SOCKETS, most + " sockets: nothing is left for others");

        try (ServerSocket back = new ServerSocket(at, 50, InetAddress.getLoopbackAddress())) {
            crowd();
            back.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Peers.PATIENCE_S));
            Socket call = keep(back.accept());
            crowd();
            assertTrue(Peers.read(call.getInputStream()).first().startsWith("GET /api/targets"));
            String now = Peers.list(
                            2,
                            true,
                            Peers.host("old", old.address(), "terminating"),
                            Peers.host("fresh", fresh.address(), "in_service"))
                    + "\n";
            call.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(now.length())
                                    + "\r\n" + now + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            crowd();
            open.forEach(s -> s.served("old"));
            for (Client client : busy) {
                assertEquals("old", client.read().text(), "what is out on old connections is served");
            }
            // Whether the list has been read by now is not known; a drain is not sent to once it has.
            Message answer;
            for (int i = 0; !(answer = ask("new" + i)).text().equals("fresh"); ) {
                i++;
                assertTrue(i < 20, "the new host is never reached: " + answer.first());
            }
        }
    }
}
