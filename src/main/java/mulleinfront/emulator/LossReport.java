package mulleinfront.emulator;

import java.util.Locale;
import java.util.Map;

/**
 * What was lost in a world, by its cause.
 *
 * @param lost worth that was asked for and not earned
 * @param causes that by cause
 * @param parts that by cause for each instance, zone, class, tenant and window of 10 s, by name
 */
public record LossReport(double lost, Map<Cause, Loss> causes, Map<Part, Map<String, Map<Cause, Double>>> parts) {

    /** What losses are told apart by beside their causes. */
    public enum Part {
        INSTANCE,
        ZONE,
        CLASS,
        TENANT,
        WINDOW;

        /** The name in files. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Requests and their worth. */
    public static final class Loss {
        private long requests;
        private double worth;

        void add(double more) {
            requests++;
            worth += more;
        }

        public long requests() {
            return requests;
        }

        public double worth() {
            return worth;
        }
    }
}
