package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.emulator.reference.Reference;

/**
 * Results of the product or a reference balancer over several seeds of one scenario.
 *
 * @param name the balancer's name
 * @param reference the reference balancer; null: the product
 * @param results the result for each seed
 */
public record BalancerComparison(String name, Reference reference, List<Sweep.SeedResult> results) {

    /** Runs the product first, then each reference balancer in order. */
    public static List<BalancerComparison> run(Scenario scenario, long from, long to, int jobs)
            throws InterruptedException {
        List<BalancerComparison> all = new ArrayList<>();
        all.add(new BalancerComparison("mulleinfront", null, Sweep.run(scenario, from, to, jobs, null, p -> {})));
        for (Reference reference : Reference.values()) {
            all.add(new BalancerComparison(
                    reference.outputName(), reference, Sweep.run(scenario, from, to, jobs, reference, p -> {})));
        }
        return all;
    }

    public double meanScore() {
        return Sweep.meanScore(results);
    }

    public double lowestScore() {
        return results.stream().mapToDouble(Sweep.SeedResult::service).min().orElse(0);
    }

    /** Number of seeds with a violation. */
    public int seedsWithBreaches() {
        return (int) results.stream().filter(p -> p.breaches() > 0).count();
    }

    /** The lowest ratio of this balancer's service score to another's on the same seed. */
    double lowestRatioTo(BalancerComparison other) {
        double lowest = Double.POSITIVE_INFINITY;
        for (int i = 0; i < results.size(); i++) {
            lowest = Math.min(
                    lowest,
                    results.get(i).service()
                            / Math.max(1e-9, other.results.get(i).service()));
        }
        return lowest;
    }

    /**
     * A table with a line for each balancer, followed by the product's ratio to the references that know the servers'
     * true state.
     */
    public static String table(Scenario scenario, long from, long to, List<BalancerComparison> all) {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT,
                "%s, seeds %d..%d%n%-14s %8s %8s %8s %8s  %s%n",
                scenario.name(),
                from,
                to,
                "balancer",
                "service",
                "worst",
                "goodput",
                "broken",
                ""));
        for (BalancerComparison compared : all) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-14s %8.4f %8.4f %8.3f %8d  %s%n",
                    compared.name,
                    compared.meanScore(),
                    compared.lowestScore(),
                    compared.results.stream()
                            .mapToDouble(Sweep.SeedResult::goodput)
                            .average()
                            .orElse(0),
                    compared.seedsWithBreaches(),
                    compared.reference == null ? "the product" : compared.reference.description()));
        }
        BalancerComparison product = all.get(0);
        for (BalancerComparison compared : all) {
            if (compared.reference != null && compared.reference.knowledgeDelayUs() >= 0) {
                out.append(String.format(
                        Locale.ROOT,
                        "of %s: %.3f of its mean service, on the worst seed %.3f%n",
                        compared.name,
                        product.meanScore() / Math.max(1e-9, compared.meanScore()),
                        product.lowestRatioTo(compared)));
            }
        }
        return out.toString();
    }
}
