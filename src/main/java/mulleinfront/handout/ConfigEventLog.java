package mulleinfront.handout;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import mulleinfront.settings.WatchLine;

/**
 * Event log of a configuration server with one JSON object per line. It records proposals and their results, versions
 * that were committed (durable at this node) and encoded for sending, versions that subscribers reported as active,
 * and watches that were opened or ended. Timestamps are wall-clock time in milliseconds since 1970.
 */
final class ConfigEventLog implements AutoCloseable {
    private final OutputStream out;
    private final String nodeName;
    /** Whether the log was closed or a write failed. */
    private boolean ended;

    /** @param file file to append to, or null to record nothing */
    ConfigEventLog(Path file, String nodeName) throws IOException {
        this.nodeName = nodeName;
        try {
            out = file == null
                    ? null
                    : Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IOException("events: can't write to " + file + ": " + e.getMessage(), e);
        }
    }

    void write(String event, WatchLine.FieldWriter fields) {
        if (out == null || ended) {
            return;
        }
        try {
            out.write(WatchLine.toLine(json -> {
                json.writeNumberField("timestamp", System.currentTimeMillis());
                json.writeStringField("machine", nodeName);
                json.writeStringField("event", event);
                fields.write(json);
            }));
        } catch (IOException e) {
            // A write error, such as a full disk, ends the event log and must not stop the server.
            ended = true;
            System.err.println("mulleinfront: event log disabled after a write error: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        if (out != null) {
            out.close();
        }
    }
}
