package mulleinfront;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Ports for listeners that are bound later, or closed and bound again. They are below the system's ephemeral range, so
 * that no outgoing connection takes one while nothing listens on it, and each is returned once.
 */
public final class FreePorts {
    private static final int FIRST = 20_000;
    private static final int LAST = 30_000;
    private static final int RELEASE_TIMEOUT_SECONDS = 20;
    private static final Set<Integer> RETURNED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /** A port of the loopback interface on which nothing listens. */
    public static int next() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
            if (isFree(port) && RETURNED.add(port)) {
                return port;
            }
        }
    }

    /** Waits until a closed listener has released its port: an event loop does so at its next selection only. */
    public static void awaitFree(int port) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(RELEASE_TIMEOUT_SECONDS);
        while (!isFree(port)) {
            if (System.nanoTime() - deadline >= 0) {
                throw new AssertionError("port " + port + " was not released");
            }
            Thread.onSpinWait();
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return probe.isBound();
        } catch (IOException inUse) {
            return false;
        }
    }
}
