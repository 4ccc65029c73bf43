package mulleinfront.kit;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/** An event log of JSON objects, one a line, read while it grows. */
final class TailedLog {
    private final Path file;
    private final Consumer<Map<String, String>> reader;
    private long read;

    TailedLog(Path file, Consumer<Map<String, String>> reader) {
        this.file = file;
        this.reader = reader;
    }

    /** Hands on the lines that are whole by now and were not before. */
    void catchUp() throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        byte[] news;
        try (RandomAccessFile in = new RandomAccessFile(file.toFile(), "r")) {
            in.seek(read);
            news = new byte[(int) Math.min(Integer.MAX_VALUE / 2, in.length() - read)];
            in.readFully(news);
        }
        int whole = news.length;
        while (whole > 0 && news[whole - 1] != '\n') {
            whole--;
        }
        read += whole;
        for (String line : new String(news, 0, whole, StandardCharsets.UTF_8).split("\n")) {
            if (!line.isEmpty()) {
                reader.accept(FleetTimeline.fields(line));
            }
        }
    }
}
