package mulleinfront.emulator;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.emulator.Scenario.ClassSpec;
import mulleinfront.emulator.Scenario.Clients;
import mulleinfront.emulator.Scenario.Discovery;
import mulleinfront.emulator.Scenario.Dist;
import mulleinfront.emulator.Scenario.Known;
import mulleinfront.emulator.Scenario.Limits;
import mulleinfront.emulator.Scenario.Load;
import mulleinfront.emulator.Scenario.Network;
import mulleinfront.emulator.Scenario.Proxies;
import mulleinfront.emulator.Scenario.Rules;
import mulleinfront.emulator.Scenario.Servers;
import mulleinfront.emulator.Scenario.Service;
import mulleinfront.emulator.Scenario.Shape;
import mulleinfront.emulator.Scenario.Tenant;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Section;

/**
 * Reads a scenario file (TOML 1.0): whole, or not at all. The keys, their units and what they mean are on the
 * operators' page {@code docs/emulator.md}; what is absent there has the value given there.
 */
public final class ScenarioReader {
    /** Values of a request class's {@code effect} key: how safe it is to repeat a request of the class. */
    private enum Effects {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Values of the {@code group} key: the servers among which repeats of a keyed request are deduplicated. */
    private enum Groups {
        ALL,
        ZONE,
        CELL
    }

    /** Values of the discovery {@code mode} key: client proxies poll for the list, or changes are pushed to them. */
    private enum Mode {
        ASK,
        PUSH
    }

    /** Values of the {@code warm-by} key: a cold server warms up with elapsed time or with completed work. */
    private enum WarmBy {
        TIME,
        WORK
    }

    /** Values of the {@code detector} key: the failure detector that the simulated members run. */
    private enum Detector {
        FULL,
        PLAIN
    }

    private ScenarioReader() {}

    /**
     * Reads a file, and the file of the world that it stands on, if it names one.
     *
     * @throws BadFileException one line with file, line and reason
     */
    public static Scenario read(Path file) throws BadFileException {
        return read(file.toString(), text(file), world -> {
            Path beside = file.resolveSibling(world);
            return new String[] {beside.toString(), text(beside)};
        });
    }

    static String text(Path file) throws BadFileException {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": there is no such file");
        } catch (MalformedInputException e) {
            throw new BadFileException(file + ": is not UTF-8 text");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }

    /** Gives the name and the text of the world that a scenario stands on. */
    interface Worlds {
        String[] find(String name) throws BadFileException;
    }

    /** The same from texts: {@code file} is how to call it in messages. */
    static Scenario read(String file, String text, Worlds worlds) throws BadFileException {
        Section own = Section.root(file, text, null);
        String world = own.table("scenario").text("world", "");
        if (world.isEmpty()) {
            return read(file, own);
        }
        String[] found = worlds.find(world);
        Section base = Section.root(found[0], found[1], null);
        if (base.table("scenario").statesOwn("world")) {
            throw own.table("scenario").wrong("world", found[0] + " stands on another world itself");
        }
        return read(file, Section.root(file, text, base));
    }

    /** The same of a root whose other tables have been asked for. */
    static Scenario read(String file, Section root) throws BadFileException {
        Section head = root.table("scenario");
        head.text("world", "");
        if (!head.statesOwn("title")) {
            throw head.wrong("missing title");
        }
        String title = head.text("title", null);
        long length = positive(head, "length", null);
        long settle = head.time("settle", 8_000_000L);
        head.done();
        Section network = root.table("network");
        List<String> zones = network.texts("zones");
        if (zones.isEmpty() || new HashSet<>(zones).size() < zones.size()) {
            throw network.wrong("zones must name one zone or more, each once");
        }
        Network delays = new Network(
                network.times("same", new Range(85, 320)),
                network.times("cross", new Range(1_400, 2_600)),
                network.times("client", new Range(20, 90)),
                network.share("jitter", 0.2, 10));
        network.done();
        List<Servers> servers = servers(root);
        List<ClassSpec> classes = classes(root);
        List<Tenant> tenants = tenants(root);
        Rules rules = rules(root.table("rules"));
        Limits limits = limits(root.table("limits"));
        Proxies proxies = proxies(root.table("proxies"));
        Section priced = root.table("service");
        double overShareWorth = priced.share("over-share-worth", 0.1, 1);
        Service service = service(priced);
        Load load = load(root.table("load"), servers, classes);
        Scenario world = new Scenario(
                name(file),
                title,
                length,
                settle,
                zones,
                delays,
                discovery(root.table("discovery")),
                proxies,
                clients(root.table("clients")),
                load,
                servers,
                classes,
                tenants,
                overShareWorth,
                limits,
                rules,
                service,
                peers(root),
                List.of());
        List<Scenario.Fault> faults = new FaultReader(world).read(root.ownTables("fault"));
        root.done();
        return world.withFaults(faults);
    }

    private static String name(String file) {
        String name = file.substring(file.lastIndexOf('/') + 1);
        return name.endsWith(".toml") ? name.substring(0, name.length() - 5) : name;
    }

    private static long positive(Section s, String key, Long absent) throws BadFileException {
        long time = s.time(key, absent);
        if (time <= 0) {
            throw s.wrong(key, "must be more than nothing");
        }
        return time;
    }

    private static Discovery discovery(Section s) throws BadFileException {
        Discovery d = new Discovery(
                s.word("mode", Mode.ASK, Mode.class) == Mode.ASK,
                s.times("notice", new Range(640_000, 4_200_000)),
                s.times("silent-notice", new Range(6_200_000, 12_000_000)),
                s.times("period", new Range(160_000, 720_000)),
                s.time("call", 4_000L),
                positive(s, "timeout", 3_000_000L),
                s.count("also-listed", 0, 0));
        s.done();
        return d;
    }

    private static Proxies proxies(Section s) throws BadFileException {
        Proxies p = new Proxies(
                s.count("count", 5, 1),
                s.number("spread", 0.8, 0),
                s.time("start-within", 1_000_000L),
                s.word("known", Known.CURRENT, Known.class),
                s.time("known-age", 30_000_000L),
                s.count("ghosts", 0, 0),
                s.time("start", 2_000_000L),
                s.time("late-calls", 600_000L),
                s.time("kill-after", 4_700_000L),
                s.count("connections", 400, 1),
                new Scenario.Cpu(
                        s.number("core", 0.0, 0),
                        s.time("cold-request", 0L),
                        s.time("warm-request", 0L),
                        s.count("warm-after", 200, 1)));
        if (p.cpu().core() == 0 && p.cpu().coldUs() + p.cpu().warmUs() > 0) {
            throw s.wrong("core", "requests that take CPU need a share of a core: core = 0.5");
        }
        if (p.ghosts() > 0 && p.known() != Known.STALE) {
            throw s.wrong("ghosts", "only a stale list names servers that are gone: known = \"stale\"");
        }
        s.done();
        return p;
    }

    private static Scenario.Peers peers(Section root) throws BadFileException {
        if (!root.has("peers")) {
            return null;
        }
        Section s = root.table("peers");
        Scenario.Peers p = new Scenario.Peers(
                positive(s, "period", 1_000_000L),
                positive(s, "gone-after", 600_000_000L),
                s.word("detector", Detector.FULL, Detector.class) == Detector.PLAIN,
                s.share("loss", 0.0, 1));
        s.done();
        return p;
    }

    private static Clients clients(Section s) throws BadFileException {
        Clients c = new Clients(
                s.count("retries", 1, 0),
                s.times("backoff", new Range(25_000, 200_000)),
                s.flag("doubling", true),
                s.share("honour", 0.9, 1),
                s.shares("patience", new Range(0.7, 1), 1),
                s.share("leave", 0.0, 1));
        if (c.patience().low() <= 0) {
            throw s.wrong("patience", "must be more than nothing");
        }
        s.done();
        return c;
    }

    private static Load load(Section s, List<Servers> servers, List<ClassSpec> classes) throws BadFileException {
        double full = Scenario.fullRate(servers, classes);
        boolean byShare = s.statesOwn("of-capacity") || !s.statesOwn("rate") && s.has("of-capacity");
        if (byShare && s.statesOwn("rate")) {
            throw s.wrong("rate", "of-capacity says how much already");
        }
        s.markRead(byShare ? "rate" : "of-capacity");
        double rate = byShare ? full * s.share("of-capacity", null, 100) : s.rate("rate", null);
        Shape shape = s.word("shape", Shape.STEADY, Shape.class);
        double end = shape != Shape.RAMP && !s.statesOwn("end-rate") && !s.statesOwn("end-of-capacity")
                ? rate
                : s.has("end-of-capacity") ? full * s.share("end-of-capacity", null, 100) : s.rate("end-rate", rate);
        if (shape != Shape.RAMP && end != rate) {
            throw s.wrong(s.has("end-rate") ? "end-rate" : "end-of-capacity", "only a ramp has an end of its own");
        }
        Load load = new Load(
                rate,
                shape,
                end,
                s.share("swing", 0.2, 1),
                positive(s, "burst", 3_000_000L),
                s.count("keys", 1_200, 0),
                s.number("zipf", 1.0, 0));
        s.done();
        return load;
    }

    private static List<Servers> servers(Section root) throws BadFileException {
        List<Servers> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.tables("servers")) {
            String name = newName(s, names, "group");
            int cores = s.count("cores", null, 1);
            Range coldFrom = s.shares("cold-from", Range.of(1), 1);
            boolean byWork = s.word("warm-by", WarmBy.TIME, WarmBy.class) == WarmBy.WORK;
            Range coldFor = s.times("cold-for", Range.of(0));
            if (coldFrom.low() <= 0) {
                throw s.wrong("cold-from", "must be more than nothing");
            }
            if (byWork != s.has("warm-work")) {
                throw s.wrong(byWork ? "warm-by" : "warm-work", "warm-by = \"work\" and warm-work go together");
            }
            ServerModel.Linger linger = !s.has("linger-at")
                    ? null
                    : new ServerModel.Linger(
                            s.number("linger-at", null, 0), positive(s, "linger-after", 2_000_000L),
                            s.number("linger-slower", 2.5, 1), s.share("linger-below", 0.33, 1),
                            positive(s, "linger-rest", 3_500_000L), positive(s, "linger-most", 25_000_000L));
            Range speed = s.numbers("speed", Range.of(1), 0);
            if (speed.low() <= 0) {
                throw s.wrong("speed", "must be more than nothing");
            }
            all.add(new Servers(
                    name,
                    s.count("count", null, 1),
                    s.count("cell", 8, 1),
                    s.number("weight", 1.0, 0),
                    cores,
                    speed,
                    cores * s.count("slots-per-core", 1, 1),
                    cores * s.count("queue-per-core", 20, 0),
                    cores * s.count("connections-per-core", 200, 1),
                    s.times("handshake-work", Range.of(0)),
                    s.time("idle-close", 5_000_000L),
                    s.share("errors", 0.0, 1),
                    s.times("report-every", Range.of(800_000)),
                    s.time("probe-work", 60L),
                    cores * s.count("probes-per-core", 6, 0),
                    s.flag("deep-probes", false),
                    coldFrom,
                    coldFor,
                    byWork ? s.time("warm-work", null) : 0,
                    s.time("pause-every", 0L),
                    s.times("pause-for", Range.of(0)),
                    s.number("crowd-at", 0.0, 0),
                    s.share("crowd-loss", 0.0, 0.95),
                    linger,
                    s.word("stops", ServerModel.Stops.ALL, ServerModel.Stops.class),
                    s.flag("drops-expired", true),
                    s.time("key-memory", 0L),
                    s.share("key-saving", 0.0, 1),
                    cores * s.count("keys-per-core", 27, 1)));
            s.done();
        }
        if (all.isEmpty()) {
            throw root.wrong("servers", "there is no [[servers]]: a world needs one server or more");
        }
        return all;
    }

    private static List<ClassSpec> classes(Section root) throws BadFileException {
        List<ClassSpec> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (Section s : root.tables("class")) {
            String name = newName(s, names, "class");
            Effects effect = s.word("effect", null, Effects.class);
            boolean keyed = effect == Effects.KEYED;
            if (!keyed && (s.has("group") || s.has("window"))) {
                throw s.wrong(s.has("group") ? "group" : "window", "only a keyed class has one");
            }
            DedupScope scope = !keyed
                    ? null
                    : DedupScope.valueOf(
                            s.word("group", Groups.ZONE, Groups.class).name());
            long window = keyed ? s.time("window", null) : 0;
            long aim = positive(s, "aim", null);
            long deadline = positive(s, "deadline", null);
            if (aim > deadline) {
                throw s.wrong("aim", "the range is turned round: the aim is later than the deadline");
            }
            double share = s.share("share", null, 1);
            sum += share;
            Effect known = switch (effect) {
                case SAFE -> Effect.RETRYABLE;
                case KEYED -> Effect.DEDUP;
                case UNSAFE -> Effect.FRAGILE;
            };
            all.add(new ClassSpec(
                    new RequestClass(
                            name,
                            known,
                            scope,
                            window,
                            s.number("worth", 1.0, 0),
                            s.share("late-worth", 0.0, 1),
                            aim,
                            0,
                            deadline),
                    share,
                    positive(s, "work", null),
                    s.word("dist", Dist.LOGNORMAL, Dist.class),
                    s.number("cv", 0.45, 0)));
            s.done();
        }
        if (!makeAll(sum)) {
            throw root.wrong("class", "the shares of all [[class]] make " + percent(sum) + ", not 100%");
        }
        return all;
    }

    private static List<Tenant> tenants(Section root) throws BadFileException {
        List<Tenant> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (Section s : root.tables("tenant")) {
            String name = newName(s, names, "tenant");
            Tenant t = new Tenant(name, s.share("share", null, 1), s.number("usage", 1.0, 0));
            sum += t.share();
            all.add(t);
            s.done();
        }
        if (!all.isEmpty() && !makeAll(sum)) {
            throw root.wrong("tenant", "the shares of all [[tenant]] make " + percent(sum) + ", not 100%");
        }
        return all;
    }

    /** The name of a table among those of its kind. */
    private static String newName(Section s, Set<String> names, String kind) throws BadFileException {
        String name = s.text("name", null);
        if (!names.add(name)) {
            throw s.wrong("name", "there is another " + kind + " called " + name);
        }
        return name;
    }

    /** Whether shares make the whole, but for how they were rounded. */
    private static boolean makeAll(double sum) {
        return Math.abs(sum - 1) <= 0.001;
    }

    private static String percent(double part) {
        return BigDecimal.valueOf(Math.round(part * 1000), 1)
                        .stripTrailingZeros()
                        .toPlainString() + "%";
    }

    private static Limits limits(Section s) throws BadFileException {
        Limits l = new Limits(
                s.count("attempts", 4, 1),
                s.flag("cancel", true),
                s.flag("probes", true),
                s.time("retry-after", 2_000_000L),
                positive(s, "dial-timeout", 250_000L),
                positive(s, "idle-close", 5_000_000L),
                s.share("reports", 0.35, 1));
        s.done();
        return l;
    }

    private static Rules rules(Section s) throws BadFileException {
        Rules r = new Rules(
                s.time("answer-slack", 70_000L),
                s.time("drain", 250_000L),
                s.number("cold-multiple", 4.0, 1),
                positive(s, "cold-for", 3_000_000L),
                s.share("cold-from", 0.13, 1),
                s.time("cold-warm", 24_000_000L),
                positive(s, "ask-within", 10_000_000L));
        if (r.coldFrom() <= 0) {
            throw s.wrong("cold-from", "must be more than nothing");
        }
        s.done();
        return r;
    }

    private static Service service(Section s) throws BadFileException {
        Service v = new Service(
                s.share("whole", 0.4, 1),
                s.share("worst-window", 0.15, 1),
                s.share("worst-class", 0.2, 1),
                s.share("worst-tenant", 0.25, 1),
                positive(s, "window", 10_000_000L),
                s.share("price-waste", 0.05, 1),
                s.share("price-late-fail", 0.05, 1),
                s.share("price-probe", 0.03, 1),
                s.share("price-cross-zone", 0.03, 1),
                s.share("price-linger", 0.04, 1),
                s.share("tenants-of-capacity", 0.85, 100));
        double sum = v.whole() + v.window() + v.worstClass() + v.worstTenant();
        if (!makeAll(sum)) {
            throw s.wrong("the weights make " + percent(sum) + ", not 100%");
        }
        s.done();
        return v;
    }
}
