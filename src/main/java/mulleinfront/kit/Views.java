package mulleinfront.kit;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;

/** What one member believes of the others, read from its event log while that grows. */
final class Views {
    private final Path log;
    private final String[] states;
    private final long[] sinceMs;
    private long read;

    Views(Path log, int members) {
        this.log = log;
        this.states = new String[members];
        this.sinceMs = new long[members];
        Arrays.fill(states, "unknown");
    }

    /** Takes up the lines that are whole by now. */
    void catchUp() throws IOException {
        if (!Files.exists(log)) {
            return;
        }
        byte[] news;
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
            file.seek(read);
            news = new byte[(int) Math.min(Integer.MAX_VALUE / 2, file.length() - read)];
            file.readFully(news);
        }
        int whole = news.length;
        while (whole > 0 && news[whole - 1] != '\n') {
            whole--;
        }
        read += whole;
        for (String line : new String(news, 0, whole, StandardCharsets.UTF_8).split("\n")) {
            if (!line.isEmpty()) {
                take(FleetTimeline.fields(line));
            }
        }
    }

    private void take(Map<String, String> fields) {
        switch (fields.getOrDefault("message", "")) {
            // A process of this member begins: it knows nothing yet.
            case "began" -> Arrays.fill(states, "unknown");
            case "changed" -> {
                int member = Integer.parseInt(fields.get("member"));
                states[member] = fields.get("to");
                sinceMs[member] = Long.parseLong(fields.get("timestamp"));
            }
            default -> { }
        }
    }

    String state(int member) {
        return states[member];
    }

    /** When it came to that, milliseconds since 1970. */
    long sinceMs(int member) {
        return sinceMs[member];
    }
}
