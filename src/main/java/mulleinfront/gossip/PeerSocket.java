package mulleinfront.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Datagrams from and to the other client proxies, on the event loop that owns everything. Nothing that comes can end
 * it; what can't be sent is lost, as any datagram may be.
 */
final class PeerSocket {
    /** Room for one datagram and for telling that it is too long. */
    private static final int ROOM = 512;
    /** The process before, which this one replaces, may still have the address. */
    private static final long BIND_AGAIN_MS = 100;

    /** Whoever reads what comes. */
    interface Receiver {
        /** @param from number of the peer whose address it came from, or -1 */
        void datagram(int from, byte[] bytes, int length);
    }

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final InetSocketAddress listen;
    private final List<InetSocketAddress> peers;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Receiver receiver;
    private final byte[] read = new byte[ROOM];
    private Channel channel;
    private boolean closed;
    private long unsent;

    PeerSocket(
            EventLoop loop,
            ByteBufAllocator buffers,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            Receiver receiver) {
        this.loop = loop;
        this.buffers = buffers;
        this.listen = listen;
        this.peers = peers;
        this.receiver = receiver;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(peers.get(i), i);
        }
    }

    /** Binds, however long it takes until the address is free; then runs something, on the event loop. */
    void open(Runnable then) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(ROOM))
                .handler(new Reader())
                .bind(listen);
        bound.addListener(f -> opened(bound, then, true));
    }

    private void opened(ChannelFuture bound, Runnable then, boolean first) {
        if (closed) {
            bound.channel().close();
        } else if (bound.isSuccess()) {
            channel = bound.channel();
            then.run();
        } else {
            if (first) {
                System.err.println("mulleinfront: can't listen for other client proxies on "
                        + NetUtil.toSocketAddressString(listen) + ": "
                        + bound.cause().getMessage() + "; trying on");
            }
            loop.schedule(
                    () -> {
                        if (!closed) {
                            open(then);
                        }
                    },
                    BIND_AGAIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Datagrams that the system did not take. */
    long unsent() {
        return unsent;
    }

    void send(int member, byte[] bytes, int length) {
        if (channel == null || !channel.isWritable()) {
            unsent++;
            return;
        }
        ByteBuf copy = buffers.buffer(length).writeBytes(bytes, 0, length);
        channel.writeAndFlush(new DatagramPacket(copy, peers.get(member)))
                .addListener(f -> unsent += f.isSuccess() ? 0 : 1);
    }

    /** Reads what comes. */
    private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket in) {
            int length = Math.min(ROOM, in.content().readableBytes());
            in.content().readBytes(read, 0, length);
            receiver.datagram(numbers.getOrDefault(in.sender(), -1), read, length);
        }

        /** The network says that something did not arrive, or a defect: neither ends the socket. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof RuntimeException || cause instanceof Error) {
                System.err.println("mulleinfront: " + cause);
            }
        }
    }
}
