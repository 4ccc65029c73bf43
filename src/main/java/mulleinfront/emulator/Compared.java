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
 * @param worlds the result for each seed
 */
public record Compared(String name, Reference reference, List<Sweep.SeedResult> worlds) {

    /** Runs the product first, then each reference balancer in order. */
    public static List<Compared> play(Scenario scenario, long from, long to, int jobs) throws InterruptedException {
        List<Compared> all = new ArrayList<>();
        all.add(new Compared("mulleinfront", null, Sweep.play(scenario, from, to, jobs, null, p -> {})));
        for (Reference reference : Reference.values()) {
            all.add(new Compared(
                    reference.word(), reference, Sweep.play(scenario, from, to, jobs, reference, p -> {})));
        }
        return all;
    }

    public double mean() {
        return Sweep.mean(worlds);
    }

    public double worst() {
        return worlds.stream().mapToDouble(Sweep.SeedResult::service).min().orElse(0);
    }

    /** Number of seeds with a violation. */
    public int broken() {
        return (int) worlds.stream().filter(p -> p.breaches() > 0).count();
    }

    /** The lowest ratio of this balancer's service score to another's on the same seed. */
    double lowestRatioTo(Compared other) {
        double lowest = Double.POSITIVE_INFINITY;
        for (int i = 0; i < worlds.size(); i++) {
            lowest = Math.min(
                    lowest,
                    worlds.get(i).service() / Math.max(1e-9, other.worlds.get(i).service()));
        }
        return lowest;
    }

    /**
     * A table with a line for each balancer, followed by the product's ratio to the references that know the servers'
     * true state.
     */
    public static String table(Scenario scenario, long from, long to, List<Compared> all) {
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
        for (Compared compared : all) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-14s %8.4f %8.4f %8.3f %8d  %s%n",
                    compared.name,
                    compared.mean(),
                    compared.worst(),
                    compared.worlds.stream()
                            .mapToDouble(Sweep.SeedResult::goodput)
                            .average()
                            .orElse(0),
                    compared.broken(),
                    compared.reference == null ? "the product" : compared.reference.words()));
        }
        Compared product = all.get(0);
        for (Compared compared : all) {
            if (compared.reference != null && compared.reference.seesLateUs() >= 0) {
                out.append(String.format(
                        Locale.ROOT,
                        "of %s: %.3f of its mean service, on the worst seed %.3f%n",
                        compared.name,
                        product.mean() / Math.max(1e-9, compared.mean()),
                        product.lowestRatioTo(compared)));
            }
        }
        return out.toString();
    }
}
