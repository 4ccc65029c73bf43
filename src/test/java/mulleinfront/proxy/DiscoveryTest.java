package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.proxy.Peers.Seen;
import mulleinfront.proxy.Peers.Server;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** Lists of hosts, watches that fail, and a move to another discovery. */
class DiscoveryTest extends ProxyRig {
    @Test
    void listsReplaceOrAmendAndABrokenWatchIsAFailedCall() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        assertEquals(200, ready());
        Seen watch = discovery.asked();
        String asked = watch.message().first();
        assertTrue(asked.startsWith("GET /api/targets?watch=1&after=1 "), asked);
        Discovery.push(watch, Peers.list(2, true, Peers.host("t", "127.0.0.1:2", "in_service")));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the whole list"));
        Discovery.push(watch, "");
        Discovery.push(watch, Peers.list(3, false, Peers.host("t", "127.0.0.1:2", "terminated")));
        assertEquals("DELTA [t 1 GONE]", Peers.next(module.lists, "a change"));
        assertEquals(503, ready());
        Discovery.push(watch, "{\"version\":4,\"servers\":[{\"id\":7");
        assertEquals("failed", Peers.next(module.lists, "the bad line's failure"));
        watch.awaitEnd();
        assertEquals(0, discovery.server.seen.size(), "asked again only when the module says so");
        module.onRequest = r -> {
            module.actions.subscribe();
            module.actions.fail(r.id());
        };
        client().unsafe("id1", 20_000).read();
        Seen again = discovery.asked();
        assertTrue(again.message().first().contains("after=3 "), again.message().first());
        again.reset();
        assertEquals("failed", Peers.next(module.lists, "the break"));
        assertTrue(module.lists.isEmpty(), "each failure is told once");
    }

    @Test
    void pushedListsAreWatchedUnasked() throws Exception {
        // Guards deployments whose lists are pushed: there the module never asks, and is told of no failure.
        discovery = keep(new Discovery());
        startPushed("null");
        Seen watch = discovery.asked();
        assertTrue(
                watch.message().first().startsWith("GET /api/targets?watch=1 "),
                watch.message().first());
        watch.reset();
        Discovery.push(discovery.asked(), Peers.list(1, true));
        assertEquals("FULL []", Peers.next(module.lists, "the list"));
    }

    private void startPushed(String known) throws Exception {
        String config = Peers.config(0, discovery.server.address(), "", known).replace("subscribe", "automatic");
        proxy = ClientProxy.start(
                Config.parse(config.getBytes(StandardCharsets.UTF_8)), (settings, seed, now, actions) -> {
                    module.actions = actions;
                    return module;
                });
    }

    @Test
    void wherePushedTheAgentsListGoesBeforeTheOneOfTheConfiguration() throws Exception {
        // Guards rule 3: what the agent has counts as told from the first moment, and the other list may be old.
        Server drains = host(s -> s.served("x"));
        discovery = keep(new Discovery());
        startPushed(Peers.list(1, true, Peers.host("s", drains.address(), "in_service")));
        Seen watch = discovery.asked();
        assertEquals(503, ready(), "nothing is known yet");
        module.onRequest = r -> {
            module.actions.send(r.id(), "s", 0);
            module.actions.refuse(r.id(), 0);
        };
        assertEquals(503, client().unsafe("early", 20_000).read().status());
        Discovery.push(
                watch,
                Peers.list(
                        9,
                        true,
                        Peers.host("s", drains.address(), "terminating"),
                        Peers.host("t", drains.address(), "in_service")));
        assertEquals("FULL [s 1 DRAINING, t 1 READY]", Peers.next(module.lists, "the agent's list, as the first"));
        assertEquals(200, ready());
        assertEquals(503, client().unsafe("late", 20_000).read().status());
        assertEquals(0, drains.seen.size(), "nothing went to a host that drains");
    }

    @Test
    void anAgentThatIsSilentLeavesTheListOfTheConfiguration() throws Exception {
        // Discovery is down: the agent has learnt nothing, and a start must not wait for its return.
        discovery = keep(new Discovery());
        startPushed(Peers.list(1, true, Peers.host("s", "127.0.0.1:1", "in_service")));
        Peers.next(discovery.server.seen, "the watch that is not answered");
        assertEquals("CACHED [s 1 READY]", Peers.next(module.lists, "the list known"));
        assertEquals(200, ready());
    }

    @Test
    void aHostThatMovesIsReachedAnewAndOneThatDrainsIsLeft() throws Exception {
        Server before = host(s -> s.served("x"));
        Server after = host(s -> s.served("x"));
        start("", Peers.host("s", before.address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        Seen watch = discovery.asked();
        Client client = client();
        assertEquals(200, client.unsafe("id1", 20_000).read().status());
        Discovery.push(watch, Peers.list(2, false, Peers.host("s", after.address(), "in_service")));
        Peers.next(before.seen, "the first request").awaitEnd();
        assertEquals(200, client.unsafe("id2", 20_000).read().status());
        Discovery.push(watch, Peers.list(3, false, Peers.host("s", after.address(), "terminating")));
        Peers.next(after.seen, "the second request").awaitEnd();
    }

    @Test
    void changesThatComeLateUndoNoDrainAndHideNone() throws Exception {
        // Guards rule 3 against lists told out of order: each host goes by the newest version that named it.
        start("", Peers.host("s", "127.0.0.1:1", "in_service"), Peers.host("t", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        for (int version : new int[] {3, 6, 4, 2, 5}) {
            Discovery.push(
                    watch,
                    Peers.list(
                            version,
                            false,
                            Peers.host(
                                    version == 5 ? "t" : "s",
                                    "127.0.0.1:1",
                                    version >= 5 ? "terminating" : "in_service")));
        }
        for (String expected :
                List.of("DELTA [s 1 READY]", "DELTA [s 1 DRAINING]", "DELTA []", "DELTA []", "DELTA [t 1 DRAINING]")) {
            assertEquals(expected, Peers.next(module.lists, expected));
        }
    }

    @Test
    void aWholeListThatIsOlderThanWhatTheWatchToldUndoesNoDrain() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"), Peers.host("t", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        Discovery.push(
                watch,
                Peers.list(
                        5,
                        true,
                        Peers.host("s", "127.0.0.1:1", "terminating"),
                        Peers.host("t", "127.0.0.1:1", "in_service")));
        Discovery.push(watch, Peers.list(4, true, Peers.host("s", "127.0.0.1:1", "in_service")));
        Discovery.push(watch, Peers.list(6, false, Peers.host("t", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [s 1 DRAINING, t 1 READY]", Peers.next(module.lists, "the newer"));
        assertEquals("DELTA [t 1 READY]", Peers.next(module.lists, "what came after the older"));
    }

    @Test
    void aWholeListThatLacksAHostLeavesWhatIsOutThereAndSendsNothingNew() throws Exception {
        BlockingQueue<Seen> out = new LinkedBlockingQueue<>();
        Server host = host(out::add);
        start("", Peers.host("s", host.address(), "in_service"));
        Seen watch = discovery.asked();
        module.onRequest = r -> {
            module.actions.send(r.id(), "s", 0);
        };
        module.onEnd = e -> {
            if (!e.requestDone()) {
                module.actions.refuse(e.requestId(), 0);
            }
        };
        Client client = client().unsafe("id1", 20_000);
        Seen open = Peers.next(out, "the request");
        Discovery.push(watch, Peers.list(2, true));
        assertEquals("FULL []", Peers.next(module.lists, "the list that names nobody"));
        assertEquals(503, client().unsafe("id2", 20_000).read().status(), "nothing new goes there");
        assertEquals(503, ready());
        open.served("x");
        assertEquals(200, client.read().status(), "what was out is served");
        open.awaitEnd();
        assertEquals(1, host.seen.size());
    }

    @Test
    void theOldWatchsLastWordAfterAMoveIsNotHeard() throws Exception {
        Discovery other = keep(new Discovery());
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen old = discovery.asked();
        move(other.server.address());
        Seen moved = other.asked();
        Discovery.push(old, Peers.list(8, true, Peers.host("old", "127.0.0.1:1", "in_service")));
        old.awaitEnd();
        Discovery.push(moved, Peers.list(2, true, Peers.host("new", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [new 1 READY]", Peers.next(module.lists, "the new one's first, and nothing before"));
    }

    @Test
    void aSilentWatchIsAFailedCall() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        assertEquals("failed", Peers.next(module.lists, "the silence"));
        watch.awaitEnd();
    }

    private static void raw(Seen watch, String text) {
        watch.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String indented(String list) {
        return list.replace("{", "{\n  ")
                .replace(",", ",\n  ")
                .replace("}", "\n}")
                .replace("[", "[\n");
    }

    @Test
    void listsMayBeIndentedOverManyLines() throws Exception {
        // Guards rule 3: a watch framed by lines took each line of such a list for a broken one, and never heard of a
        // drain.
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        raw(watch, indented(Peers.list(2, true, Peers.host("s", "127.0.0.1:1", "in_service"))) + "\n");
        raw(watch, "\n");
        raw(watch, indented(Peers.list(3, false, Peers.host("s", "127.0.0.1:1", "terminating"))) + "\n\n");
        assertEquals("FULL [s 1 READY]", Peers.next(module.lists, "the whole list"));
        assertEquals("DELTA [s 1 DRAINING]", Peers.next(module.lists, "the drain"));
    }

    @Test
    void listsMayShareAReadOrComeByTheByte() throws Exception {
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        raw(
                watch,
                Peers.list(2, true, Peers.host("a}\\\"{b", "127.0.0.1:1", "in_service"))
                        + Peers.list(3, false, Peers.host("s", "127.0.0.1:1", "in_service")) + "\n");
        assertEquals("FULL [a}\"{b 1 READY]", Peers.next(module.lists, "the first of two in a read"));
        assertEquals("DELTA [s 1 READY]", Peers.next(module.lists, "the second"));
        for (char c : indented(Peers.list(4, false, Peers.host("s", "127.0.0.1:1", "terminating")))
                .toCharArray()) {
            raw(watch, String.valueOf(c));
        }
        assertEquals("DELTA [s 1 DRAINING]", Peers.next(module.lists, "the one in pieces"));
        assertTrue(module.lists.isEmpty());
    }

    @Test
    void aListThatDoesNotGetToItsEndIsSilenceThoughTheHeartbeatGoesOn() throws Exception {
        // Guards rule 3: white space within a list must not pass for the sign of life of one that is over.
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        raw(watch, Peers.list(2, true, Peers.host("s", "127.0.0.1:1", "in_service")) + "\n{\"version\":3,");
        assertEquals("FULL [s 1 READY]", Peers.next(module.lists, "the whole list"));
        Thread heart = new Thread(() -> {
            while (!watch.ended().isDone()) {
                raw(watch, "\n");
                try {
                    watch.ended().get(200, TimeUnit.MILLISECONDS);
                } catch (TimeoutException beatsOn) {
                    // the next beat is due
                } catch (InterruptedException | ExecutionException e) {
                    throw new AssertionError(e);
                }
            }
        });
        heart.setDaemon(true);
        heart.start();
        assertEquals("failed", Peers.next(module.lists, "the failure"));
        watch.awaitEnd();
    }

    /** Incident 2, related: one that stopped for 1.5 s halfway was thrown away, and so was the next, for ever. */
    @Test
    void aListThatStopsHalfwayForAWhileIsTaken() throws Exception {
        start("", Peers.host("s", "127.0.0.1:9", "in_service"));
        Seen watch = discovery.asked();
        String list = Peers.list(2, true, Peers.host("t", "127.0.0.1:9", "in_service"));
        raw(watch, list.substring(0, list.length() / 2));
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_800);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        raw(watch, list.substring(list.length() / 2));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the list"));
    }

    private void move(String address) throws Exception {
        proxy.reload(Config.parse(Peers.config(0, address, "", "null").getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void aMoveToAnotherDiscoveryIsNoFailedCallAndAsksForTheWholeList() throws Exception {
        // Guards the numbering: another discovery counts its versions in its own way.
        Discovery other = keep(new Discovery());
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        Seen watch = discovery.asked();
        Discovery.push(watch, Peers.list(7, true, Peers.host("s", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [s 1 READY]", Peers.next(module.lists, "the first list"));
        move(other.server.address());
        watch.awaitEnd();
        Seen moved = other.asked();
        assertTrue(
                moved.message().first().startsWith("GET /api/targets?watch=1 "),
                moved.message().first());
        assertEquals(200, ready(), "the old list holds");
        move(other.server.address());
        Discovery.push(moved, Peers.list(2, true, Peers.host("t", "127.0.0.1:1", "in_service")));
        assertEquals("FULL [t 1 READY]", Peers.next(module.lists, "the other's list, and no failure before"));
        assertEquals(0, other.server.seen.size(), "the same address is no move");
    }

    @Test
    void aMoveToWhereNobodyAnswersFailsWithinWhatCountsAsTold() throws Exception {
        Discovery mute = keep(new Discovery());
        start("", Peers.host("s", "127.0.0.1:1", "in_service"));
        discovery.asked();
        move(mute.server.address());
        Peers.next(mute.server.seen, "the watch that is not answered").awaitEnd();
        assertEquals("failed", Peers.next(module.lists, "the failure"));
        move(discovery.server.address());
        Discovery.push(discovery.asked(), Peers.list(9, true));
        assertEquals("FULL []", Peers.next(module.lists, "the list after moving back"));
    }
}
