package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import org.junit.jupiter.api.Test;

/** How connections of clients end, and what meets their end: nothing is lost to a reset, nothing late is sent on. */
class ClosingTest extends ProxyRig {
    private static String get(String id, String headers) {
        return "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n"
                + headers + "\r\n";
    }

    /**
     * Not by a reset, which could take along what came before: what the client says after the end is still read for
     * a while. Only this machine's being so slow that the while is over excuses a reset.
     */
    private static void endsWell(Client client) throws Exception {
        assertEquals(-1, client.in.read(), "the end of what it says, and no reset");
        long at = System.nanoTime();
        try {
            for (int i = 0; i < 10; i++) {
                client.write("G");
                Thread.sleep(2);
            }
        } catch (SocketException reset) {
            assertTrue(System.nanoTime() - at > TimeUnit.MILLISECONDS.toNanos(200), reset.toString());
        }
    }

    @Test
    void whatAClientSentTooMuchResetsNoAnswer() throws Exception {
        // Guards rule 1: a close over bytes that nobody has read is a reset, and may overtake the answer.
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        StringBuilder much = new StringBuilder(get("first", "Connection: close\r\n"));
        for (int i = 0; i < 2_000; i++) {
            much.append(get("more" + i, "X-Pad: " + "p".repeat(500) + "\r\n"));
        }
        Client client = client().write(much.toString());
        Peers.next(out, "the first request").served("mine");
        assertEquals("mine", client.read().text());
        endsWell(client);
        client.close();
        Client other = client().safe("other", 20_000);
        Peers.next(out, "another's request").served("x");
        assertEquals(200, other.read().status());
        assertTrue(out.isEmpty(), "nothing of what followed was sent on");
    }

    @Test
    void aRequestThatCrossesTheEndOfItsConnectionIsNotSentOn() throws Exception {
        // Guards rule 1: the client takes it for unread and asks anew; sent on, it would run twice.
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().write(get("last", "Connection: close\r\n"));
        assertEquals(200, client.read().status());
        assertEquals(-1, client.in.read(), "the end");
        client.unsafe("late", 20_000);
        client.socket.shutdownOutput();
        assertEquals("last", Peers.next(host.seen, "the one").message().header("x-request-id"));
        assertEquals(200, client().safe("after", 20_000).read().status());
        assertEquals("after", Peers.next(host.seen, "the next").message().header("x-request-id"));
    }

    @Test
    void aRestingConnectionEndsWithoutAReset() throws Exception {
        Server host = host(s -> s.served("x"));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Client client = client().safe("a", 20_000);
        assertEquals(200, client.read().status());
        endsWell(client);
        // Half of another request comes in that moment: it is read and dropped.
        client.write("GET /api HTTP/1.1\r\nX-Requ");
        client.socket.shutdownOutput();
        assertEquals(200, client().safe("b", 20_000).read().status());
    }

    /** Once it has ended nothing more is taken: a half request's time is over then and no sooner. */
    private Client half() throws Exception {
        return client().write("GET /api HTTP/1.1\r\nX-Requ");
    }

    @Test
    void aClientThatLeavesDuringTheDrainIsMissed() throws Exception {
        // Guards against a request sent on for nobody: reading had stopped, and only a read shows the leaving.
        start("");
        BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        module.onRequest = r -> taken.add(r.id());
        Client half = half();
        Client stays = client().safe("stays", 20_000);
        Peers.next(taken, "the one that stays");
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(client().safe("id" + i, 20_000));
            Peers.next(taken, "request " + i);
        }
        proxy.drain();
        endsWell(half);
        for (Client one : waiting) {
            one.close();
        }
        // Whoever stays is told at the end of the drain's time, and whoever left has gone before that.
        for (int i = 0; i < 20; i++) {
            assertTrue(Peers.next(module.gone, "leaving " + i).startsWith("id"), "leaving " + i);
        }
        assertEquals(503, stays.read().status());
        assertEquals("stays", Peers.next(module.gone, "the end of the one that stayed"));
    }

    @Test
    void aClientThatLeavesBehindMuchThatItSentIsMissed() throws Exception {
        start("");
        BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        module.onRequest = r -> taken.add(r.id());
        StringBuilder much = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            much.append(get("id" + i, "X-Pad: " + "p".repeat(1_000) + "\r\n"));
        }
        Client client = client().write(much.toString());
        assertEquals("id0", Peers.next(taken, "the first"));
        Client stays = client().safe("stays", 5_000);
        assertEquals("stays", Peers.next(taken, "the one that stays"));
        client.close();
        assertEquals("id0", Peers.next(module.gone, "its leaving, long before the other's time is up"));
        assertEquals(503, stays.read().status());
        assertNull(taken.poll(), "what it had sent besides was never begun");
    }

    @Test
    void anAnswerThatIsBeingWrittenIsNotCutOffByTheDrain() throws Exception {
        // Guards rule 1: it looked like a resting connection, which the drain closes.
        String much = "x".repeat(Framing.MOST_BODY);
        Server host = host(s -> s.served(much));
        start("", Peers.host("s", host.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        int count = 70;
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(get("i" + i, ""));
        }
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(8 * 1024);
            slow.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            slow.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port()));
            slow.getOutputStream().write(all.toString().getBytes(StandardCharsets.US_ASCII));
            int before;
            do {
                before = host.seen.size();
                Thread.sleep(200);
            } while (before == 0 || host.seen.size() > before);
            assertTrue(before < count, "all was written to a client that reads nothing");
            Client half = half();
            proxy.drain();
            endsWell(half);
            InputStream in = new BufferedInputStream(slow.getInputStream());
            Message last = null;
            for (int i = 0; i < count; i++) {
                last = Peers.read(in);
                assertEquals(much.length(), last.body().length);
            }
            assertEquals("close", last.header("connection"));
            assertEquals(-1, in.read());
        }
    }
}
