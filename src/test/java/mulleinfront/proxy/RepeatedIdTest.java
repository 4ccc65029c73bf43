package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An id that comes again while its request may still run, at the deployed process. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class RepeatedIdTest {
    private static final int DEADLINE_MS = 2_000;
    private static final int PAUSE_MS = 300;
    /** The platform's page: 0.1 s after the close, with 0.15 s for a process that is held up and 50 ms on sockets. */
    private static final int CLOSE_SEEN_MS = 300;

    @TempDir
    Path folder;

    private final Queue<ReceivedRequest> received = new ConcurrentLinkedQueue<>();
    private final List<AutoCloseable> resources = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private DeployedProxy start() throws Exception {
        Server[] servers = new Server[3];
        for (int i = 0; i < servers.length; i++) {
            // They run each request and never answer.
            servers[i] = new Server(received::add);
            resources.add(servers[i]);
        }
        DeployedProxy proxy = new DeployedProxy(folder, new DeployedProxy.Limits(192, 1_024, DEADLINE_MS), servers);
        resources.add(0, proxy);
        return proxy;
    }

    private static String request(String method, String requestClass, String headers) {
        return method + " /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: again\r\nX-Class: " + requestClass
                + "\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n" + headers + "\r\n";
    }

    private void awaitReceived(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (received.size() < count && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        assertEquals(count, received.size());
    }

    /** Guards against an effect that happens twice: the id comes again after its client has left. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "half-close"})
    void idOfAClientThatLeftIsNotSentAgainWhileItMayRun(String end) throws Exception {
        DeployedProxy proxy = start();
        String unsafe = request("POST", "unsafe", "Content-Length: 0\r\n");
        Client first = proxy.connect().write(unsafe);
        awaitReceived(1);
        if (end.equals("half-close")) {
            first.socket.shutdownOutput();
        } else {
            first.socket.setSoLinger(end.equals("reset"), 0);
            first.close();
        }
        Thread.sleep(PAUSE_MS);
        try (Client second = proxy.connect()) {
            assertEquals(400, second.write(unsafe).read().status());
        }
        first.close();
        assertEquals(1, received.size(), "sent once");
    }

    /** Guards against requests that are sent on for a client that has closed its connection with much still unread. */
    @ParameterizedTest
    @ValueSource(ints = {60, 20_000})
    void pipelinedRequestsAreNotBegunAfterTheirClientHasClosed(int count) throws Exception {
        DeployedProxy proxy = start();
        Client client = proxy.connect();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < count; i++) {
            pipelined.append(request("GET", "safe", "X-Number: " + i + "\r\n").replace("again", "id" + i));
        }
        client.write(pipelined.toString());
        client.close();
        Thread.sleep(CLOSE_SEEN_MS);
        int begunInTime = received.size();
        Thread.sleep(PAUSE_MS);
        assertEquals(begunInTime, received.size(), "nothing is begun later");
    }
}
