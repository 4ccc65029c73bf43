package mulleinfront.emulator;

import java.util.BitSet;
import mulleinfront.settings.Range;

/** What can be made to happen on the way between client proxies, on virtual time or on sockets. */
public interface PeerFaults {
    /** Ends what was begun. */
    interface End {
        void end();
    }

    /**
     * Something happens to datagrams from now on.
     *
     * @param from numbers of the senders that it is about; null: all
     * @param to numbers of the receivers; null: all
     * @param lose part that is lost; 1 is a cut
     * @param twice part that comes twice
     * @param overtaken part that others overtake
     * @param change part that has bytes changed, or is cut short
     * @param late how much later they come, microseconds
     */
    End beginFault(BitSet from, BitSet to, double lose, double twice, double overtaken, double change, Range late);

    /** Datagrams that come by are remembered for a time, and repeated from then on, so many a second. */
    void repeat(long rememberUs, double perSecond, long us);

    /** Datagrams of nobody come to members, so many a second to all together. */
    void strangers(double perSecond, long us);

    /** The clock of a member's machine jumps; its next process goes by it. */
    void clockJumps(int number, long ms);

    /** Nothing gets from some to others; if not one way only, nor back. */
    default End partition(BitSet some, BitSet others, boolean oneWay) {
        Range none = Range.of(0);
        End there = beginFault(some, others, 1, 0, 0, 0, none);
        End back = oneWay ? () -> {} : beginFault(others, some, 1, 0, 0, 0, none);
        return () -> {
            there.end();
            back.end();
        };
    }
}
