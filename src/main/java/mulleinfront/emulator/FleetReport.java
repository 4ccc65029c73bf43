package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Result of the membership audit of a run.
 *
 * @param breaches the first violations that the auditor found
 * @param breachCount number of all violations
 * @param traffic datagrams that members sent and read; null: not known
 * @param members number of members
 * @param lengthUs length of the run in microseconds
 * @param viewsAgree whether all running members had the same view at the end
 */
public record FleetReport(
        List<FleetAuditor.Breach> breaches,
        int breachCount,
        FleetRun.TrafficCounts traffic,
        int members,
        long lengthUs,
        boolean viewsAgree) {

    /** Lines for the text report. */
    List<String> lines() {
        double memberSeconds = Math.max(1, members * (lengthUs / 1e6));
        String first = traffic == null
                ? "fleet: " + members + " members, judged by their event logs"
                : String.format(
                        Locale.ROOT,
                        "fleet: %.2f datagrams and %.0f bytes a second from each of %d, %d not"
                                + " read, %d held back; views %s at the end",
                        traffic.datagrams() / memberSeconds,
                        traffic.bytes() / memberSeconds,
                        members,
                        traffic.dropped(),
                        traffic.rateLimited(),
                        viewsAgree ? "even" : "not even");
        if (breachCount == 0) {
            return List.of(first, "fleet rules: all kept");
        }
        List<String> all = new ArrayList<>(List.of(first, "fleet rules: " + breachCount + " breaches; the first:"));
        breaches.stream().limit(10).forEach(b -> all.add("  " + b));
        return all;
    }
}
