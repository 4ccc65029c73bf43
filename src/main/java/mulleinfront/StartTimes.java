package mulleinfront;

/**
 * When an endpoint's process began, on this instance's own clock. A list tells it by the wall clock, which may have
 * been stepped since this instance read it: a start that cannot be, by when this instance last knew better, is
 * taken to have been just now, so that slow start is a span of monotonic time whatever wall clocks do.
 */
final class StartTimes {
    /** Discovery tells of a start this long after it at the most, microseconds. */
    static final long MOST_LAG_US = 60_000_000;

    private StartTimes() {}

    /**
     * From when an endpoint is to be taken as cold.
     *
     * @param listedAt when it began, by the list; not 0
     * @param currentAt until when the list before, which did not tell of this start, was up to date; or a time long ago
     *        where there was none
     */
    static long coldFrom(long listedAt, long currentAt, long now) {
        return listedAt > now || listedAt < currentAt - MOST_LAG_US ? now : listedAt;
    }
}
