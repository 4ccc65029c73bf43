package mulleinfront.kit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntUnaryOperator;

/**
 * Relays the traffic between the members of a large fleet and between members and control-plane nodes, counts it, and
 * can silently partition the two sides. During a partition a connection across it is neither closed nor read, as on a
 * network that drops packets; it continues when the partition heals.
 */
final class PartitionRelay {
    private static final int CONNECT_MS = 1_000;

    private final EventLoopGroup group;
    private final ScaleAddressPlan addresses;
    private final int members;
    private final IntUnaryOperator sideOf;
    /** By side and member: the channel that receives datagrams from that side to that member. */
    private final Channel[][] routes;

    private final Map<InetSocketAddress, Integer> memberByAddress = new HashMap<>();
    private final AtomicLongArray datagrams;
    private final AtomicLongArray datagramBytes;
    private final AtomicLongArray nodeBytes;
    private final Queue<RelayedConnection> connections = new ConcurrentLinkedQueue<>();
    private final Queue<Channel> listeners = new ConcurrentLinkedQueue<>();
    private volatile boolean partitioned;
    private volatile boolean closed;

    /**
     * @param sideOf the side of each member, from 0
     * @param nodes number of control-plane nodes
     */
    PartitionRelay(EventLoopGroup group, ScaleAddressPlan addresses, int members, int nodes, IntUnaryOperator sideOf) {
        this.group = group;
        this.addresses = addresses;
        this.members = members;
        this.sideOf = sideOf;
        this.routes = new Channel[ScaleAddressPlan.SIDES][members];
        this.datagrams = new AtomicLongArray(members);
        this.datagramBytes = new AtomicLongArray(members);
        this.nodeBytes = new AtomicLongArray(Math.max(1, nodes));
    }

    /** Listens for datagrams on all addresses; blocks, so it must not be called on an event loop. */
    void open() throws IOException, InterruptedException {
        for (int member = 0; member < members; member++) {
            memberByAddress.put(addresses.peer(member), member);
        }
        for (int side = 0; side < ScaleAddressPlan.SIDES; side++) {
            for (int member = 0; member < members; member++) {
                routes[side][member] = awaitBound(new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .handler(new Route(side, member))
                        .bind(addresses.peerFrom(side, member)));
            }
        }
    }

    private Channel awaitBound(ChannelFuture bound) throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException("failed to listen on a relay address between members: "
                    + bound.cause().getMessage());
        }
        return bound.channel();
    }

    /**
     * Relays connections from one side to an address on the other side or the same.
     *
     * @param node the control-plane node to count the bytes for; negative to count none
     */
    void relay(int fromSide, InetSocketAddress listen, int toSide, InetSocketAddress target, int node)
            throws IOException, InterruptedException {
        listeners.add(awaitBound(new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, members)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        new RelayedConnection(channel, fromSide != toSide, target, node).open();
                    }
                })
                .bind(listen)));
    }

    /** Starts or heals the network partition. */
    void setPartitioned(boolean on) {
        partitioned = on;
        connections.forEach(l -> l.accepted.eventLoop().execute(l::updateReading));
    }

    void close() {
        closed = true;
        for (Channel[] side : routes) {
            for (Channel route : side) {
                if (route != null) {
                    route.close();
                }
            }
        }
        listeners.forEach(Channel::close);
        connections.forEach(l -> l.accepted.close());
    }

    /** Number of datagrams that all members have sent. */
    long datagrams() {
        return sum(datagrams);
    }

    /** Payload bytes of the datagrams that all members have sent. */
    long datagramBytes() {
        return sum(datagramBytes);
    }

    /** The largest number of payload bytes that one member has sent. */
    long maxDatagramBytes() {
        long max = 0;
        for (int i = 0; i < members; i++) {
            max = Math.max(max, datagramBytes.get(i));
        }
        return max;
    }

    /** Bytes between client proxies and a control-plane node, both directions. */
    long nodeBytes(int node) {
        return nodeBytes.get(node);
    }

    private static long sum(AtomicLongArray counters) {
        long total = 0;
        for (int i = 0; i < counters.length(); i++) {
            total += counters.get(i);
        }
        return total;
    }

    /** Receives the datagrams from one side to a member. */
    private final class Route extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int side;
        private final int to;

        Route(int side, int to) {
            this.side = side;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket in) {
            Integer from = memberByAddress.get(in.sender());
            if (from == null || sideOf.applyAsInt(from) != side) {
                return;
            }
            datagrams.incrementAndGet(from);
            datagramBytes.addAndGet(from, in.content().readableBytes());
            int targetSide = sideOf.applyAsInt(to);
            if (!closed && !(partitioned && targetSide != side)) {
                routes[targetSide][from].writeAndFlush(
                        new DatagramPacket(in.content().retain(), addresses.peer(to)));
            }
        }

        /** Ignores ICMP errors, which the system reports when the receiving process does not run. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }

    /** An accepted connection and the connection to the target. */
    private final class RelayedConnection {
        private final Channel accepted;
        /** Whether the two ends are on different sides of the network partition. */
        private final boolean crosses;

        private final InetSocketAddress target;
        private final int node;
        private Channel onward;

        RelayedConnection(Channel accepted, boolean crosses, InetSocketAddress target, int node) {
            this.accepted = accepted;
            this.crosses = crosses;
            this.target = target;
            this.node = node;
        }

        /** Connects to the target; across a partition {@link #updateReading} does so once it heals. */
        void open() {
            connections.add(this);
            accepted.closeFuture().addListener(f -> connections.remove(this));
            accepted.pipeline().addLast(new ForwardingHandler());
            if (!(partitioned && crosses)) {
                connect();
            }
        }

        private void connect() {
            ChannelFuture connecting = new Bootstrap()
                    .group(accepted.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ForwardingHandler())
                    .connect(target);
            onward = connecting.channel();
            connecting.addListener((ChannelFutureListener) future -> {
                if (future.isSuccess() && accepted.isActive()) {
                    updateReading();
                } else {
                    future.channel().close();
                    accepted.close();
                }
            });
        }

        /** Resumes or stops reading, depending on the partition. */
        void updateReading() {
            boolean flows = !(partitioned && crosses);
            if (onward == null) {
                if (flows && accepted.isActive()) {
                    connect();
                }
                return;
            }
            accepted.config().setAutoRead(flows && onward.isActive());
            onward.config().setAutoRead(flows);
        }

        /** Forwards bytes to the other connection, and closes it when this one closes. */
        private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
            private Channel other(ChannelHandlerContext ctx) {
                return ctx.channel() == accepted ? onward : accepted;
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (node >= 0) {
                    nodeBytes.addAndGet(node, bytes.readableBytes());
                }
                other(ctx).writeAndFlush(bytes);
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                Channel other = other(ctx);
                if (other != null && !(partitioned && crosses)) {
                    other.config().setAutoRead(ctx.channel().isWritable());
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                Channel other = other(ctx);
                // Autoread is off during a partition, so a close by the peer is noticed only when it heals.
                if (other != null) {
                    other.close();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }
}
