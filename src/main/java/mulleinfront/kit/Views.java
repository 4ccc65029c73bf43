package mulleinfront.kit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;

/** What one member believes of the others, read from its event log while that grows. */
final class Views {
    private final TailedLog log;
    private final String[] states;
    private final long[] sinceMs;

    Views(Path log, int members) {
        this.log = new TailedLog(log, this::take);
        this.states = new String[members];
        this.sinceMs = new long[members];
        Arrays.fill(states, "unknown");
    }

    /** Takes up what it says by now. */
    void catchUp() throws IOException {
        log.catchUp();
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
            default -> {}
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
