package mulleinfront.kit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.concurrent.TimeUnit;
import mulleinfront.emulator.DatagramFaults;
import mulleinfront.emulator.PeerFaults;
import mulleinfront.settings.Range;

/**
 * What stands between client proxies that run as processes: each knows each other under an address of its own, where
 * this relay listens. What comes to the address under which A knows B goes on to B, from the address under which B knows
 * A, or does not, by what is on for that way. A datagram from anywhere else is dropped, as a network would.
 */
final class PeerRelay implements PeerFaults {
    /** Told of cuts that begin and end, for the judge. */
    interface Listener {
        void cut(DatagramFaults.DatagramFault trouble, boolean on);
    }

    private final EventLoop loop;
    private final Places places;
    private final Channel[][] ways;
    private Channel nobody;
    private final DatagramFaults troubles;
    private final Listener listener;
    private boolean closed;

    PeerRelay(EventLoop loop, Places places, int peers, DatagramFaults troubles, Listener listener) {
        this.loop = loop;
        this.places = places;
        this.ways = new Channel[peers][peers];
        this.troubles = troubles;
        this.listener = listener;
    }

    /** Listens on all addresses; not to be called on the event loop. */
    void open() throws IOException, InterruptedException {
        for (int a = 0; a < ways.length; a++) {
            for (int b = 0; b < ways.length; b++) {
                if (a != b) {
                    ways[a][b] = bind(places.peer(a, b), new Way(a, b));
                }
            }
        }
        nobody = bind(new InetSocketAddress(places.peer(0, 0).getAddress(), 0), new Way(-1, -1));
    }

    private Channel bind(InetSocketAddress at, Way way) throws IOException, InterruptedException {
        var bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(way)
                .bind(at)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "can't listen between client proxies: " + bound.cause().getMessage());
        }
        return bound.channel();
    }

    void close() {
        closed = true;
        for (Channel[] from : ways) {
            for (Channel way : from) {
                if (way != null) {
                    way.close();
                }
            }
        }
        if (nobody != null) {
            nobody.close();
        }
    }

    /** The address under which one knows another. */
    private final class Way extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int from;
        private final int to;

        Way(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket in) {
            if (from < 0 || !in.sender().equals(places.peerListen(from))) {
                return;
            }
            byte[] bytes = new byte[in.content().readableBytes()];
            in.content().readBytes(bytes);
            for (DatagramFaults.Copy copy : troubles.deliver(from, to, bytes, bytes.length)) {
                if (copy.lateUs() == 0) {
                    deliver(from, to, copy.bytes());
                } else {
                    ctx.executor()
                            .schedule(() -> deliver(from, to, copy.bytes()), copy.lateUs(), TimeUnit.MICROSECONDS);
                }
            }
        }

        /** A process that is not there: the system may say so, and nobody is to hear of it. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }

    private void deliver(int from, int to, byte[] bytes) {
        if (!closed) {
            ways[to][from].writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), places.peerListen(to)));
        }
    }

    @Override
    public End beginFault(
            BitSet from, BitSet to, double lose, double twice, double overtaken, double change, Range late) {
        DatagramFaults.DatagramFault t =
                new DatagramFaults.DatagramFault(from, to, lose, twice, overtaken, change, late);
        troubles.begin(t);
        listener.cut(t, true);
        return () -> {
            troubles.end(t);
            listener.cut(t, false);
        };
    }

    @Override
    public void repeat(long rememberUs, double perSecond, long us) {
        troubles.remember(true);
        loop.schedule(
                () -> {
                    troubles.remember(false);
                    every(perSecond, us, () -> {
                        DatagramFaults.Past p = troubles.past();
                        if (p != null) {
                            deliver(p.from(), p.to(), p.bytes());
                        }
                    });
                },
                rememberUs,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void strangers(double perSecond, long us) {
        every(
                perSecond,
                us,
                () -> nobody.writeAndFlush(new DatagramPacket(
                        Unpooled.wrappedBuffer(troubles.randomBytes()),
                        places.peerListen(troubles.anybody(ways.length)))));
    }

    private void every(double perSecond, long us, Runnable what) {
        var task = loop.scheduleAtFixedRate(
                () -> {
                    if (!closed) {
                        what.run();
                    }
                },
                0,
                (long) Math.max(1, 1e6 / perSecond),
                TimeUnit.MICROSECONDS);
        loop.schedule(() -> task.cancel(false), us, TimeUnit.MICROSECONDS);
    }

    /** Nobody may set a clock here. */
    @Override
    public void clockJumps(int number, long ms) {
        throw new UnsupportedOperationException("the clock of a process can't be made to jump");
    }
}
