package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * How the client proxies knew each other.
 *
 * @param breaches the first of what the judge found
 * @param breachCount all of it
 * @param figures what members sent and read; null: not known
 * @param members how many there are
 * @param lengthUs for how long
 * @param even whether all who ran held one view at the end
 */
public record FleetReport(
        List<FleetAuditor.Breach> breaches,
        int breachCount,
        FleetRun.Figures figures,
        int members,
        long lengthUs,
        boolean even) {

    /** Lines for the page. */
    List<String> lines() {
        double each = Math.max(1, members * (lengthUs / 1e6));
        String first = figures == null
                ? "fleet: " + members + " members, judged by their event logs"
                : String.format(
                        Locale.ROOT,
                        "fleet: %.2f datagrams and %.0f bytes a second from each of %d, %d not"
                                + " read, %d held back; views %s at the end",
                        figures.datagrams() / each,
                        figures.bytes() / each,
                        members,
                        figures.dropped(),
                        figures.withheld(),
                        even ? "even" : "not even");
        if (breachCount == 0) {
            return List.of(first, "fleet rules: all kept");
        }
        List<String> all = new ArrayList<>(List.of(first, "fleet rules: " + breachCount + " breaches; the first:"));
        breaches.stream().limit(10).forEach(b -> all.add("  " + b));
        return all;
    }
}
