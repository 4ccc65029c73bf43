package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * A client's connection that can tell whether the client has closed it before the event loop has read that far. The
 * operating system reports a close only after all data sent before it, so that data is read ahead and buffered here
 * until the pipeline reads it.
 */
final class ClientChannel extends NioSocketChannel {
    /** Limit of the read-ahead: the size of a connection's initial receive window. */
    private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;

    private static final int READ_BYTES = 8 * 1024;
    /** Pause after a failed accept. */
    private static final int ACCEPT_RETRY_MS = 5;

    private final ByteBuffer readBuffer;
    private final IntConsumer onBufferedBytes;
    /** Data read ahead of the pipeline; null if there is none. */
    private ByteBuf readAhead;

    private boolean readScheduled;
    /** When all that had arrived was last read. */
    private long readToTheEndNanos = System.nanoTime();
    /** Whether the last read left nothing to be read. */
    private boolean readAllArrived = true;

    private ClientChannel(Channel parent, SocketChannel socket, ByteBuffer readBuffer, IntConsumer onBufferedBytes) {
        super(parent, socket);
        this.readBuffer = readBuffer;
        this.onBufferedBytes = onBufferedBytes;
    }

    /** Whether the client has closed its end or the connection is broken; reads ahead up to the limit to find out. */
    boolean closedByClient() {
        try {
            while (isActive()) {
                int bytesRead = readAhead != null && readAhead.readableBytes() >= MAX_READ_AHEAD_BYTES
                        ? 0
                        : javaChannel().read(readBuffer.clear());
                if (bytesRead <= 0) {
                    readToTheEndNanos = isReadAheadFull() ? readToTheEndNanos : System.nanoTime();
                    return bytesRead < 0;
                }
                appendReadAhead(readBuffer.flip());
            }
            return true;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Whether all that had arrived was read at some moment of this time up to now, so that a close was seen then. */
    boolean readToTheEndWithin(long nanos) {
        return System.nanoTime() - readToTheEndNanos < nanos || !closedByClient() && !isReadAheadFull();
    }

    private boolean isReadAheadFull() {
        return readAhead != null && readAhead.readableBytes() >= MAX_READ_AHEAD_BYTES;
    }

    /** Whether data has arrived that the pipeline has not read. */
    boolean hasUnreadData() {
        return !closedByClient() && readAhead != null;
    }

    /** Whether the pipeline's last read has read all bytes that had arrived by then. */
    boolean readAllArrived() {
        return readAllArrived;
    }

    private void appendReadAhead(ByteBuffer data) {
        onBufferedBytes.accept(data.remaining());
        readAhead = readAhead == null
                ? Upstream.ALLOCATOR.buffer(data.remaining(), MAX_READ_AHEAD_BYTES + READ_BYTES)
                : readAhead;
        if (readAhead.maxWritableBytes() < data.remaining()) {
            readAhead.discardReadBytes();
        }
        readAhead.writeBytes(data);
        scheduleRead();
    }

    /**
     * Schedules a read by the pipeline, since the selector does not report data that has been read ahead. It runs after
     * a turn of the other connections: a task that is only executed would run before them.
     */
    private void scheduleRead() {
        if (!readScheduled) {
            readScheduled = true;
            eventLoop().schedule(this::passOnReadAhead, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void passOnReadAhead() {
        readScheduled = false;
        if (readAhead != null && isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        if (readAhead != null) {
            scheduleRead();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        if (readAhead == null) {
            int capacity = target.writableBytes();
            int bytesRead = super.doReadBytes(target);
            readAllArrived = bytesRead < capacity;
            readToTheEndNanos = readAllArrived ? System.nanoTime() : readToTheEndNanos;
            return bytesRead;
        }
        readAllArrived = false;
        int bytesRead = Math.min(readAhead.readableBytes(), target.writableBytes());
        unsafe().recvBufAllocHandle().attemptedBytesRead(bytesRead);
        target.writeBytes(readAhead, bytesRead);
        onBufferedBytes.accept(-bytesRead);
        if (!readAhead.isReadable()) {
            readAhead.release();
            readAhead = null;
        }
        return bytesRead;
    }

    @Override
    protected void doClose() throws Exception {
        if (readAhead != null) {
            onBufferedBytes.accept(-readAhead.readableBytes());
            readAhead.release();
            readAhead = null;
        }
        super.doClose();
    }

    /** A listening socket that accepts connections as {@link ClientChannel}. */
    static final class Listener extends NioServerSocketChannel {
        /** A direct buffer, which avoids a copy on each read-ahead. */
        private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);

        private final IntConsumer onBufferedBytes;
        /**
         * Whether the socket was inherited: other processes may accept on it too, so waiting connections are not lost
         * when this process closes it.
         */
        private final boolean inherited;

        private int accepted;
        private boolean pausedAfterFailure;

        /**
         * @param inheritedSocket the listening socket that the process inherited; null to open a new one
         * @param onBufferedBytes called with the change of the number of bytes buffered, negative when bytes are
         *     released
         */
        Listener(ServerSocketChannel inheritedSocket, IntConsumer onBufferedBytes) {
            super(inheritedSocket == null ? open() : inheritedSocket);
            this.inherited = inheritedSocket != null;
            this.onBufferedBytes = onBufferedBytes;
        }

        private static ServerSocketChannel open() {
            try {
                return ServerSocketChannel.open();
            } catch (IOException cause) {
                throw new ChannelException("can't open a listening socket", cause);
            }
        }

        @Override
        protected int doReadMessages(List<Object> messages) throws Exception {
            SocketChannel socket;
            try {
                socket = SocketUtils.accept(javaChannel());
            } catch (IOException failure) {
                // No free descriptor, no buffers, or a connection that was already closed. The pause is short: during
                // Netty's own pause of 1 s the waiting clients would time out.
                pauseAccepting();
                return 0;
            }
            if (socket == null) {
                return 0;
            }
            accepted++;
            try {
                messages.add(new ClientChannel(this, socket, readBuffer, onBufferedBytes));
                return 1;
            } catch (RuntimeException failure) {
                socket.close();
                return 0;
            }
        }

        private void pauseAccepting() {
            if (isActive()) {
                pausedAfterFailure = true;
                config().setAutoRead(false);
                eventLoop()
                        .schedule(
                                () -> {
                                    pausedAfterFailure = false;
                                    if (isActive()) {
                                        config().setAutoRead(true);
                                    }
                                },
                                ACCEPT_RETRY_MS,
                                TimeUnit.MILLISECONDS);
            }
        }

        /**
         * Accepts the connections that wait in the backlog, as long as there is room for clients, and then closes: the
         * operating system would reset waiting connections and the requests sent on them. Each step reads once, since a
         * connection closed to make room frees its descriptor only with the event loop's next select.
         *
         * @param maxReads limit of the number of reads
         * @param whenClosed run after the close
         */
        void closeAfterBacklog(int maxReads, Runnable whenClosed) {
            accepted = 0;
            if (!inherited && isActive() && config().isAutoRead() && maxReads > 0) {
                unsafe().read();
            }
            if (accepted > 0 || pausedAfterFailure && maxReads > 0) {
                eventLoop().schedule(() -> closeAfterBacklog(maxReads - 1, whenClosed), 1, TimeUnit.MILLISECONDS);
            } else {
                close();
                whenClosed.run();
            }
        }
    }
}
