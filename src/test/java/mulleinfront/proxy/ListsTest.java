package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/**
 * Lists in every form and cut at every byte, watches that end instead of telling, and moves while discovery
 * is down.
 */
class ListsTest extends ProxyRig {
    private static void chunk(Seen watch, String text) {
        if (!text.isEmpty()) {
            watch.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private static String indented(String list, String end) {
        return list.replace("{", "{" + end + "  ")
                .replace(",", "," + end + "\t")
                .replace("}", end + "}")
                .replace("\":", "\" : ");
    }

    @Test
    void everyFormOfAListIsReadCutAtEveryByte() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        int version = 1;
        for (boolean full : new boolean[] {true, false}) {
            String plain = Peers.list(99, full, Peers.host("s", "127.0.0.1:1", "terminating"));
            // What the page doesn't name may come, with brackets in its strings.
            String more = "\"more\":{\"a}\":[1,\"]{\\\"\"]},\"cell\"";
            for (String form : List.of(
                    plain + "\n",
                    plain,
                    indented(plain, "\n") + "\n",
                    indented(plain, "\r\n") + "\r\n",
                    "\n\n" + plain + "\n\n")) {
                for (int cut = 0; cut <= form.length() + more.length(); cut++) {
                    String list = form.replace("\"cell\"", more).replaceFirst("99", String.valueOf(1000 + ++version));
                    int at = Math.min(cut, list.length());
                    chunk(watch, list.substring(0, at));
                    chunk(watch, list.substring(at));
                    assertEquals(
                            (full ? "FULL" : "DELTA") + " [s 1 DRAINING]",
                            Peers.next(module.lists, "cut at " + cut),
                            "cut at " + cut + " of " + form);
                }
            }
        }
        assertTrue(module.lists.isEmpty(), "each was told once");
    }

    /** A module that asks again at once whenever a call or watch has failed. */
    private void askAgain() {
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.send(r.id(), "s", 0);
        };
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.refuse(e.requestId(), 0);
            }
        };
    }

    @Test
    void aWatchThatEndsInsteadOfTellingIsAskedForAndWhatTheWholeListLacksIsGone() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(seen -> {
            out.add(seen);
            seen.served("x");
        });
        start("", Peers.host("s", host.address(), "in_service"));
        Seen watch = discovery.asked();
        Discovery.push(watch, "");
        askAgain();
        watch.write("0\r\n\r\n");
        assertEquals("failed", Peers.next(module.lists, "the end"));
        // The module asks with its next request, which goes out by the list it still has.
        assertEquals(200, client().unsafe("id1", 20_000).read().status());
        Seen again = discovery.asked();
        assertTrue(again.message().first().contains("after=1 "), again.message().first());
        Discovery.push(again, Peers.list(2, true, Peers.host("t", host.address(), "in_service")));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the whole list"));
        assertEquals(503, client().unsafe("id2", 20_000).read().status(), "it answers still, and is gone");
        assertEquals(1, out.size());
    }

    private void move(String address) throws Exception {
        proxy.reload(Config.parse(Peers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void aMoveToADiscoveryThatIsDownIsAFailedCallAndADrainToldUponItsReturnHolds() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(seen -> {
            out.add(seen);
            seen.served("x");
        });
        start("", Peers.host("s", host.address(), "in_service"));
        Seen before = discovery.asked();
        // Down before the move, too: the old watch ends first.
        before.reset();
        assertEquals("failed", Peers.next(module.lists, "the old one's end"));
        int port;
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = taken.getLocalPort();
        }
        askAgain();
        move("127.0.0.1:" + port);
        assertEquals("failed", Peers.next(module.lists, "the new one is down"));
        Discovery other = keep(new Discovery());
        move(other.server.address());
        Seen moved = other.asked();
        Discovery.push(moved, Peers.list(1, true, Peers.host("s", host.address(), "terminating")));
        assertEquals("FULL [s 1 DRAINING]", Peers.next(module.lists, "the drain, told at once"));
        assertEquals(503, client().unsafe("id1", 20_000).read().status());
        assertEquals(0, out.size(), "nothing went to the host that drains");
        // And down after it: the list holds, drain and all.
        moved.reset();
        assertEquals("failed", Peers.next(module.lists, "its end"));
        assertEquals(503, client().unsafe("id2", 20_000).read().status());
        assertEquals(0, out.size());
        assertEquals(0, discovery.server.seen.size(), "the old one is not asked any more");
    }
}
