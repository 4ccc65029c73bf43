package mulleinfront.proxy;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer;
import mulleinfront.core.RuleGuard;

/** Events of one client proxy on standard error: each a line with a name and {@code key=value} fields. */
final class EventLog {
    private final String prefix;
    private final long startNanos = System.nanoTime();

    /** @param instance its number among all, as the settings have it; -1 if they do not say */
    EventLog(int instance) {
        this.prefix = "mulleinfront: instance=" + (instance < 0 ? "?" : Integer.toString(instance)) + " event=";
    }

    private void line(StringBuilder fields) {
        System.err.println(fields);
    }

    private StringBuilder event(String name) {
        long upMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return new StringBuilder(160)
                .append(prefix)
                .append(name)
                .append(" up_ms=")
                .append(upMs);
    }

    private static String plain(Object reason) {
        return '"' + String.valueOf(reason).replace('"', '\'').replace('\n', ' ') + '"';
    }

    /** A process starts: the settings that its deadlines go by. */
    void started(Balancer.Settings settings) {
        line(event("start")
                .append(" instances=")
                .append(settings.instances())
                .append(settings.subscribe() ? " lists=asked" : " lists=pushed")
                .append(" ask_within_ms=")
                .append(TimeUnit.MICROSECONDS.toMillis(settings.contract().askWithinUs())));
    }

    /** A call to discovery begins; it says which version is held, -1 for none. */
    void callBegan(long call, InetSocketAddress to, long version) {
        line(event("discovery_call")
                .append(" call=")
                .append(call)
                .append(" to=")
                .append(NetUtil.toSocketAddressString(to))
                .append(" holds=")
                .append(version));
    }

    /** The first bytes of its answer have come. */
    void callAnswered(long call, long tookMs) {
        line(event("discovery_answer")
                .append(" call=")
                .append(call)
                .append(" after_ms=")
                .append(tookMs));
    }

    /** A list has come in whole and is in force. */
    void listTaken(long call, long version, boolean whole, int entries, long tookMs) {
        line(event("discovery_list")
                .append(" call=")
                .append(call)
                .append(" version=")
                .append(version)
                .append(whole ? " whole" : " changes")
                .append(" entries=")
                .append(entries)
                .append(" after_ms=")
                .append(tookMs));
    }

    /** A call or the watch that came of it has ended. */
    void callEnded(long call, Object reason, boolean answered, long lastedMs, long version) {
        line(event("discovery_end")
                .append(" call=")
                .append(call)
                .append(" reason=")
                .append(plain(reason))
                .append(answered ? " answered" : " unanswered")
                .append(" lasted_ms=")
                .append(lastedMs)
                .append(" holds=")
                .append(version));
    }

    /** The list held had to be renewed by now, whatever became of calls: nothing is sent by it until it is. */
    void listOverdue(Balancer.ListExpiryReason bound) {
        line(event("list_overdue").append(" bound=").append(bound.name().toLowerCase(Locale.ROOT)));
    }

    /** It stands otherwise towards its clients. */
    void state(String from, String to) {
        line(event("state").append(" from=").append(from).append(" to=").append(to));
    }

    /** A rule was broken by what this process did. */
    void violation(RuleGuard.Check check, String requestId) {
        line(event("violation")
                .append(" check=")
                .append(check.name().toLowerCase(Locale.ROOT))
                .append(" request=")
                .append(requestId));
    }

    /** What has been counted since the start. */
    void metrics(String counts) {
        line(event("metrics").append(' ').append(counts));
    }
}
