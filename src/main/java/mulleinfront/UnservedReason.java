package mulleinfront;

import java.util.Locale;

/**
 * The reason why a request was refused or failed without having been served; given to a {@link Balancer.Observer}, and
 * without influence on decisions.
 *
 * @param requestId id of the request
 * @param cause the category of the reason
 * @param classIndex position in the settings' classes
 * @param worth expected value of the request
 * @param instanceAgeUs time since the start of the instance, microseconds
 * @param limitReached the limit that was reached: the admitted share, the sum of the endpoints' concurrency limits, the
 *     baseline latency in microseconds, the reported queue or the retry tokens; NaN for other causes
 * @param detail values behind the decision, as text
 */
public record UnservedReason(
        String requestId,
        Cause cause,
        int classIndex,
        double worth,
        long instanceAgeUs,
        double limitReached,
        String detail) {

    /** Categories of reasons. */
    public enum Cause {
        /** Admission control: too many responses were late or lost, or the reported queues are too long. */
        ADMISSION("admission's bound reached"),
        /** Admission control, for a tenant beyond its share: with the full value of its class it would be admitted. */
        TENANT("tenant beyond its share"),
        /** The concurrency limits of the endpoints leave no spare capacity. */
        LIMITS("estimate of capacity low"),
        /** The endpoints report queues that are too long for the request. */
        OVERLOAD("overload signal"),
        /** The endpoints rejected requests recently. */
        FULL("turned away a moment ago"),
        /** The remaining endpoints are cold and have no tokens. */
        COLD("cold allowance used up"),
        /** The listed endpoints are ejected, draining or already tried, or outside the deduplication group. */
        NO_HOST("no usable host"),
        /** No endpoint is listed. */
        NO_LIST("not yet warm: no list"),
        /** The list has expired: its endpoints may be draining. */
        LIST_OVERDUE("list out of date"),
        /** A response would come too late to have any value. */
        TIME("time left too short"),
        /** The deduplication window has passed, so repeats are no longer dropped. */
        WINDOW("window of its key over"),
        /** The request may have been executed and must not be repeated. */
        EFFECT("may have run, not repeatable"),
        /** The request has had its most attempts. */
        ATTEMPTS("attempts used up"),
        /** The retry budget is used up. */
        BUDGET("budget for repeats used up");

        private final String description;

        Cause(String description) {
            this.description = description;
        }

        /** Description for people. */
        public String description() {
            return description;
        }

        /** Name in files and logs. */
        public String outputName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
