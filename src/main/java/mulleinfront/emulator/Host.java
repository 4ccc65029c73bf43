package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;

/** A server under its id: where it is, its present process, and the connections that end there. */
final class Host {
    final String id;
    final int zone;
    final int kind;
    final int cell;
    final double weight;
    final ServerModel.Machine machine;
    /** Open connections to the present process, in the order in which they came. */
    final Set<Link> links = new LinkedHashSet<>();
    /** Where it listens; another number is another address. */
    int address;
    /** The present process; null while there is none. */
    ServerModel life;
    /** When that started; 0: long ago. */
    long startedAt;
    /** The machine is off the net and says nothing. */
    boolean vanished;

    double resetBefore;
    double resetAfter;
    /** Work sent within the last moments while cold: what pushes it over. */
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

    /** Work within a window of time, against what a cold server bears. */
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
         * Notes work that came.
         *
         * @param capacity work that the server can do in a microsecond at this moment
         * @return whether that is more than it bears
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

        /** The most that was sent within a window, as a part of what the server bore then. */
        double most() {
            return most;
        }

        /** Part of the work within the window that was marked. */
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
