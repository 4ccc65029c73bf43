package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Streams a body from one connection to another, piece by piece at the reader's pace. Before a sink is attached, pieces
 * are buffered up to a limit. Reading pauses at that limit, and while the sink is not ready; only a few reads can be
 * buffered beyond it. All methods are called on the event loop.
 */
final class BodyStream {
    /** Size limit of a body: the 32 MB that operators require, with some margin. */
    static final long MAX_BODY_BYTES = 36L * 1024 * 1024;

    /** The receiver of the body. */
    interface Sink {
        /** Receives a piece, and must release it. */
        void write(ByteBuf piece);

        /**
         * Called once, after the last piece.
         *
         * @param complete whether the body is complete; false if its connection ended first
         */
        void end(boolean complete);
    }

    private final long length;
    private final int maxBufferedBytes;
    private final Consumer<Boolean> setReading;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private Sink sink;
    private int bufferedBytes;
    private boolean attached;
    private boolean stopped;
    private boolean ended;
    private boolean complete;

    /**
     * @param length the length of the whole body, bytes; -1 if unknown
     * @param maxBufferedBytes limit of what is buffered before a sink is attached; one read may exceed it. At 0 nothing
     *     is read before a sink is attached
     * @param setReading called with whether to read more from the body's connection
     */
    BodyStream(long length, int maxBufferedBytes, Consumer<Boolean> setReading) {
        this.length = length;
        this.maxBufferedBytes = maxBufferedBytes;
        this.setReading = setReading;
        if (maxBufferedBytes == 0) {
            setReading.accept(false);
        }
    }

    long length() {
        return length;
    }

    /** Whether a sink has been attached: then the body can't be sent to another one from its beginning. */
    boolean attached() {
        return attached;
    }

    /** Sends the buffered pieces and all that follow to a sink. */
    void attach(Sink receiver) {
        sink = receiver;
        attached = true;
        for (ByteBuf piece; !stopped && (piece = buffered.poll()) != null; ) {
            receiver.write(piece);
        }
        if (ended && !stopped) {
            stopped = true;
            receiver.end(complete);
        } else if (!stopped) {
            setReading.accept(true);
        }
    }

    /** Called by the sink when it becomes ready for more pieces, or is no longer. */
    void setSinkReady(boolean ready) {
        if (!stopped && !ended) {
            setReading.accept(ready);
        }
    }

    /** Drops the buffered pieces and all that follow: the sink has closed or needs no more. */
    void discard() {
        if (!stopped) {
            stopped = true;
            for (ByteBuf piece; (piece = buffered.poll()) != null; ) {
                piece.release();
            }
            if (!ended) {
                setReading.accept(true);
            }
        }
    }

    /** Passes on or buffers a piece read from the body's connection; takes over its release. */
    void receive(ByteBuf piece) {
        if (stopped || !piece.isReadable()) {
            piece.release();
        } else if (sink == null) {
            bufferedBytes += piece.readableBytes();
            buffered.add(piece);
            if (maxBufferedBytes > 0 && bufferedBytes >= maxBufferedBytes) {
                setReading.accept(false);
            }
        } else {
            sink.write(piece);
        }
    }

    /** The body has ended, or the connection that it arrives on. */
    void end(boolean isComplete) {
        if (ended) {
            return;
        }
        ended = true;
        complete = isComplete;
        if (sink != null && !stopped) {
            stopped = true;
            sink.end(isComplete);
        }
    }
}
