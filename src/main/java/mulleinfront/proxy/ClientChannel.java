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
 * A client's connection that can be asked whether its client has closed it, though the loop has not come to read that
 * yet. The platform tells of a close only behind all that was sent before it, so that is read here and kept until the
 * pipeline reads it in its turn.
 */
final class ClientChannel extends NioSocketChannel {
    /** What is read past the pipeline at most: what one connection's first receive window holds, bytes. */
    private static final int MOST_LOOKED = 64 * 1024;

    private static final int READ_BYTES = 8 * 1024;
    /** How long nothing is accepted after that has failed. */
    private static final int ACCEPT_AGAIN_MS = 5;

    private final ByteBuffer room;
    private final IntConsumer hold;
    /** What was read here and not yet by the pipeline; null if nothing was. */
    private ByteBuf looked;

    private boolean kicked;

    private ClientChannel(Channel parent, SocketChannel socket, ByteBuffer room, IntConsumer hold) {
        super(parent, socket);
        this.room = room;
        this.hold = hold;
    }

    /** Whether the client has closed its end, or the connection is gone; looks no further than a bound. */
    boolean left() {
        try {
            while (isActive()) {
                int n = looked != null && looked.readableBytes() >= MOST_LOOKED
                        ? 0
                        : javaChannel().read(room.clear());
                if (n <= 0) {
                    return n < 0;
                }
                keep(room.flip());
            }
            return true;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Whether anything has come that the pipeline has not read. */
    boolean unread() {
        return !left() && looked != null;
    }

    private void keep(ByteBuffer more) {
        hold.accept(more.remaining());
        looked = looked == null ? Upstream.BUFFERS.buffer(more.remaining(), MOST_LOOKED + READ_BYTES) : looked;
        looked.writeBytes(more);
        readSoon();
    }

    /** The selector tells of what the system holds, and no longer of what was taken from there. */
    private void readSoon() {
        if (!kicked) {
            kicked = true;
            eventLoop().execute(() -> {
                kicked = false;
                if (looked != null && isActive() && config().isAutoRead()) {
                    unsafe().read();
                }
            });
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        if (looked != null) {
            readSoon();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        if (looked == null) {
            return super.doReadBytes(into);
        }
        int n = Math.min(looked.readableBytes(), into.writableBytes());
        unsafe().recvBufAllocHandle().attemptedBytesRead(n);
        into.writeBytes(looked, n);
        hold.accept(-n);
        if (!looked.isReadable()) {
            looked.release();
            looked = null;
        }
        return n;
    }

    @Override
    protected void doClose() throws Exception {
        if (looked != null) {
            hold.accept(-looked.readableBytes());
            looked.release();
            looked = null;
        }
        super.doClose();
    }

    /** A listening socket whose connections are such. */
    static final class Listener extends NioServerSocketChannel {
        /** Outside the heap, or each look would copy. */
        private final ByteBuffer room = ByteBuffer.allocateDirect(READ_BYTES);

        private final IntConsumer hold;
        /** Whether others may accept there too, so that what waits is not lost when this one is closed. */
        private final boolean inherited;

        private int accepted;
        private boolean pausedAfterFailure;

        /**
         * @param listening handed over by the platform; null to listen anew
         * @param hold told of bytes that are held, and of those no longer held by a number below 0
         */
        Listener(ServerSocketChannel listening, IntConsumer hold) {
            super(listening == null ? open() : listening);
            this.inherited = listening != null;
            this.hold = hold;
        }

        private static ServerSocketChannel open() {
            try {
                return ServerSocketChannel.open();
            } catch (IOException e) {
                throw new ChannelException("no listening socket", e);
            }
        }

        @Override
        protected int doReadMessages(List<Object> into) throws Exception {
            SocketChannel socket;
            try {
                socket = SocketUtils.accept(javaChannel());
            } catch (IOException e) {
                // No descriptor, no buffers, or a connection that was over: what waits behind it is asked for again
                // soon.
                // Netty would accept nothing for a second, and those who wait would be lost by then.
                acceptAgainSoon();
                return 0;
            }
            if (socket == null) {
                return 0;
            }
            accepted++;
            try {
                into.add(new ClientChannel(this, socket, room, hold));
                return 1;
            } catch (RuntimeException e) {
                socket.close();
                return 0;
            }
        }

        private void acceptAgainSoon() {
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
                                ACCEPT_AGAIN_MS,
                                TimeUnit.MILLISECONDS);
            }
        }

        /**
         * Closes, but takes first what the system has accepted: it would reset that, and what was sent there. A read
         * at a time, since what is closed to make room frees its descriptor only with the loop's next select; and as
         * long as there is room.
         *
         * @param reads made at most
         * @param then run when it is closed
         */
        void closeAfterAll(int reads, Runnable then) {
            accepted = 0;
            if (!inherited && isActive() && config().isAutoRead() && reads > 0) {
                unsafe().read();
            }
            if (accepted > 0 || pausedAfterFailure && reads > 0) {
                eventLoop().schedule(() -> closeAfterAll(reads - 1, then), 1, TimeUnit.MILLISECONDS);
            } else {
                close();
                then.run();
            }
        }
    }
}
