package mulleinfront.emulator;

import java.util.Arrays;
import java.util.Locale;
import mulleinfront.settings.Section;

/**
 * Generates scenario files: deployments and faults drawn at random from ranges. Trying a change on a hundred of them
 * avoids fitting it to one. The same family, seed and size give the same file.
 */
public final class GeneratedScenario {
    /** Kind of generated scenario. */
    public enum Family {
        /** Seven in ten client proxies are killed during a rolling deploy of the servers. */
        HERD,
        /**
         * The offered load of servers near their capacity rises for some seconds. The servers work on many requests
         * at once, including expired ones, and servers that were overloaded for a while stay slow (metastable
         * slowdown).
         */
        JAM,
        /**
         * Overlapping faults of all types at random times: of discovery, servers, connections, clients and the client
         * proxies themselves. The rules stay satisfiable: only few successive calls of one client proxy fail at
         * discovery.
         */
        SOAK;

        /** The output name, also used on the command line. */
        public String outputName() {
            return Section.outputName(this);
        }

        /** The family with that name; null if there is none. */
        public static Family forName(String word) {
            return Arrays.stream(values())
                    .filter(f -> f.outputName().equals(word))
                    .findFirst()
                    .orElse(null);
        }
    }

    private static final String HERD_CLASSES = """

            [[class]]
            name = "look"
            share = "41%"
            work = "87ms"
            effect = "safe"
            aim = "500ms"
            deadline = "1.5s"
            worth = 1

            [[class]]
            name = "pay"
            share = "39%"
            work = "94ms"
            effect = "unsafe"
            aim = "600ms"
            deadline = "2.5s"
            worth = 8

            [[class]]
            name = "file"
            share = "20%"
            work = "131ms"
            effect = "keyed"
            group = "zone"
            window = "20s"
            aim = "750ms"
            deadline = "4s"
            worth = 5
            """;

    private static final String JAM_CLASSES = """

            [[class]]
            name = "read"
            share = "54%"
            work = "74ms"
            dist = "lognormal"
            effect = "safe"
            aim = "500ms"
            deadline = "1s"
            worth = 5
            late-worth = "25%"

            [[class]]
            name = "move"
            share = "27%"
            work = "46ms"
            effect = "keyed"
            group = "zone"
            window = "4s"
            aim = "250ms"
            deadline = "750ms"
            worth = 3
            late-worth = "30%"

            [[class]]
            name = "buy"
            share = "19%"
            work = "92ms"
            effect = "keyed"
            group = "zone"
            window = "3s"
            aim = "600ms"
            deadline = "1.5s"
            worth = 15
            late-worth = "50%"
            """;

    /** Default and least length of a soak, in seconds. */
    public static final int SOAK_S = 60;

    public static final int MIN_SOAK_S = 12;
    /**
     * Least and most time in which discovery processes one call of every client proxy in a soak: 0.2 to 8 s, in
     * microseconds. Known deployments state 2 to 8 s; the range begins lower so that it extends below
     * {@link PropagationDeadlines#WATCH_ENDED_US}.
     */
    static final double[] CALLS_OF_ALL_PROXIES_US = {2e5, 8e6};
    /** Least and most timeout of a discovery call, microseconds. */
    static final double[] CALL_TIMEOUT_US = {2e6, 3e6};
    /** Most additional delay of a discovery response, and least and most pause within a list, microseconds. */
    static final double MAX_EXTRA_DELAY_US = 2.9e6;

    static final double[] LIST_PAUSE_US = {1e6, 4e6};
    /** Longest time that discovery is down or sends nothing, microseconds. */
    static final double MAX_OUTAGE_US = 1.2e7;
    /** SIGKILL follows SIGTERM after the longest deadline of {@link #SOAK_CLASSES} plus 0.7 s. */
    private static final String KILL_AFTER = "2.8s";
    /** One in this many soaks has overload: additional discovery calls, and a connection flood. */
    private static final int OVERLOAD_ONE_IN = 3;
    /** Least time between a soak's faults and its start or end, and between two of its discovery faults, seconds. */
    private static final double FAULT_MARGIN_S = 4;

    private static final double MIN_DISCOVERY_FAULT_GAP_S = 8;
    /** Duration of faults that make a number of discovery calls fail, seconds. */
    private static final double FAILING_CALLS_S = 7;
    /** Mean time between the starts of a soak's other faults, seconds. */
    private static final double MEAN_FAULT_GAP_S = 1.6;

    private static final String SOAK_CLASSES = """

            [[class]]
            name = "look"
            share = "45%"
            work = "8ms"
            effect = "safe"
            aim = "300ms"
            deadline = "800ms"

            [[class]]
            name = "pay"
            share = "30%"
            work = "10ms"
            effect = "unsafe"
            aim = "500ms"
            deadline = "1.3s"
            worth = 8

            [[class]]
            name = "file"
            share = "25%"
            work = "9ms"
            effect = "keyed"
            group = "zone"
            window = "4s"
            aim = "700ms"
            deadline = "2.1s"
            worth = 5
            """;

    private final RandomStream chance;
    private final StringBuilder out = new StringBuilder();

    private GeneratedScenario(Family family, long seed) {
        this.chance = RandomStream.of(seed, family.outputName());
    }

    /**
     * Generates a scenario file.
     *
     * @param instances number of client proxies, at least 1
     * @param startUs time from the start of a client proxy's process until it is ready; negative: drawn at random
     */
    public static String generate(Family family, long seed, int instances, long startUs) {
        GeneratedScenario scenario = new GeneratedScenario(family, seed);
        return switch (family) {
            case HERD -> scenario.herdScenario(seed, instances, startUs);
            case JAM -> scenario.jamScenario(seed, instances, startUs);
            case SOAK -> scenario.soakScenario(seed, instances, SOAK_S, 0);
        };
    }

    /**
     * Generates a soak of a given length.
     *
     * @param lengthS how long clients send requests, seconds, at least {@link #MIN_SOAK_S}
     * @param alsoListed additional servers that full lists name, all of them draining
     */
    public static String soak(long seed, int instances, int lengthS, int alsoListed) {
        return new GeneratedScenario(Family.SOAK, seed).soakScenario(seed, instances, lengthS, alsoListed);
    }

    private GeneratedScenario line(String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
        return this;
    }

    private double between(double low, double high) {
        return chance.uniformBetween(low, high);
    }

    private static String time(double us) {
        return String.format(Locale.ROOT, "%.3fms", us / 1e3);
    }

    /**
     * Writes the client proxies, servers for them, and a discovery that processes one call of each proxy within 2 to
     * 8 s.
     *
     * @return the number of servers
     */
    private int addDeployment(int instances, long startUs, String known) {
        int zones = 2 + chance.uniformBelow(3);
        int hosts = Math.max(12, Math.min(200, (int) (instances * between(0.5, 0.75))));
        out.append("\n[network]\nzones = [");
        for (int i = 0; i < zones; i++) {
            out.append(i == 0 ? "" : ", ")
                    .append("\"zone-")
                    .append((char) ('a' + i))
                    .append('"');
        }
        line("]");
        line("%n[discovery]%ncall = \"%s\"%ntimeout = \"2s\"", time(between(2e6, 8e6) / instances));
        line(
                "%n[proxies]%ncount = %d%nspread = %.2f%nstart-within = \"%s\"%nstart = \"%s\"%nknown = \"%s\"",
                instances,
                between(0.3, 0.8),
                time(between(1e5, 1e6)),
                time(startUs >= 0 ? startUs : between(5e5, 4e6)),
                known);
        line("known-age = \"%s\"%nconnections = 64", time(between(8e6, 14e6)));
        line(
                "core = %.2f%ncold-request = \"%s\"%nwarm-request = \"%s\"",
                between(0.4, 0.6), time(between(6e3, 1e4)), time(between(8e2, 1.4e3)));
        line("warm-after = %d", 150 + chance.uniformBelow(150));
        for (String group : new String[] {"new", "old"}) {
            boolean fresh = group.equals("new");
            line(
                    "%n[[servers]]%nname = \"%s\"%ncount = %d%ncores = 2%nweight = 2%nspeed = [%s]",
                    group, fresh ? hosts - hosts / 2 : hosts / 2, fresh ? "1.5, 2.1" : "0.77, 1");
            line("queue-per-core = 20");
            line(
                    "connections-per-core = %d%nhandshake-work = [\"650us\", \"1.5ms\"]%nerrors = \"0.1%%\"",
                    (int) Math.max(100, 2.0 * instances));
            line("report-every = [\"340ms\", \"1.3s\"]%npause-every = \"6s\"%npause-for = [\"0ms\", \"170ms\"]");
            line("cold-from = [\"13%%\", \"34%%\"]%ncold-for = [\"10s\", \"24s\"]");
            line(
                    "crowd-at = 6%ncrowd-loss = \"%.0f%%\"%nkey-memory = \"%s\"%nkey-saving = \"%.0f%%\"",
                    between(30, 50), time(between(3.2e6, 8.8e6)), between(32, 69));
        }
        out.append(HERD_CLASSES);
        return hosts;
    }

    private String herdScenario(long seed, int instances, long startUs) {
        line("# Drawn: emulate draw herd --seed %d --instances %d", seed, instances);
        line("%n[scenario]%ntitle = \"seven in ten of %d client proxies are killed in a release\"", instances);
        line("length = \"30s\"");
        int hosts = addDeployment(instances, startUs, "stale");
        line(
                "%n[load]%nof-capacity = \"%.0f%%\"%nshape = \"steady\"%nkeys = %d%nzipf = %.2f",
                between(45, 60), 30 * hosts, between(0.86, 1.1));
        double kill = between(1e7, 1.2e7);
        line(
                "%n[[fault]]%ndo = \"deploy\"%nat = \"%s\"%nfor = \"%s\"%npart = \"%.0f%%\"%nbatch = \"%.0f%%\"",
                time(kill - between(1.5e6, 4e6)), time(between(6e6, 1e7)), between(40, 60), between(10, 20));
        line("drain = \"%s\"", time(between(2e6, 5e6)));
        line(
                "%n[[fault]]%ndo = \"kill-proxy\"%nat = \"%s\"%npart = \"70%%\"%nwithin = [\"0s\", \"100ms\"]",
                time(kill));
        line(
                "%n[[fault]]%ndo = \"discovery-crowd\"%nat = \"%s\"%nfor = \"%s\"%ncalls = \"%.1f/s\"",
                time(kill - between(0, 8e6)), time(between(1e7, 2e7)), between(0.2, 0.5) * instances / 5);
        String[] bad = {"do = \"errors\"%nrate = \"50%%\"", "do = \"hang\"", "do = \"slow\"%nfactor = 6"};
        line("%n[[fault]]%n" + bad[chance.uniformBelow(bad.length)] + "%nat = \"2s\"%npart = \"%.1f%%\"", 12.5);
        return out.toString();
    }

    private String soakScenario(long seed, int instances, int lengthS, int alsoListed) {
        line(
                "# Drawn: kit soak --seeds %d --instances %d --length %d --also-listed %d",
                seed, instances, lengthS, alsoListed);
        line(
                "%n[scenario]%ntitle = \"faults of all kinds over %d client proxies\"%nlength = \"%ds\"%nsettle = \"9s\"",
                instances, lengthS);
        line("%n[network]%nzones = [\"zone-a\", \"zone-b\", \"zone-c\"]");
        line(
                "%n[discovery]%ncall = \"%s\"%ntimeout = \"%s\"%nalso-listed = %d",
                time(between(CALLS_OF_ALL_PROXIES_US) / instances), time(between(CALL_TIMEOUT_US)), alsoListed);
        line("notice = [\"100ms\", \"1.5s\"]%nsilent-notice = [\"3s\", \"6s\"]");
        line("%n[rules]%nask-within = \"%s\"", time(chance.uniformBelow(2) == 0 ? 1e7 : between(1.8e6, 6e6)));
        line(
                "%n[proxies]%ncount = %d%nspread = %.2f%nstart-within = \"%s\"%nknown = \"%s\"%nknown-age = \"5s\"%nkill-after = \"%s\"",
                instances,
                between(0, 0.8),
                time(between(1e5, 2e6)),
                chance.uniformBelow(2) == 0 ? "current" : "stale",
                KILL_AFTER);
        line(
                "%n[clients]%nretries = %d%nbackoff = [\"12ms\", \"150ms\"]%nleave = \"%.1f%%\"",
                chance.uniformBelow(3), between(0, 6));
        int hosts = 8 + chance.uniformBelow(9);
        line("%n[[servers]]%nname = \"host\"%ncount = %d%ncores = 2%nspeed = [0.8, 1.6]%nerrors = \"0.2%%\"", hosts);
        line(
                "cold-from = [\"20%%\", \"40%%\"]%ncold-for = [\"5s\", \"20s\"]%nconnections-per-core = %d",
                20 * instances);
        line("idle-close = \"%s\"", time(between(1e6, 5e6)));
        out.append(SOAK_CLASSES);
        line(
                "%n[load]%nrate = \"%.0f/s\"%nshape = \"bursty\"%nkeys = %d",
                instances * between(4, 9), chance.uniformBelow(2) * 300);
        double last = lengthS - FAULT_MARGIN_S;
        if (chance.uniformBelow(OVERLOAD_ONE_IN) == 0) {
            addOverload(last, instances);
        }
        for (double at = FAULT_MARGIN_S + between(0, 3); at < last; at += MIN_DISCOVERY_FAULT_GAP_S + between(0, 4)) {
            addDiscoveryFault(at);
        }
        for (double at = FAULT_MARGIN_S; at < last; at += between(0, 2 * MEAN_FAULT_GAP_S)) {
            addFault(at, last - at, instances, hosts);
        }
        return out.toString();
    }

    /** Adds discovery calls from other callers, and a crowd of bad clients. */
    private void addOverload(double lastS, int instances) {
        double at = between(FAULT_MARGIN_S, lastS / 2);
        beginFault("discovery-crowd", at)
                .line("for = \"%s\"%ncalls = \"%.1f/s\"", time(between(3e6, 1e7)), instances * between(0.1, 0.6));
        beginFault("crowd-proxy", between(FAULT_MARGIN_S, lastS / 2))
                .line(
                        "count = %d%nconnections = %d%nfor = \"%s\"",
                        1 + chance.uniformBelow(Math.max(1, instances / 3)),
                        30 + chance.uniformBelow(300),
                        time(between(2e6, 1e7)));
    }

    /** Adds SIGHUP and SIGTERM to one process, in quick succession and each possibly more than once. */
    private void addSignals(double atS, int instances) {
        int proxy = chance.uniformBelow(instances);
        double at = atS;
        for (int reloads = chance.uniformBelow(4); reloads > 0; reloads--) {
            beginFault("reload-proxy", at).line("proxy = %d", proxy);
            at += between(0.02, 1.2);
        }
        for (int ends = chance.uniformBelow(3); ends > 0; ends--) {
            beginFault("end-proxy", at).line("proxy = %d", proxy);
            at += between(0.01, 0.4);
        }
    }

    private double between(double[] range) {
        return between(range[0], range[1]);
    }

    private GeneratedScenario beginFault(String kind, double atS) {
        return line("%n[[fault]]%ndo = \"%s\"%nat = \"%s\"", kind, time(atS * 1e6));
    }

    /** Adds a fault of discovery, in three of four cases with servers that start to drain as it begins. */
    private void addDiscoveryFault(double atS) {
        if (chance.uniformBelow(4) > 0) {
            beginFault("drain", atS).line("count = %d", 1 + chance.uniformBelow(2));
        }
        String[] kinds = {
            "discovery-down",
            "discovery-silent",
            "discovery-late",
            "discovery-refuses",
            "discovery-cuts",
            "discovery-pauses",
            "discovery-ends",
            "watches-silent",
            "watches-reset"
        };
        String kind = kinds[chance.uniformBelow(kinds.length)];
        beginFault(kind, atS);
        switch (kind) {
            case "discovery-down", "discovery-silent" -> line("for = \"%s\"", time(between(5e5, MAX_OUTAGE_US)));
            case "discovery-late" -> {
                line(
                        "by = [\"0ms\", \"%s\"]%nfor = \"%s\"",
                        time(between(1e5, MAX_EXTRA_DELAY_US)), time(between(1e6, 8e6)));
                // Makes all proxies call discovery during the fault; without calls it would have no effect.
                if (chance.uniformBelow(2) == 0) {
                    beginFault("watches-reset", atS + 0.1);
                } else {
                    beginFault("discovery-ends", atS + 0.1)
                            .line("of-each = 1%nfor = \"%s\"", time(FAILING_CALLS_S * 1e6));
                }
            }
            case "discovery-pauses" ->
                line(
                        "of-each = %d%nby = [\"%s\", \"%s\"]%nfor = \"%s\"",
                        1 + chance.uniformBelow(2),
                        time(LIST_PAUSE_US[0]),
                        time(LIST_PAUSE_US[1]),
                        time(FAILING_CALLS_S * 1e6));
            case "discovery-refuses", "discovery-cuts", "discovery-ends" ->
                line("of-each = %d%nfor = \"%s\"", 1 + chance.uniformBelow(2), time(FAILING_CALLS_S * 1e6));
            default -> {}
        }
    }

    /** Adds a fault of servers, connections or client proxies. */
    private void addFault(double atS, double leftS, int instances, int hosts) {
        int proxies = 1 + chance.uniformBelow(Math.max(1, instances / 3));
        double lasts = Math.min(leftS, between(0.5, 5));
        switch (chance.uniformBelow(14)) {
            case 0 ->
                beginFault("kill-proxy", atS)
                        .line(
                                "count = %d%nwithin = [\"0s\", \"%s\"]%ndown = \"%s\"",
                                proxies, time(between(1e4, 1e6)), time(between(0, 2e6)));
            case 1 ->
                beginFault("pause-proxy", atS).line("count = %d%nfor = \"%s\"", proxies, time(between(2e4, 1.2e6)));
            case 2 ->
                beginFault("end-proxy", atS)
                        .line("count = %d%nwithin = [\"0s\", \"%s\"]", proxies, time(between(1e4, 2e6)));
            case 3 ->
                beginFault("reload-proxy", atS)
                        .line("count = %d%nwithin = [\"0s\", \"%s\"]", proxies, time(between(1e4, 1e6)));
            case 4 -> beginFault("hang", atS).line("count = 1%nfor = \"%s\"", time(lasts * 1e6));
            case 5 ->
                beginFault("slow", atS)
                        .line("count = 1%nfactor = %.1f%nfor = \"%s\"", between(2, 10), time(lasts * 1e6));
            case 6 ->
                beginFault("errors", atS)
                        .line("count = 2%nrate = \"%.0f%%\"%nfor = \"%s\"", between(5, 60), time(lasts * 1e6));
            case 7 ->
                beginFault("reset-before", atS)
                        .line(
                                "count = %d%nrate = \"%.0f%%\"%nfor = \"%s\"",
                                hosts / 2, between(5, 40), time(lasts * 1e6));
            case 8 ->
                beginFault("reset-after", atS)
                        .line(
                                "count = %d%nrate = \"%.0f%%\"%nfor = \"%s\"",
                                hosts / 2, between(5, 40), time(lasts * 1e6));
            case 9 ->
                beginFault("restart", atS)
                        .line(
                                "count = 1%ndrain = \"%s\"%nmoved = %b",
                                time(between(0, 2e6)), chance.uniformBelow(2) == 0);
            case 10 -> beginFault("vanish", atS).line("count = 1%nfor = \"%s\"", time(lasts * 1e6));
            case 12 -> addSignals(atS, instances);
            case 11 -> beginFault("pause", atS).line("count = 1%nfor = \"%s\"", time(between(5e4, 8e5)));
            default -> beginFault("burst", atS).line("requests = %d", 10 + chance.uniformBelow(10 * instances));
        }
    }

    private String jamScenario(long seed, int instances, long startUs) {
        line("# Drawn: emulate draw jam --seed %d --instances %d", seed, instances);
        line("%n[scenario]%ntitle = \"a burst leaves the servers of %d client proxies slow\"", instances);
        line("length = \"40s\"");
        int hosts = Math.max(12, Math.min(200, (int) (instances * between(0.5, 0.75))));
        line("%n[network]%nzones = [\"zone-a\", \"zone-b\", \"zone-c\"]%ncross = [\"5ms\", \"10ms\"]");
        line("%n[discovery]%ncall = \"%s\"", time(2e6 / instances));
        line(
                "%n[proxies]%ncount = %d%nspread = %.2f%nstart-within = \"%s\"%nstart = \"%s\"",
                instances,
                between(0.3, 0.8),
                time(between(1e5, 1e6)),
                time(startUs >= 0 ? startUs : between(5e5, 2e6)));
        line(
                "%n[clients]%nretries = %d%nbackoff = [\"12ms\", \"100ms\"]%nhonour = \"%.0f%%\"",
                1 + chance.uniformBelow(2), between(30, 90));
        line("patience = [\"%.0f%%\", \"100%%\"]", between(50, 90));
        line("%n[limits]%nattempts = 5%nprobes = false%nretry-after = \"1.5s\"");
        String stops = chance.uniformBelow(2) == 0 ? "none" : "queued";
        String linger = String.format(
                Locale.ROOT,
                "linger-at = %.1f%nlinger-after = \"%s\"%nlinger-slower = %.2f%n"
                        + "linger-below = \"%.0f%%\"%nlinger-rest = \"%s\"%nlinger-most = \"%s\"",
                between(4, 7),
                time(between(1.5e6, 2.5e6)),
                between(2.3, 3.4),
                between(25, 40),
                time(between(2.3e6, 4.6e6)),
                time(between(1.8e7, 3.1e7)));
        for (String group : new String[] {"new", "old"}) {
            boolean fresh = group.equals("new");
            line(
                    "%n[[servers]]%nname = \"%s\"%ncount = %d%ncores = 2%nweight = 2%nspeed = [%s]",
                    group, fresh ? hosts * 3 / 8 : hosts - hosts * 3 / 8, fresh ? "1.5, 2.1" : "0.77, 1");
            line(
                    "slots-per-core = %d%nqueue-per-core = %d%nstops = \"%s\"%ndrops-expired = false",
                    8 + chance.uniformBelow(17), 230 + chance.uniformBelow(500), stops);
            line("connections-per-core = 750%nhandshake-work = [\"770us\", \"2ms\"]%nidle-close = \"30s\"");
            line("report-every = [\"48ms\", \"450ms\"]");
            line("crowd-at = %.1f%ncrowd-loss = \"%.0f%%\"%n%s", between(3.8, 8.3), between(17, 30), linger);
        }
        out.append(JAM_CLASSES);
        line(
                "%n[load]%nof-capacity = \"%.0f%%\"%nshape = \"bursty\"%nswing = \"%.0f%%\"%nkeys = 0",
                between(65, 82), between(18, 33));
        line(
                "%n[[fault]]%ndo = \"surge\"%nat = \"%s\"%nfor = \"%s\"%nfactor = 1.5",
                time(between(6e6, 1.2e7)), time(between(5e6, 1e7)));
        return out.toString();
    }
}
