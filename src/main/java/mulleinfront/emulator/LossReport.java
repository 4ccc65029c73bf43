package mulleinfront.emulator;

import java.util.Locale;
import java.util.Map;

/**
 * The losses of a simulation, by cause.
 *
 * @param lostValue value that was offered and not earned
 * @param causes losses by cause
 * @param causesByDimension lost value by cause for each instance, zone, class, tenant and window of 10 s, by name
 */
public record LossReport(
        double lostValue, Map<Cause, Loss> causes, Map<Dimension, Map<String, Map<Cause, Double>>> causesByDimension) {

    /** The dimensions by which losses are reported in addition to their causes. */
    public enum Dimension {
        INSTANCE,
        ZONE,
        CLASS,
        TENANT,
        WINDOW;

        /** The output name in files. */
        public String outputName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** A number of requests and their value. */
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
