package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: lines with the milliseconds since the start of the driver. */
final class Record {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    /** The run of a case. */
    interface Run {
        /**
         * Plays the case.
         *
         * @param trouble whether with the disruption
         * @return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run
         */
        int play(boolean trouble) throws Exception;
    }

    /**
     * Plays a case, with the disruption unless {@code TROUBLE} is 0, and ends this process with its result; with 2 after
     * any error.
     */
    static void main(Path file, Run run) {
        int exit = 2;
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
            exit = run.play(!"0".equals(System.getenv("TROUBLE")));
            say("exit code %d", exit);
            out.close();
        } catch (Throwable error) {
            exit = 2;
            System.out.println("could not run: " + error);
        }
        System.exit(exit);
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
}
