package mulleinfront.emulator;

import java.util.BitSet;
import mulleinfront.settings.Range;

/** Injects faults into the network between client proxies, on virtual time or on sockets. */
public interface PeerFaults {
    /** Ends a fault. */
    interface ActiveFault {
        void end();
    }

    /**
     * Begins a fault that affects datagrams from now on.
     *
     * @param from numbers of the affected senders; null: all
     * @param to numbers of the affected receivers; null: all
     * @param lossShare fraction that is lost; 1 is a network partition
     * @param duplicateShare fraction that is duplicated
     * @param overtakenShare fraction that later datagrams overtake
     * @param corruptedShare fraction whose bytes are changed or that is truncated
     * @param extraDelayUs additional delay, microseconds
     */
    ActiveFault beginFault(
            BitSet from,
            BitSet to,
            double lossShare,
            double duplicateShare,
            double overtakenShare,
            double corruptedShare,
            Range extraDelayUs);

    /**
     * Records passing datagrams for a time, and then repeats recorded ones at a rate for {@code durationUs}
     * microseconds.
     */
    void repeatDatagrams(long recordUs, double perSecond, long durationUs);

    /** Sends datagrams from unknown senders, {@code perSecond} to all members together. */
    void sendFromUnknownSenders(double perSecond, long durationUs);

    /** The wall clock of a member's machine jumps; the member's next process starts with the new time. */
    void shiftClock(int number, long ms);

    /**
     * Blocks all datagrams from {@code senders} to {@code receivers}, and unless {@code oneWay} also the other
     * direction.
     */
    default ActiveFault partition(BitSet senders, BitSet receivers, boolean oneWay) {
        Range none = Range.of(0);
        ActiveFault forward = beginFault(senders, receivers, 1, 0, 0, 0, none);
        ActiveFault backward = oneWay ? () -> {} : beginFault(receivers, senders, 1, 0, 0, 0, none);
        return () -> {
            forward.end();
            backward.end();
        };
    }
}
