package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.proxy.StandIns.FullBacklogEndpoint;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** Discovery calls that are answered after their timeout. */
class LateDiscoveryAnswerTest extends ProxyTestBase {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long SHORT_TIMEOUT_US = 300_000;

    /** The first call, after it has been reported as failed; each request makes the next one. */
    private ReceivedRequest firstTimedOutCall() throws Exception {
        startProxy("");
        return timedOutCall();
    }

    private ReceivedRequest timedOutCall() throws Exception {
        balancer.onRequest = request -> {
            balancer.actions.subscribe(SHORT_TIMEOUT_US);
            balancer.actions.fail(request.id());
        };
        ReceivedRequest call = StandIns.awaitNext(discovery.server.received, "a call");
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "its timeout"));
        return call;
    }

    private ReceivedRequest nextTimedOutCall(String requestId) throws Exception {
        connectClient().postUnsafe(requestId, 20_000).read();
        return timedOutCall();
    }

    private static void answer(ReceivedRequest call, int version) {
        call.write(HEAD);
        DiscoveryStandIn.push(call, StandIns.listJson(version, true));
    }

    /** Guards against never having a list where discovery takes longer for an answer than a call's timeout. */
    @Test
    void answerAfterTheTimeoutIsAccepted() throws Exception {
        ReceivedRequest call = firstTimedOutCall();
        answer(call, 7);
        assertEquals("answered late", StandIns.awaitNext(balancer.listEvents, "the answer"));
        assertEquals("FULL []", StandIns.awaitNext(balancer.listEvents, "the list"));
        DiscoveryStandIn.push(call, StandIns.listJson(8, false));
        assertEquals("DELTA []", StandIns.awaitNext(balancer.listEvents, "a change on the same watch"));
        connectClient().postUnsafe("id1", 20_000).read();
        assertEquals(0, discovery.server.received.size(), "the watch is open, so that no call is made");
        call.reset();
        assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the end of the watch"));
    }

    @Test
    void answerAfterTheTimeoutReplacesTheCallInProgress() throws Exception {
        ReceivedRequest first = firstTimedOutCall();
        balancer.onRequest = request -> {
            balancer.actions.subscribe();
            balancer.actions.fail(request.id());
        };
        connectClient().postUnsafe("id1", 20_000).read();
        ReceivedRequest second = StandIns.awaitNext(discovery.server.received, "the second call");
        answer(first, 7);
        assertEquals("answered late", StandIns.awaitNext(balancer.listEvents, "the answer"));
        assertEquals("FULL []", StandIns.awaitNext(balancer.listEvents, "the list"));
        second.awaitConnectionEnd();
        assertTrue(balancer.listEvents.isEmpty(), "the end of the second call is no failure");
    }

    @Test
    void answerOfALaterCallClosesTheTimedOutOne() throws Exception {
        ReceivedRequest first = firstTimedOutCall();
        connectClient().postUnsafe("id1", 20_000).read();
        ReceivedRequest second = StandIns.awaitNext(discovery.server.received, "the second call");
        answer(second, 7);
        assertEquals("FULL []", StandIns.awaitNext(balancer.listEvents, "the list"));
        first.awaitConnectionEnd();
        assertTrue(balancer.listEvents.isEmpty(), "the end of the first call is reported once");
    }

    /** Guards against collecting connections while discovery is silent. */
    @Test
    void onlyTheLastTimedOutCallStaysOpen() throws Exception {
        ReceivedRequest first = firstTimedOutCall();
        ReceivedRequest second = nextTimedOutCall("id1");
        first.awaitConnectionEnd();
        assertFalse(second.connectionEnded().isDone());
        ReceivedRequest third = nextTimedOutCall("id2");
        second.awaitConnectionEnd();
        third.respond(503, "", "");
        third.awaitConnectionEnd();
        assertTrue(balancer.listEvents.isEmpty(), "a call that has timed out does not fail again");
    }

    /** Guards against sending by a list that has expired: the poll limit counts from the start of an open call. */
    @Test
    void callIsClosedAtItsTimeoutWhereThePollLimitIsShort() throws Exception {
        startProxy("", config -> config.replace("\"askWithinUs\":10000000", "\"askWithinUs\":5000000"));
        timedOutCall().awaitConnectionEnd();
    }

    @Test
    void moveClosesATimedOutCall() throws Exception {
        ReceivedRequest call = firstTimedOutCall();
        DiscoveryStandIn other = closeAfterTest(new DiscoveryStandIn());
        String config = StandIns.configJson(0, other.server.address(), "", "null");
        proxy.reload(Config.parse(config.getBytes(StandardCharsets.UTF_8)));
        call.awaitConnectionEnd();
    }

    /** Guards against giving up each connection that takes longer than a second to come up. */
    @Test
    void connectionThatIsLateIsUsed() throws Exception {
        try (FullBacklogEndpoint slow = new FullBacklogEndpoint()) {
            String config = StandIns.configJson(0, slow.address(), "", StandIns.listJson(1, true));
            proxy = ClientProxy.start(
                    Config.parse(config.getBytes(StandardCharsets.UTF_8)), (settings, seed, now, actions) -> {
                        balancer.actions = actions;
                        actions.subscribe(TimeUnit.MILLISECONDS.toMicros(1_500));
                        return balancer;
                    });
            assertEquals("CACHED []", StandIns.awaitNext(balancer.listEvents, "the cached list"));
            assertEquals("failed", StandIns.awaitNext(balancer.listEvents, "the timeout of the call"));
            slow.acceptPending();
            assertTrue(slow.readHead().startLine().startsWith("GET /api/targets"));
            String list = StandIns.listJson(7, true) + "\n";
            slow.write(HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            assertEquals("answered late", StandIns.awaitNext(balancer.listEvents, "the answer"));
            assertEquals("FULL []", StandIns.awaitNext(balancer.listEvents, "the list"));
        }
    }
}
