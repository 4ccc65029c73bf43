package mulleinfront.fleet;

/**
 * Token bucket that limits the datagrams and the bytes per second sent by one instance, with a burst of two seconds.
 * Urgent messages may use the whole bucket; less urgent ones leave a reserve for them.
 */
final class TokenBucket {
    /** Priorities of datagrams, highest first, each with the fraction of the burst that it leaves unused. */
    enum Priority {
        /** Pings and acks. */
        PROBE(0),
        /** Gossip rounds and indirect probes. */
        GOSSIP(0.25),
        /** Anti-entropy: comparisons of views. */
        ANTI_ENTROPY(0.5);

        private final double reservedFraction;

        Priority(double reservedFraction) {
            this.reservedFraction = reservedFraction;
        }
    }

    private static final double BURST_S = 2;

    private final double datagramsPerS;
    private final double bytesPerS;
    private double datagramTokens;
    private double byteTokens;
    private long refilledAt;
    private long rejectedDatagrams;

    TokenBucket(int datagramsPerS, int bytesPerS, long now) {
        this.datagramsPerS = datagramsPerS;
        this.bytesPerS = bytesPerS;
        this.datagramTokens = BURST_S * datagramsPerS;
        this.byteTokens = BURST_S * bytesPerS;
        this.refilledAt = now;
    }

    /** Whether a datagram of this priority may be sent; {@link #spend} takes its tokens once its length is known. */
    boolean allows(Priority priority, long now) {
        double elapsedS = Math.max(0, now - refilledAt) / 1e6;
        refilledAt = Math.max(refilledAt, now);
        datagramTokens = Math.min(BURST_S * datagramsPerS, datagramTokens + elapsedS * datagramsPerS);
        byteTokens = Math.min(BURST_S * bytesPerS, byteTokens + elapsedS * bytesPerS);
        boolean allowed = datagramTokens >= 1 + priority.reservedFraction * BURST_S * datagramsPerS
                && byteTokens >= Datagram.MAX_BYTES + priority.reservedFraction * BURST_S * bytesPerS;
        rejectedDatagrams += allowed ? 0 : 1;
        return allowed;
    }

    void spend(int length) {
        datagramTokens--;
        byteTokens -= length;
    }

    /** Datagrams that were not sent for lack of tokens. */
    long rejectedDatagrams() {
        return rejectedDatagrams;
    }
}
