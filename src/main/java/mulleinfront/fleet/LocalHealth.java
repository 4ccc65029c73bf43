package mulleinfront.fleet;

/**
 * Local health of this instance, the local health multiplier of Lifeguard (DSN 2018): a score that is 0 when healthy
 * and rises when expected messages do not arrive. Probe timeouts and the probe interval grow with it.
 */
final class LocalHealth {
    /** Largest score; times are then {@code MAX_SCORE + 1} times as long. */
    static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    LocalHealth(boolean enabled) {
        this.enabled = enabled;
    }

    /** Raises the score: an expected message did not arrive. */
    void degrade(int amount) {
        if (enabled) {
            score = Math.min(MAX_SCORE, score + amount);
        }
    }

    /** Lowers the score by 1: an ack arrived in time. */
    void recover() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** Scales a timeout or interval by the local health. */
    long scaled(long durationUs) {
        return durationUs * (1 + score);
    }
}
