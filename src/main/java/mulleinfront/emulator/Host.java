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
    final ServerModel.Machine machine;
    /** Open connections to the current process, in the order in which they were accepted. */
    final Set<Link> links = new LinkedHashSet<>();
    /** The address on which the server listens; a server that moves gets a new number. */
    int address;
    /** The current process; null while there is none. */
    ServerModel life;
    /** When the current process started; 0 if before the run. */
    long startedAt;
    /** Whether the machine is disconnected from the network. */
    boolean vanished;

    double resetBefore;
    double resetAfter;
    /** Work received within the recent window while cold, by which a cold server crashes. */
    final Budget budget;

    final Chance chance;

    Host(
            String id,
            int zone,
            int kind,
            int cell,
            double weight,
            ServerModel.Machine machine,
            Budget budget,
            Chance chance) {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.cell = cell;
        this.weight = weight;
        this.machine = machine;
        this.budget = budget;
        this.chance = chance;
    }

    boolean alive() {
        return life != null && !life.stopped();
    }

    Endpoint listed(Availability availability) {
        return new Endpoint(id, zone, cell, kind, availability, weight, startedAt);
    }

    /** Work within a time window, compared with the sustainable load of a cold server. */
    static final class Budget {
        private final long windowUs;
        private final double multiple;
        private final ArrayDeque<double[]> sent = new ArrayDeque<>();
        private double sum;
        private double marked;
        private double most;

        Budget(long windowUs, double multiple) {
            this.windowUs = windowUs;
            this.multiple = multiple;
        }

        /**
         * Adds work that arrived.
         *
         * @param mark whether the work counts towards {@link #markedPart}
         * @param capacity work that the server can do per microsecond now
         * @return whether the work in the window exceeds the sustainable load
         */
        boolean over(long now, double work, boolean mark, double capacity) {
            sent.add(new double[] {now, work, mark ? work : 0});
            sum += work;
            marked += mark ? work : 0;
            for (double[] first; (first = sent.peek())[0] <= now - windowUs; sent.poll()) {
                sum -= first[1];
                marked -= first[2];
            }
            double bears = multiple * capacity * windowUs;
            most = Math.max(most, sum / bears);
            return sum > bears;
        }

        /** The highest work within a window, as a fraction of the sustainable load at that time. */
        double most() {
            return most;
        }

        /** Fraction of the work within the window that is marked. */
        double markedPart() {
            return sum <= 0 ? 0 : marked / sum;
        }

        void clear() {
            sent.clear();
            sum = 0;
            marked = 0;
        }
    }
}
