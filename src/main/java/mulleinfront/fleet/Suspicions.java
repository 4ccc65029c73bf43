package mulleinfront.fleet;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The suspected members, each with the deadline for its refutation. The timeout is long with a single confirming member
 * and shorter with each further one that suspects the member independently (Lifeguard, DSN 2018), because a member that
 * suspects wrongly is usually the only one.
 */
final class Suspicions {
    /** Suspicion of one member. */
    private static final class Suspicion {
        private final int member;
        private final long startedAt;
        private final long minTimeoutUs;
        private final long maxTimeoutUs;
        private final int[] confirmingMembers;
        private int confirmations;
        private long deadline;

        Suspicion(int member, long startedAt, long minTimeoutUs, long maxTimeoutUs, int neededConfirmations) {
            this.member = member;
            this.startedAt = startedAt;
            this.minTimeoutUs = minTimeoutUs;
            this.maxTimeoutUs = maxTimeoutUs;
            this.confirmingMembers = new int[neededConfirmations + 1];
        }

        boolean isConfirmedBy(int confirmingMember) {
            return Arrays.stream(confirmingMembers, 0, confirmations).anyMatch(known -> known == confirmingMember);
        }

        void addConfirmation(int confirmingMember) {
            confirmingMembers[confirmations++] = confirmingMember;
            int neededConfirmations = confirmingMembers.length - 1;
            double reduction = neededConfirmations == 0
                    ? 1
                    : StrictMath.log(confirmations) / StrictMath.log(neededConfirmations + 1);
            deadline = startedAt
                    + Math.max(minTimeoutUs, (long) (maxTimeoutUs - (maxTimeoutUs - minTimeoutUs) * reduction));
        }
    }

    private final Map<Integer, Suspicion> byMember = new HashMap<>();
    private final TreeSet<Suspicion> byDeadline =
            new TreeSet<>(Comparator.comparingLong((Suspicion suspicion) -> suspicion.deadline)
                    .thenComparingInt(suspicion -> suspicion.member));
    /** Total stall time of this instance, microseconds: a stall extends the suspicions begun before it. */
    private long stalledUs;

    boolean isEmpty() {
        return byMember.isEmpty();
    }

    /**
     * Begins a suspicion, in place of an earlier one of the same member.
     *
     * @param minTimeoutUs timeout once enough further members have confirmed the suspicion
     * @param maxTimeoutUs timeout while only one member suspects it
     * @param neededConfirmations number of further confirming members that is enough
     */
    void begin(
            int member, int confirmingMember, long now, long minTimeoutUs, long maxTimeoutUs, int neededConfirmations) {
        end(member);
        Suspicion suspicion = new Suspicion(member, now - stalledUs, minTimeoutUs, maxTimeoutUs, neededConfirmations);
        suspicion.addConfirmation(confirmingMember);
        byMember.put(member, suspicion);
        byDeadline.add(suspicion);
    }

    /** Adds a confirming member; returns whether it is new and still needed. */
    boolean confirm(int member, int confirmingMember) {
        Suspicion suspicion = byMember.get(member);
        if (suspicion == null
                || suspicion.confirmations == suspicion.confirmingMembers.length
                || suspicion.isConfirmedBy(confirmingMember)) {
            return false;
        }
        byDeadline.remove(suspicion);
        suspicion.addConfirmation(confirmingMember);
        byDeadline.add(suspicion);
        return true;
    }

    /** The confirming member that was added last; -1 if the member is not suspected. */
    int lastConfirmingMember(int member) {
        Suspicion suspicion = byMember.get(member);
        return suspicion == null ? -1 : suspicion.confirmingMembers[suspicion.confirmations - 1];
    }

    void end(int member) {
        Suspicion suspicion = byMember.remove(member);
        if (suspicion != null) {
            byDeadline.remove(suspicion);
        }
    }

    /** Deadline of the suspicion that expires next; {@code Long.MAX_VALUE} if there is none. */
    long nextDeadline() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadline + stalledUs;
    }

    /** Ends one suspicion whose deadline has passed and returns its member; -1 if there is none. */
    int expireNext(long now) {
        if (nextDeadline() > now) {
            return -1;
        }
        int member = byDeadline.first().member;
        end(member);
        return member;
    }

    /** Extends all deadlines by a stall of this instance, during which it could receive no refutation. */
    void extendDeadlines(long stallUs) {
        stalledUs += stallUs;
    }
}
