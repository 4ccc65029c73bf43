package mulleinfront;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.State.Attempt;
import mulleinfront.State.EndpointState;
import mulleinfront.State.RequestState;
import mulleinfront.UnservedReason.Cause;

/**
 * Finds the reason why {@link Logic} ended a request without serving it. This is computed afterwards and only for an
 * observer. It repeats the checks of {@link Logic} at the same moment and changes no decision: random draws are fixed
 * per request, and checks take no tokens.
 */
final class UnservedDiagnosis {
    private UnservedDiagnosis() {}

    /**
     * Describes why a request was not served.
     *
     * @param stated the cause if the decision states it; null if no endpoint could take the request or it may not be
     *     retried
     */
    static UnservedReason diagnose(Logic logic, RequestState request, long now, Cause stated) {
        Cause cause = stated != null ? stated : findCause(logic, request, now);
        if (cause == Cause.ADMISSION
                && request.priority < request.requestClass.worth()
                && logic.admissionTokens
                        >= 1 + (Logic.ADMISSION_BURST - 1) * (1 - request.requestClass.worth() / logic.maxWorth)) {
            // Admission is ordered by priority: with the full value of its class the request would have been admitted.
            cause = Cause.TENANT;
        }
        double limitSum = 0;
        int ready = 0;
        int outstanding = 0;
        for (EndpointState endpoint : logic.listed) {
            if (endpoint.ready && !endpoint.ejected) {
                limitSum += endpoint.concurrencyLimit;
                outstanding += endpoint.outstanding.size();
                ready++;
            }
        }
        double limitReached = switch (cause) {
            case ADMISSION, TENANT -> logic.admittedShare;
            case LIMITS -> limitSum;
            case OVERLOAD -> logic.meanLoad(now);
            case TIME -> logic.baselineLatencyUs[request.arrival.classIndex()];
            case BUDGET -> logic.retryTokens;
            default -> Double.NaN;
        };
        return new UnservedReason(
                request.arrival.id(),
                cause,
                request.arrival.classIndex(),
                request.priority,
                now - logic.createdAt,
                limitReached,
                String.format(
                        Locale.ROOT,
                        "late %.2f, strain %.2f, %d of %d hosts ready, %d out of limits %.1f, capacity %.1f of %.1f",
                        logic.lateShare,
                        logic.overloadRatio,
                        ready,
                        logic.listed.size(),
                        outstanding,
                        limitSum,
                        logic.totalCapacity,
                        logic.totalWeight));
    }

    private static Cause findCause(Logic logic, RequestState request, long now) {
        Attempt pinned = Logic.pinnedAttempt(request);
        RequestClass requestClass = request.requestClass;
        if (logic.listed.isEmpty()) {
            return Cause.NO_LIST;
        }
        if (logic.listExpired(now)) {
            return Cause.LIST_OVERDUE;
        }
        if (request.attempts.isEmpty() || logic.mayRetry(request, now)) {
            return mostCommonCause(logic, request, pinned, now);
        }
        if (pinned != null && requestClass.effect() == Effect.FRAGILE) {
            return Cause.EFFECT;
        }
        if (pinned != null
                && requestClass.effect() == Effect.DEDUP
                && now >= pinned.sentAt + requestClass.dedupWindowUs()) {
            return Cause.WINDOW;
        }
        return request.attempts.size() >= logic.settings.limits().maxAttempts()
                ? Cause.ATTEMPTS
                : logic.retryTokens < logic.retryCost(pinned) ? Cause.BUDGET : Cause.TIME;
    }

    /**
     * The cause that applies to most of the request's owners. Endpoints that can never take it count only if there are
     * no others.
     */
    private static Cause mostCommonCause(Logic logic, RequestState request, Attempt pinned, long now) {
        Map<Cause, Integer> counts = new EnumMap<>(Cause.class);
        int maxOwners = request.arrival.key() == null ? logic.listed.size() : Logic.MAX_OWNERS_WITH_REPORTS;
        int visit = ++logic.visitNumber;
        logic.ring.seek(request.hash);
        for (int visited = 0, owners = 0; visited < logic.listed.size() && owners < maxOwners; ) {
            EndpointState endpoint = logic.ring.next();
            if (endpoint.lastVisit != visit) {
                endpoint.lastVisit = visit;
                visited++;
                Cause cause = causeAt(logic, request, pinned, endpoint, now);
                owners += cause == Cause.NO_HOST ? 0 : 1;
                counts.merge(cause, cause == Cause.NO_HOST ? 0 : 1, Integer::sum);
            }
        }
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(Cause.NO_HOST);
    }

    /** Why this endpoint cannot take the request. */
    private static Cause causeAt(Logic logic, RequestState request, Attempt pinned, EndpointState endpoint, long now) {
        boolean tried = request.attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
        if (!endpoint.ready || tried || !Logic.inDedupGroup(request, pinned, endpoint)) {
            return Cause.NO_HOST;
        }
        if (now < endpoint.backoffUntil) {
            return Cause.FULL;
        }
        if (endpoint.cold && logic.refilledColdTokens(endpoint, now) < 1) {
            return Cause.COLD;
        }
        return endpoint.ejected
                ? Cause.NO_HOST
                : logic.hasSpareCapacity(endpoint, request, 1) ? Cause.OVERLOAD : Cause.LIMITS;
    }
}
