package mulleinfront.fleet;

/**
 * How much one instance sends: datagrams and bytes a second, saved up for two seconds. What others wait for may
 * use all of it; what can wait leaves a part.
 */
final class Allowance {
    /** What is sent, the most urgent first, with the part of what is saved up that it leaves. */
    enum Use {
        /** Pings and their answers. */
        PROBE(0),
        /** News, and what others ask to be asked. */
        NEWS(0.25),
        /** Views that are compared. */
        COMPARE(0.5);

        private final double leaves;

        Use(double leaves) {
            this.leaves = leaves;
        }
    }

    private static final double SAVED_S = 2;

    private final double datagramsPerS;
    private final double bytesPerS;
    private double datagrams;
    private double bytes;
    private long at;
    private long withheld;

    Allowance(int datagramsPerS, int bytesPerS, long now) {
        this.datagramsPerS = datagramsPerS;
        this.bytesPerS = bytesPerS;
        this.datagrams = SAVED_S * datagramsPerS;
        this.bytes = SAVED_S * bytesPerS;
        this.at = now;
    }

    /** Whether one more may be sent for this; what is may be counted by {@link #spend} once its length is known. */
    boolean allows(Use use, long now) {
        double passed = Math.max(0, now - at) / 1e6;
        at = Math.max(at, now);
        datagrams = Math.min(SAVED_S * datagramsPerS, datagrams + passed * datagramsPerS);
        bytes = Math.min(SAVED_S * bytesPerS, bytes + passed * bytesPerS);
        boolean yes = datagrams >= 1 + use.leaves * SAVED_S * datagramsPerS
                && bytes >= Datagram.MOST + use.leaves * SAVED_S * bytesPerS;
        withheld += yes ? 0 : 1;
        return yes;
    }

    void spend(int length) {
        datagrams--;
        bytes -= length;
    }

    /** Datagrams that were not sent for want of allowance. */
    long withheld() {
        return withheld;
    }
}
