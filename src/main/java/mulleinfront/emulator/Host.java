package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;

/** A server, identified by its id: its location, its current process and the connections to that process. */
final class Host {
    final String id;
    final int zone;
    final int kind;
    final int cell;
    final double weight;
    final ServerModel.Spec spec;
    /** Open connections to the current process, in the order in which they were accepted. */
    final Set<Link> links = new LinkedHashSet<>();
    /** The address on which the server listens; a server that moves gets a new number. */
    int address;
    /** The current process; null while there is none. */
    ServerModel process;
    /** When the current process started; 0 if before the run. */
    long startedAt;
    /** Whether the machine is disconnected from the network. */
    boolean disconnected;

    double resetBeforeProbability;
    double resetAfterProbability;
    /** Work received within the recent window while cold, by which a cold server crashes. */
    final LoadWindow coldLoad;

    final RandomStream chance;

    Host(
            String id,
            int zone,
            int kind,
            int cell,
            double weight,
            ServerModel.Spec spec,
            LoadWindow coldLoad,
            RandomStream chance) {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.cell = cell;
        this.weight = weight;
        this.spec = spec;
        this.coldLoad = coldLoad;
        this.chance = chance;
    }

    boolean alive() {
        return process != null && !process.stopped();
    }

    Endpoint listed(Availability availability) {
        return new Endpoint(id, zone, cell, kind, availability, weight, startedAt);
    }

    /** Work within a time window, compared with the sustainable load of a cold server. */
    static final class LoadWindow {
        private final long windowUs;
        private final double loadMultiple;
        private final ArrayDeque<double[]> arrivals = new ArrayDeque<>();
        private double sum;
        private double markedSum;
        private double highestUse;

        LoadWindow(long windowUs, double multiple) {
            this.windowUs = windowUs;
            this.loadMultiple = multiple;
        }

        /**
         * Adds work that arrived.
         *
         * @param mark whether the work counts towards {@link #markedFraction}
         * @param capacity work that the server can do per microsecond now
         * @return whether the work in the window exceeds the sustainable load
         */
        boolean add(long now, double work, boolean mark, double capacity) {
            arrivals.add(new double[] {now, work, mark ? work : 0});
            sum += work;
            markedSum += mark ? work : 0;
            for (double[] first; (first = arrivals.peek())[0] <= now - windowUs; arrivals.poll()) {
                sum -= first[1];
                markedSum -= first[2];
            }
            double sustainable = loadMultiple * capacity * windowUs;
            highestUse = Math.max(highestUse, sum / sustainable);
            return sum > sustainable;
        }

        /** The highest work within a window, as a fraction of the sustainable load at that time. */
        double highestUse() {
            return highestUse;
        }

        /** Fraction of the work within the window that is marked. */
        double markedFraction() {
            return sum <= 0 ? 0 : markedSum / sum;
        }

        void clear() {
            arrivals.clear();
            sum = 0;
            markedSum = 0;
        }
    }
}
