package mulleinfront;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.State.Attempt;
import mulleinfront.State.Node;
import mulleinfront.State.Req;
import mulleinfront.UnservedReason.Cause;

/**
 * Why {@link Logic} has ended a request without an answer, worked out after the fact and only where somebody asks. It
 * asks once more what {@link Logic} asked, at the same moment, and changes nothing: what is drawn there is drawn from
 * the request, and credit for cold endpoints grows by what is asked for, not by looks.
 */
final class Why {
    private Why() {}

    /**
     * @param told what the decision itself says; null: nobody could take it, or it may not be sent again
     */
    static UnservedReason of(Logic m, Req r, long now, Cause told) {
        Cause why = told != null ? told : cause(m, r, now);
        if (why == Cause.ADMISSION
                && r.worth < r.type.worth()
                && m.saved >= 1 + (Logic.MOST_SAVED - 1) * (1 - r.type.worth() / m.mostWorth)) {
            // Admission goes by worth: at its class's own this one would have been let in.
            why = Cause.TENANT;
        }
        double limits = 0;
        int ready = 0;
        int out = 0;
        for (Node n : m.listed) {
            if (n.ready && !n.ejected) {
                limits += n.limit;
                out += n.outstanding.size();
                ready++;
            }
        }
        double bound = switch (why) {
            case ADMISSION, TENANT -> m.admitted;
            case LIMITS -> limits;
            case OVERLOAD -> m.reportedByAll(now);
            case TIME -> m.usualLag[r.in.classIndex()];
            case BUDGET -> m.retryTokens;
            default -> Double.NaN;
        };
        return new UnservedReason(
                r.in.id(),
                why,
                r.in.classIndex(),
                r.worth,
                now - m.bornAt,
                bound,
                String.format(
                        Locale.ROOT,
                        "late %.2f, strain %.2f, %d of %d hosts ready, %d out of limits %.1f, capacity %.1f of %.1f",
                        m.lateShare,
                        m.strain,
                        ready,
                        m.listed.size(),
                        out,
                        limits,
                        m.capacity,
                        m.weight));
    }

    private static Cause cause(Logic m, Req r, long now) {
        Attempt bond = Logic.bond(r);
        RequestClass c = r.type;
        if (m.listed.isEmpty()) {
            return Cause.NO_LIST;
        }
        if (m.listOverdue(now)) {
            return Cause.LIST_OVERDUE;
        }
        if (r.attempts.isEmpty() || m.mayResend(r, now)) {
            return nobody(m, r, bond, now);
        }
        if (bond != null && c.effect() == Effect.FRAGILE) {
            return Cause.EFFECT;
        }
        if (bond != null && c.effect() == Effect.DEDUP && now >= bond.at + c.dedupWindowUs()) {
            return Cause.WINDOW;
        }
        return r.attempts.size() >= m.settings.limits().maxAttempts()
                ? Cause.ATTEMPTS
                : m.retryTokens < m.cost(bond) ? Cause.BUDGET : Cause.TIME;
    }

    /** What keeps most of a request's owners from taking it; those that never could count where there is no other. */
    private static Cause nobody(Logic m, Req r, Attempt bond, long now) {
        Map<Cause, Integer> counts = new EnumMap<>(Cause.class);
        int most = r.in.key() == null ? m.listed.size() : Logic.REPORTED_OWNERS;
        int walk = ++m.walk;
        m.ring.seek(r.hash);
        for (int seen = 0, owners = 0; seen < m.listed.size() && owners < most; ) {
            Node n = m.ring.next();
            if (n.seen != walk) {
                n.seen = walk;
                seen++;
                Cause c = at(m, r, bond, n, now);
                owners += c == Cause.NO_HOST ? 0 : 1;
                counts.merge(c, c == Cause.NO_HOST ? 0 : 1, Integer::sum);
            }
        }
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(Cause.NO_HOST);
    }

    private static Cause at(Logic m, Req r, Attempt bond, Node n, long now) {
        boolean tried = r.attempts.stream().anyMatch(a -> a.node == n);
        if (!n.ready || tried || !Logic.inGroup(r, bond, n)) {
            return Cause.NO_HOST;
        }
        if (now < n.fullUntil) {
            return Cause.FULL;
        }
        if (n.cold && m.credit(n, now) < 1) {
            return Cause.COLD;
        }
        return n.ejected ? Cause.NO_HOST : m.hasRoom(n, r, 1) ? Cause.OVERLOAD : Cause.LIMITS;
    }
}
