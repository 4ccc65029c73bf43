package mulleinfront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What is believed of members, and what is passed on, doubted and allowed. */
class MembersTest {
    private static final long S = 1_000_000;
    private static final long LIFE = Incarnation.starting(1_000_000_000_000L);

    /** An update about one member: its incarnation and state. */
    private record Word(int member, long incarnation, MemberState state) {}

    @Test
    void wordsInAnyOrderAndNumberComeToOneView() {
        Random random = new Random(5);
        List<Word> words = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            words.add(new Word(
                    random.nextInt(700),
                    LIFE + random.nextInt(5) * (random.nextInt(3) == 0 ? 1L << 16 : 1),
                    MemberState.of(1 + random.nextInt(4))));
        }
        long digest = 0;
        for (int order = 0; order < 5; order++) {
            Members members = new Members(order * 100);
            for (Word w : words) {
                if (members.newer(w.member(), w.incarnation(), w.state())) {
                    members.set(w.member(), w.incarnation(), w.state(), 0, 0);
                }
            }
            assertEquals(order == 0 ? members.digest() : digest, members.digest());
            digest = members.digest();
            long leaves = 0;
            for (int leaf = 0; leaf < 44; leaf++) {
                leaves ^= members.sum(0, leaf);
            }
            assertEquals(digest, leaves, "each level sums up to the whole");
            assertEquals(2, members.topLevel());
            Collections.shuffle(words, random);
            words.addAll(words.subList(0, 100));
        }
    }

    @Test
    void aSuspicionAndItsRefutationAreNoOtherView() {
        Members members = new Members(10);
        members.set(4, LIFE, MemberState.ALIVE, 4, 0);
        long alive = members.digest();
        members.set(4, LIFE, MemberState.SUSPECTED, 2, 0);
        assertEquals(alive, members.digest());
        members.set(4, Incarnation.next(LIFE), MemberState.ALIVE, 4, 0);
        assertEquals(alive, members.digest());
        members.set(4, Incarnation.next(LIFE), MemberState.FAILED, 2, 0);
        assertNotEquals(alive, members.digest());
        members.set(4, Incarnation.lifeAfter(LIFE), MemberState.ALIVE, 4, 0);
        assertNotEquals(alive, members.digest(), "another process is another view");
        assertEquals(1, members.present());
    }

    @Test
    void incarnationsGoOnlyUp() {
        assertTrue(Incarnation.lifeAfter(Incarnation.next(LIFE)) > Incarnation.next(LIFE));
        assertTrue(Incarnation.sameLife(LIFE, Incarnation.next(LIFE)));
        assertFalse(Incarnation.sameLife(LIFE, Incarnation.lifeAfter(LIFE)));
        assertEquals(1_000_000_000_000L, Incarnation.startedMs(LIFE));
        long i = LIFE;
        for (int turn = 0; turn < 70_000; turn++) {
            assertTrue(Incarnation.next(i) > i);
            i = Incarnation.next(i);
        }
        assertFalse(Incarnation.plausible(Long.MAX_VALUE));
        assertFalse(Incarnation.plausible(-1));
        assertTrue(Incarnation.plausible(Incarnation.starting(Long.MAX_VALUE)));
        assertTrue(Incarnation.plausible(Incarnation.starting(-5)), "a clock may be anything");
    }

    @Test
    void theLeastPassedOnGoFirstAndEachGoesSoOften() {
        Rumours rumours = new Rumours();
        int[] told = new int[40];
        for (int m = 0; m < 40; m++) {
            rumours.add(m);
        }
        int[] picked = new int[17];
        for (int round = 0; !rumours.isEmpty(); round++) {
            int n = rumours.take(picked, 17, 6);
            for (int i = 0; i < n; i++) {
                told[picked[i]]++;
            }
            int least = 9;
            int most = 0;
            for (int t : told) {
                least = Math.min(least, t);
                most = Math.max(most, t);
            }
            assertTrue(most - least <= 1, "round " + round);
        }
        for (int t : told) {
            assertEquals(6, t);
        }
        rumours.add(3);
        rumours.take(picked, 17, 6);
        rumours.add(3);
        assertEquals(0, rumours.times(3), "a later word begins anew");
        assertEquals(1, rumours.size());
    }

    @Test
    void accusersShortenASuspicionAndStandingStillLengthensIt() {
        Suspicions suspicions = new Suspicions();
        suspicions.begin(1, 7, 0, 4 * S, 24 * S, 2);
        assertEquals(24 * S, suspicions.nextAt());
        assertFalse(suspicions.confirm(1, 7), "the same one again");
        assertTrue(suspicions.confirm(1, 8));
        long two = suspicions.nextAt();
        assertTrue(two < 24 * S && two > 4 * S);
        assertTrue(suspicions.confirm(1, 9));
        assertEquals(4 * S, suspicions.nextAt());
        assertFalse(suspicions.confirm(1, 10), "enough is enough");
        suspicions.extend(3 * S);
        assertEquals(-1, suspicions.due(6 * S));
        suspicions.begin(2, 7, 6 * S, S, S, 0);
        assertEquals(1, suspicions.due(7 * S), "what stands since before counts the time that was lost");
        assertEquals(2, suspicions.due(7 * S));
        assertTrue(suspicions.isEmpty());
    }

    @Test
    void theAllowanceHoldsAndUrgentThingsComeFirst() {
        Allowance allowance = new Allowance(10, 100_000, 0);
        int[] sent = new int[Allowance.Use.values().length];
        for (long now = 0; now < 100 * S; now += S / 1_000) {
            for (Allowance.Use use : new Allowance.Use[] {Allowance.Use.COMPARE, Allowance.Use.NEWS}) {
                if (allowance.allows(use, now)) {
                    allowance.spend(100);
                    sent[use.ordinal()]++;
                }
            }
        }
        int all = sent[Allowance.Use.NEWS.ordinal()] + sent[Allowance.Use.COMPARE.ordinal()];
        assertTrue(all <= 1_020 && all > 950, all + " in 100 s");
        assertTrue(allowance.allows(Allowance.Use.PROBE, 100 * S), "a ping is never kept waiting by news");
        assertTrue(allowance.withheld() > 0);
        Allowance bytes = new Allowance(1_000_000, 2_560, 0);
        int n = 0;
        for (long now = 0; now < 100 * S; now += S / 1_000) {
            if (bytes.allows(Allowance.Use.PROBE, now)) {
                bytes.spend(256);
                n++;
            }
        }
        assertTrue(n <= 1_020 && n > 950, n + " of 256 bytes in 100 s");
    }
}
