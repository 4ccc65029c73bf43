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
final class Account {
    /** Width of the report's windows. */
    static final long WINDOW_US = 10_000_000;

    private final World world;
    private final Map<String, Story> stories = new HashMap<>();
    private final Map<Cause, LossReport.Loss> byCause = new TreeMap<>();
    private final List<Map<String, Map<Cause, Double>>> parts = new ArrayList<>();
    /** Requests whose clients are still waiting. */
    private final Set<Clients.Ask> open = new LinkedHashSet<>();

    private double lost;
    /**
     * Called with each completed request and the cause of its loss, or null if nothing was lost; null: no listener.
     */
    private BiConsumer<Clients.Ask, Cause> listener;

    /** The history of one try. */
    static final class Story {
        private final Clients.Try t;
        private final List<Step> steps = new ArrayList<>(1);
        private long takenAt = -1;
        /** The cause of a refusal before any attempt. */
        private Cause refusal;

        private long endedAt;

        private Story(Clients.Try t) {
            this.t = t;
        }
    }

    /** One attempt: its server and that server's true state. */
    private static final class Step {
        private final int number;
        private final Host host;
        private final long at;
        private final Cause how;
        private final int held;
        private Outcome outcome;
        private long endedAt;

        private Step(int number, Host host, long at, Cause how) {
            this.number = number;
            this.host = host;
            this.at = at;
            this.how = how;
            this.held = host == null || !host.alive() ? 0 : host.life.held();
        }
    }

    Account(World world) {
        this.world = world;
        for (int i = 0; i < LossReport.Part.values().length; i++) {
            parts.add(new TreeMap<>());
        }
    }

    // ---- what happens --------------------------------------------------------------------------------

    void asked(Clients.Ask a) {
        open.add(a);
    }

    void tried(Clients.Try t) {
        stories.put(t.call.id(), new Story(t));
        t.ask.tried.add(t.call.id());
    }

    void taken(String id) {
        Story s = stories.get(id);
        if (s != null) {
            s.takenAt = world.queue.now();
        }
    }

    void sent(String id, int number, Host host) {
        Story s = stories.get(id);
        if (s != null && (s.steps.isEmpty() || last(s).number != number)) {
            s.steps.add(new Step(number, host, world.queue.now(), state(s.t, host)));
        }
    }

    private static Step last(Story s) {
        return s.steps.get(s.steps.size() - 1);
    }

    void attemptEnded(String id, int number, Host host, Outcome outcome) {
        Story s = stories.get(id);
        if (s == null) {
            return;
        }
        if (s.steps.isEmpty() || last(s).number != number) {
            // Nothing was written because no connection was established.
            Cause how = host == null ? Cause.UNREACHABLE : state(s.t, host);
            s.steps.add(new Step(number, host, world.queue.now(), how));
        }
        last(s).outcome = outcome;
        last(s).endedAt = world.queue.now();
    }

    void refused(String id) {
        Story s = stories.get(id);
        if (s != null && s.steps.isEmpty()) {
            s.refusal = room(s.t);
        }
    }

    /** The true state of a server now, as a cause of loss for a request that goes to it. */
    private Cause state(Clients.Try t, Host h) {
        if (h.vanished || !world.network.passes(t.ask.proxy, world.zoneOf(t.ask.proxy), h)) {
            return Cause.UNREACHABLE;
        }
        if (!h.alive() || h.life.draining()) {
            return Cause.DRAINED;
        }
        if (h.life.hung()) {
            return Cause.HANGING;
        }
        if (h.life.troubled()) {
            return Cause.BAD;
        }
        return h.life.warmth() < 1
                ? Cause.COLD
                : h.life.held() >= h.life.machine().cores() ? Cause.CROWDED : Cause.LONG_WORK;
    }

    /** The cause of a refusal, by whether any server could have run the refused request at once. */
    private Cause room(Clients.Try t) {
        if (!world.proxies.get(t.ask.proxy).knowsServers()) {
            return Cause.NO_LIST;
        }
        boolean cold = false;
        for (Host h : world.hosts) {
            if (!h.alive()
                    || h.life.draining()
                    || h.life.hung()
                    || !world.network.passes(t.ask.proxy, world.zoneOf(t.ask.proxy), h)) {
                continue;
            }
            if (h.life.held() < h.life.machine().cores() && !h.life.troubled()) {
                if (h.life.warmth() >= 1) {
                    return Cause.REFUSED_WITH_ROOM;
                }
                cold = true;
            }
        }
        return cold ? Cause.REFUSED_WITH_COLD_ROOM : Cause.REFUSED_RIGHTLY;
    }

    /** Completes a request for its client and assigns its lost value to a cause. */
    void over(Clients.Ask a, double worthLost, long now) {
        open.remove(a);
        Cause cause = worthLost > 0 ? cause(a, now) : null;
        if (listener != null) {
            listener.accept(a, cause);
        }
        if (worthLost > 0) {
            lost += worthLost;
            byCause.computeIfAbsent(cause, c -> new LossReport.Loss()).add(worthLost);
            for (LossReport.Part part : LossReport.Part.values()) {
                parts.get(part.ordinal())
                        .computeIfAbsent(name(part, a), n -> new TreeMap<>())
                        .merge(cause, worthLost, Double::sum);
            }
        }
        a.tried.forEach(stories::remove);
    }

    private String name(LossReport.Part part, Clients.Ask a) {
        return switch (part) {
            case INSTANCE -> String.format(Locale.ROOT, "%5d", a.proxy);
            case ZONE -> world.scenario.zones().get(world.zoneOf(a.proxy));
            case CLASS -> a.type.name();
            case TENANT ->
                world.scenario.tenants().isEmpty()
                        ? "-"
                        : world.scenario.tenants().get(a.tenant).name();
            case WINDOW -> String.format(Locale.ROOT, "%4d s", a.bornAt / WINDOW_US * (WINDOW_US / 1_000_000));
        };
    }

    private Cause cause(Clients.Ask a, long now) {
        for (String id : a.tried) {
            Story s = stories.get(id);
            if (s == null) {
                continue;
            }
            if (s.t.how == Clients.How.LEFT) {
                return Cause.CLIENT_GONE;
            }
            if (s.t.how == Clients.How.UNREACHABLE || s.t.how == Clients.How.BROKEN) {
                return Cause.OWN_RESTART;
            }
            Cause first = first(s, now);
            if (first != null) {
                return first;
            }
        }
        return Cause.HELD;
    }

    /** The first cause of loss in one try; null if there was none. */
    private Cause first(Story s, long now) {
        if (s.refusal != null) {
            return s.refusal;
        }
        for (Step step : s.steps) {
            if (step.outcome == null || step.outcome == Outcome.OK) {
                continue;
            }
            if (step.outcome == Outcome.RESET && step.how != Cause.UNREACHABLE && step.how != Cause.DRAINED) {
                return s.t.ask.type.effect() == Effect.RETRYABLE ? Cause.BAD : Cause.ANSWER_LOST;
            }
            return step.how;
        }
        if (s.steps.isEmpty()) {
            // A try may be refused at once, for example because its deadline had passed on arrival.
            return s.takenAt < 0 ? null : Cause.HELD;
        }
        Step served = last(s);
        return served.at - s.takenAt > now - served.at ? Cause.HELD : served.how;
    }

    /** Sets the listener that is called with each completed request. */
    void listen(BiConsumer<Clients.Ask, Cause> who) {
        listener = who;
    }

    /** Records when a try ended for its client. */
    void ended(Clients.Try t) {
        Story s = stories.get(t.call.id());
        if (s != null) {
            s.endedAt = world.queue.now();
        }
    }

    /** The history of a request, try by try; may only be called while the listener runs for that request. */
    List<String> tell(Clients.Ask a) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%s, key %s, %s, client proxy %d in %s, wanted within %.0f ms, asked at %.3f s",
                a.type.name(),
                a.key,
                world.scenario.tenants().isEmpty()
                        ? "no tenant"
                        : world.scenario.tenants().get(a.tenant).name(),
                a.proxy,
                world.scenario.zones().get(world.zoneOf(a.proxy)),
                a.type.targetLatencyUs() / 1e3,
                a.bornAt / 1e6));
        for (String id : a.tried) {
            Story s = stories.get(id);
            if (s == null) {
                continue;
            }
            line(
                    lines,
                    a,
                    s.t.sentAt,
                    "%s: sent to its client proxy, which has %.0f ms",
                    id,
                    (s.t.deadlineAt - s.t.sentAt) / 1e3);
            for (Step step : s.steps) {
                line(
                        lines,
                        a,
                        step.at,
                        "  attempt %d to %s in %s, which holds %d (%s)",
                        step.number,
                        step.host == null ? "an address without a server" : step.host.id,
                        step.host == null ? "no zone" : world.scenario.zones().get(step.host.zone),
                        step.held,
                        step.how.word());
                if (step.outcome != null) {
                    line(lines, a, step.endedAt, "  attempt %d ended: %s", step.number, Section.form(step.outcome));
                }
            }
            if (s.t.how != null) {
                line(
                        lines,
                        a,
                        s.endedAt,
                        "%s: %s%s",
                        id,
                        Section.form(s.t.how),
                        s.refusal == null ? "" : " (" + s.refusal.words() + ")");
            }
        }
        return lines;
    }

    private static void line(List<String> lines, Clients.Ask a, long at, String form, Object... values) {
        lines.add(String.format(Locale.ROOT, "%9.1f ms  ", (at - a.bornAt) / 1e3)
                + String.format(Locale.ROOT, form, values));
    }

    // ---- the report ----------------------------------------------------------------------------------

    /** The report so far; requests that are still open count as not served. */
    LossReport report() {
        List.copyOf(open).forEach(a -> over(a, world.tally.worth(a), world.queue.now()));
        Map<LossReport.Part, Map<String, Map<Cause, Double>>> named = new LinkedHashMap<>();
        for (LossReport.Part part : LossReport.Part.values()) {
            named.put(part, parts.get(part.ordinal()));
        }
        return new LossReport(lost, byCause, named);
    }
}
