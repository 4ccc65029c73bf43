package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Outcome;
import mulleinfront.settings.Section;

/**
 * Loss attribution: each request that was not answered within its target latency is assigned to the one cause that
 * began its loss. Without that cause its first try would have been answered in time, so the first fault counts and
 * not its consequences.
 *
 * <p>It reads the true state of the simulation when a request was sent or refused, which no client proxy knows.
 */
final class LossAttribution {
    /** Width of the report's windows. */
    static final long WINDOW_US = 10_000_000;

    private final World world;
    private final Map<String, TryHistory> histories = new HashMap<>();
    private final Map<Cause, LossReport.Loss> byCause = new TreeMap<>();
    private final List<Map<String, Map<Cause, Double>>> lossesByDimension = new ArrayList<>();
    /** Requests whose clients are still waiting. */
    private final Set<Clients.ClientRequest> open = new LinkedHashSet<>();

    private double lostValue;
    /**
     * Called with each completed request and the cause of its loss, or null if nothing was lost; null: no listener.
     */
    private BiConsumer<Clients.ClientRequest, Cause> listener;

    /** The history of one try. */
    static final class TryHistory {
        private final Clients.Try clientTry;
        private final List<AttemptRecord> attempts = new ArrayList<>(1);
        private long acceptedAt = -1;
        /** The cause of a refusal before any attempt. */
        private Cause refusal;

        private long endedAt;

        private TryHistory(Clients.Try clientTry) {
            this.clientTry = clientTry;
        }
    }

    /** One attempt: its server and that server's true state. */
    private static final class AttemptRecord {
        private final int number;
        private final Host host;
        private final long at;
        private final Cause serverState;
        private final int inFlight;
        private Outcome outcome;
        private long endedAt;

        private AttemptRecord(int number, Host host, long at, Cause serverState) {
            this.number = number;
            this.host = host;
            this.at = at;
            this.serverState = serverState;
            this.inFlight = host == null || !host.alive() ? 0 : host.process.inFlight();
        }
    }

    LossAttribution(World world) {
        this.world = world;
        for (int i = 0; i < LossReport.Dimension.values().length; i++) {
            lossesByDimension.add(new TreeMap<>());
        }
    }

    // ---- what happens --------------------------------------------------------------------------------

    void requestArrived(Clients.ClientRequest request) {
        open.add(request);
    }

    void trySent(Clients.Try clientTry) {
        histories.put(clientTry.call.id(), new TryHistory(clientTry));
        clientTry.request.tryIds.add(clientTry.call.id());
    }

    void tryAccepted(String id) {
        TryHistory history = histories.get(id);
        if (history != null) {
            history.acceptedAt = world.queue.now();
        }
    }

    void attemptSent(String id, int number, Host host) {
        TryHistory history = histories.get(id);
        if (history != null && (history.attempts.isEmpty() || lastAttempt(history).number != number)) {
            history.attempts.add(
                    new AttemptRecord(number, host, world.queue.now(), serverState(history.clientTry, host)));
        }
    }

    private static AttemptRecord lastAttempt(TryHistory history) {
        return history.attempts.get(history.attempts.size() - 1);
    }

    void attemptEnded(String id, int number, Host host, Outcome outcome) {
        TryHistory history = histories.get(id);
        if (history == null) {
            return;
        }
        if (history.attempts.isEmpty() || lastAttempt(history).number != number) {
            // Nothing was written because no connection was established.
            Cause state = host == null ? Cause.UNREACHABLE : serverState(history.clientTry, host);
            history.attempts.add(new AttemptRecord(number, host, world.queue.now(), state));
        }
        lastAttempt(history).outcome = outcome;
        lastAttempt(history).endedAt = world.queue.now();
    }

    void tryRefused(String id) {
        TryHistory history = histories.get(id);
        if (history != null && history.attempts.isEmpty()) {
            history.refusal = refusalCause(history.clientTry);
        }
    }

    /** The true state of a server now, as a cause of loss for a request that goes to it. */
    private Cause serverState(Clients.Try clientTry, Host host) {
        if (host.disconnected
                || !world.network.delivers(clientTry.request.proxy, world.zoneOf(clientTry.request.proxy), host)) {
            return Cause.UNREACHABLE;
        }
        if (!host.alive() || host.process.draining()) {
            return Cause.DRAINED;
        }
        if (host.process.hung()) {
            return Cause.HANGING;
        }
        if (host.process.faulty()) {
            return Cause.BAD;
        }
        return host.process.warmth() < 1
                ? Cause.COLD
                : host.process.inFlight() >= host.process.spec().cores() ? Cause.CROWDED : Cause.LONG_WORK;
    }

    /** The cause of a refusal, by whether any server could have run the refused request at once. */
    private Cause refusalCause(Clients.Try clientTry) {
        if (!world.proxies.get(clientTry.request.proxy).hasReadyServers()) {
            return Cause.NO_LIST;
        }
        boolean cold = false;
        for (Host host : world.hosts) {
            if (!host.alive()
                    || host.process.draining()
                    || host.process.hung()
                    || !world.network.delivers(clientTry.request.proxy, world.zoneOf(clientTry.request.proxy), host)) {
                continue;
            }
            if (host.process.inFlight() < host.process.spec().cores() && !host.process.faulty()) {
                if (host.process.warmth() >= 1) {
                    return Cause.REFUSED_WITH_ROOM;
                }
                cold = true;
            }
        }
        return cold ? Cause.REFUSED_WITH_COLD_ROOM : Cause.REFUSED_RIGHTLY;
    }

    /** Completes a request for its client and assigns its lost value to a cause. */
    void requestEnded(Clients.ClientRequest request, double lostWorth, long now) {
        open.remove(request);
        Cause cause = lostWorth > 0 ? causeOf(request, now) : null;
        if (listener != null) {
            listener.accept(request, cause);
        }
        if (lostWorth > 0) {
            lostValue += lostWorth;
            byCause.computeIfAbsent(cause, c -> new LossReport.Loss()).add(lostWorth);
            for (LossReport.Dimension dimension : LossReport.Dimension.values()) {
                lossesByDimension
                        .get(dimension.ordinal())
                        .computeIfAbsent(name(dimension, request), n -> new TreeMap<>())
                        .merge(cause, lostWorth, Double::sum);
            }
        }
        request.tryIds.forEach(histories::remove);
    }

    private String name(LossReport.Dimension dimension, Clients.ClientRequest request) {
        return switch (dimension) {
            case INSTANCE -> String.format(Locale.ROOT, "%5d", request.proxy);
            case ZONE -> world.scenario.zones().get(world.zoneOf(request.proxy));
            case CLASS -> request.type.name();
            case TENANT ->
                world.scenario.tenants().isEmpty()
                        ? "-"
                        : world.scenario.tenants().get(request.tenant).name();
            case WINDOW -> String.format(Locale.ROOT, "%4d s", request.arrivedAt / WINDOW_US * (WINDOW_US / 1_000_000));
        };
    }

    private Cause causeOf(Clients.ClientRequest request, long now) {
        for (String id : request.tryIds) {
            TryHistory history = histories.get(id);
            if (history == null) {
                continue;
            }
            if (history.clientTry.result == Clients.TryResult.LEFT) {
                return Cause.CLIENT_GONE;
            }
            if (history.clientTry.result == Clients.TryResult.UNREACHABLE
                    || history.clientTry.result == Clients.TryResult.BROKEN) {
                return Cause.OWN_RESTART;
            }
            Cause first = firstCause(history, now);
            if (first != null) {
                return first;
            }
        }
        return Cause.HELD;
    }

    /** The first cause of loss in one try; null if there was none. */
    private Cause firstCause(TryHistory history, long now) {
        if (history.refusal != null) {
            return history.refusal;
        }
        for (AttemptRecord attempt : history.attempts) {
            if (attempt.outcome == null || attempt.outcome == Outcome.OK) {
                continue;
            }
            if (attempt.outcome == Outcome.RESET
                    && attempt.serverState != Cause.UNREACHABLE
                    && attempt.serverState != Cause.DRAINED) {
                return history.clientTry.request.type.effect() == Effect.RETRYABLE ? Cause.BAD : Cause.ANSWER_LOST;
            }
            return attempt.serverState;
        }
        if (history.attempts.isEmpty()) {
            // A try may be refused at once, for example because its deadline had passed on arrival.
            return history.acceptedAt < 0 ? null : Cause.HELD;
        }
        AttemptRecord served = lastAttempt(history);
        return served.at - history.acceptedAt > now - served.at ? Cause.HELD : served.serverState;
    }

    /** Sets the listener that is called with each completed request. */
    void setListener(BiConsumer<Clients.ClientRequest, Cause> newListener) {
        listener = newListener;
    }

    /** Records when a try ended for its client. */
    void tryEnded(Clients.Try clientTry) {
        TryHistory history = histories.get(clientTry.call.id());
        if (history != null) {
            history.endedAt = world.queue.now();
        }
    }

    /** The history of a request, try by try; may only be called while the listener runs for that request. */
    List<String> history(Clients.ClientRequest request) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%s, key %s, %s, client proxy %d in %s, wanted within %.0f ms, asked at %.3f s",
                request.type.name(),
                request.key,
                world.scenario.tenants().isEmpty()
                        ? "no tenant"
                        : world.scenario.tenants().get(request.tenant).name(),
                request.proxy,
                world.scenario.zones().get(world.zoneOf(request.proxy)),
                request.type.targetLatencyUs() / 1e3,
                request.arrivedAt / 1e6));
        for (String id : request.tryIds) {
            TryHistory history = histories.get(id);
            if (history == null) {
                continue;
            }
            addLine(
                    lines,
                    request,
                    history.clientTry.sentAt,
                    "%s: sent to its client proxy, which has %.0f ms",
                    id,
                    (history.clientTry.deadlineAt - history.clientTry.sentAt) / 1e3);
            for (AttemptRecord attempt : history.attempts) {
                addLine(
                        lines,
                        request,
                        attempt.at,
                        "  attempt %d to %s in %s, which holds %d (%s)",
                        attempt.number,
                        attempt.host == null ? "an address without a server" : attempt.host.id,
                        attempt.host == null
                                ? "no zone"
                                : world.scenario.zones().get(attempt.host.zone),
                        attempt.inFlight,
                        attempt.serverState.outputName());
                if (attempt.outcome != null) {
                    addLine(
                            lines,
                            request,
                            attempt.endedAt,
                            "  attempt %d ended: %s",
                            attempt.number,
                            Section.outputName(attempt.outcome));
                }
            }
            if (history.clientTry.result != null) {
                addLine(
                        lines,
                        request,
                        history.endedAt,
                        "%s: %s%s",
                        id,
                        Section.outputName(history.clientTry.result),
                        history.refusal == null ? "" : " (" + history.refusal.description() + ")");
            }
        }
        return lines;
    }

    private static void addLine(
            List<String> lines, Clients.ClientRequest request, long at, String form, Object... values) {
        lines.add(String.format(Locale.ROOT, "%9.1f ms  ", (at - request.arrivedAt) / 1e3)
                + String.format(Locale.ROOT, form, values));
    }

    // ---- the report ----------------------------------------------------------------------------------

    /** The report so far; requests that are still open count as not served. */
    LossReport report() {
        List.copyOf(open).forEach(request -> requestEnded(request, world.statistics.worth(request), world.queue.now()));
        Map<LossReport.Dimension, Map<String, Map<Cause, Double>>> named = new LinkedHashMap<>();
        for (LossReport.Dimension dimension : LossReport.Dimension.values()) {
            named.put(dimension, lossesByDimension.get(dimension.ordinal()));
        }
        return new LossReport(lostValue, byCause, named);
    }
}
