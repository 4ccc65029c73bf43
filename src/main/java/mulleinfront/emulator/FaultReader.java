package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.emulator.Scenario.Fault;
import mulleinfront.emulator.Scenario.Kind;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Section;

/** Reads the faults of a scenario and checks each against the servers, proxies and tenants of the scenario. */
final class FaultReader {
    private static final Range ZERO = Range.of(0);

    private final Scenario scenario;
    private final Set<String> servers = new HashSet<>();

    FaultReader(Scenario scenario) {
        this.scenario = scenario;
        for (Scenario.Servers group : scenario.servers()) {
            for (int i = 0; i < group.count(); i++) {
                servers.add(group.name() + "-" + i);
            }
        }
    }

    List<Fault> read(List<Section> sections) throws BadFileException {
        List<Fault> all = new ArrayList<>();
        for (Section section : sections) {
            all.add(read(section));
            section.rejectUnknownKeys();
        }
        return all;
    }

    private Fault read(Section section) throws BadFileException {
        Kind kind = section.enumValue("do", null, Kind.class);
        long at = section.time("at", null);
        if (at > scenario.lengthUs()) {
            throw section.error("at", "must not be after the end of the scenario");
        }
        long forUs = hasDuration(kind) ? section.time("for", 0L) : 0;
        double factor = 1;
        double share = 0;
        Range on = ZERO;
        Range off = ZERO;
        long drain = 0;
        boolean moved = false;
        switch (kind) {
            case SLOW -> factor = section.number("factor", null, 1);
            case NEIGHBOUR -> {
                share = section.share("takes", null, 0.99);
                on = section.timeRange("on", Range.of(forUs > 0 ? forUs : scenario.lengthUs()));
                off = section.timeRange("off", ZERO);
            }
            case ERRORS, RESET_BEFORE, RESET_AFTER -> share = section.share("rate", null, 1);
            case PAUSE -> forUs = section.time("for", null);
            case RESTART -> {
                drain = section.time("drain", 0L);
                moved = section.bool("moved", false);
            }
            case DEPLOY -> {
                share = section.share("batch", null, 1);
                drain = section.time("drain", 3_000_000L);
                moved = section.bool("moved", true);
                if (share <= 0 || forUs <= 0) {
                    throw section.error("a deploy needs a batch of more than zero, and a duration (for)");
                }
            }
            case DISCOVERY_LATE -> on = section.timeRange("by", null);
            case DISCOVERY_SHUFFLE -> factor = section.count("lists", 5, 2);
            case DISCOVERY_CROWD -> factor = section.rate("calls", null);
            case DISCOVERY_REFUSES, DISCOVERY_CUTS, DISCOVERY_ENDS -> factor = section.count("of-each", 1, 1);
            case DISCOVERY_PAUSES -> {
                factor = section.count("of-each", 1, 1);
                on = section.timeRange("by", null);
            }
            case CROWD_PROXY -> factor = section.count("connections", null, 1);
            case RELOAD_PROXY -> on = section.timeRange("within", ZERO);
            case SURGE -> factor = section.number("factor", null, 0);
            case KILL_PROXY, END_PROXY -> {
                on = section.timeRange("within", ZERO);
                drain = kind == Kind.KILL_PROXY ? section.time("down", 0L) : 0;
            }
            case ROLL_PROXIES -> {
                share = section.share("batch", null, 1);
                if (share <= 0 || forUs <= 0) {
                    throw section.error("roll-proxies needs a batch of more than zero, and a duration (for)");
                }
            }
            case PAUSE_PROXY -> forUs = positiveTime(section, "for");
            case CUT_PROXY -> moved = section.bool("discovery", false);
            case STRANGERS -> factor = section.rate("rate", null);
            case REPEAT_DATAGRAMS -> {
                factor = section.rate("rate", null);
                drain = section.time("of", 1_000_000L);
            }
            case CLOCK -> factor = (section.time("ahead", 0L) - section.time("back", 0L)) / 1_000.0;
            case DRAIN,
                    HANG,
                    VANISH,
                    CUT,
                    DISCOVERY_DOWN,
                    DISCOVERY_SILENT,
                    WATCHES_SILENT,
                    WATCHES_RESET,
                    CUT_PEERS,
                    DATAGRAMS,
                    BURST -> {}
        }
        List<String> named = List.of();
        int count = -1;
        int zone = -1;
        int proxy = -1;
        int tenant = -1;
        if (targetsServers(kind)) {
            named = section.strings("servers");
            for (String name : named) {
                if (!servers.contains(name)) {
                    throw section.error("servers", "unknown server \"" + name + "\"");
                }
            }
            zone = section.has("zone") ? indexOfName(section, "zone", scenario.zones()) : -1;
            count = section.has("count")
                    ? section.count("count", null, 1)
                    : section.has("part") ? countOfPart(section, scenario.serverCount()) : -1;
            if (count > scenario.serverCount()) {
                throw section.error("count", "there are only " + scenario.serverCount() + " servers");
            }
            if (named.isEmpty() && zone < 0 && count < 0) {
                throw section.error("names no target: it needs servers, count, part or zone");
            }
            if (!named.isEmpty() && (zone >= 0 || count >= 0)) {
                throw section.error("servers", "cannot be combined with count, part or zone");
            }
        } else if (targetsProxies(kind)) {
            proxy = section.has("proxy") ? section.count("proxy", null, 0) : -1;
            count = section.has("count")
                    ? section.count("count", null, 1)
                    : section.has("part")
                            ? countOfPart(section, scenario.proxies().count())
                            : -1;
            if (proxy < 0 == count < 0) {
                throw section.error("names no target: it needs either proxy (its number), count or part");
            }
            if (proxy >= scenario.proxies().count()
                    || count > scenario.proxies().count()) {
                throw section.error(
                        proxy >= 0 ? "proxy" : "count",
                        "there are only " + scenario.proxies().count() + " client proxies, numbered from 0");
            }
            if (kind == Kind.CUT_PROXY && section.has("zone")) {
                zone = indexOfName(section, "zone", scenario.zones());
            }
            if (kind == Kind.CUT_PROXY && zone < 0 && !moved) {
                throw section.error(
                        "does not say what to partition the client proxy from: it needs discovery = true, a zone, or both");
            }
        } else if (kind == Kind.BURST) {
            count = section.count("requests", null, 1);
        } else if (kind == Kind.SURGE && section.has("tenant")) {
            tenant = indexOfName(
                    section,
                    "tenant",
                    scenario.tenants().stream().map(Scenario.Tenant::name).toList());
        }
        if (targetsPeerNetwork(kind) && scenario.peers() == null) {
            throw section.error("do", "this fault needs [peers]: without it, client proxies do not exchange datagrams");
        }
        return new Fault(
                kind,
                at,
                forUs,
                named,
                count,
                zone,
                proxy,
                tenant,
                factor,
                share,
                on,
                off,
                drain,
                moved,
                datagramEffects(kind, section));
    }

    private Scenario.DatagramEffects datagramEffects(Kind kind, Section section) throws BadFileException {
        if (kind != Kind.CUT_PEERS && kind != Kind.DATAGRAMS) {
            return null;
        }
        boolean cut = kind == Kind.CUT_PEERS;
        List<Integer> from = numbers(section, "from");
        List<Integer> to = numbers(section, "to");
        if (cut && from.isEmpty()) {
            throw section.error("from", "a partition needs the client proxies of one side, such as \"0-4, 7\"");
        }
        return new Scenario.DatagramEffects(
                from,
                to,
                cut && section.bool("one-way", false),
                cut ? 1 : section.share("lose", 0.0, 1),
                cut ? 0 : section.share("twice", 0.0, 1),
                cut ? 0 : section.share("overtaken", 0.0, 1),
                cut ? 0 : section.share("change", 0.0, 1),
                cut ? ZERO : section.timeRange("late", ZERO));
    }

    /** Numbers of client proxies, as in "0-4, 7"; empty if the key is absent. */
    private List<Integer> numbers(Section section, String key) throws BadFileException {
        List<Integer> all = new ArrayList<>();
        String text = section.string(key, "");
        for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
            String[] ends = part.strip().split("-", 2);
            try {
                int low = Integer.parseInt(ends[0]);
                int high = Integer.parseInt(ends[ends.length - 1]);
                if (low > high || high >= scenario.proxies().count()) {
                    throw section.error(
                            key,
                            "'" + part.strip() + "' is not a range of the "
                                    + scenario.proxies().count() + " client proxies, which are numbered from 0");
                }
                for (int i = low; i <= high; i++) {
                    all.add(i);
                }
            } catch (NumberFormatException e) {
                throw section.error(key, "'" + part.strip() + "' is not a number or range, such as \"0-4, 7\"");
            }
        }
        return all;
    }

    private static long positiveTime(Section section, String key) throws BadFileException {
        long time = section.time(key, null);
        if (time <= 0) {
            throw section.error(key, "must be more than zero");
        }
        return time;
    }

    private static int countOfPart(Section section, int total) throws BadFileException {
        return Math.max(1, (int) Math.round(section.share("part", null, 1) * total));
    }

    private static int indexOfName(Section section, String key, List<String> names) throws BadFileException {
        String name = section.string(key, null);
        int at = names.indexOf(name);
        if (at < 0) {
            throw section.error(key, "unknown " + key + " \"" + name + "\"");
        }
        return at;
    }

    private static boolean hasDuration(Kind kind) {
        return switch (kind) {
            case PAUSE, DRAIN, RESTART, KILL_PROXY, END_PROXY, PAUSE_PROXY, RELOAD_PROXY, CLOCK, BURST -> false;
            default -> true;
        };
    }

    private static boolean targetsProxies(Kind kind) {
        return switch (kind) {
            case KILL_PROXY, END_PROXY, PAUSE_PROXY, RELOAD_PROXY, CUT_PROXY, CROWD_PROXY, CLOCK -> true;
            default -> false;
        };
    }

    private static boolean targetsPeerNetwork(Kind kind) {
        return switch (kind) {
            case CUT_PEERS, DATAGRAMS, REPEAT_DATAGRAMS, STRANGERS, CLOCK -> true;
            default -> false;
        };
    }

    private static boolean targetsServers(Kind kind) {
        return switch (kind) {
            case SLOW, HANG, NEIGHBOUR, ERRORS, PAUSE, DRAIN, RESTART, DEPLOY, VANISH, CUT, RESET_BEFORE, RESET_AFTER ->
                true;
            default -> false;
        };
    }
}
