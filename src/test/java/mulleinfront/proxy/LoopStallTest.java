package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Server;
import org.junit.jupiter.api.Test;

/** A request that arrived while the event loop stalled counts as old as the stall, not as new as its reading. */
class LoopStallTest extends ProxyTestBase {
    private static final long TICK_US = 100_000;
    private static final long DEADLINE_MS = 300;
    private static final long STALL_MS = 700;
    private final BlockingQueue<String> decidedRequests = new LinkedBlockingQueue<>();

    private static long nanos(long us) {
        return TimeUnit.MICROSECONDS.toNanos(us);
    }

    @Test
    void lateTickOrReadIsAStall() {
        LoopStall stall = new LoopStall(TICK_US, 0);
        assertEquals(0, stall.ageUs(nanos(TICK_US + LoopStall.MIN_STALL_US)), "within the slack");
        assertEquals(1_200_000, stall.ageUs(nanos(1_200_000)));
        stall.tick(nanos(1_201_000));
        assertEquals(
                1_200_000,
                stall.ageUs(nanos(1_202_000)),
                "data read shortly after the stall may be as old as the stall");
        assertEquals(0, stall.ageUs(nanos(1_250_000)), "data read later is not");
    }

    @Test
    void timelyTicksAreNoStall() {
        LoopStall stall = new LoopStall(TICK_US, 0);
        for (long us = TICK_US; us < 5_000_000; us += TICK_US) {
            stall.tick(nanos(us));
            assertEquals(0, stall.ageUs(nanos(us + 1)));
        }
    }

    /** Guards against an attempt after its client's deadline, which passes while the loop stalls. */
    @Test
    void requestExpiredDuringAStallIsRefusedAndNotSent() throws Exception {
        Server host = startServer(request -> request.respondOk("ok"));
        CountDownLatch stallStarted = new CountDownLatch(1);
        CountDownLatch requestWritten = new CountDownLatch(1);
        startProxy("", StandIns.endpointJson("s", host.address(), "in_service"));
        balancer.onRequest = request -> {
            decidedRequests.add(request.id());
            if (request.id().equals("stalls")) {
                stallStarted.countDown();
                stallAfter(requestWritten);
                balancer.actions.refuse(request.id(), 0);
            } else {
                balancer.actions.send(request.id(), "s", 0);
            }
        };
        Client first = connectClient().postUnsafe("stalls", 20_000);
        assertTrue(stallStarted.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        Client second = connectClient().postUnsafe("late", DEADLINE_MS);
        requestWritten.countDown();
        assertEquals(503, second.read().status());
        first.read();
        assertEquals("stalls", StandIns.awaitNext(decidedRequests, "the first decision"));
        assertEquals(0, decidedRequests.size(), "the late request was not passed to the balancer");
        assertEquals(0, host.received.size());
    }

    /** Stalls for longer than the second client waits, counted from when its request was written. */
    private static void stallAfter(CountDownLatch requestWritten) {
        try {
            requestWritten.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }
}
