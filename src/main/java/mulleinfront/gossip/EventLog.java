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
 * What a member believes and did not before, a JSON object a line, written at once: what judges of it are people and
 * the rehearsal kit. Each line has the wall clock's time in milliseconds ({@code timestamp}) and the process's
 * ({@code pid}), so that those of several processes, and of one after the other, can be told apart.
 */
final class EventLog implements Fleet.Listener {
    private final LoggerContext context = new LoggerContext();
    private final Logger log;
    private final int number;
    private final long pid = ProcessHandle.current().pid();

    /** @param number this member's */
    EventLog(Path file, int number) throws IOException {
        this.number = number;
        // A context that nobody configured has none, and an event without one is not written.
        context.setMDCAdapter(new LogbackMDCAdapter());
        JsonEncoder encoder = new Lines();
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
        FileAppender<ILoggingEvent> out = new FileAppender<>();
        out.setContext(context);
        out.setFile(file.toString());
        out.setAppend(true);
        out.setEncoder(encoder);
        out.start();
        if (!out.isStarted()) {
            throw new IOException("events: can't write to " + file);
        }
        log = context.getLogger("fleet");
        log.setLevel(Level.INFO);
        log.addAppender(out);
    }

    /** Key-value pairs are fields of the object, and not a list in one. */
    private static final class Lines extends JsonEncoder {
        @Override
        protected void appendCustomFields(StringBuilder out, ILoggingEvent event) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                appendValueSeparator(out, true);
                if (pair.value instanceof Long n) {
                    appenderMemberWithLongValue(out, pair.key, n);
                } else if (pair.value instanceof Integer n) {
                    appenderMemberWithIntValue(out, pair.key, n);
                } else {
                    appenderMember(out, pair.key, String.valueOf(pair.value));
                }
            }
        }
    }

    private LoggingEventBuilder event() {
        return log.atInfo().addKeyValue("by", number).addKeyValue("pid", pid);
    }

    /** A process of this member begins. */
    void began() {
        event().log("began");
    }

    /** It was told to end, or to leave. */
    void leaves() {
        event().log("leaves");
    }

    @Override
    public void changed(Change c) {
        event().addKeyValue("number", c.number())
                .addKeyValue("member", c.member())
                .addKeyValue("from", c.from().word())
                .addKeyValue("to", c.to().word())
                .addKeyValue("incarnation", c.incarnation())
                .addKeyValue("reborn", c.newIncarnation() ? 1 : 0)
                .addKeyValue("word", c.sourceMember())
                .addKeyValue("cause", c.cause().word())
                .addKeyValue("digest", c.digest())
                .log("changed");
    }

    @Override
    public void reach(long now, Reachability reach, boolean settled, long digest) {
        event().addKeyValue("reach", reach.word())
                .addKeyValue("settled", settled ? 1 : 0)
                .addKeyValue("digest", digest)
                .log("reach");
    }

    @Override
    public void duplicateName(long now, String name, int one, int other) {
        event().addKeyValue("name", name)
                .addKeyValue("one", one)
                .addKeyValue("other", other)
                .log("same-name");
    }

    @Override
    public void stalled(long now, long us) {
        event().addKeyValue("us", us).log("stood-still");
    }

    /** Something else that is worth a line, as one text. */
    void note(String kind, String text) {
        event().addKeyValue("text", text).log(kind.toLowerCase(Locale.ROOT));
    }

    void close() {
        context.stop();
    }
}
