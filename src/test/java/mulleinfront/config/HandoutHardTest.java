package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import mulleinfront.config.HandoutWorld.Broken;
import mulleinfront.config.HandoutWorld.Proxy;
import mulleinfront.settings.DifferenceLine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The hard cases of handing out, on virtual time. */
class HandoutHardTest {
    private static final long S = 1_000_000;
    private static final long BOUND = 6 * S;

    private static HandoutWorld begun(long seed, int proxies, int keys) {
        HandoutWorld w = new HandoutWorld(seed, proxies);
        w.propose(w.drawn(keys));
        w.startAll();
        w.run(15 * S);
        assertAll(w, 1, Long.MAX_VALUE - 1);
        return w;
    }

    /** All that live have a version or a later one within so long of its proposal. */
    private static void assertAll(HandoutWorld w, long version, long within) {
        for (Proxy p : w.proxies) {
            if (p.alive) {
                assertTrue(
                        p.at(version) != Long.MAX_VALUE,
                        "client proxy " + p.number + " lacks version "
                                + version
                                + ": " + p.history + " " + p.follower.state());
                long took = p.at(version) - w.proposedUs.get((int) version);
                assertTrue(took <= within, "version " + version + " took " + took + " us at " + p.number);
            }
        }
    }

    @Test
    void aChangeEverySecondForTenMinutes() {
        HandoutWorld w = begun(1, 167, 100);
        for (int i = 0; i < 600; i++) {
            w.propose(w.changed(5));
            w.run(S);
        }
        w.run(BOUND);
        for (int v = 2; v <= 601; v++) {
            assertAll(w, v, BOUND);
        }
        w.check();
        assertTrue(w.worstSecond <= 12_000, w.worstSecond + " bytes in a second");
    }

    @Test
    void sixHundredAndSeventyThatStartAtOnceWithNothing() {
        HandoutWorld w = new HandoutWorld(2, 670);
        w.propose(w.drawn(700));
        w.run(2 * S);
        w.startAll();
        w.run(BOUND);
        for (Proxy p : w.proxies) {
            assertEquals(List.of(1L), p.history, "client proxy " + p.number);
        }
        assertTrue(w.worstSecond <= 12_000, w.worstSecond + " bytes in a second");
        assertTrue(w.written <= HandoutWorld.MACHINES, w.written + " lines for all");
    }

    @Test
    void theWholeOfSixHundredAndSeventyReplacedInOneChange() {
        HandoutWorld w = begun(3, 670, 670);
        Map<String, String> all = new TreeMap<>();
        w.drawn(670).forEach((k, v) -> all.put("new-" + k, v));
        w.propose(all);
        w.run(BOUND);
        assertAll(w, 2, BOUND);
        w.check();
    }

    @Test
    void aVersionThatNobodyHoldsAnyMoreAndOneOfAnotherHistory() {
        HandoutWorld w = begun(4, 3, 20);
        Proxy old = w.proxies.get(0);
        Proxy other = w.proxies.get(1);
        old.kill(false);
        other.kill(false);
        other.kept = new Version(1, new TreeMap<>(Map.of("a", "of another history")), "", 0);
        for (int i = 0; i < HandoutWorld.HELD + 10; i++) {
            w.propose(w.changed(2));
            w.run(S / 10);
        }
        w.run(S);
        int wholes = w.wholes;
        old.start();
        w.run(S);
        assertEquals(wholes + 1, w.wholes, "the whole, since there is nothing to differ from");
        other.start();
        w.run(S);
        assertAll(w, HandoutWorld.HELD + 11, Long.MAX_VALUE - 1);
        assertEquals(List.of(1L, 1L, HandoutWorld.HELD + 11L), old.history);
        w.check();
    }

    @Test
    void aVersionOfAnotherHistoryUnderANumberThatIsHeldIsReplacedByTheWhole() {
        HandoutWorld w = begun(5, 3, 20);
        Proxy other = w.proxies.get(1);
        other.kill(false);
        other.kept = new Version(1, new TreeMap<>(Map.of("a", "of another history")), "", 0);
        other.start();
        w.run(S);
        assertTrue(
                w.machines.stream()
                        .flatMap(m -> m.handout().subscribers().stream())
                        .anyMatch(s -> s.name().equals("n1") && s.watching() && s.at() == 1 && !s.same()),
                "it is seen");
        w.propose(w.changed(2));
        w.run(S);
        assertAll(w, 2, BOUND);
        w.check();
    }

    @Test
    void whoIsBehindGetsOneDifferenceAndWhoIsAHundredBehindTheWhole() {
        HandoutWorld w = begun(6, 12, 200);
        Proxy few = w.proxies.get(3);
        Proxy many = w.proxies.get(4);
        many.kill(false);
        for (int i = 0; i < 100; i++) {
            if (i == 80) {
                few.kill(false);
            }
            w.propose(w.changed(2));
            w.run(S / 2);
        }
        int written = w.written;
        int wholes = w.wholes;
        few.start();
        w.run(S);
        assertEquals(written + 1, w.written, "one line over twenty versions");
        assertEquals(wholes, w.wholes);
        many.start();
        w.run(S);
        assertEquals(wholes + 1, w.wholes);
        assertEquals(101, few.follower.activeVersion().number());
        assertEquals(101, many.follower.activeVersion().number());
        w.check();
    }

    @Test
    void stoppedThroughThreeChangesAndOnAgain() {
        HandoutWorld w = begun(7, 20, 50);
        Proxy p = w.proxies.get(5);
        p.stop();
        for (int i = 0; i < 3; i++) {
            w.propose(w.changed(2));
            w.run(3 * S);
        }
        assertEquals(List.of(1L), p.history);
        assertTrue(
                w.machines.stream()
                        .flatMap(m -> m.handout().subscribers().stream())
                        .anyMatch(s -> s.name().equals("n5") && !s.watching() && s.at() == 1),
                "it is known to be behind");
        p.goOn();
        long on = w.time.now();
        w.run(BOUND);
        assertEquals(4, p.follower.activeVersion().number());
        assertTrue(p.at(4) - on <= 3 * S, "took " + (p.at(4) - on));
        w.check();
    }

    @Test
    void regionsApartThroughTenChangesThenTogether() {
        for (int seed = 1; seed <= 5; seed++) {
            HandoutWorld w = begun(seed, 167, 100);
            w.regionsApart = true;
            w.run(2 * S);
            for (int i = 0; i < 10; i++) {
                w.propose(w.changed(3));
                w.run(2 * S);
            }
            w.run(3 * S);
            for (Proxy p : w.proxies) {
                if (HandoutWorld.region(p.zone) == 0) {
                    assertEquals(11, p.follower.activeVersion().number(), "in the majority's region: " + p.number);
                    assertFalse(p.follower.mayBeBehind());
                } else {
                    assertEquals(1, p.follower.activeVersion().number(), "cut off: " + p.number);
                    assertTrue(p.follower.mayBeBehind(), "and knows it: " + p.number);
                }
            }
            w.regionsApart = false;
            w.catchUp();
            long healed = w.time.now();
            w.run(BOUND);
            for (Proxy p : w.proxies) {
                assertTrue(p.at(11) <= healed + BOUND, "client proxy " + p.number + ": " + p.history);
            }
            w.check();
        }
    }

    @Test
    void aMachineRestoredToAnOlderCopyTakesNobodyBack() {
        HandoutWorld w = begun(8, 60, 50);
        for (int i = 0; i < 5; i++) {
            w.propose(w.changed(2));
            w.run(S);
        }
        w.machines.get(1).newest = 2;
        w.run(10 * S);
        w.check();
        w.propose(w.changed(2));
        w.run(BOUND);
        assertAll(w, 7, BOUND);
        w.check();
    }

    @Test
    void withTwoMachinesKilledAllGoesOnAndWithTheirReturnAlsoChanges() {
        HandoutWorld w = begun(9, 167, 50);
        w.machines.get(0).kill();
        w.machines.get(1).kill();
        w.run(4 * S);
        w.propose(w.changed(2));
        w.run(30 * S);
        for (Proxy p : w.proxies) {
            assertEquals(List.of(1L), p.history);
            assertTrue(p.follower.mayBeBehind());
        }
        w.machines.get(0).start();
        w.machines.get(1).start();
        long back = w.time.now();
        w.run(BOUND);
        for (Proxy p : w.proxies) {
            assertTrue(p.at(2) <= back + BOUND, "client proxy " + p.number + ": " + p.history);
        }
        w.check();
    }

    @Test
    void aMachineKilledWhileThirtyFiveRestartAndRegionsComeTogether() {
        for (int seed = 1; seed <= 5; seed++) {
            HandoutWorld w = begun(seed, 335, 100);
            w.regionsApart = true;
            w.run(5 * S);
            w.propose(w.changed(3));
            w.run(2 * S);
            w.regionsApart = false;
            w.catchUp();
            w.propose(w.changed(3));
            w.machines.get(1).kill();
            for (int i = 0; i < 18; i++) {
                Proxy p = w.proxies.get(w.chance.nextInt(335));
                p.kill(false);
                w.time.after(w.chance.nextLong(S), () -> {
                    if (!p.alive) {
                        p.start();
                    }
                });
            }
            w.run(BOUND);
            assertAll(w, 3, BOUND);
            w.check();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Broken.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void brokenClientProxiesAreFound(Broken broken) {
        HandoutWorld w = begun(10, 30, 400);
        w.broken = broken;
        w.propose(w.changed(300));
        w.run(BOUND);
        w.machines.get(1).newest = 1;
        w.run(BOUND);
        AssertionError found = assertThrows(AssertionError.class, w::check);
        String wanted = switch (broken) {
            case TAKES_PARTS -> "of its own";
            case GOES_BACK -> "went back";
            case SAYS_WHAT_IT_HAS_NOT -> "says version";
            case NONE -> "";
        };
        assertTrue(found.getMessage().contains(wanted), found.getMessage());
    }

    // ---- the serving side by itself ------------------------------------------------------------------

    /** One version after the other, decided by the test. */
    private static final class Log implements VersionLog {
        final List<Version> all = new ArrayList<>(List.of(Version.NONE));

        @Override
        public Version newest() {
            return all.get(all.size() - 1);
        }

        @Override
        public Version at(long number) {
            return number < all.size() ? all.get((int) number) : null;
        }

        @Override
        public void propose(Proposal proposal, Consumer<ProposalResult> answer) {
            all.add(new Version(all.size(), proposal.entries(), proposal.why(), proposal.atMillis()));
        }

        @Override
        public void listen(Consumer<Version> decided) {}
    }

    /** What was sent to whom. */
    private static final class Sent implements ConfigPublisher.Wire {
        final Map<Long, Long> bytes = new TreeMap<>();
        final List<String> closed = new ArrayList<>();
        int lines;

        @Override
        public byte[] line(Difference difference) {
            lines++;
            return DifferenceLine.write(difference);
        }

        @Override
        public byte[] heartbeat(long newest, boolean inTouch) {
            return "{}\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        }

        @Override
        public void send(long reader, byte[] line, int from, int to) {
            bytes.merge(reader, (long) to - from, Long::sum);
        }

        @Override
        public void close(long reader, String reason) {
            closed.add(reader + " " + reason);
        }

        @Override
        public void wakeAt(long us) {}
    }

    @Test
    void oneThatTakesAByteASecondCostsNobodyElseAndIsGivenUp() {
        Log log = new Log();
        Sent sent = new Sent();
        ConfigPublisher handout = new ConfigPublisher(PublisherSettings.DEFAULTS, log, sent);
        SplittableRandom random = new SplittableRandom(1);
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = 0; i < 300; i++) {
            entries.put("key-" + i, Long.toHexString(random.nextLong()));
        }
        log.propose(new Proposal("a", -1, entries, "", 0), a -> {});
        long now = 0;
        assertTrue(handout.open(now, 1, "slow", 0, 0));
        assertTrue(handout.open(now, 2, "quick", 0, 0));
        // Its connection takes what fits into the system's buffers, then a byte now and then.
        handout.writable(1, false);
        long slow = sent.bytes.get(1L);
        for (int second = 1; second <= 40; second++) {
            for (int tick = 0; tick < 20; tick++) {
                now += S / 20;
                if (tick == 0) {
                    handout.reported(now, 1, 0, 0);
                    handout.reported(now, 2, 0, 0);
                    entries.put("key-" + second, "new");
                    log.propose(new Proposal("b" + second, -1, entries, "", 0), a -> {});
                    handout.decided(now);
                }
                handout.onTimer(now);
            }
        }
        assertEquals(slow, sent.bytes.get(1L), "nothing is put where nothing is taken");
        assertEquals(List.of("1 it does not read"), sent.closed);
        assertEquals(1, handout.readers());
        assertTrue(sent.bytes.get(2L) > 10_000, "the other had all: " + sent.bytes);
        assertTrue(sent.lines <= 42, sent.lines + " lines for one reader that keeps up and one that does not");
    }

    @Test
    void whoHasMoreThanAMachineIsSentNothingOlder() {
        Log log = new Log();
        Sent sent = new Sent();
        ConfigPublisher handout = new ConfigPublisher(PublisherSettings.DEFAULTS, log, sent);
        log.propose(new Proposal("a", -1, new TreeMap<>(Map.of("k", "v")), "", 0), a -> {});
        assertTrue(handout.open(0, 1, "ahead", 3, 77));
        for (long now = 0; now < 3 * S; now += S / 20) {
            handout.onTimer(now);
        }
        assertEquals(0, sent.lines, "version 1 is older than what it has");
        assertTrue(sent.bytes.get(1L) > 0, "it hears that the machine is there");
    }

    @Test
    void whoWatchesAnewHasOneWatchAndWhoIsSilentNone() {
        Log log = new Log();
        Sent sent = new Sent();
        ConfigPublisher handout = new ConfigPublisher(PublisherSettings.DEFAULTS, log, sent);
        assertTrue(handout.open(0, 1, "n", 0, 0));
        assertTrue(handout.open(S, 2, "n", 0, 0));
        assertEquals(List.of("1 it watches anew"), sent.closed);
        handout.closed(1);
        assertEquals(1, handout.readers(), "the end of the old one is not the new one's");
        handout.onTimer(8 * S);
        assertEquals(List.of("1 it watches anew", "2 silent"), sent.closed);
        assertEquals(1, handout.subscribers().size(), "known all the same");
        assertFalse(handout.subscribers().get(0).watching());
    }

    @Test
    void thereIsRoomForSoManyAndNoMore() {
        ConfigPublisher handout =
                new ConfigPublisher(new PublisherSettings(S, 1_000, 1_000, S, S, 2), new Log(), new Sent());
        assertTrue(handout.open(0, 1, "a", 0, 0));
        assertTrue(handout.open(0, 2, "b", 0, 0));
        assertFalse(handout.open(0, 3, "c", 0, 0));
        assertTrue(handout.open(0, 4, "b", 0, 0), "one that is here already");
        handout.closed(1);
        for (int i = 5; i < 100; i++) {
            assertTrue(handout.open(0, i, "x" + i, 0, 0));
            handout.closed(i);
        }
        assertTrue(handout.subscribers().size() <= 5, handout.subscribers().size() + " names kept");
    }
}
