package mulleinfront.kit;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/** Reads an event log of JSON lines incrementally while it grows. */
final class TailedLog {
    private final Path file;
    private final Consumer<Map<String, String>> consumer;
    private long position;

    TailedLog(Path file, Consumer<Map<String, String>> consumer) {
        this.file = file;
        this.consumer = consumer;
    }

    /** Passes the lines completed since the last call to the consumer. */
    void catchUp() throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        byte[] added;
        try (RandomAccessFile in = new RandomAccessFile(file.toFile(), "r")) {
            in.seek(position);
            added = new byte[(int) Math.min(Integer.MAX_VALUE / 2, in.length() - position)];
            in.readFully(added);
        }
        int end = added.length;
        while (end > 0 && added[end - 1] != '\n') {
            end--;
        }
        position += end;
        for (String line : new String(added, 0, end, StandardCharsets.UTF_8).split("\n")) {
            if (!line.isEmpty()) {
                consumer.accept(FleetTimeline.fields(line));
            }
        }
    }
}
