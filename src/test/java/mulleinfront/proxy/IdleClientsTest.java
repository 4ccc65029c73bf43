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
import mulleinfront.FreePorts;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idle clients use up the descriptors while discovery is unreachable. The whole program runs under a system limit that
 * equals the configured one, so that each client too many takes a descriptor from discovery or an endpoint.
 */
class IdleClientsTest {
    /** Descriptor limit in the configuration of {@link StandIns#configJson}. */
    private static final int DESCRIPTOR_LIMIT = 160;
    /** Descriptors left for clients besides those of the process and of connections to endpoints. */
    private static final int MAX_CLIENTS = (DESCRIPTOR_LIMIT - ClientProxy.RESERVED_SOCKETS) / 2;
    /** Attempts that the balancer has in flight, at most, at an endpoint that has not answered yet. */
    private static final int MAX_UNANSWERED_ATTEMPTS = 2;

    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Process process;
    private int port;

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

    private void startProxy(String discovery, String knownList) throws Exception {
        port = FreePorts.next();
        Path file = folder.resolve("config.json");
        Files.writeString(file, StandIns.configJson(port, discovery, "", knownList));
        // A test's JVM holds a descriptor for each class path entry; the deployed program has a single jar.
        int limit = DESCRIPTOR_LIMIT + System.getProperty("java.class.path").split(File.pathSeparator).length;
        List<String> command =
                new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + limit + " && exec \"$@\"", "sh"));
        command.addAll(ServeTest.serveCommand());
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

    /** Opens more idle connections than the proxy has descriptors for. */
    private void floodConnections() throws IOException {
        for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
            closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }

    private long openSockets() throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return descriptors
                    .filter(fd -> {
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
     * Sends a request, and sends it again if its connection is closed before it is read, as may happen in a connection
     * flood; more idle connections are opened before each try.
     */
    private Message sendUntilRead(String idPrefix) throws Exception {
        for (int i = 0; ; i++) {
            floodConnections();
            try (Client client = new Client(port)) {
                return client.getSafe(idPrefix + "-" + i, 20_000).read();
            } catch (IOException e) {
                assertTrue(i < 20 && process.isAlive(), "closed repeatedly before the request was read: " + e);
            }
        }
    }

    @Test
    void returningDiscoveryAndItsEndpointsAreReached() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server oldServer = closeAfterTest(new Server(received::add));
        Server newServer = closeAfterTest(new Server(request -> request.respondOk("fresh")));
        DiscoveryStandIn firstDiscovery = closeAfterTest(new DiscoveryStandIn());
        int discoveryPort = firstDiscovery.server.socket.getLocalPort();
        String list = StandIns.listJson(1, true, StandIns.endpointJson("old", oldServer.address(), "in_service"));
        startProxy(firstDiscovery.server.address(), list);
        ReceivedRequest watch = firstDiscovery.acceptWatch();
        DiscoveryStandIn.push(watch, list);

        // Some clients have a request in flight at an endpoint before the connection flood.
        List<Client> busy = new ArrayList<>();
        List<ReceivedRequest> inFlight = new ArrayList<>();
        for (int i = 0; i < MAX_UNANSWERED_ATTEMPTS; i++) {
            busy.add(closeAfterTest(new Client(port)).getSafe("busy" + i, 20_000));
        }
        for (int i = 0; i < busy.size(); i++) {
            inFlight.add(StandIns.awaitNext(received, "request " + i + " of those in flight"));
        }
        firstDiscovery.close();
        floodConnections();
        // A new client's response means that all earlier connections have been accepted, or closed to make room.
        Client last = closeAfterTest(new Client(port)).write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
        long maxSockets = 0;
        while (last.in.available() == 0) {
            maxSockets = Math.max(maxSockets, openSockets());
        }
        assertEquals(404, last.read().status());
        assertTrue(
                maxSockets <= MAX_CLIENTS + ClientProxy.RESERVED_SOCKETS,
                maxSockets + " sockets: nothing is left for others");

        try (ServerSocket returnedDiscovery = new ServerSocket(discoveryPort, 50, InetAddress.getLoopbackAddress())) {
            floodConnections();
            returnedDiscovery.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StandIns.TIMEOUT_S));
            Socket watchConnection = closeAfterTest(returnedDiscovery.accept());
            floodConnections();
            assertTrue(
                    StandIns.read(watchConnection.getInputStream()).startLine().startsWith("GET /api/targets"));
            String update = StandIns.listJson(
                            2,
                            true,
                            StandIns.endpointJson("old", oldServer.address(), "terminating"),
                            StandIns.endpointJson("fresh", newServer.address(), "in_service"))
                    + "\n";
            watchConnection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(update.length()) + "\r\n" + update + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            floodConnections();
            inFlight.forEach(request -> request.respondOk("old"));
            for (Client client : busy) {
                assertEquals("old", client.read().text(), "requests in flight on old connections are served");
            }
            // The list may not have been read yet; once it has, nothing is sent to the draining endpoint.
            Message answer;
            for (int i = 0; !(answer = sendUntilRead("new" + i)).text().equals("fresh"); ) {
                i++;
                assertTrue(i < 20, "the new endpoint is never reached: " + answer.startLine());
            }
        }
    }
}
