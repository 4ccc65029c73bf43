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
import mulleinfront.emulator.Scenario.InitialList;
import mulleinfront.emulator.Scenario.Limits;
import mulleinfront.emulator.Scenario.Load;
import mulleinfront.emulator.Scenario.LoadShape;
import mulleinfront.emulator.Scenario.Network;
import mulleinfront.emulator.Scenario.Proxies;
import mulleinfront.emulator.Scenario.Rules;
import mulleinfront.emulator.Scenario.Servers;
import mulleinfront.emulator.Scenario.Service;
import mulleinfront.emulator.Scenario.Tenant;
import mulleinfront.emulator.Scenario.WorkDistribution;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Section;

/**
 * Reads a scenario file (TOML 1.0); a file with any error is rejected as a whole. The page {@code docs/emulator.md}
 * describes the keys, their units, their meaning and the default of each absent key.
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
     * Reads a file, and the base scenario file that its {@code world} key names, if any.
     *
     * @throws BadFileException with a message of one line: file, line and reason
     */
    public static Scenario read(Path file) throws BadFileException {
        return read(file.toString(), text(file), world -> {
            Path baseFile = file.resolveSibling(world);
            return new String[] {baseFile.toString(), text(baseFile)};
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

    /** Finds the base scenario of a scenario: returns its file name and its text. */
    interface BaseScenarios {
        String[] find(String name) throws BadFileException;
    }

    /** Reads a scenario from its text; {@code file} is its name in messages. */
    static Scenario read(String file, String text, BaseScenarios worlds) throws BadFileException {
        Section own = Section.root(file, text, null);
        String world = own.table("scenario").string("world", "");
        if (world.isEmpty()) {
            return read(file, own);
        }
        String[] found = worlds.find(world);
        Section base = Section.root(found[0], found[1], null);
        if (base.table("scenario").statesOwn("world")) {
            throw own.table("scenario").error("world", found[0] + " must not have a base scenario (world) itself");
        }
        return read(file, Section.root(file, text, base));
    }

    /** Reads a scenario from a root section; other tables of the root may have been read before. */
    static Scenario read(String file, Section root) throws BadFileException {
        Section head = root.table("scenario");
        head.string("world", "");
        if (!head.statesOwn("title")) {
            throw head.error("missing title");
        }
        String title = head.string("title", null);
        long length = positiveTime(head, "length", null);
        long settle = head.time("settle", 8_000_000L);
        head.rejectUnknownKeys();
        Section network = root.table("network");
        List<String> zones = network.strings("zones");
        if (zones.isEmpty() || new HashSet<>(zones).size() < zones.size()) {
            throw network.error("zones must name at least one zone, and none of them twice");
        }
        Network delays = new Network(
                network.timeRange("same", new Range(85, 320)),
                network.timeRange("cross", new Range(1_400, 2_600)),
                network.timeRange("client", new Range(20, 90)),
                network.share("jitter", 0.2, 10));
        network.rejectUnknownKeys();
        List<Servers> servers = servers(root);
        List<ClassSpec> classes = classes(root);
        List<Tenant> tenants = tenants(root);
        Rules rules = rules(root.table("rules"));
        Limits limits = limits(root.table("limits"));
        Proxies proxies = proxies(root.table("proxies"));
        Section serviceSection = root.table("service");
        double overShareWorth = serviceSection.share("over-share-worth", 0.1, 1);
        Service service = service(serviceSection);
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
        root.rejectUnknownKeys();
        return world.withFaults(faults);
    }

    private static String name(String file) {
        String name = file.substring(file.lastIndexOf('/') + 1);
        return name.endsWith(".toml") ? name.substring(0, name.length() - 5) : name;
    }

    private static long positiveTime(Section section, String key, Long defaultUs) throws BadFileException {
        long time = section.time(key, defaultUs);
        if (time <= 0) {
            throw section.error(key, "must be more than zero");
        }
        return time;
    }

    private static Discovery discovery(Section section) throws BadFileException {
        Discovery discovery = new Discovery(
                section.enumValue("mode", Mode.ASK, Mode.class) == Mode.ASK,
                section.timeRange("notice", new Range(640_000, 4_200_000)),
                section.timeRange("silent-notice", new Range(6_200_000, 12_000_000)),
                section.timeRange("period", new Range(160_000, 720_000)),
                section.time("call", 4_000L),
                positiveTime(section, "timeout", 3_000_000L),
                section.count("also-listed", 0, 0));
        section.rejectUnknownKeys();
        return discovery;
    }

    private static Proxies proxies(Section section) throws BadFileException {
        Proxies proxies = new Proxies(
                section.count("count", 5, 1),
                section.number("spread", 0.8, 0),
                section.time("start-within", 1_000_000L),
                section.enumValue("known", InitialList.CURRENT, InitialList.class),
                section.time("known-age", 30_000_000L),
                section.count("ghosts", 0, 0),
                section.time("start", 2_000_000L),
                section.time("late-calls", 600_000L),
                section.time("kill-after", 4_700_000L),
                section.count("connections", 400, 1),
                new Scenario.Cpu(
                        section.number("core", 0.0, 0),
                        section.time("cold-request", 0L),
                        section.time("warm-request", 0L),
                        section.count("warm-after", 200, 1)));
        if (proxies.cpu().coreShare() == 0
                && proxies.cpu().coldUs() + proxies.cpu().warmUs() > 0) {
            throw section.error("core", "requests that take CPU time need a share of a core, such as core = 0.5");
        }
        if (proxies.unreachableListed() > 0 && proxies.initialList() != InitialList.STALE) {
            throw section.error("ghosts", "only a stale list names servers that are gone: it needs known = \"stale\"");
        }
        section.rejectUnknownKeys();
        return proxies;
    }

    private static Scenario.Peers peers(Section root) throws BadFileException {
        if (!root.has("peers")) {
            return null;
        }
        Section section = root.table("peers");
        Scenario.Peers peers = new Scenario.Peers(
                positiveTime(section, "period", 1_000_000L),
                positiveTime(section, "gone-after", 600_000_000L),
                section.enumValue("detector", Detector.FULL, Detector.class) == Detector.PLAIN,
                section.share("loss", 0.0, 1));
        section.rejectUnknownKeys();
        return peers;
    }

    private static Clients clients(Section section) throws BadFileException {
        Clients clients = new Clients(
                section.count("retries", 1, 0),
                section.timeRange("backoff", new Range(25_000, 200_000)),
                section.bool("doubling", true),
                section.share("honour", 0.9, 1),
                section.shareRange("patience", new Range(0.7, 1), 1),
                section.share("leave", 0.0, 1));
        if (clients.timeoutFraction().low() <= 0) {
            throw section.error("patience", "must be more than zero");
        }
        section.rejectUnknownKeys();
        return clients;
    }

    private static Load load(Section section, List<Servers> servers, List<ClassSpec> classes) throws BadFileException {
        double full = Scenario.fullRate(servers, classes);
        boolean byShare = section.statesOwn("of-capacity") || !section.statesOwn("rate") && section.has("of-capacity");
        if (byShare && section.statesOwn("rate")) {
            throw section.error("rate", "of-capacity already sets the rate: give only one of the two");
        }
        section.markRead(byShare ? "rate" : "of-capacity");
        double rate = byShare ? full * section.share("of-capacity", null, 100) : section.rate("rate", null);
        LoadShape shape = section.enumValue("shape", LoadShape.STEADY, LoadShape.class);
        double end = shape != LoadShape.RAMP && !section.statesOwn("end-rate") && !section.statesOwn("end-of-capacity")
                ? rate
                : section.has("end-of-capacity")
                        ? full * section.share("end-of-capacity", null, 100)
                        : section.rate("end-rate", rate);
        if (shape != LoadShape.RAMP && end != rate) {
            throw section.error(
                    section.has("end-rate") ? "end-rate" : "end-of-capacity", "only allowed with shape = \"ramp\"");
        }
        Load load = new Load(
                rate,
                shape,
                end,
                section.share("swing", 0.2, 1),
                positiveTime(section, "burst", 3_000_000L),
                section.count("keys", 1_200, 0),
                section.number("zipf", 1.0, 0));
        section.rejectUnknownKeys();
        return load;
    }

    private static List<Servers> servers(Section root) throws BadFileException {
        List<Servers> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("servers")) {
            String name = uniqueName(section, names, "server group");
            int cores = section.count("cores", null, 1);
            Range coldFrom = section.shareRange("cold-from", Range.of(1), 1);
            boolean byWork = section.enumValue("warm-by", WarmBy.TIME, WarmBy.class) == WarmBy.WORK;
            Range coldFor = section.timeRange("cold-for", Range.of(0));
            if (coldFrom.low() <= 0) {
                throw section.error("cold-from", "must be more than zero");
            }
            if (byWork != section.has("warm-work")) {
                throw section.error(
                        byWork ? "warm-by" : "warm-work", "warm-by = \"work\" and warm-work must be given together");
            }
            ServerModel.MetastableSlowdown linger = !section.has("linger-at")
                    ? null
                    : new ServerModel.MetastableSlowdown(
                            section.number("linger-at", null, 0), positiveTime(section, "linger-after", 2_000_000L),
                            section.number("linger-slower", 2.5, 1), section.share("linger-below", 0.33, 1),
                            positiveTime(section, "linger-rest", 3_500_000L),
                                    positiveTime(section, "linger-most", 25_000_000L));
            Range speed = section.numberRange("speed", Range.of(1), 0);
            if (speed.low() <= 0) {
                throw section.error("speed", "must be more than zero");
            }
            all.add(new Servers(
                    name,
                    section.count("count", null, 1),
                    section.count("cell", 8, 1),
                    section.number("weight", 1.0, 0),
                    cores,
                    speed,
                    cores * section.count("slots-per-core", 1, 1),
                    cores * section.count("queue-per-core", 20, 0),
                    cores * section.count("connections-per-core", 200, 1),
                    section.timeRange("handshake-work", Range.of(0)),
                    section.time("idle-close", 5_000_000L),
                    section.share("errors", 0.0, 1),
                    section.timeRange("report-every", Range.of(800_000)),
                    section.time("probe-work", 60L),
                    cores * section.count("probes-per-core", 6, 0),
                    section.bool("deep-probes", false),
                    coldFrom,
                    coldFor,
                    byWork ? section.time("warm-work", null) : 0,
                    section.time("pause-every", 0L),
                    section.timeRange("pause-for", Range.of(0)),
                    section.number("crowd-at", 0.0, 0),
                    section.share("crowd-loss", 0.0, 0.95),
                    linger,
                    section.enumValue("stops", ServerModel.CancelPolicy.ALL, ServerModel.CancelPolicy.class),
                    section.bool("drops-expired", true),
                    section.time("key-memory", 0L),
                    section.share("key-saving", 0.0, 1),
                    cores * section.count("keys-per-core", 27, 1)));
            section.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            throw root.error("servers", "there is no [[servers]]: a scenario needs at least one server");
        }
        return all;
    }

    private static List<ClassSpec> classes(Section root) throws BadFileException {
        List<ClassSpec> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (Section section : root.tables("class")) {
            String name = uniqueName(section, names, "class");
            Effects effect = section.enumValue("effect", null, Effects.class);
            boolean keyed = effect == Effects.KEYED;
            if (!keyed && (section.has("group") || section.has("window"))) {
                throw section.error(section.has("group") ? "group" : "window", "only allowed with effect = \"keyed\"");
            }
            DedupScope scope = !keyed
                    ? null
                    : DedupScope.valueOf(section.enumValue("group", Groups.ZONE, Groups.class)
                            .name());
            long window = keyed ? section.time("window", null) : 0;
            long targetLatency = positiveTime(section, "aim", null);
            long deadline = positiveTime(section, "deadline", null);
            if (targetLatency > deadline) {
                throw section.error("aim", "must not be later than the deadline");
            }
            double share = section.share("share", null, 1);
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
                            section.number("worth", 1.0, 0),
                            section.share("late-worth", 0.0, 1),
                            targetLatency,
                            0,
                            deadline),
                    share,
                    positiveTime(section, "work", null),
                    section.enumValue("dist", WorkDistribution.LOGNORMAL, WorkDistribution.class),
                    section.number("cv", 0.45, 0)));
            section.rejectUnknownKeys();
        }
        if (!sumToOne(sum)) {
            throw root.error("class", "the shares of all [[class]] tables add up to " + percent(sum) + ", not 100%");
        }
        return all;
    }

    private static List<Tenant> tenants(Section root) throws BadFileException {
        List<Tenant> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (Section section : root.tables("tenant")) {
            String name = uniqueName(section, names, "tenant");
            Tenant tenant = new Tenant(name, section.share("share", null, 1), section.number("usage", 1.0, 0));
            sum += tenant.share();
            all.add(tenant);
            section.rejectUnknownKeys();
        }
        if (!all.isEmpty() && !sumToOne(sum)) {
            throw root.error("tenant", "the shares of all [[tenant]] tables add up to " + percent(sum) + ", not 100%");
        }
        return all;
    }

    /** Reads the name of a table and checks that no other table of its kind has it. */
    private static String uniqueName(Section section, Set<String> names, String kind) throws BadFileException {
        String name = section.string("name", null);
        if (!names.add(name)) {
            throw section.error("name", "duplicate " + kind + " name \"" + name + "\"");
        }
        return name;
    }

    /** Whether shares add up to 1, with a tolerance for rounding. */
    private static boolean sumToOne(double sum) {
        return Math.abs(sum - 1) <= 0.001;
    }

    private static String percent(double share) {
        return BigDecimal.valueOf(Math.round(share * 1000), 1)
                        .stripTrailingZeros()
                        .toPlainString() + "%";
    }

    private static Limits limits(Section section) throws BadFileException {
        Limits limits = new Limits(
                section.count("attempts", 4, 1),
                section.bool("cancel", true),
                section.bool("probes", true),
                section.time("retry-after", 2_000_000L),
                positiveTime(section, "dial-timeout", 250_000L),
                positiveTime(section, "idle-close", 5_000_000L),
                section.share("reports", 0.35, 1));
        section.rejectUnknownKeys();
        return limits;
    }

    private static Rules rules(Section section) throws BadFileException {
        Rules rules = new Rules(
                section.time("answer-slack", 70_000L),
                section.time("drain", 250_000L),
                section.number("cold-multiple", 4.0, 1),
                positiveTime(section, "cold-for", 3_000_000L),
                section.share("cold-from", 0.13, 1),
                section.time("cold-warm", 24_000_000L),
                positiveTime(section, "ask-within", 10_000_000L));
        if (rules.coldFrom() <= 0) {
            throw section.error("cold-from", "must be more than zero");
        }
        section.rejectUnknownKeys();
        return rules;
    }

    private static Service service(Section section) throws BadFileException {
        Service service = new Service(
                section.share("whole", 0.4, 1),
                section.share("worst-window", 0.15, 1),
                section.share("worst-class", 0.2, 1),
                section.share("worst-tenant", 0.25, 1),
                positiveTime(section, "window", 10_000_000L),
                section.share("price-waste", 0.05, 1),
                section.share("price-late-fail", 0.05, 1),
                section.share("price-probe", 0.03, 1),
                section.share("price-cross-zone", 0.03, 1),
                section.share("price-linger", 0.04, 1),
                section.share("tenants-of-capacity", 0.85, 100));
        double sum = service.overallWeight()
                + service.windowWeight()
                + service.worstClassWeight()
                + service.worstTenantWeight();
        if (!sumToOne(sum)) {
            throw section.error("the weights add up to " + percent(sum) + ", not 100%");
        }
        section.rejectUnknownKeys();
        return service;
    }
}
