package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Answers that are spoilt, late or none, and what they prove. */
class BadHostsTest extends ProxyRig {
    @Test
    void anyOtherAnswerMayHaveRun() throws Exception {
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(500, "", "x"), 0).outcome());
    }

    @Test
    void a503WithoutTheMarkMayHaveRun() throws Exception {
        // Guards rule 2: a 503 from something in between says nothing of the host.
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(503, "", ""), 0).outcome());
    }

    @Test
    void turnedAwayIsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, outcome(Seen::notRun, 0).outcome());
    }

    @Test
    void turnedAwayBy504IsKnownNotToHaveRun() throws Exception {
        assertEquals(Outcome.QUEUE_FULL, outcome(s -> s.answer(504, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void aMarkOnAnErrorProvesNothing() throws Exception {
        assertEquals(Outcome.FAILED, outcome(s -> s.answer(500, "X-Not-Run: 1\r\n", ""), 0).outcome());
    }

    @Test
    void aResetAfterTheRequestMayHaveRun() throws Exception {
        assertEquals(Outcome.RESET, outcome(Seen::reset, 0).outcome());
    }

    @Test
    void anAnswerCutShortIsAReset() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            s.reset();
        }, 0).outcome());
    }

    @Test
    void anAnswerWithoutALengthThatIsResetIsNotServed() throws Exception {
        // Guards against serving half an answer: with no length only a clean close is an end.
        assertEquals(Outcome.RESET, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            s.reset();
        }, 0).outcome());
    }

    @Test
    void anAnswerWithoutALengthEndsWithItsConnection() throws Exception {
        assertEquals(Outcome.OK, outcome(s -> {
            s.write("HTTP/1.1 200 OK\r\n\r\nwhole");
            s.finish();
        }, 0).outcome());
    }

    @Test
    void garbageEndsTheAttemptOnly() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> s.write("\0\1garbage\r\n\r\n"), 0).outcome());
    }

    @Test
    void anOversizedAnswerEndsTheAttemptOnly() throws Exception {
        assertEquals(Outcome.RESET, outcome(s -> s.served("x".repeat(64 * 1024 + 1)), 0).outcome());
    }

    @Test
    void silenceTimesOutAndTheConnectionCloses() throws Exception {
        BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
        assertEquals(Outcome.TIMED_OUT, outcome(seen::add, 50_000).outcome());
        Peers.next(seen, "the request").awaitEnd();
    }

    @Test
    void anUnaskedSecondAnswerMeetsNoOtherRequest() throws Exception {
        // Guards against serving a request with what was made for another.
        Server host = host(s -> s.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.fail(e.requestId());
            }
        };
        client().unsafe("id1", 20_000).read();
        Peers.next(host.seen, "the request").awaitEnd();
        Message second = client().unsafe("id2", 20_000).read();
        assertFalse(second.text().equals("stray"), second.text());
    }
}
