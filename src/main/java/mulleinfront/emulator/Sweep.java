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
     * @param crashedServers number of servers that crashed from overload
     * @param breach description of the first violation, or null
     * @param restarts see {@link ServiceReport#restarts}
     */
    public record SeedResult(
            long seed,
            double service,
            double goodput,
            int crashedServers,
            int breaches,
            String breach,
            String sha256,
            List<ServiceReport.RestartStatistics> restarts) {}

    /** The scenario of a seed: a fixed one, or one generated from the seed. */
    public interface ScenarioSource {
        Scenario of(long seed);

        /** Generated scenarios of one family. */
        static ScenarioSource generated(GeneratedScenario.Family family, int instances, long startUs) {
            return seed -> {
                try {
                    return ScenarioReader.read(
                            family.outputName() + "-" + seed,
                            GeneratedScenario.generate(family, seed, instances, startUs),
                            world -> new String[] {world, ""});
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
    public static List<SeedResult> run(
            Scenario scenario, long from, long to, int jobs, Reference balancer, Consumer<SeedResult> progress)
            throws InterruptedException {
        return run(seed -> scenario, from, to, jobs, balancer, progress);
    }

    /** Runs the seeds {@code from} to {@code to} of scenarios that may differ by seed. */
    public static List<SeedResult> run(
            ScenarioSource source, long from, long to, int jobs, Reference balancer, Consumer<SeedResult> progress)
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
                runs.add(pool.submit(() -> run(source.of(runSeed), runSeed, balancer)));
            }
            List<SeedResult> all = new ArrayList<>();
            for (Future<SeedResult> future : runs) {
                SeedResult result = future.get();
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

    private static SeedResult run(Scenario scenario, long seed, Reference balancer) {
        World world =
                balancer == null ? World.create(scenario, seed, null) : World.withReference(balancer, scenario, seed);
        World.Result result = world.run();
        return new SeedResult(
                seed,
                result.service().service(),
                result.goodput(),
                result.crashedServers(),
                result.totalBreachCount(),
                result.firstBreach(),
                result.sha256(),
                result.service().restarts());
    }

    /** The seeds with the lowest service scores, the worst first. */
    public static List<SeedResult> lowestScores(List<SeedResult> all, int count) {
        return all.stream()
                .sorted(Comparator.comparingDouble(SeedResult::service).thenComparingLong(SeedResult::seed))
                .limit(count)
                .toList();
    }

    /**
     * A line for each type of start over all simulations: the fraction of value served and the fraction of tries
     * refused.
     */
    public static List<String> describeRestarts(List<SeedResult> all) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; !all.isEmpty() && i < all.get(0).restarts().size(); i++) {
            int index = i;
            List<ServiceReport.RestartStatistics> each = all.stream()
                    .filter(p -> p.restarts().size() > index)
                    .map(p -> p.restarts().get(index))
                    .toList();
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: service %.4f, refused %.4f of tries",
                    each.get(0).name(),
                    each.stream()
                            .mapToDouble(ServiceReport.RestartStatistics::share)
                            .average()
                            .orElse(0),
                    each.stream()
                                    .mapToLong(ServiceReport.RestartStatistics::refused)
                                    .sum()
                            / Math.max(
                                    1.0,
                                    each.stream()
                                            .mapToLong(ServiceReport.RestartStatistics::tries)
                                            .sum())));
        }
        return lines;
    }

    public static double meanScore(List<SeedResult> all) {
        return all.stream().mapToDouble(SeedResult::service).average().orElse(0);
    }
}
