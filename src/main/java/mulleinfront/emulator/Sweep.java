package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mulleinfront.emulator.reference.Reference;
import mulleinfront.settings.BadFileException;

/**
 * Runs of one scenario under many seeds. Each simulation runs on one thread and shares no state with the others, and
 * results are ordered by seed, so the number of concurrent runs has no effect on them.
 */
public final class Sweep {
    private Sweep() {}

    /**
     * The result of one simulation.
     *
     * @param goodput see {@link World.Result#goodput}
     * @param fell number of servers that crashed from overload
     * @param breach description of the first violation, or null
     * @param starts see {@link ServiceReport#starts}
     */
    public record SeedResult(
            long seed,
            double service,
            double goodput,
            int fell,
            int breaches,
            String breach,
            String sha256,
            List<ServiceReport.Starts> starts) {}

    /** The scenario of a seed: a fixed one, or one generated from the seed. */
    public interface Source {
        Scenario of(long seed);

        /** Generated scenarios of one family. */
        static Source drawn(GeneratedScenario.Family family, int instances, long startUs) {
            return seed -> {
                try {
                    return ScenarioReader.read(
                            family.word() + "-" + seed, GeneratedScenario.of(family, seed, instances, startUs), world ->
                                    new String[] {world, ""});
                } catch (BadFileException e) {
                    throw new IllegalStateException(e);
                }
            };
        }
    }

    /**
     * Runs the seeds {@code from} to {@code to}, both included.
     *
     * @param balancer the reference balancer, or null: the product
     * @param jobs number of concurrent simulations, at least 1
     * @param progress called with each result, in the order of the seeds
     */
    public static List<SeedResult> play(
            Scenario scenario, long from, long to, int jobs, Reference balancer, Consumer<SeedResult> progress)
            throws InterruptedException {
        return play(seed -> scenario, from, to, jobs, balancer, progress);
    }

    /** Runs the seeds {@code from} to {@code to} of scenarios that may differ by seed. */
    public static List<SeedResult> play(
            Source source, long from, long to, int jobs, Reference balancer, Consumer<SeedResult> progress)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs, task -> {
            Thread thread = new Thread(task, "world");
            thread.setDaemon(true);
            return thread;
        });
        try {
            List<Future<SeedResult>> runs = new ArrayList<>();
            for (long seed = from; seed <= to; seed++) {
                long runSeed = seed;
                runs.add(pool.submit(() -> play(source.of(runSeed), runSeed, balancer)));
            }
            List<SeedResult> all = new ArrayList<>();
            for (Future<SeedResult> world : runs) {
                SeedResult result = world.get();
                all.add(result);
                progress.accept(result);
            }
            return all;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a simulation failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private static SeedResult play(Scenario scenario, long seed, Reference balancer) {
        World world = balancer == null ? World.of(scenario, seed, null) : World.under(balancer, scenario, seed);
        World.Result result = world.play();
        return new SeedResult(
                seed,
                result.service().service(),
                result.goodput(),
                result.crashedServers(),
                result.broken(),
                result.firstBreach(),
                result.sha256(),
                result.service().starts());
    }

    /** The seeds with the lowest service scores, the worst first. */
    public static List<SeedResult> worst(List<SeedResult> all, int count) {
        return all.stream()
                .sorted(Comparator.comparingDouble(SeedResult::service).thenComparingLong(SeedResult::seed))
                .limit(count)
                .toList();
    }

    /**
     * A line for each type of start over all simulations: the fraction of value served and the fraction of tries
     * refused.
     */
    public static List<String> starts(List<SeedResult> all) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; !all.isEmpty() && i < all.get(0).starts().size(); i++) {
            int index = i;
            List<ServiceReport.Starts> each = all.stream()
                    .filter(p -> p.starts().size() > index)
                    .map(p -> p.starts().get(index))
                    .toList();
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: service %.4f, refused %.4f of tries",
                    each.get(0).name(),
                    each.stream()
                            .mapToDouble(ServiceReport.Starts::share)
                            .average()
                            .orElse(0),
                    each.stream().mapToLong(ServiceReport.Starts::refused).sum()
                            / Math.max(
                                    1.0,
                                    each.stream()
                                            .mapToLong(ServiceReport.Starts::tries)
                                            .sum())));
        }
        return lines;
    }

    public static double mean(List<SeedResult> all) {
        return all.stream().mapToDouble(SeedResult::service).average().orElse(0);
    }
}
