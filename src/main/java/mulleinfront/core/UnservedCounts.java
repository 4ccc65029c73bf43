package mulleinfront.core;

import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.UnservedReason;
import mulleinfront.UnservedReason.Cause;

/** Counts unserved requests by cause and class. The proxy creates it only if it has a management endpoint. */
public final class UnservedCounts implements Balancer.Observer {
    /**
     * An instance younger than this knows little of its endpoints, so its unserved requests are also counted
     * separately.
     */
    public static final long RECENT_START_US = 10_000_000;

    private final List<RequestClass> classes;
    private final long[][] counts;
    private final long[] recentlyStarted = new long[Cause.values().length];

    /**
     * Creates counters that are all 0.
     *
     * @param classes the request classes of the settings
     */
    public UnservedCounts(List<RequestClass> classes) {
        this.classes = classes;
        this.counts = new long[Cause.values().length][classes.size()];
    }

    @Override
    public void requestUnserved(long now, UnservedReason reason) {
        counts[reason.cause().ordinal()][reason.classIndex()]++;
        recentlyStarted[reason.cause().ordinal()] += reason.instanceAgeUs() < RECENT_START_US ? 1 : 0;
    }

    /** Returns the unserved requests of a cause over all classes. */
    public long count(Cause cause) {
        long sum = 0;
        for (long count : counts[cause.ordinal()]) {
            sum += count;
        }
        return sum;
    }

    /** Returns the unserved requests of a cause in the first {@link #RECENT_START_US} of an instance. */
    public long recentlyStarted(Cause cause) {
        return recentlyStarted[cause.ordinal()];
    }

    /** Adds the counts of another instance with the same request classes. */
    public void add(UnservedCounts other) {
        for (int cause = 0; cause < counts.length; cause++) {
            recentlyStarted[cause] += other.recentlyStarted[cause];
            for (int classIndex = 0; classIndex < counts[cause].length; classIndex++) {
                counts[cause][classIndex] += other.counts[cause][classIndex];
            }
        }
    }

    /**
     * Returns all counts above 0 on one line, such as
     * {@code admission 12 (young 3; lookup 10; submit 2), time 1 (...)}, or {@code none}.
     */
    public String summary() {
        StringBuilder out = new StringBuilder();
        for (Cause cause : Cause.values()) {
            if (count(cause) > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(cause.outputName())
                        .append(' ')
                        .append(count(cause))
                        .append(" (young ")
                        .append(recentlyStarted(cause));
                for (int classIndex = 0; classIndex < classes.size(); classIndex++) {
                    if (counts[cause.ordinal()][classIndex] > 0) {
                        out.append("; ")
                                .append(classes.get(classIndex).name())
                                .append(' ')
                                .append(counts[cause.ordinal()][classIndex]);
                    }
                }
                out.append(')');
            }
        }
        return out.length() == 0 ? "none" : out.toString();
    }
}
