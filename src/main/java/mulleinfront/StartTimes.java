package mulleinfront;

/**
 * Converts the listed start time of an endpoint's process to the instance's own clock. Lists state it in wall-clock
 * time, which may have been stepped since this instance read it. A start time that contradicts what the instance
 * knew before is replaced by the current time, so that slow start has its full duration whatever wall clocks do.
 */
final class StartTimes {
    /** Longest time after a start until discovery lists it. */
    static final long MAX_LISTING_DELAY_US = 60_000_000;

    private StartTimes() {}

    /**
     * Time at which an endpoint's slow start begins.
     *
     * @param listedAt start time according to the list; not 0
     * @param listCurrentAt time up to which the previous list, which did not have this start, was current; a time long
     *     ago if there was none
     */
    static long slowStartFrom(long listedAt, long listCurrentAt, long now) {
        return listedAt > now || listedAt < listCurrentAt - MAX_LISTING_DELAY_US ? now : listedAt;
    }
}
