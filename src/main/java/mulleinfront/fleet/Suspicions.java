package mulleinfront.fleet;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Who is suspected, and until when there is time to refute it. The time is long while one accuser stands alone and
 * shorter with each that comes to the same by itself (Lifeguard, DSN 2018): whoever is wrong is mostly alone.
 */
final class Suspicions {
    /** One suspicion. */
    private static final class One {
        private final int member;
        private final long startedAt;
        private final long leastUs;
        private final long mostUs;
        private final int[] accusers;
        private int heard;
        private long until;

        One(int member, long startedAt, long leastUs, long mostUs, int needed) {
            this.member = member;
            this.startedAt = startedAt;
            this.leastUs = leastUs;
            this.mostUs = mostUs;
            this.accusers = new int[needed + 1];
        }

        boolean accused(int by) {
            return Arrays.stream(accusers, 0, heard).anyMatch(a -> a == by);
        }

        void count(int by) {
            accusers[heard++] = by;
            int needed = accusers.length - 1;
            double part = needed == 0 ? 1 : StrictMath.log(heard) / StrictMath.log(needed + 1);
            until = startedAt + Math.max(leastUs, (long) (mostUs - (mostUs - leastUs) * part));
        }
    }

    private final Map<Integer, One> byMember = new HashMap<>();
    private final TreeSet<One> byTime =
            new TreeSet<>(Comparator.comparingLong((One o) -> o.until).thenComparingInt(o -> o.member));
    /** Time that this instance did not have: it stood still. */
    private long stood;

    boolean isEmpty() {
        return byMember.isEmpty();
    }

    /**
     * Begins one, in place of an earlier one of the same member.
     *
     * @param leastUs time to refute it once there are enough accusers, and
     * @param mostUs while there is one
     * @param needed further accusers that are enough
     */
    void begin(int member, int accuser, long now, long leastUs, long mostUs, int needed) {
        end(member);
        One one = new One(member, now - stood, leastUs, mostUs, needed);
        one.count(accuser);
        byMember.put(member, one);
        byTime.add(one);
    }

    /** Another accuser; whether it is a new one that counts. */
    boolean confirm(int member, int accuser) {
        One one = byMember.get(member);
        if (one == null || one.heard == one.accusers.length || one.accused(accuser)) {
            return false;
        }
        byTime.remove(one);
        one.count(accuser);
        byTime.add(one);
        return true;
    }

    /** The last accuser that counted; -1 if the member is not suspected. */
    int accuser(int member) {
        One one = byMember.get(member);
        return one == null ? -1 : one.accusers[one.heard - 1];
    }

    void end(int member) {
        One one = byMember.remove(member);
        if (one != null) {
            byTime.remove(one);
        }
    }

    /** When the next one runs out; {@code Long.MAX_VALUE}: there is none. */
    long nextAt() {
        return byTime.isEmpty() ? Long.MAX_VALUE : byTime.first().until + stood;
    }

    /** The member whose time has run out, or -1; it is not suspected any more. */
    int due(long now) {
        if (nextAt() > now) {
            return -1;
        }
        int member = byTime.first().member;
        end(member);
        return member;
    }

    /** This instance stood still for so long, and could have heard no refutation in that time. */
    void extend(long us) {
        stood += us;
    }
}
