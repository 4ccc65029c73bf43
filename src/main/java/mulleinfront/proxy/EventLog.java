package mulleinfront.proxy;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer;
import mulleinfront.core.RuleGuard;

/** Writes the events of one client proxy to standard error, one line each with a name and {@code key=value} fields. */
final class EventLog {
    private final String prefix;
    private final long startNanos = System.nanoTime();

    /** @param instance the instance's number from the settings; -1 if they have none */
    EventLog(int instance) {
        this.prefix = "mulleinfront: instance=" + (instance < 0 ? "?" : Integer.toString(instance)) + " event=";
    }

    private void write(StringBuilder fields) {
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

    private static String quote(Object reason) {
        return '"' + String.valueOf(reason).replace('"', '\'').replace('\n', ' ') + '"';
    }

    /** The instance starts, with the settings that its propagation deadline depends on. */
    void started(Balancer.Settings settings) {
        write(event("start")
                .append(" instances=")
                .append(settings.instances())
                .append(settings.subscribe() ? " lists=asked" : " lists=pushed")
                .append(" ask_within_ms=")
                .append(TimeUnit.MICROSECONDS.toMillis(settings.contract().askWithinUs())));
    }

    /** A discovery call starts; {@code version} is the current list's, -1 if there is none. */
    void callStarted(long call, InetSocketAddress address, long version) {
        write(event("discovery_call")
                .append(" call=")
                .append(call)
                .append(" to=")
                .append(NetUtil.toSocketAddressString(address))
                .append(" holds=")
                .append(version));
    }

    /** The first bytes of a discovery call's response body have been read. */
    void callAnswered(long call, long elapsedMs) {
        write(event("discovery_answer")
                .append(" call=")
                .append(call)
                .append(" after_ms=")
                .append(elapsedMs));
    }

    /** A list has been read completely and is applied. */
    void listApplied(long call, long version, boolean full, int entries, long elapsedMs) {
        write(event("discovery_list")
                .append(" call=")
                .append(call)
                .append(" version=")
                .append(version)
                .append(full ? " whole" : " changes")
                .append(" entries=")
                .append(entries)
                .append(" after_ms=")
                .append(elapsedMs));
    }

    /**
     * A discovery call, or the watch that it opened, has ended.
     *
     * @param quietMs time since its last whole list or heartbeat, milliseconds; the duration if none came
     */
    void callEnded(long call, Object reason, boolean answered, long durationMs, long quietMs, long version) {
        write(event("discovery_end")
                .append(" call=")
                .append(call)
                .append(" reason=")
                .append(quote(reason))
                .append(answered ? " answered" : " unanswered")
                .append(" lasted_ms=")
                .append(durationMs)
                .append(" quiet_ms=")
                .append(quietMs)
                .append(" holds=")
                .append(version));
    }

    /** The expiry of the current list has changed. */
    void listExpiryChanged(long validForUs, Balancer.ListExpiryReason reason) {
        write(event("list_expiry")
                .append(" in_ms=")
                .append(TimeUnit.MICROSECONDS.toMillis(validForUs))
                .append(" bound=")
                .append(reason.name().toLowerCase(Locale.ROOT)));
    }

    /** The current list has expired: nothing is sent by it until discovery has confirmed or replaced it. */
    void listExpired(Balancer.ListExpiryReason reason) {
        write(event("list_overdue").append(" bound=").append(reason.name().toLowerCase(Locale.ROOT)));
    }

    /** The proxy's lifecycle state has changed. */
    void stateChanged(String from, String to) {
        write(event("state").append(" from=").append(from).append(" to=").append(to));
    }

    /** This process has violated an invariant. */
    void violation(RuleGuard.Check check, String requestId) {
        write(event("violation")
                .append(" check=")
                .append(check.name().toLowerCase(Locale.ROOT))
                .append(" request=")
                .append(requestId));
    }

    /** The counters since the start, and the most memory that was held for clients and endpoints at one time. */
    void metrics(String summary, long peakHeldBytes) {
        write(event("metrics")
                .append(' ')
                .append(summary)
                .append(" memory.held_peak=")
                .append(peakHeldBytes));
    }
}
