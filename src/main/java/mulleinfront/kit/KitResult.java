package mulleinfront.kit;

import java.util.List;
import mulleinfront.emulator.World;

/**
 * The result of a fault-injection test.
 *
 * @param sockets the run on real sockets, or null if it did not take place
 * @param virtual the run of the same scenario and seed on virtual time, or null
 * @param failures failures of client proxies other than rule violations: never ready, exited by itself, did not exit
 * @param quarters resource usage of the processes in each quarter of the run
 * @param latenessMs how late the stand-ins handled due events: median, 99th percentile and maximum, in milliseconds
 * @param daemonVersion the version that the client proxies reported
 * @param kitVersion the version of this program
 */
public record KitResult(
        World.Result sockets,
        World.Result virtual,
        List<String> failures,
        List<Quarter> quarters,
        double[] latenessMs,
        String daemonVersion,
        String kitVersion) {
    /** If the stand-ins' 99th percentile lateness exceeds this, the run says little about the proxies, milliseconds. */
    static final double MAX_P99_LATENESS_MS = 20;

    /** The overall verdict. */
    public enum Verdict {
        WRONG_VERSION,
        FAILED,
        RULE_BROKEN,
        TOO_BUSY,
        KEPT
    }

    /** Maximum descriptors and memory over all client proxies in a quarter of the run, and the mean CPU use of one. */
    public record Quarter(int descriptors, long residentKb, double cpuShare) {}

    /** Adds the result of the run on virtual time. */
    public KitResult withVirtualRun(World.Result virtualRun) {
        return new KitResult(sockets, virtualRun, failures, quarters, latenessMs, daemonVersion, kitVersion);
    }

    /** The first verdict that applies. On a machine that was too busy, rule violations do not count. */
    public Verdict verdict(boolean anyVersion) {
        if (!anyVersion && !daemonVersion.equals(kitVersion)) {
            return Verdict.WRONG_VERSION;
        }
        if (!failures.isEmpty()) {
            return Verdict.FAILED;
        }
        if (latenessMs[1] > MAX_P99_LATENESS_MS) {
            return Verdict.TOO_BUSY;
        }
        return sockets.totalBreachCount() > 0 ? Verdict.RULE_BROKEN : Verdict.KEPT;
    }
}
