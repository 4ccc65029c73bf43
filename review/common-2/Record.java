import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/** Writes what was sent, answered and run to a file, a line each, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();
    private final PrintWriter out;

    Record(String file) throws IOException {
        out = new PrintWriter(file, StandardCharsets.UTF_8);
    }

    /** Returns the milliseconds since the start of the case. */
    static double ms() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%10.2f %s%n", ms(), String.format(format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
