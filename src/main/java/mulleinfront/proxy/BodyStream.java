package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/**
 * Streams a body from one connection to another at the reader's pace. What is received is collected in one buffer until
 * the end of a read, so that it costs the same in one chunk and in thousands. Before a sink is attached, it is collected
 * up to a limit. Reading pauses at that limit, and while the sink is not ready; only a few reads can be buffered beyond
 * it. All methods are called on the event loop.
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
    /** What has been received and not been passed on; null if there is nothing. */
    private ByteBuf buffered;

    private Sink sink;
    private boolean attached;
    private boolean stopped;
    private boolean ended;
    private boolean complete;
    /** Whether what is buffered is held back until the end. */
    private boolean held;

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

    /** Sends what is buffered and all that follows to a sink. */
    void attach(Sink receiver) {
        sink = receiver;
        attached = true;
        flush();
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

    /** Drops what is buffered and all that follows: the sink has closed or needs no more. */
    void discard() {
        if (!stopped) {
            stopped = true;
            releaseBuffer();
            if (!ended) {
                setReading.accept(true);
            }
        }
    }

    private void releaseBuffer() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    /** Buffers data read from the body's connection, until {@link #flush}. */
    void receive(ByteBuf data) {
        if (stopped || !data.isReadable()) {
            return;
        }
        buffered = buffered == null ? Upstream.ALLOCATOR.buffer(data.readableBytes()) : buffered;
        buffered.writeBytes(data);
        if (sink == null && maxBufferedBytes > 0 && buffered.readableBytes() >= maxBufferedBytes) {
            setReading.accept(false);
        }
    }

    /** Holds back what is buffered, the last of the body, until {@link #end}; returns its length. */
    int hold() {
        held = true;
        return buffered == null ? 0 : buffered.readableBytes();
    }

    /** Passes on what has been received, once a sink is attached; called at the end of each read. */
    void flush() {
        if (sink != null && !held && buffered != null && !stopped) {
            ByteBuf piece = buffered;
            buffered = null;
            sink.write(piece);
        }
    }

    /** The body has ended, or the connection that it arrives on. */
    void end(boolean isComplete) {
        if (ended) {
            return;
        }
        if (isComplete) {
            held = false;
        } else if (held) {
            releaseBuffer();
        }
        flush();
        ended = true;
        complete = isComplete;
        if (sink != null && !stopped) {
            stopped = true;
            sink.end(isComplete);
        }
    }
}
