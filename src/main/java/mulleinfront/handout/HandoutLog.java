package mulleinfront.handout;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import mulleinfront.settings.WatchLine;

/**
 * Each version's way at this control machine, a JSON object a line: proposed, answered, decided (durable
 * here), in force at a reader, a watch that began or ended. Times are the wall clock's, milliseconds since
 * 1970.
 */
final class HandoutLog implements AutoCloseable {
    private final OutputStream out;
    private final String machine;
    /** It was closed or could not be written any more. */
    private boolean ended;

    /** @param file null: nothing is kept */
    HandoutLog(Path file, String machine) throws IOException {
        this.machine = machine;
        try {
            out = file == null
                    ? null
                    : Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IOException("events: can't write to " + file + ": " + e.getMessage(), e);
        }
    }

    void write(String kind, WatchLine.Fields fields) {
        if (out == null || ended) {
            return;
        }
        try {
            out.write(WatchLine.object(json -> {
                json.writeNumberField("timestamp", System.currentTimeMillis());
                json.writeStringField("machine", machine);
                json.writeStringField("event", kind);
                fields.write(json);
            }));
        } catch (IOException e) {
            // A full disk takes the log and nothing else.
            ended = true;
            System.err.println("mulleinfront: the event log ends here: " + e.getMessage());
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
