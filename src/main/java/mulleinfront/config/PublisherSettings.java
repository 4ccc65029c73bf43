package mulleinfront.config;

/**
 * Parameters of the configuration distribution at a control-plane node.
 *
 * @param heartbeatIntervalUs interval of heartbeats to a subscriber that is sent nothing else, microseconds
 * @param bytesPerS average rate limit for one subscriber in bytes per second, including headers
 * @param burstBytes bytes that may be sent at once to a subscriber after a pause; at most this plus
 *        {@code bytesPerS} is sent to a subscriber in any one second
 * @param subscriberTimeoutUs time without a report after which a subscriber is disconnected, microseconds
 * @param sendTimeoutUs time after which a subscriber that has not read a delta to its end is disconnected,
 *        microseconds
 * @param maxSubscribers maximum number of open watches
 */
public record PublisherSettings(
        long heartbeatIntervalUs,
        int bytesPerS,
        int burstBytes,
        long subscriberTimeoutUs,
        long sendTimeoutUs,
        int maxSubscribers) {
    /**
     * Defaults that keep the bound of 6 s from a proposal until its version is active at every subscriber;
     * docs/design-configuration.md has the sum.
     */
    public static final PublisherSettings DEFAULTS =
            new PublisherSettings(500_000, 8_000, 2_000, 6_000_000, 30_000_000, 2_000);
}
