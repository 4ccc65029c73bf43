package mulleinfront.config;

/**
 * How a client proxy follows the control machines.
 *
 * @param machines how many there are
 * @param silenceUs a machine of which nothing has come for so long has failed, microseconds
 * @param connectUs and one that has not answered a new watch within this
 * @param spreadUs those who lose a machine at one moment move within this
 * @param retryUs wait after all machines failed in turn, at first; doubled each time
 * @param mostRetryUs and the longest
 * @param behindUs a machine that says of itself that it is behind is left after this
 * @param reportUs how often it is said again which version is in force
 */
public record SubscriberSettings(
        int machines,
        long silenceUs,
        long connectUs,
        long spreadUs,
        long retryUs,
        long mostRetryUs,
        long behindUs,
        long reportUs) {

    /** Times that keep the bound of 6 s; see the design note for the sum. */
    public static SubscriberSettings defaults(int machines) {
        return new SubscriberSettings(
                machines, 1_500_000, 500_000, 1_000_000, 500_000, 2_000_000, 1_000_000, 2_000_000);
    }
}
