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
 * What stands between the members of a large fleet, and between them and the control machines: two sides that can be cut
 * from each other without a word, and counters of what passes. A cut connection is neither closed nor read, as on a
 * network that drops what crosses; when the cut heals it goes on.
 */
final class SideRelay {
    private static final int CONNECT_MS = 1_000;

    private final EventLoopGroup group;
    private final ScalePlaces places;
    private final int members;
    private final IntUnaryOperator sideOf;
    private final Channel[][] ways;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final AtomicLongArray datagrams;
    private final AtomicLongArray datagramBytes;
    private final AtomicLongArray machineBytes;
    private final Queue<Link> links = new ConcurrentLinkedQueue<>();
    private final Queue<Channel> listeners = new ConcurrentLinkedQueue<>();
    private volatile boolean cut;
    private volatile boolean closed;

    /**
     * @param sideOf the side of each member, from 0
     * @param machines control machines, for their counters
     */
    SideRelay(EventLoopGroup group, ScalePlaces places, int members, int machines, IntUnaryOperator sideOf) {
        this.group = group;
        this.places = places;
        this.members = members;
        this.sideOf = sideOf;
        this.ways = new Channel[ScalePlaces.SIDES][members];
        this.datagrams = new AtomicLongArray(members);
        this.datagramBytes = new AtomicLongArray(members);
        this.machineBytes = new AtomicLongArray(Math.max(1, machines));
    }

    /** Listens for datagrams on all addresses; not to be called on an event loop. */
    void open() throws IOException, InterruptedException {
        for (int m = 0; m < members; m++) {
            numbers.put(places.peer(m), m);
        }
        for (int side = 0; side < ScalePlaces.SIDES; side++) {
            for (int m = 0; m < members; m++) {
                ways[side][m] = done(new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .handler(new Way(side, m))
                        .bind(places.peerFrom(side, m)));
            }
        }
    }

    private Channel done(ChannelFuture bound) throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException(
                    "can't listen between members: " + bound.cause().getMessage());
        }
        return bound.channel();
    }

    /**
     * Stands between those of a side and somebody of another or of the same.
     *
     * @param machine whose counter counts what goes to and from it; below 0: nobody's
     */
    void between(int fromSide, InetSocketAddress at, int toSide, InetSocketAddress to, int machine)
            throws IOException, InterruptedException {
        listeners.add(done(new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, members)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        new Link(ch, fromSide != toSide, to, machine).open();
                    }
                })
                .bind(at)));
    }

    /** From now on nothing crosses from one side to the other, or it does again. */
    void cut(boolean on) {
        cut = on;
        links.forEach(l -> l.near.eventLoop().execute(l::read));
    }

    void close() {
        closed = true;
        for (Channel[] side : ways) {
            for (Channel way : side) {
                if (way != null) {
                    way.close();
                }
            }
        }
        listeners.forEach(Channel::close);
        links.forEach(l -> l.near.close());
    }

    /** Datagrams that all members have sent. */
    long datagrams() {
        return sum(datagrams);
    }

    /** Bytes of them, their headers not counted. */
    long datagramBytes() {
        return sum(datagramBytes);
    }

    /** The most that one member has sent, bytes. */
    long mostDatagramBytes() {
        long most = 0;
        for (int i = 0; i < members; i++) {
            most = Math.max(most, datagramBytes.get(i));
        }
        return most;
    }

    /** Bytes to and from a control machine by client proxies. */
    long machineBytes(int machine) {
        return machineBytes.get(machine);
    }

    private static long sum(AtomicLongArray counters) {
        long all = 0;
        for (int i = 0; i < counters.length(); i++) {
            all += counters.get(i);
        }
        return all;
    }

    /** The address under which those of one side know a member. */
    private final class Way extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int side;
        private final int to;

        Way(int side, int to) {
            this.side = side;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket in) {
            Integer from = numbers.get(in.sender());
            if (from == null || sideOf.applyAsInt(from) != side) {
                return;
            }
            datagrams.incrementAndGet(from);
            datagramBytes.addAndGet(from, in.content().readableBytes());
            int there = sideOf.applyAsInt(to);
            if (!closed && !(cut && there != side)) {
                ways[there][from].writeAndFlush(new DatagramPacket(in.content().retain(), places.peer(to)));
            }
        }

        /** A process that is not there: the system may say so, and nobody is to hear of it. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }

    /** One connection and its other half. */
    private final class Link {
        private final Channel near;
        private final boolean crosses;
        private final InetSocketAddress to;
        private final int machine;
        private Channel far;

        Link(Channel near, boolean crosses, InetSocketAddress to, int machine) {
            this.near = near;
            this.crosses = crosses;
            this.to = to;
            this.machine = machine;
        }

        /** Connects on as soon as it may. */
        void open() {
            links.add(this);
            near.closeFuture().addListener(f -> links.remove(this));
            near.pipeline().addLast(new Half());
            if (!(cut && crosses)) {
                connect();
            }
        }

        private void connect() {
            ChannelFuture connecting = new Bootstrap()
                    .group(near.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new Half())
                    .connect(to);
            far = connecting.channel();
            connecting.addListener((ChannelFutureListener) f -> {
                if (f.isSuccess() && near.isActive()) {
                    read();
                } else {
                    f.channel().close();
                    near.close();
                }
            });
        }

        /** Goes on or stands still, as the cut has it. */
        void read() {
            boolean flows = !(cut && crosses);
            if (far == null) {
                if (flows && near.isActive()) {
                    connect();
                }
                return;
            }
            near.config().setAutoRead(flows && far.isActive());
            far.config().setAutoRead(flows);
        }

        /** Hands on what one half reads; the end of one is the end of the other. */
        private final class Half extends ChannelInboundHandlerAdapter {
            private Channel other(ChannelHandlerContext ctx) {
                return ctx.channel() == near ? far : near;
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (machine >= 0) {
                    machineBytes.addAndGet(machine, bytes.readableBytes());
                }
                other(ctx).writeAndFlush(bytes);
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                Channel other = other(ctx);
                if (other != null && !(cut && crosses)) {
                    other.config().setAutoRead(ctx.channel().isWritable());
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                Channel other = other(ctx);
                // The end of one side is not heard across a cut, until it heals.
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
