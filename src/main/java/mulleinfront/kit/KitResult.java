package mulleinfront.kit;

import java.util.List;
import mulleinfront.emulator.World;

/**
 * How a rehearsal went.
 *
 * @param sockets the day on real sockets, or null if it was not played
 * @param virtual the same scenario and seed on virtual time, or null
 * @param failures what a client proxy did that is no broken rule: it never got ready, ended by itself, would not end
 * @param quarters how the processes were, quarter by quarter of the run
 * @param lateMs how late the stand-ins did what was due: the median, all but one in a hundred, the worst, milliseconds
 * @param daemonVersion the version that the client proxies said
 * @param kitVersion this program's
 */
public record KitResult(
        World.Result sockets,
        World.Result virtual,
        List<String> failures,
        List<Quarter> quarters,
        double[] lateMs,
        String daemonVersion,
        String kitVersion) {
    /** A stand-in this late at one time in a hundred says little of the daemon, milliseconds. */
    static final double BUSY_P99_MS = 20;

    /** The verdict, in the order in which it is looked for. */
    public enum Verdict {
        WRONG_VERSION,
        FAILED,
        RULE_BROKEN,
        TOO_BUSY,
        KEPT
    }

    /** The most of each over all client proxies in a quarter of the run, and the CPU that one used on the average. */
    public record Quarter(int descriptors, long residentKb, double cpuPart) {}

    /** The same with the day on virtual time beside it. */
    public KitResult beside(World.Result virtualDay) {
        return new KitResult(sockets, virtualDay, failures, quarters, lateMs, daemonVersion, kitVersion);
    }

    /** What it comes to. A broken rule counts also on a busy machine only if that could not have made it. */
    public Verdict verdict(boolean anyVersion) {
        if (!anyVersion && !daemonVersion.equals(kitVersion)) {
            return Verdict.WRONG_VERSION;
        }
        if (!failures.isEmpty()) {
            return Verdict.FAILED;
        }
        if (lateMs[1] > BUSY_P99_MS) {
            return Verdict.TOO_BUSY;
        }
        return sockets.broken() > 0 ? Verdict.RULE_BROKEN : Verdict.KEPT;
    }
}
