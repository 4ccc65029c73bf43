package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** Clients that do what the protocol does not ask of them. */
class BadClientsTest extends ProxyRig {
    @Test
    void manyIdleClientsLeaveRoomForTheRest() throws Exception {
        // Guards the limit on descriptors: beyond the most, connections wait, and are served when some go.
        start("");
        module.onRequest = r -> module.actions.fail(r.id());
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            idle.add(client());
        }
        Client last = client().unsafe("id1", 20_000);
        last.socket.setSoTimeout(300);
        assertThrows(SocketTimeoutException.class, last::read, "beyond the most, one waits");
        last.socket.setSoTimeout((int) Peers.PATIENCE_S * 1000);
        for (Client c : idle) {
            c.close();
        }
        assertEquals(502, last.read().status());
    }

    @Test
    void aClientThatLeavesTakesItsAttemptAlong() throws Exception {
        Server host = host(s -> { });
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("id1", 20_000);
        Seen seen = Peers.next(host.seen, "the request");
        client.close();
        assertEquals("id1", Peers.next(module.gone, "the client's leaving"));
        AttemptEnd end = Peers.next(module.ends, "the end");
        assertEquals(Outcome.CANCELED, end.outcome());
        assertTrue(end.requestDone());
        seen.awaitEnd();
    }

    @Test
    void badInputNeverReachesAHost() throws Exception {
        start("");
        module.onRequest = r -> {
            throw new AssertionError("told of " + r);
        };
        String head = "Host: h\r\nX-Request-Id: a\r\nX-Class: unsafe\r\n";
        assertEquals(400, client().write("nonsense\r\n\r\n").read().status());
        assertEquals(404, client().write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        assertEquals(400, client().write("POST /api HTTP/1.1\r\nHost: h\r\n\r\n").read().status(), "no id");
        String post = "POST /api HTTP/1.1\r\n" + head;
        assertEquals(400, client().write(post + "\r\n").read().status(), "no deadline");
        assertEquals(400, client().write(post + "X-Deadline-Ms: soon\r\n\r\n").read().status());
        assertEquals(400, client().write("GET /api HTTP/1.1\r\n" + head + "X-Deadline-Ms: 9\r\n\r\n").read()
                .status(), "an unsafe GET");
        assertEquals(400, client().write(post + "X-Deadline-Ms: 9\r\nX-Tenant: ?\r\n\r\n").read().status());
        assertEquals(400, client().write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: ?\r\n"
                + "X-Deadline-Ms: 9\r\n\r\n").read().status());
        assertEquals(413, client().write(post + "X-Deadline-Ms: 9\r\n"
                + "Content-Length: 65537\r\n\r\n").read().status());
        module.onRequest = r -> module.actions.fail(r.id());
        assertEquals(502, client().unsafe("id1", 20_000).read().status(), "and it serves on");
    }

    @Test
    void requestsSentAheadAreAnsweredInOrder() throws Exception {
        Server host = host(s -> s.served(s.message().header("x-request-id")));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().unsafe("a", 20_000).unsafe("b", 20_000).unsafe("c", 20_000);
        for (String id : List.of("a", "b", "c")) {
            assertEquals(id, client.read().text());
        }
    }
}
