package mulleinfront.config;

/**
 * How a control machine hands out.
 *
 * @param heartbeatUs a reader that is sent nothing else hears this often that its machine is there,
 *        microseconds
 * @param bytesPerS bytes a second to one reader, with what carries them, on the average
 * @param burst bytes at once to one reader that has been sent nothing for a while; with the average it bounds
 *        what comes in any one second
 * @param silentUs a reader of which nothing has come for so long has gone, microseconds
 * @param patienceUs a difference that was not read to its end within so long is given up, microseconds
 * @param mostReaders readers at once
 */
public record PublisherSettings(
        long heartbeatUs, int bytesPerS, int burst, long subscriberTimeoutUs, long sendTimeoutUs, int maxSubscribers) {
    /** Times that keep the bound of 6 s; see the design note for the sum. */
    public static final PublisherSettings DEFAULTS =
            new PublisherSettings(500_000, 8_000, 2_000, 6_000_000, 30_000_000, 2_000);
}
