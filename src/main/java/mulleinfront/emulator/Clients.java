package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.core.Time;

/**
 * The applications: an open-loop load generator, which sends requests whether or not earlier ones were answered. Each
 * request makes one or more tries at the local client proxy.
 */
final class Clients {
    /** Burst of a tenant's token bucket, as seconds at the tenant's share. */
    private static final double SAVED_S = 5;

    private final World world;
    private final Scenario scenario;
    private final Chance arrivals;
    private final Chance habits;
    private final double[] proxies;
    private final double[] classes;
    private final double[] keys;
    private final double[] tenantWeight;
    private final double[] surge;
    private double[] tenants;
    private double surged = 1;
    private boolean burst;
    private final double[] allowance;
    private final double[] allowancePerUs;
    private final long[] allowedAt;
    private long ids;

    /** The result of a try as the client sees it. */
    enum How {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        UNREACHABLE,
        TIMED_OUT,
        LEFT
    }

    /** One client request with all its tries. */
    static final class Ask {
        final int classIndex;
        final RequestClass type;
        final int tenant;
        final String key;
        final String effect;
        final double work;
        final boolean overShare;
        final long bornAt;
        final int proxy;
        final double patience;
        final boolean honours;
        /** Ids of the tries so far. */
        final List<String> tried = new ArrayList<>(1);

        int tries;
        /** Additional statistics that the request counts for; null: none. */
        Tally.Sum start;
        /** The call of a call graph that this request is; null: none. */
        final Hop hop;

        private Ask(
                int classIndex,
                RequestClass type,
                int tenant,
                String key,
                String effect,
                double work,
                boolean overShare,
                long bornAt,
                int proxy,
                double patience,
                boolean honours,
                Hop hop) {
            this.classIndex = classIndex;
            this.type = type;
            this.tenant = tenant;
            this.key = key;
            this.effect = effect;
            this.work = work;
            this.overShare = overShare;
            this.bornAt = bornAt;
            this.proxy = proxy;
            this.patience = patience;
            this.honours = honours;
            this.hop = hop;
        }

        long aimAt() {
            return bornAt + type.targetLatencyUs();
        }
    }

    /** One try: a request message with its own id. */
    static final class Try {
        final Ask ask;
        final Call call;
        final long sentAt;
        final long deadlineAt;
        private boolean over;
        private Time.Timer patience;
        /** The result; null while the try is open. */
        How how;

        private Try(Ask ask, Call call, long sentAt, long deadlineAt) {
            this.ask = ask;
            this.call = call;
            this.sentAt = sentAt;
            this.deadlineAt = deadlineAt;
        }
    }

    Clients(World world) {
        this.world = world;
        this.scenario = world.scenario;
        this.arrivals = world.chance("arrivals");
        this.habits = world.chance("habits");
        double[] weights =
                Chance.zipf(scenario.proxies().count(), scenario.proxies().spread());
        this.proxies = Chance.sum(weights);
        this.classes = Chance.sum(scenario.classes().stream()
                .mapToDouble(Scenario.ClassSpec::share)
                .toArray());
        this.keys = scenario.load().keys() == 0
                ? null
                : Chance.sum(Chance.zipf(scenario.load().keys(), scenario.load().zipf()));
        int count = Math.max(1, scenario.tenants().size());
        this.tenantWeight = new double[count];
        this.surge = new double[count];
        this.allowance = new double[count];
        this.allowancePerUs = new double[count];
        this.allowedAt = new long[count];
        Arrays.fill(tenantWeight, 1);
        Arrays.fill(surge, 1);
        Arrays.fill(allowancePerUs, 1e9);
        double fullPerUs = scenario.fullRate() / 1e6 * scenario.service().shareOfCapacity();
        for (int i = 0; i < scenario.tenants().size(); i++) {
            Scenario.Tenant t = scenario.tenants().get(i);
            tenantWeight[i] = t.share() * t.usage();
            allowancePerUs[i] = fullPerUs * t.share();
        }
        Arrays.setAll(allowance, i -> SAVED_S * 1e6 * allowancePerUs[i]);
        weighTenants();
    }

    private void weighTenants() {
        double[] weights = tenantWeight.clone();
        double plain = Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            weights[i] *= surge[i];
        }
        tenants = Chance.sum(weights);
        surged = tenants[tenants.length - 1] / plain;
    }

    /** Multiplies the load of one tenant, or of all if {@code tenant} is negative; 1 ends the surge. */
    void surge(int tenant, double factor) {
        for (int i = 0; i < surge.length; i++) {
            surge[i] = tenant < 0 || tenant == i ? factor : surge[i];
        }
        weighTenants();
    }

    void begin(long at) {
        if (scenario.load().shape() == Scenario.Shape.BURSTY) {
            world.queue.after(at, this::turn);
        }
        world.queue.after(at, this::next);
    }

    /** Switches between burst and lull after a drawn time. */
    private void turn() {
        burst = !burst;
        world.queue.after((long) arrivals.exponential(scenario.load().burstUs()), this::turn);
    }

    private double rate() {
        Scenario.Load load = scenario.load();
        double rate = switch (load.shape()) {
            case STEADY -> load.perSecond();
            case BURSTY -> load.perSecond() * (burst ? 1 + load.swing() : 1 - load.swing());
            case RAMP ->
                load.perSecond()
                        + (load.endPerSecond() - load.perSecond())
                                * Math.min(1.0, (double) world.queue.now() / scenario.lengthUs());
        };
        return rate * surged;
    }

    /**
     * Schedules the next arrival. The rate is re-read at least once per second, which bounds the error when it
     * changes.
     */
    private void next() {
        double rate = rate();
        double gap = rate <= 0 ? 2e6 : arrivals.exponential(1e6 / rate);
        boolean comes = gap < 1e6;
        world.queue.after((long) Math.min(gap, 1e6), () -> {
            if (world.queue.now() < scenario.lengthUs()) {
                if (comes) {
                    ask();
                }
                next();
            }
        });
    }

    /** Sends one request with a drawn class, tenant, key and client proxy. */
    void ask() {
        int c = arrivals.place(classes);
        Scenario.ClassSpec spec = scenario.classes().get(c);
        int tenant = arrivals.place(tenants);
        String key = keys == null ? null : "k" + arrivals.place(keys);
        double work = spec.drawUs(arrivals);
        int proxy = arrivals.place(proxies);
        Ask ask = new Ask(
                c,
                spec.type(),
                tenant,
                key,
                "e" + ids,
                Math.max(1, work),
                overShare(tenant),
                world.queue.now(),
                proxy,
                scenario.clients().patience().draw(habits::between),
                habits.happens(scenario.clients().honour()),
                null);
        world.tally.asked(ask, world.proxies.get(proxy));
        world.account.asked(ask);
        attempt(ask);
    }

    /** Sends a call of the graph simulation, which replaces the generated load. */
    void call(Hop hop, int proxy, int tenant, String key, double work) {
        Ask ask = new Ask(
                hop.classIndex,
                scenario.classes().get(hop.classIndex).type(),
                tenant,
                key,
                hop.effect,
                Math.max(1, work),
                overShare(tenant),
                world.queue.now(),
                proxy,
                1,
                false,
                hop);
        world.tally.asked(ask, world.proxies.get(proxy));
        world.account.asked(ask);
        attempt(ask);
    }

    /** The application cancels a call. */
    void giveUp(Try t) {
        leave(t, How.LEFT);
    }

    private boolean overShare(int tenant) {
        long now = world.queue.now();
        double most = SAVED_S * 1e6 * allowancePerUs[tenant];
        allowance[tenant] = Math.min(most, allowance[tenant] + (now - allowedAt[tenant]) * allowancePerUs[tenant]);
        allowedAt[tenant] = now;
        if (allowance[tenant] < 1) {
            return true;
        }
        allowance[tenant]--;
        return false;
    }

    private void attempt(Ask ask) {
        long now = world.queue.now();
        long deadline =
                Math.min(now + (long) (ask.patience * ask.type.deadlineUs()), ask.bornAt + ask.type.deadlineUs());
        if (ask.hop != null) {
            deadline = Math.min(deadline, ask.hop.endAt);
        }
        if (deadline - now < 1_000) {
            over(ask, How.TIMED_OUT);
            return;
        }
        ask.tries++;
        String id = "q" + ids++;
        Try t = new Try(
                ask,
                new Call(id, ask.classIndex, ask.work, ask.key, ask.effect, ask.type.dedupWindowUs(), ask.hop),
                now,
                deadline);
        if (ask.hop != null) {
            ask.hop.tried(t, now);
        }
        world.tally.tried();
        world.account.tried(t);
        Instance proxy = world.proxies.get(ask.proxy);
        world.queue.after(way(), () -> {
            if (t.over) {
                return;
            }
            if (!proxy.running()) {
                answered(t, How.UNREACHABLE, 0);
                return;
            }
            proxy.take(t);
        });
        t.patience =
                world.queue.after(deadline + scenario.rules().answerSlackUs() - now, () -> leave(t, How.TIMED_OUT));
        if (habits.happens(scenario.clients().leave())) {
            world.queue.after((long) ((deadline - now) * habits.unit()), () -> leave(t, How.LEFT));
        }
    }

    private long way() {
        return (long) scenario.network().client().draw(habits::between);
    }

    /** The client stops waiting and closes its connection. */
    private void leave(Try t, How how) {
        if (!t.over) {
            t.over = true;
            world.proxies.get(t.ask.proxy).gone(t);
            ended(t, how, 0);
        }
    }

    /** Delivers the client proxy's result to the client after the network delay. */
    void answered(Try t, How how, long retryAfterUs) {
        world.queue.after(way(), () -> {
            if (!t.over) {
                t.over = true;
                t.patience.cancel();
                ended(t, how, retryAfterUs);
            }
        });
    }

    /** Processes a try's result in the client: it makes a further try if a repeat is safe and time is left. */
    private void ended(Try t, How how, long retryAfterUs) {
        Ask ask = t.ask;
        long now = world.queue.now();
        t.how = how;
        world.account.ended(t);
        world.tally.tryEnded(ask, how);
        if (how == How.SERVED || how == How.LEFT) {
            over(ask, how);
            return;
        }
        boolean harmless = how == How.REFUSED || how == How.UNREACHABLE || Scenario.refusable(ask.type);
        double wait = scenario.clients().backoff().draw(habits::between)
                * (scenario.clients().doubling() ? 1 << Math.min(16, ask.tries - 1) : 1);
        if (ask.honours) {
            wait = Math.max(wait, retryAfterUs);
        }
        if (!harmless
                || ask.tries > (ask.hop == null ? scenario.clients().retries() : ask.hop.retries())
                || now + wait >= ask.bornAt + ask.type.deadlineUs()) {
            over(ask, how);
            return;
        }
        world.queue.after((long) wait, () -> {
            if (ask.hop != null && ask.hop.over()) {
                over(ask, How.LEFT);
            } else {
                attempt(ask);
            }
        });
    }

    /** Completes a request; no further try follows. */
    private void over(Ask ask, How how) {
        double lost = world.tally.over(ask, how == How.SERVED, world.queue.now());
        world.account.over(ask, lost, world.queue.now());
        if (ask.hop != null) {
            ask.hop.ended(how, world.queue.now());
        }
    }
}
