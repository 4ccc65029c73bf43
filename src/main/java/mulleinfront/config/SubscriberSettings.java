package mulleinfront.config;

/**
 * Parameters of a client proxy's configuration subscription. All times are in microseconds.
 *
 * @param machines number of control-plane nodes
 * @param watchTimeoutUs time without data after which the watched node counts as failed
 * @param connectTimeoutUs time without a response after which an attempt to open a watch counts as failed
 * @param reconnectSpreadUs interval over which subscribers that lose a node at the same moment reconnect
 * @param retryDelayUs upper limit of the random delay after all nodes have failed in turn; doubled on each failure
 * @param maxRetryDelayUs maximum of that limit
 * @param behindTimeoutUs time after which a node that is behind is left for another one
 * @param reportIntervalUs interval at which the active version is reported again
 */
public record SubscriberSettings(
        int machines,
        long watchTimeoutUs,
        long connectTimeoutUs,
        long reconnectSpreadUs,
        long retryDelayUs,
        long maxRetryDelayUs,
        long behindTimeoutUs,
        long reportIntervalUs) {

    /**
     * Defaults that keep the bound of 6 s from a proposal until its version is active at every subscriber;
     * docs/design-configuration.md has the sum.
     */
    public static SubscriberSettings defaults(int machines) {
        return new SubscriberSettings(
                machines, 1_500_000, 500_000, 1_000_000, 500_000, 2_000_000, 1_000_000, 2_000_000);
    }
}
