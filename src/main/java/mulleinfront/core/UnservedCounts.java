package mulleinfront.core;

import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.UnservedReason;
import mulleinfront.UnservedReason.Cause;

/** Counts why requests were not served, by cause and class. It is made only where somebody asks. */
public final class UnservedCounts implements Balancer.Observer {
    /** An instance this young has seen little of its hosts: its refusals are counted apart too, microseconds. */
    public static final long RECENT_START_US = 10_000_000;

    private final List<RequestClass> classes;
    private final long[][] counts;
    private final long[] recentlyStarted = new long[Cause.values().length];

    /** @param classes the settings' */
    public UnservedCounts(List<RequestClass> classes) {
        this.classes = classes;
        this.counts = new long[Cause.values().length][classes.size()];
    }

    @Override
    public void requestUnserved(long now, UnservedReason why) {
        counts[why.cause().ordinal()][why.classIndex()]++;
        recentlyStarted[why.cause().ordinal()] += why.instanceAgeUs() < RECENT_START_US ? 1 : 0;
    }

    /** Those of a cause, over all classes. */
    public long of(Cause cause) {
        long sum = 0;
        for (long n : counts[cause.ordinal()]) {
            sum += n;
        }
        return sum;
    }

    /** Those of a cause by an instance in its first seconds. */
    public long recentlyStarted(Cause cause) {
        return recentlyStarted[cause.ordinal()];
    }

    /** Adds what another has counted, of the same settings. */
    public void add(UnservedCounts other) {
        for (int c = 0; c < counts.length; c++) {
            recentlyStarted[c] += other.recentlyStarted[c];
            for (int k = 0; k < counts[c].length; k++) {
                counts[c][k] += other.counts[c][k];
            }
        }
    }

    /** In one line: {@code admission 12 (young 3; lookup 10, submit 2), time 1 (...)}; {@code none}. */
    public String summary() {
        StringBuilder out = new StringBuilder();
        for (Cause c : Cause.values()) {
            if (of(c) > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(c.outputName())
                        .append(' ')
                        .append(of(c))
                        .append(" (young ")
                        .append(recentlyStarted(c));
                for (int k = 0; k < classes.size(); k++) {
                    if (counts[c.ordinal()][k] > 0) {
                        out.append("; ")
                                .append(classes.get(k).name())
                                .append(' ')
                                .append(counts[c.ordinal()][k]);
                    }
                }
                out.append(')');
            }
        }
        return out.length() == 0 ? "none" : out.toString();
    }
}
