package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Deaf;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Two events that meet, in the order that the test gives them: hosts and their connections. */
class CrossingsTest extends ProxyRig {
    /** A request of the keyed class. */
    private static Client keyed(Client client, String id) throws Exception {
        return client.write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: keyed\r\nX-Deadline-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
    }

    @Test
    void aRepeatWhoseConnectionComesUpAfterTheWindowIsNotSent() throws Exception {
        // Guards rule 2: the window was open when the repeat was decided, and closed when it could be written.
        long windowMs = 400;
        Server first = host(Seen::reset);
        try (Deaf second = new Deaf()) {
            start("", c -> c.replace("\"dedupWindowUs\":20000000", "\"dedupWindowUs\":" + windowMs * 1000),
                    Peers.host("s", first.address(), "in_service"), Peers.host("t", second.address(), "in_service"));
            module.onRequest = r -> module.actions.send(r.id(), "s", 0);
            module.onEnd = e -> {
                if (e.attempt() == 0) {
                    module.actions.send(e.requestId(), "t", 0);
                } else {
                    module.actions.fail(e.requestId());
                }
            };
            Client client = keyed(client(), "id1");
            assertEquals(Outcome.RESET, Peers.next(module.ends, "the first's end").outcome());
            long closesAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(windowMs);
            while (System.nanoTime() < closesAt) {
                Thread.onSpinWait();
            }
            second.hear();
            assertEquals(Outcome.IGNORED, Peers.next(module.ends, "the second's end").outcome());
            assertEquals(502, client.read().status(), "it may have run: no refusal");
            assertTrue(second.silent(), "nothing was written");
        }
    }

    @Test
    void aHostThatMovesWhileAConnectionToItComesUpIsReachedWhereItIs() throws Exception {
        // Guards rule 3: nobody that the list names is at the old address any more.
        Server after = host(s -> s.served("there"));
        try (Deaf before = new Deaf()) {
            start("", Peers.host("s", before.address(), "in_service"));
            Seen watch = discovery.asked();
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            module.onRequest = r -> {
                module.actions.send(r.id(), "s", 0);
                sent.add(r.id());
            };
            Client client = client().unsafe("id1", 20_000);
            Peers.next(sent, "the decision");
            Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
            assertEquals("DELTA [s 1 READY]", Peers.next(module.lists, "the move"));
            before.hear();
            assertEquals("there", client.read().text());
            assertTrue(before.silent(), "nothing was written to the old address");
            AttemptEnd end = Peers.next(module.ends, "the end");
            assertEquals(Outcome.OK, end.outcome());
            assertEquals(0, end.attempt(), "of the one attempt");
        }
    }

    @Test
    void aConnectionInUseWhileItsHostMovesIsNotUsedAgain() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server before = host(out::add);
        Server after = host(s -> s.served("there"));
        start("", Peers.host("s", before.address(), "in_service"));
        Seen watch = discovery.asked();
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("id1", 20_000);
        Seen open = Peers.next(out, "the request");
        Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
        assertEquals("DELTA [s 1 READY]", Peers.next(module.lists, "the move"));
        open.served("here");
        assertEquals("here", client.read().text(), "what was out is served");
        open.awaitEnd();
        assertEquals("there", client.unsafe("id2", 20_000).read().text());
        assertEquals(1, before.seen.size());
    }
}
