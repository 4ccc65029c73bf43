package mulleinfront.fleet;

/**
 * How much this instance doubts itself: a number that grows when it does not hear what it should hear if others
 * were well, and by which it gives them more time (the local health multiplier of Lifeguard, DSN 2018).
 */
final class Health {
    /** The most; times are then so many and one times as long. */
    static final int MOST = 8;

    private final boolean on;
    private int doubt;

    Health(boolean on) {
        this.on = on;
    }

    /** Something that should have been heard was not. */
    void worse(int by) {
        if (on) {
            doubt = Math.min(MOST, doubt + by);
        }
    }

    /** Something was heard in time. */
    void better() {
        doubt = Math.max(0, doubt - 1);
    }

    int doubt() {
        return doubt;
    }

    /** A time that others are given, as this instance is now, microseconds. */
    long stretched(long us) {
        return us * (1 + doubt);
    }
}
