package mulleinfront;

import java.util.Locale;

/**
 * Why a request got its last word without having been served; told to a {@link Balancer.Observer}, which changes no
 * decision.
 *
 * @param requestId which one
 * @param cause what it comes to
 * @param classIndex position in the settings' classes
 * @param worth what it was expected to earn
 * @param ageUs how long the instance had been there, microseconds
 * @param bound what was reached: admission's share, endpoints' limits in all, credit for cold ones, microseconds of
 *        usual lag, the reported queue; NaN where there is none
 * @param madeFrom what that was made from, in words; empty where there is nothing to say
 */
public record UnservedReason(
        String requestId,
        Cause cause,
        int classIndex,
        double worth,
        long instanceAgeUs,
        double limitReached,
        String detail) {

    /** What it comes to. */
    public enum Cause {
        /** Admission's bound is reached: too many of the fleet's answers were late. */
        ADMISSION("admission's bound reached"),
        /** The same, and at its full worth it would have been let in. */
        TENANT("tenant beyond its share"),
        /** Endpoints' estimated limits leave no room. */
        LIMITS("estimate of capacity low"),
        /** Endpoints report queues that are too long for it. */
        OVERLOAD("overload signal"),
        /** Endpoints have turned requests away a moment ago. */
        FULL("turned away a moment ago"),
        /** All that is left to go to is cold, and its allowance is used up. */
        COLD("cold allowance used up"),
        /** Endpoints that are listed are left out for failures, drained, or were tried before. */
        NO_HOST("no usable host"),
        /** No list has named an endpoint since the start. */
        NO_LIST("not yet warm: no list"),
        /** The list may be out of date: what it names may have been told to drain. */
        LIST_OVERDUE("list out of date"),
        /** An answer would come too late to earn anything. */
        TIME("time left too short"),
        /** Its repeats are no longer dropped. */
        WINDOW("window of its key over"),
        /** It may have run and may not be repeated. */
        EFFECT("may have run, not repeatable"),
        /** It has had all its attempts. */
        ATTEMPTS("attempts used up"),
        /** The budget for repeats is used up. */
        BUDGET("budget for repeats used up");

        private final String description;

        Cause(String words) {
            this.description = words;
        }

        /** In words, for people. */
        public String description() {
            return description;
        }

        /** The name in files. */
        public String outputName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
