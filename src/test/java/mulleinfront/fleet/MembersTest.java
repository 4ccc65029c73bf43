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

/** The local view, incarnations, the gossip queue, suspicions and the token bucket. */
class MembersTest {
    private static final long SECOND_US = 1_000_000;
    private static final long INCARNATION = Incarnation.ofProcessStart(1_000_000_000_000L);

    /** An update about one member: its incarnation and state. */
    private record Update(int member, long incarnation, MemberState state) {}

    @Test
    void updatesInAnyOrderLeadToOneView() {
        Random random = new Random(5);
        List<Update> updates = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            updates.add(new Update(
                    random.nextInt(700),
                    INCARNATION + random.nextInt(5) * (random.nextInt(3) == 0 ? 1L << 16 : 1),
                    MemberState.fromCode(1 + random.nextInt(4))));
        }
        long digest = 0;
        for (int order = 0; order < 5; order++) {
            Members members = new Members(order * 100);
            for (Update update : updates) {
                if (members.isNewer(update.member(), update.incarnation(), update.state())) {
                    members.record(update.member(), update.incarnation(), update.state(), 0, 0);
                }
            }
            assertEquals(order == 0 ? members.digest() : digest, members.digest());
            digest = members.digest();
            long leaves = 0;
            for (int leaf = 0; leaf < 44; leaf++) {
                leaves ^= members.nodeDigest(0, leaf);
            }
            assertEquals(digest, leaves, "the leaf digests combine to the digest of the view");
            assertEquals(2, members.rootLevel());
            Collections.shuffle(updates, random);
            updates.addAll(updates.subList(0, 100));
        }
    }

    @Test
    void suspicionAndRefutationKeepTheDigest() {
        Members members = new Members(10);
        members.record(4, INCARNATION, MemberState.ALIVE, 4, 0);
        long alive = members.digest();
        members.record(4, INCARNATION, MemberState.SUSPECTED, 2, 0);
        assertEquals(alive, members.digest());
        members.record(4, Incarnation.next(INCARNATION), MemberState.ALIVE, 4, 0);
        assertEquals(alive, members.digest());
        members.record(4, Incarnation.next(INCARNATION), MemberState.FAILED, 2, 0);
        assertNotEquals(alive, members.digest());
        members.record(4, Incarnation.ofNextProcess(INCARNATION), MemberState.ALIVE, 4, 0);
        assertNotEquals(alive, members.digest(), "a new process changes the digest");
        assertEquals(1, members.presentCount());
    }

    @Test
    void incarnationsOnlyIncrease() {
        assertTrue(Incarnation.ofNextProcess(Incarnation.next(INCARNATION)) > Incarnation.next(INCARNATION));
        assertTrue(Incarnation.sameProcess(INCARNATION, Incarnation.next(INCARNATION)));
        assertFalse(Incarnation.sameProcess(INCARNATION, Incarnation.ofNextProcess(INCARNATION)));
        assertEquals(1_000_000_000_000L, Incarnation.startedMs(INCARNATION));
        long incarnation = INCARNATION;
        for (int refutation = 0; refutation < 70_000; refutation++) {
            assertTrue(Incarnation.next(incarnation) > incarnation);
            incarnation = Incarnation.next(incarnation);
        }
        assertFalse(Incarnation.isValid(Long.MAX_VALUE));
        assertFalse(Incarnation.isValid(-1));
        assertTrue(Incarnation.isValid(Incarnation.ofProcessStart(Long.MAX_VALUE)));
        assertTrue(Incarnation.isValid(Incarnation.ofProcessStart(-5)), "the clock may have any value");
    }

    @Test
    void leastSentUpdatesGoFirstUpToTheSendLimit() {
        GossipQueue queue = new GossipQueue();
        int[] sendCounts = new int[40];
        for (int member = 0; member < 40; member++) {
            queue.add(member);
        }
        int[] selection = new int[17];
        for (int round = 0; !queue.isEmpty(); round++) {
            int selected = queue.select(selection, 17, 6);
            for (int i = 0; i < selected; i++) {
                sendCounts[selection[i]]++;
            }
            int minCount = 9;
            int maxCount = 0;
            for (int count : sendCounts) {
                minCount = Math.min(minCount, count);
                maxCount = Math.max(maxCount, count);
            }
            assertTrue(maxCount - minCount <= 1, "round " + round);
        }
        for (int count : sendCounts) {
            assertEquals(6, count);
        }
        queue.add(3);
        queue.select(selection, 17, 6);
        queue.add(3);
        assertEquals(0, queue.sendCount(3), "a newer update resets the send count");
        assertEquals(1, queue.size());
    }

    @Test
    void confirmationsShortenAndStallsExtendASuspicion() {
        Suspicions suspicions = new Suspicions();
        suspicions.begin(1, 7, 0, 4 * SECOND_US, 24 * SECOND_US, 2);
        assertEquals(24 * SECOND_US, suspicions.nextDeadline());
        assertFalse(suspicions.confirm(1, 7), "a repeated confirmation does not count");
        assertTrue(suspicions.confirm(1, 8));
        long deadlineWithTwo = suspicions.nextDeadline();
        assertTrue(deadlineWithTwo < 24 * SECOND_US && deadlineWithTwo > 4 * SECOND_US);
        assertTrue(suspicions.confirm(1, 9));
        assertEquals(4 * SECOND_US, suspicions.nextDeadline());
        assertFalse(suspicions.confirm(1, 10), "no further confirmation is needed");
        suspicions.extendDeadlines(3 * SECOND_US);
        assertEquals(-1, suspicions.expireNext(6 * SECOND_US));
        suspicions.begin(2, 7, 6 * SECOND_US, SECOND_US, SECOND_US, 0);
        assertEquals(1, suspicions.expireNext(7 * SECOND_US), "the earlier suspicion was extended by the stall");
        assertEquals(2, suspicions.expireNext(7 * SECOND_US));
        assertTrue(suspicions.isEmpty());
    }

    @Test
    void tokenBucketLimitsRatesAndFavoursUrgentMessages() {
        TokenBucket bucket = new TokenBucket(10, 100_000, 0);
        int[] sent = new int[TokenBucket.Priority.values().length];
        for (long now = 0; now < 100 * SECOND_US; now += SECOND_US / 1_000) {
            for (TokenBucket.Priority priority :
                    new TokenBucket.Priority[] {TokenBucket.Priority.ANTI_ENTROPY, TokenBucket.Priority.GOSSIP}) {
                if (bucket.allows(priority, now)) {
                    bucket.spend(100);
                    sent[priority.ordinal()]++;
                }
            }
        }
        int total = sent[TokenBucket.Priority.GOSSIP.ordinal()] + sent[TokenBucket.Priority.ANTI_ENTROPY.ordinal()];
        assertTrue(total <= 1_020 && total > 950, total + " in 100 s");
        assertTrue(bucket.allows(TokenBucket.Priority.PROBE, 100 * SECOND_US), "gossip leaves tokens for a ping");
        assertTrue(bucket.rejectedDatagrams() > 0);
        TokenBucket byteBucket = new TokenBucket(1_000_000, 2_560, 0);
        int sentByBytes = 0;
        for (long now = 0; now < 100 * SECOND_US; now += SECOND_US / 1_000) {
            if (byteBucket.allows(TokenBucket.Priority.PROBE, now)) {
                byteBucket.spend(256);
                sentByBytes++;
            }
        }
        assertTrue(sentByBytes <= 1_020 && sentByBytes > 950, sentByBytes + " of 256 bytes in 100 s");
    }
}
