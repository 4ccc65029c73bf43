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

/** Reads the script of faults, each against the world that it is to happen in. */
final class FaultReader {
    private static final Range NONE = Range.of(0);

    private final Scenario world;
    private final Set<String> servers = new HashSet<>();

    FaultReader(Scenario world) {
        this.world = world;
        for (Scenario.Servers group : world.servers()) {
            for (int i = 0; i < group.count(); i++) {
                servers.add(group.name() + "-" + i);
            }
        }
    }

    List<Fault> read(List<Section> sections) throws BadFileException {
        List<Fault> all = new ArrayList<>();
        for (Section s : sections) {
            all.add(read(s));
            s.done();
        }
        return all;
    }

    private Fault read(Section s) throws BadFileException {
        Kind kind = s.word("do", null, Kind.class);
        long at = s.time("at", null);
        if (at > world.lengthUs()) {
            throw s.wrong("at", "the scenario is over by then");
        }
        long forUs = lasts(kind) ? s.time("for", 0L) : 0;
        double factor = 1;
        double share = 0;
        Range on = NONE;
        Range off = NONE;
        long drain = 0;
        boolean moved = false;
        switch (kind) {
            case SLOW -> factor = s.number("factor", null, 1);
            case NEIGHBOUR -> {
                share = s.share("takes", null, 0.99);
                on = s.times("on", Range.of(forUs > 0 ? forUs : world.lengthUs()));
                off = s.times("off", NONE);
            }
            case ERRORS, RESET_BEFORE, RESET_AFTER -> share = s.share("rate", null, 1);
            case PAUSE -> forUs = s.time("for", null);
            case RESTART -> {
                drain = s.time("drain", 0L);
                moved = s.flag("moved", false);
            }
            case DEPLOY -> {
                share = s.share("batch", null, 1);
                drain = s.time("drain", 3_000_000L);
                moved = s.flag("moved", true);
                if (share <= 0 || forUs <= 0) {
                    throw s.wrong("a deploy needs a batch of more than nothing, and the time that it is for");
                }
            }
            case DISCOVERY_LATE -> on = s.times("by", null);
            case DISCOVERY_SHUFFLE -> factor = s.count("lists", 5, 2);
            case DISCOVERY_CROWD -> factor = s.rate("calls", null);
            case DISCOVERY_REFUSES, DISCOVERY_CUTS, DISCOVERY_ENDS -> factor = s.count("of-each", 1, 1);
            case DISCOVERY_PAUSES -> {
                factor = s.count("of-each", 1, 1);
                on = s.times("by", null);
            }
            case CROWD_PROXY -> factor = s.count("connections", null, 1);
            case RELOAD_PROXY -> on = s.times("within", NONE);
            case SURGE -> factor = s.number("factor", null, 0);
            case KILL_PROXY, END_PROXY -> {
                on = s.times("within", NONE);
                drain = kind == Kind.KILL_PROXY ? s.time("down", 0L) : 0;
            }
            case ROLL_PROXIES -> {
                share = s.share("batch", null, 1);
                if (share <= 0 || forUs <= 0) {
                    throw s.wrong("a roll needs a batch of more than nothing, and the time that it is for");
                }
            }
            case PAUSE_PROXY -> forUs = positive(s, "for");
            case CUT_PROXY -> moved = s.flag("discovery", false);
            case STRANGERS -> factor = s.rate("rate", null);
            case REPEAT_DATAGRAMS -> {
                factor = s.rate("rate", null);
                drain = s.time("of", 1_000_000L);
            }
            case CLOCK -> factor = (s.time("ahead", 0L) - s.time("back", 0L)) / 1_000.0;
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
        if (aimsAtServers(kind)) {
            named = s.texts("servers");
            for (String name : named) {
                if (!servers.contains(name)) {
                    throw s.wrong("servers", "there is no server " + name);
                }
            }
            zone = s.has("zone") ? place(s, "zone", world.zones()) : -1;
            count = s.has("count") ? s.count("count", null, 1) : s.has("part") ? part(s, world.fleet()) : -1;
            if (count > world.fleet()) {
                throw s.wrong("count", "there are only " + world.fleet() + " servers");
            }
            if (named.isEmpty() && zone < 0 && count < 0) {
                throw s.wrong("names nobody: it needs servers, count, part or zone");
            }
            if (!named.isEmpty() && (zone >= 0 || count >= 0)) {
                throw s.wrong("servers", "names all that it happens to: count, part and zone don't go with it");
            }
        } else if (aimsAtProxies(kind)) {
            proxy = s.has("proxy") ? s.count("proxy", null, 0) : -1;
            count = s.has("count")
                    ? s.count("count", null, 1)
                    : s.has("part") ? part(s, world.proxies().count()) : -1;
            if (proxy < 0 == count < 0) {
                throw s.wrong("names nobody: it needs either proxy (its number), count or part");
            }
            if (proxy >= world.proxies().count() || count > world.proxies().count()) {
                throw s.wrong(
                        proxy >= 0 ? "proxy" : "count",
                        "there are only " + world.proxies().count() + " client proxies, from 0 on");
            }
            if (kind == Kind.CUT_PROXY && s.has("zone")) {
                zone = place(s, "zone", world.zones());
            }
            if (kind == Kind.CUT_PROXY && zone < 0 && !moved) {
                throw s.wrong("names nothing to cut it from: it needs discovery = true, a zone, or both");
            }
        } else if (kind == Kind.BURST) {
            count = s.count("requests", null, 1);
        } else if (kind == Kind.SURGE && s.has("tenant")) {
            tenant = place(
                    s,
                    "tenant",
                    world.tenants().stream().map(Scenario.Tenant::name).toList());
        }
        if (amongPeers(kind) && world.peers() == null) {
            throw s.wrong("do", "client proxies do not speak to each other here: there is no [peers]");
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
                between(kind, s));
    }

    private Scenario.Between between(Kind kind, Section s) throws BadFileException {
        if (kind != Kind.CUT_PEERS && kind != Kind.DATAGRAMS) {
            return null;
        }
        boolean cut = kind == Kind.CUT_PEERS;
        List<Integer> from = numbers(s, "from");
        List<Integer> to = numbers(s, "to");
        if (cut && from.isEmpty()) {
            throw s.wrong("from", "a cut needs the numbers of one side, as \"0-4, 7\"");
        }
        return new Scenario.Between(
                from,
                to,
                cut && s.flag("one-way", false),
                cut ? 1 : s.share("lose", 0.0, 1),
                cut ? 0 : s.share("twice", 0.0, 1),
                cut ? 0 : s.share("overtaken", 0.0, 1),
                cut ? 0 : s.share("change", 0.0, 1),
                cut ? NONE : s.times("late", NONE));
    }

    /** Numbers of client proxies: "0-4, 7"; none if the key is absent. */
    private List<Integer> numbers(Section s, String key) throws BadFileException {
        List<Integer> all = new ArrayList<>();
        String text = s.text(key, "");
        for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
            String[] ends = part.strip().split("-", 2);
            try {
                int low = Integer.parseInt(ends[0]);
                int high = Integer.parseInt(ends[ends.length - 1]);
                if (low > high || high >= world.proxies().count()) {
                    throw s.wrong(
                            key,
                            "'" + part.strip() + "' is no range of the "
                                    + world.proxies().count() + " client proxies, from 0 on");
                }
                for (int i = low; i <= high; i++) {
                    all.add(i);
                }
            } catch (NumberFormatException e) {
                throw s.wrong(key, "'" + part.strip() + "' is no number or range, as \"0-4, 7\"");
            }
        }
        return all;
    }

    private static long positive(Section s, String key) throws BadFileException {
        long time = s.time(key, null);
        if (time <= 0) {
            throw s.wrong(key, "must be more than nothing");
        }
        return time;
    }

    private static int part(Section s, int of) throws BadFileException {
        return Math.max(1, (int) Math.round(s.share("part", null, 1) * of));
    }

    private static int place(Section s, String key, List<String> names) throws BadFileException {
        String name = s.text(key, null);
        int at = names.indexOf(name);
        if (at < 0) {
            throw s.wrong(key, "there is no " + key + " " + name);
        }
        return at;
    }

    private static boolean lasts(Kind kind) {
        return switch (kind) {
            case PAUSE, DRAIN, RESTART, KILL_PROXY, END_PROXY, PAUSE_PROXY, RELOAD_PROXY, CLOCK, BURST -> false;
            default -> true;
        };
    }

    private static boolean aimsAtProxies(Kind kind) {
        return switch (kind) {
            case KILL_PROXY, END_PROXY, PAUSE_PROXY, RELOAD_PROXY, CUT_PROXY, CROWD_PROXY, CLOCK -> true;
            default -> false;
        };
    }

    private static boolean amongPeers(Kind kind) {
        return switch (kind) {
            case CUT_PEERS, DATAGRAMS, REPEAT_DATAGRAMS, STRANGERS, CLOCK -> true;
            default -> false;
        };
    }

    private static boolean aimsAtServers(Kind kind) {
        return switch (kind) {
            case SLOW, HANG, NEIGHBOUR, ERRORS, PAUSE, DRAIN, RESTART, DEPLOY, VANISH, CUT, RESET_BEFORE, RESET_AFTER ->
                true;
            default -> false;
        };
    }
}
