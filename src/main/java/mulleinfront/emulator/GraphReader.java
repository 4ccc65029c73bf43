package mulleinfront.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.Balancer.Effect;
import mulleinfront.emulator.GraphSpec.Failure;
import mulleinfront.emulator.GraphSpec.Kind;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Section;

/**
 * Reads a file with a graph of services: a scenario's tables, and {@code [graph]}, {@code [[region]]} and
 * {@code [[failure]]}. The page {@code docs/emulator.md} describes the keys.
 */
public final class GraphReader {
    /** Values of the {@code rate-of} key: whether the given rate counts calls or requests. */
    private enum RateOf {
        CALLS,
        REQUESTS
    }

    private GraphReader() {}

    /**
     * Reads a file, and the base scenario file that its {@code world} key names, if any.
     *
     * @throws BadFileException with a message of one line: file, line and reason
     */
    public static GraphSpec read(Path file) throws BadFileException {
        String text = ScenarioReader.text(file);
        String world =
                Section.root(file.toString(), text, null).table("scenario").string("world", "");
        Section base = null;
        if (!world.isEmpty()) {
            Path baseFile = file.resolveSibling(world);
            base = Section.root(baseFile.toString(), ScenarioReader.text(baseFile), null);
            if (base.table("scenario").statesOwn("world")) {
                throw new BadFileException(
                        baseFile + ":1: scenario.world: a base scenario must not have a base scenario itself");
            }
        }
        return read(file.toString(), Section.root(file.toString(), text, base));
    }

    static GraphSpec read(String file, Section root) throws BadFileException {
        List<Section> regions = root.tables("region");
        Section graph = root.table("graph");
        List<Section> failures = root.ownTables("failure");
        if (!root.has("graph")) {
            throw root.error("graph", "there is no [graph]: run the scenario of a single service with emulate");
        }
        Scenario world = ScenarioReader.read(file, root);
        if (world.servers().size() != 1) {
            throw root.error(
                    "servers",
                    "a graph needs exactly one [[servers]]: it gives the machine spec and the number of machines");
        }
        if (world.load().shape() != Scenario.LoadShape.STEADY) {
            throw root.table("load").error("shape", "a graph needs a steady load");
        }
        if (world.classes().stream().noneMatch(c -> c.type().effect() == Effect.RETRYABLE)) {
            throw root.error("class", "read calls need a class whose effect is safe");
        }
        int[] regionOf = new int[world.zones().size()];
        List<String> names = regions(root, regions, world.zones(), regionOf);
        int depth = graph.count("depth", 10, 1);
        int fronts = graph.count("fronts", 3, 1);
        int services = graph.count("services", null, fronts + depth);
        Range work = graph.numberRange("work-factor", Range.of(1), 0);
        if (work.low() <= 0) {
            throw graph.error("work-factor", "must be more than zero");
        }
        GraphSpec spec = new GraphSpec(
                world,
                names,
                regionOf,
                graph.timeRange("between-regions", Range.of(0)),
                services,
                depth,
                fronts,
                graph.share("front-hosts", 0.1, 1),
                graph.count("least-hosts", 3, 1),
                graph.count("fan-out", 4, 0),
                graph.number("skew", 0.8, 0),
                graph.share("chain", 0.75, 1),
                graph.number("calls-per-request", null, 1),
                graph.enumValue("rate-of", RateOf.CALLS, RateOf.class) == RateOf.CALLS,
                work,
                graph.share("in-turn", 0.5, 1),
                graph.share("optional", 0.3, 1),
                graph.share("reads", 0.6, 1),
                graph.enumValue("told", GraphSpec.PropagatedDeadline.ATTEMPT, GraphSpec.PropagatedDeadline.class),
                graph.time("reserve", 2_000L),
                graph.count("rack", 20, 1),
                graph.time("added-budget", 660L),
                List.of());
        graph.rejectUnknownKeys();
        try {
            CallGraph.generate(spec, 1);
        } catch (IllegalArgumentException e) {
            throw graph.error(e.getMessage());
        }
        List<Failure> all = new ArrayList<>();
        for (Section section : failures) {
            all.add(failure(section, world));
            section.rejectUnknownKeys();
        }
        return spec.withFailures(all);
    }

    private static List<String> regions(Section root, List<Section> regions, List<String> zones, int[] regionOf)
            throws BadFileException {
        Arrays.fill(regionOf, -1);
        List<String> names = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Section section : regions) {
            String name = section.string("name", null);
            if (!seen.add(name)) {
                throw section.error("name", "duplicate region name \"" + name + "\"");
            }
            for (String zone : section.strings("zones")) {
                int zoneIndex = zones.indexOf(zone);
                if (zoneIndex < 0) {
                    throw section.error("zones", "unknown zone \"" + zone + "\"");
                }
                if (regionOf[zoneIndex] >= 0) {
                    throw section.error("zones", "zone \"" + zone + "\" is already in a region");
                }
                regionOf[zoneIndex] = names.size();
            }
            names.add(name);
            section.rejectUnknownKeys();
        }
        for (int zone = 0; zone < regionOf.length; zone++) {
            if (regionOf[zone] < 0) {
                throw root.error("region", "no [[region]] has the zone " + zones.get(zone));
            }
        }
        return names;
    }

    private static Failure failure(Section section, Scenario world) throws BadFileException {
        Kind kind = section.enumValue("do", null, Kind.class);
        long at = section.time("at", null);
        if (at > world.lengthUs()) {
            throw section.error("at", "must not be after the end of the scenario");
        }
        if (kind == Kind.CUT) {
            return new Failure(kind, at, section.time("for", null), 0, -1, -1, false, 0, 0, false);
        }
        int zone = -1;
        if (section.has("zone")) {
            zone = world.zones().indexOf(section.string("zone", null));
            if (zone < 0) {
                throw section.error("zone", "there is no such zone");
            }
        }
        double batch = section.share("batch", 0.0, 1);
        long within = section.time("within", 0L);
        if (batch > 0 && within <= 0) {
            throw section.error("batch", "needs within: the time in which all batches begin");
        }
        boolean restart = kind == Kind.RESTART;
        return new Failure(
                kind,
                at,
                section.time("for", restart ? (Long) 0L : null),
                within,
                section.has("count") ? section.count("count", null, 1) : -1,
                zone,
                section.bool("rack", false),
                batch,
                restart ? section.time("drain", 3_000_000L) : 0,
                restart && section.bool("proxies", false));
    }
}
