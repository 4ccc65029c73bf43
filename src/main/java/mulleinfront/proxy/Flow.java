package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A body on its way from one connection to another, piece by piece at the reader's pace. Up to a bound is read of it
 * before somebody takes it, and nothing while that one wants no more; what had been read by then waits here and is a
 * few reads at most. All calls come on the event loop.
 */
final class Flow {
    /** The largest body that is carried, bytes: the operators' 32 MB with some room. */
    static final long MOST = 36L * 1024 * 1024;

    /** Where the body goes. */
    interface Sink {
        /** Takes a piece over, and its release. */
        void piece(ByteBuf piece);

        /**
         * Told once, after the last piece.
         *
         * @param whole whether that was the end of the body, rather than of the connection that it came from
         */
        void end(boolean whole);
    }

    private final long length;
    private final int most;
    private final Consumer<Boolean> pace;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private Sink sink;
    private int waitingBytes;
    private boolean given;
    private boolean stopped;
    private boolean ended;
    private boolean whole;

    /**
     * @param length of the whole body, bytes; -1 if nobody has said
     * @param most what may wait before somebody takes it, bytes, and a read more; 0: nothing is to be read by then
     * @param pace told whether to read on
     */
    Flow(long length, int most, Consumer<Boolean> pace) {
        this.length = length;
        this.most = most;
        this.pace = pace;
        if (most == 0) {
            pace.accept(false);
        }
    }

    long length() {
        return length;
    }

    /** Whether something has been handed on: then it can't be handed to another from its beginning. */
    boolean given() {
        return given;
    }

    /** Hands all that waits and comes to this one; another may have had it if nothing was given to that. */
    void to(Sink taker) {
        sink = taker;
        given = true;
        for (ByteBuf piece; !stopped && (piece = waiting.poll()) != null; ) {
            taker.piece(piece);
        }
        if (ended && !stopped) {
            stopped = true;
            taker.end(whole);
        } else if (!stopped) {
            pace.accept(true);
        }
    }

    /** The taker's word on whether it wants more now. */
    void want(boolean more) {
        if (!stopped && !ended) {
            pace.accept(more);
        }
    }

    /** The taker is gone or has enough: what still comes is dropped. */
    void stop() {
        if (!stopped) {
            stopped = true;
            for (ByteBuf piece; (piece = waiting.poll()) != null; ) {
                piece.release();
            }
            if (!ended) {
                pace.accept(true);
            }
        }
    }

    /** Takes a piece over from the connection it came on. */
    void put(ByteBuf piece) {
        if (stopped || !piece.isReadable()) {
            piece.release();
        } else if (sink == null) {
            waitingBytes += piece.readableBytes();
            waiting.add(piece);
            if (most > 0 && waitingBytes >= most) {
                pace.accept(false);
            }
        } else {
            sink.piece(piece);
        }
    }

    /** Nothing more comes. */
    void end(boolean isWhole) {
        if (ended) {
            return;
        }
        ended = true;
        whole = isWhole;
        if (sink != null && !stopped) {
            stopped = true;
            sink.end(isWhole);
        }
    }
}
