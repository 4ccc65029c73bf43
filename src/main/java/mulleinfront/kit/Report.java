package mulleinfront.kit;

import java.util.Locale;
import mulleinfront.emulator.ReportWriter;

/** A rehearsal as a page of text. */
public final class Report {
    private Report() { }

    /** The page; the verdict comes last. */
    public static String text(Rehearsal r, boolean anyVersion) {
        StringBuilder out = new StringBuilder();
        if (r.sockets() != null) {
            out.append(ReportWriter.text(r.sockets())).append('\n');
            if (r.virtual() != null) {
                line(out, "service on sockets %.3f, on virtual time %.3f, difference %+.3f",
                        r.sockets().service().service(), r.virtual().service().service(),
                        r.sockets().service().service() - r.virtual().service().service());
            }
            line(out, "stand-ins late: median %.1f ms, p99 %.1f ms, worst %.1f ms", r.lateMs()[0], r.lateMs()[1],
                    r.lateMs()[2]);
            int quarter = 1;
            for (Rehearsal.Quarter q : r.quarters()) {
                line(out, "quarter %d: at most %d descriptors and %.1f MB in a client proxy, %.0f%% of a core each",
                        quarter++, q.descriptors(), q.residentKb() / 1024.0, 100 * q.cpuPart());
            }
        }
        r.failures().forEach(f -> line(out, "failed: %s", f));
        if (!r.daemonVersion().equals(r.kitVersion())) {
            line(out, "versions differ: the daemon says %s, this kit is %s", r.daemonVersion(), r.kitVersion());
        }
        line(out, "verdict: %s", words(r, anyVersion));
        return out.toString();
    }

    private static String words(Rehearsal r, boolean anyVersion) {
        return switch (r.verdict(anyVersion)) {
            case KEPT -> "all four rules kept";
            case RULE_BROKEN -> r.sockets().breachCount() + " broken rules, the first of them above";
            case FAILED -> "a client proxy failed";
            case TOO_BUSY -> String.format(Locale.ROOT, "none: the machine was too busy (stand-ins %.1f ms late at p99,"
                    + " %.0f ms at most); end what else runs, or take a smaller scenario", r.lateMs()[1],
                    Rehearsal.BUSY_P99_MS);
            case WRONG_VERSION -> "none: use the kit in the daemon's own jar (java -jar ITS-JAR kit ...), or"
                    + " --any-version";
        };
    }

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }
}
