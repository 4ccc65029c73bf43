package mulleinfront.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import mulleinfront.Balancer;
import mulleinfront.core.Core;
import mulleinfront.settings.BadFileException;

/** Builds simulations for tests, from scenario lines or files. */
final class Worlds {
    static final Path SHIPPED = Path.of("scenarios");

    private Worlds() {}

    static List<Path> shipped() throws Exception {
        try (Stream<Path> files = Files.list(SHIPPED)) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }

    /** A scenario based on {@code calm.toml}; the given lines follow the title in the section {@code [scenario]}. */
    static Scenario of(String lines) throws BadFileException {
        return ScenarioReader.read(
                "scenarios/test.toml", "[scenario]\ntitle = \"a test\"\nworld = \"calm.toml\"\n" + lines, world ->
                        new String[] {world, text(world)});
    }

    static String text(String world) throws BadFileException {
        try {
            return Files.readString(SHIPPED.resolve(world));
        } catch (java.io.IOException e) {
            throw new BadFileException(e.toString());
        }
    }

    static World world(Scenario scenario, long seed) {
        return world(scenario, seed, Balancer::create, CoreWiring.UNCHANGED);
    }

    static World world(Scenario scenario, long seed, Core.BalancerFactory factory, CoreWiring wiring) {
        return new World(scenario, seed, new Trace(null), factory, wiring);
    }

    static World.Result play(String lines, long seed) throws BadFileException {
        return world(of(lines), seed).run();
    }
}
