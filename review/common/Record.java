package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: lines with the milliseconds since the start of the driver. */
final class Record {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the driver. */
    static double ms() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static synchronized void line(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(java.util.Locale.ROOT, format, values);
        out.printf(java.util.Locale.ROOT, "%10.1f %s%n", ms(), text);
    }

    /** A line of the summary, which is printed on standard output too. */
    static synchronized void say(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(java.util.Locale.ROOT, format, values);
        line("%s", text);
        System.out.println(text);
    }

    static synchronized void close() {
        out.close();
    }
}
