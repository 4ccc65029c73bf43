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
 * UDP socket to the other client proxies, on the event loop of the membership. No received datagram can close it; a
 * datagram that cannot be sent is dropped, as the network may drop any.
 */
final class PeerSocket {
    /** Larger than any valid datagram, so that a longer one is recognised as such. */
    private static final int RECEIVE_BUFFER_BYTES = 512;
    /** Time between attempts to bind: the process that this one replaces may still hold the address. */
    private static final long BIND_RETRY_MS = 100;

    /** Handles received datagrams. */
    interface Receiver {
        /** @param from number of the peer whose address it came from; -1 if the address belongs to no peer */
        void onDatagram(int from, byte[] bytes, int length);
    }

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final InetSocketAddress listen;
    private final List<InetSocketAddress> peers;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private final Receiver receiver;
    private final byte[] receiveBuffer = new byte[RECEIVE_BUFFER_BYTES];
    private Channel channel;
    private boolean closed;
    private long unsentDatagrams;

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
            peerNumbers.put(peers.get(i), i);
        }
    }

    /** Binds the socket, retrying until the address is free, and then runs the callback on the event loop. */
    void open(Runnable onOpen) {
        ChannelFuture bindFuture = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new DatagramHandler())
                .bind(listen);
        bindFuture.addListener(future -> onBound(bindFuture, onOpen, true));
    }

    private void onBound(ChannelFuture bindFuture, Runnable onOpen, boolean firstAttempt) {
        if (closed) {
            bindFuture.channel().close();
        } else if (bindFuture.isSuccess()) {
            channel = bindFuture.channel();
            onOpen.run();
        } else {
            if (firstAttempt) {
                System.err.println("mulleinfront: can't listen for other client proxies on "
                        + NetUtil.toSocketAddressString(listen) + ": "
                        + bindFuture.cause().getMessage() + "; retrying");
            }
            loop.schedule(
                    () -> {
                        if (!closed) {
                            open(onOpen);
                        }
                    },
                    BIND_RETRY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Number of datagrams that could not be sent. */
    long unsentDatagrams() {
        return unsentDatagrams;
    }

    void send(int member, byte[] bytes, int length) {
        if (channel == null || !channel.isWritable()) {
            unsentDatagrams++;
            return;
        }
        ByteBuf copy = buffers.buffer(length).writeBytes(bytes, 0, length);
        channel.writeAndFlush(new DatagramPacket(copy, peers.get(member)))
                .addListener(future -> unsentDatagrams += future.isSuccess() ? 0 : 1);
    }

    /** Passes received datagrams to the receiver. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int length = Math.min(RECEIVE_BUFFER_BYTES, packet.content().readableBytes());
            packet.content().readBytes(receiveBuffer, 0, length);
            receiver.onDatagram(peerNumbers.getOrDefault(packet.sender(), -1), receiveBuffer, length);
        }

        /** Keeps the socket open after a network error or an unexpected exception; only the latter is logged. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof RuntimeException || cause instanceof Error) {
                System.err.println("mulleinfront: " + cause);
            }
        }
    }
}
