package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.proxy.StandIns.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/**
 * Lists in every form and split at every byte, watches that end instead of sending an update, and moves while discovery
 * is unreachable.
 */
class ListsTest extends ProxyTestBase {
    private static void pushChunk(ReceivedRequest watch, String text) {
        if (!text.isEmpty()) {
            watch.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private static String indented(String list, String lineEnd) {
        return list.replace("{", "{" + lineEnd + "  ")
                .replace(",", "," + lineEnd + "\t")
                .replace("}", lineEnd + "}")
                .replace("\":", "\" : ");
    }

    @Test
    void everyListFormIsReadSplitAtEveryByte() throws Exception {
        startProxy("", StandIns.endpointJson("s", "127.0.0.1:1", "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        int version = 1;
        for (boolean full : new boolean[] {true, false}) {
            String compact = StandIns.listJson(99, full, StandIns.endpointJson("s", "127.0.0.1:1", "terminating"));
            // Unknown members are allowed, with brackets in their strings.
            String unknownMembers = "\"more\":{\"a}\":[1,\"]{\\\"\"]},\"cell\"";
            for (String form : List.of(
                    compact + "\n",
                    compact,
                    indented(compact, "\n") + "\n",
                    indented(compact, "\r\n") + "\r\n",
                    "\n\n" + compact + "\n\n")) {
                for (int splitAt = 0; splitAt <= form.length() + unknownMembers.length(); splitAt++) {
                    String list = form.replace("\"cell\"", unknownMembers)
                            .replaceFirst("99", String.valueOf(1000 + ++version));
                    int firstLength = Math.min(splitAt, list.length());
                    pushChunk(watch, list.substring(0, firstLength));
                    pushChunk(watch, list.substring(firstLength));
                    assertEquals(
                            (full ? "FULL" : "DELTA") + " [s 1 DRAINING]",
                            StandIns.awaitNext(balancer.listEvents, "split at " + splitAt),
                            "split at " + splitAt + " of " + form);
                }
            }
        }
        assertTrue(balancer.listEvents.isEmpty(), "each list was reported once");
    }

    /**
     * Makes the balancer subscribe and send an attempt on each request, and refuse the request if the attempt fails.
     */
    private void subscribeOnEachRequest() {
        balancer.onRequest = request -> {
            balancer.actions.subscribe();
            balancer.actions.send(request.id(), "s", 0);
        };
        balancer.onAttemptEnd = attemptEnd -> {
            if (!attemptEnd.requestDone()) {
                balancer.actions.refuse(attemptEnd.requestId(), 0);
            }
        };
    }

    @Test
    void endedWatchIsReopenedAndUnlistedEndpointsAreRemoved() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(request -> {
            received.add(request);
            request.respondOk("x");
        });
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        DiscoveryStandIn.push(watch, "");
        subscribeOnEachRequest();
        watch.write("0\r\n\r\n");
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the end"));
        // The balancer subscribes on its next request, which is sent by the current list.
        assertEquals(200, connectClient().postUnsafe("id1", 20_000).read().status());
        ReceivedRequest secondWatch = discovery.acceptWatch();
        assertTrue(
                secondWatch.message().startLine().contains("after=1 "),
                secondWatch.message().startLine());
        DiscoveryStandIn.push(
                secondWatch, StandIns.listJson(2, true, StandIns.endpointJson("t", host.address(), "in_service")));
        assertEquals("FULL [t 1 READY]", StandIns.awaitNext(balancer.listEvents, "the whole list"));
        assertEquals(
                503,
                connectClient().postUnsafe("id2", 20_000).read().status(),
                "no attempt is sent to an unlisted endpoint, although it still responds");
        assertEquals(1, received.size());
    }

    /**
     * Guards against requests to endpoints that have left: another discovery process came up at the address and numbers
     * its versions anew.
     */
    @Test
    void changesOfAnOlderVersionAreRejectedAndTheWholeListIsAskedFor() throws Exception {
        Server host = startServer(request -> request.respondOk("x"));
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        ReceivedRequest watch = discovery.acceptWatch();
        DiscoveryStandIn.push(
                watch, StandIns.listJson(40, true, StandIns.endpointJson("s", host.address(), "in_service")));
        assertEquals("FULL [s 1 READY]", StandIns.awaitNext(balancer.listEvents, "the first list"));
        subscribeOnEachRequest();
        watch.write("0\r\n\r\n");
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the end"));
        assertEquals(200, connectClient().postUnsafe("id1", 20_000).read().status());
        ReceivedRequest second = discovery.acceptWatch();
        assertTrue(second.message().startLine().contains("after=40 "));
        DiscoveryStandIn.push(
                second, StandIns.listJson(3, false, StandIns.endpointJson("s", host.address(), "terminating")));
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the rejected list"));
        assertEquals(200, connectClient().postUnsafe("id2", 20_000).read().status());
        ReceivedRequest third = discovery.acceptWatch();
        assertTrue(
                third.message().startLine().contains("?watch=1 "),
                third.message().startLine());
        DiscoveryStandIn.push(
                third, StandIns.listJson(3, true, StandIns.endpointJson("t", host.address(), "in_service")));
        assertEquals("FULL [t 1 READY]", StandIns.awaitNext(balancer.listEvents, "the whole list"));
    }

    private void moveDiscoveryTo(String address) throws Exception {
        proxy.reload(Config.parse(StandIns.configJson(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void moveToAnUnreachableDiscoveryFailsAndALaterDrainApplies() throws Exception {
        BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        Server host = startServer(request -> {
            received.add(request);
            request.respondOk("x");
        });
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        ReceivedRequest oldWatch = discovery.acceptWatch();
        // The old discovery fails before the move.
        oldWatch.reset();
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the end of the old watch"));
        int port;
        try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = reserved.getLocalPort();
        }
        subscribeOnEachRequest();
        moveDiscoveryTo("127.0.0.1:" + port);
        assertEquals("unreachable", StandIns.awaitNext(balancer.listEvents, "the failed call to the new address"));
        DiscoveryStandIn other = closeAfterTest(new DiscoveryStandIn());
        moveDiscoveryTo(other.server.address());
        ReceivedRequest newWatch = other.acceptWatch();
        DiscoveryStandIn.push(
                newWatch, StandIns.listJson(1, true, StandIns.endpointJson("s", host.address(), "terminating")));
        assertEquals("FULL [s 1 DRAINING]", StandIns.awaitNext(balancer.listEvents, "the drain, reported at once"));
        assertEquals(503, connectClient().postUnsafe("id1", 20_000).read().status());
        assertEquals(0, received.size(), "nothing was sent to the draining endpoint");
        // The other discovery fails after the move: the current list, including its drain, still applies.
        newWatch.reset();
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the end of its watch"));
        assertEquals(503, connectClient().postUnsafe("id2", 20_000).read().status());
        assertEquals(0, received.size());
        assertEquals(0, discovery.server.received.size(), "the old address is not called any more");
    }
}
