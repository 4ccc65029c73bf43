package mulleinfront.gossip;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.FileAppender;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.Fleet;
import mulleinfront.fleet.Reachability;
import org.slf4j.event.KeyValuePair;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Event log of a member: one JSON object per line for each change of its view, flushed at once, for people and for
 * fault-injection tests. Each line has the wall-clock time in milliseconds ({@code timestamp}) and the process id
 * ({@code pid}), which tell the lines of different and of successive processes apart.
 */
final class EventLog implements Fleet.Listener {
    private final LoggerContext context = new LoggerContext();
    private final Logger log;
    private final int number;
    private final long pid = ProcessHandle.current().pid();

    /** @param number number of this member */
    EventLog(Path file, int number) throws IOException {
        this.number = number;
        // A context created in code has no MDC adapter, and logback does not write an event without one.
        context.setMDCAdapter(new LogbackMDCAdapter());
        JsonEncoder encoder = new FlatJsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithLevel(false);
        encoder.setWithThreadName(false);
        encoder.setWithLoggerName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithThrowable(false);
        encoder.setWithKVPList(false);
        encoder.start();
        FileAppender<ILoggingEvent> appender = new FileAppender<>();
        appender.setContext(context);
        appender.setFile(file.toString());
        appender.setAppend(true);
        appender.setEncoder(encoder);
        appender.start();
        if (!appender.isStarted()) {
            throw new IOException("events: can't write to " + file);
        }
        log = context.getLogger("fleet");
        log.setLevel(Level.INFO);
        log.addAppender(appender);
    }

    /** Writes key-value pairs as fields of the JSON object instead of a nested list. */
    private static final class FlatJsonEncoder extends JsonEncoder {
        @Override
        protected void appendCustomFields(StringBuilder out, ILoggingEvent event) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                appendValueSeparator(out, true);
                if (pair.value instanceof Long number) {
                    appenderMemberWithLongValue(out, pair.key, number);
                } else if (pair.value instanceof Integer number) {
                    appenderMemberWithIntValue(out, pair.key, number);
                } else {
                    appenderMember(out, pair.key, String.valueOf(pair.value));
                }
            }
        }
    }

    private LoggingEventBuilder event() {
        return log.atInfo().addKeyValue("by", number).addKeyValue("pid", pid);
    }

    /** Logs the start of this process. */
    void logStart() {
        event().log("began");
    }

    /** Logs that this process leaves the fleet. */
    void logLeave() {
        event().log("leaves");
    }

    @Override
    public void changed(Change change) {
        event().addKeyValue("number", change.number())
                .addKeyValue("member", change.member())
                .addKeyValue("from", change.from().outputName())
                .addKeyValue("to", change.to().outputName())
                .addKeyValue("incarnation", change.incarnation())
                .addKeyValue("reborn", change.newProcess() ? 1 : 0)
                .addKeyValue("word", change.sourceMember())
                .addKeyValue("cause", change.cause().outputName())
                .addKeyValue("digest", change.digest())
                .log("changed");
    }

    @Override
    public void reachabilityChanged(long now, Reachability reachability, boolean converged, long digest) {
        event().addKeyValue("reach", reachability.outputName())
                .addKeyValue("settled", converged ? 1 : 0)
                .addKeyValue("digest", digest)
                .log("reach");
    }

    @Override
    public void duplicateName(long now, String name, int first, int second) {
        event().addKeyValue("name", name)
                .addKeyValue("one", first)
                .addKeyValue("other", second)
                .log("same-name");
    }

    @Override
    public void stalled(long now, long stallUs) {
        event().addKeyValue("us", stallUs).log("stood-still");
    }

    /** Logs another event, described by a text. */
    void logNote(String eventName, String text) {
        event().addKeyValue("text", text).log(eventName.toLowerCase(Locale.ROOT));
    }

    void close() {
        context.stop();
    }
}
