package mulleinfront.core;

/**
 * Decides whether a streamed response that is not whole some time after its client's deadline goes on. An ordinary
 * response has to be whole by then. A longer one goes on while it comes at a minimum data rate, however long it takes;
 * one that stands still or brings next to nothing is ended.
 */
public final class StreamProgress {
    /** Size of the largest ordinary body, by the protocol. */
    public static final int ORDINARY_BODY_BYTES = 64 * 1024;
    /** The longest deadline of any request, by the protocol. */
    private static final long LONGEST_DEADLINE_US = 3_000_000;
    /** Time over which the rate is measured, and longest pause between two pieces. */
    static final long INTERVAL_US = 1_000_000;
    /** Time after its first byte for which a body has no rate yet. */
    private static final long MEASURABLE_AFTER_US = 250_000;
    /** The decision to end a response. */
    public static final long END = 0;

    private boolean checked;
    private long checkedAt;
    private long checkedBytes;

    /**
     * What has come of a response.
     *
     * @param statedBytes the stated length of its body; -1 if unknown
     * @param bytes bytes of its body so far
     * @param firstByteAgoUs time since the first of them, microseconds
     * @param lastByteAgoUs time since the last of them, microseconds
     */
    public record Transfer(long statedBytes, long bytes, long firstByteAgoUs, long lastByteAgoUs) {
        /** Returns whether the body is longer than an ordinary one, as far as is known. */
        public boolean isLong() {
            return Math.max(statedBytes, bytes) > ORDINARY_BODY_BYTES;
        }
    }

    /** Returns the time in which this many bytes pass at the minimum data rate: an ordinary body in the longest deadline. */
    public static long transferTimeUs(long bytes) {
        return bytes * LONGEST_DEADLINE_US / ORDINARY_BODY_BYTES;
    }

    /**
     * Decides whether the response goes on; called at the time by which an ordinary one has to be whole, and then when
     * the last call said.
     *
     * @param now the time, microseconds
     * @param transfer what has come so far
     * @return the time until the next decision, microseconds, or {@link #END}
     */
    public long check(long now, Transfer transfer) {
        if (transfer.statedBytes() >= 0 && !transfer.isLong() || transfer.bytes() == 0) {
            return END;
        }
        if (!checked) {
            return firstCheck(now, transfer);
        }
        if (now - checkedAt < INTERVAL_US) {
            return checkedAt + INTERVAL_US - now;
        }
        boolean sound = transferTimeUs(transfer.bytes() - checkedBytes) >= now - checkedAt;
        return goOn(now, transfer, sound);
    }

    private long firstCheck(long now, Transfer transfer) {
        if (transfer.firstByteAgoUs() < MEASURABLE_AFTER_US) {
            return MEASURABLE_AFTER_US - transfer.firstByteAgoUs();
        }
        boolean sound = transferTimeUs(transfer.bytes()) >= transfer.firstByteAgoUs()
                && transfer.lastByteAgoUs() <= INTERVAL_US;
        return goOn(now, transfer, sound);
    }

    private long goOn(long now, Transfer transfer, boolean sound) {
        checked = true;
        checkedAt = now;
        checkedBytes = transfer.bytes();
        return sound ? INTERVAL_US : END;
    }
}
