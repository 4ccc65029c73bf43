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
 * Relays datagrams between client proxies that run as processes and applies the scenario's network faults. Each ordered
 * pair of proxies has an address where this relay listens. A datagram that A sends to its address for B is forwarded to
 * B from B's address for A, subject to the faults active on that route. A datagram from any other sender is dropped.
 */
final class PeerRelay implements PeerFaults {
    /** Notified when a datagram fault begins or ends. */
    interface Listener {
        void faultChanged(DatagramFaults.DatagramFault fault, boolean active);
    }

    private final EventLoop loop;
    private final AddressPlan addresses;
    /** By sender and receiver: the channel that receives datagrams from one proxy to the other. */
    private final Channel[][] routes;
    /** Sends datagrams from an address that no client proxy knows. */
    private Channel unknownSender;

    private final DatagramFaults faults;
    private final Listener listener;
    private boolean closed;

    PeerRelay(EventLoop loop, AddressPlan addresses, int peers, DatagramFaults faults, Listener listener) {
        this.loop = loop;
        this.addresses = addresses;
        this.routes = new Channel[peers][peers];
        this.faults = faults;
        this.listener = listener;
    }

    /** Listens on all addresses; blocks, so it must not be called on the event loop. */
    void open() throws IOException, InterruptedException {
        for (int from = 0; from < routes.length; from++) {
            for (int to = 0; to < routes.length; to++) {
                if (from != to) {
                    routes[from][to] = bind(addresses.peer(from, to), new Route(from, to));
                }
            }
        }
        unknownSender = bind(new InetSocketAddress(addresses.peer(0, 0).getAddress(), 0), new Route(-1, -1));
    }

    private Channel bind(InetSocketAddress address, Route handler) throws IOException, InterruptedException {
        var bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(handler)
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("failed to listen on a relay address between client proxies: "
                    + bound.cause().getMessage());
        }
        return bound.channel();
    }

    void close() {
        closed = true;
        for (Channel[] from : routes) {
            for (Channel route : from) {
                if (route != null) {
                    route.close();
                }
            }
        }
        if (unknownSender != null) {
            unknownSender.close();
        }
    }

    /** Receives the datagrams from one proxy to another. */
    private final class Route extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int from;
        private final int to;

        Route(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket in) {
            if (from < 0 || !in.sender().equals(addresses.peerListen(from))) {
                return;
            }
            byte[] bytes = new byte[in.content().readableBytes()];
            in.content().readBytes(bytes);
            for (DatagramFaults.Copy copy : faults.deliver(from, to, bytes, bytes.length)) {
                if (copy.extraDelayUs() == 0) {
                    deliver(from, to, copy.bytes());
                } else {
                    ctx.executor()
                            .schedule(
                                    () -> deliver(from, to, copy.bytes()), copy.extraDelayUs(), TimeUnit.MICROSECONDS);
                }
            }
        }

        /** Ignores ICMP errors, which the system reports when the receiving process does not run. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }

    private void deliver(int from, int to, byte[] bytes) {
        if (!closed) {
            routes[to][from].writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), addresses.peerListen(to)));
        }
    }

    @Override
    public ActiveFault beginFault(
            BitSet from,
            BitSet to,
            double lossShare,
            double duplicateShare,
            double overtakenShare,
            double corruptedShare,
            Range extraDelayUs) {
        DatagramFaults.DatagramFault fault = new DatagramFaults.DatagramFault(
                from, to, lossShare, duplicateShare, overtakenShare, corruptedShare, extraDelayUs);
        faults.begin(fault);
        listener.faultChanged(fault, true);
        return () -> {
            faults.end(fault);
            listener.faultChanged(fault, false);
        };
    }

    @Override
    public void repeatDatagrams(long recordUs, double perSecond, long durationUs) {
        faults.setRecording(true);
        loop.schedule(
                () -> {
                    faults.setRecording(false);
                    scheduleRepeatedly(perSecond, durationUs, () -> {
                        DatagramFaults.RecordedDatagram past = faults.recorded();
                        if (past != null) {
                            deliver(past.from(), past.to(), past.bytes());
                        }
                    });
                },
                recordUs,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void sendFromUnknownSenders(double perSecond, long durationUs) {
        scheduleRepeatedly(
                perSecond,
                durationUs,
                () -> unknownSender.writeAndFlush(new DatagramPacket(
                        Unpooled.wrappedBuffer(faults.randomBytes()),
                        addresses.peerListen(faults.randomMember(routes.length)))));
    }

    private void scheduleRepeatedly(double perSecond, long durationUs, Runnable action) {
        var task = loop.scheduleAtFixedRate(
                () -> {
                    if (!closed) {
                        action.run();
                    }
                },
                0,
                (long) Math.max(1, 1e6 / perSecond),
                TimeUnit.MICROSECONDS);
        loop.schedule(() -> task.cancel(false), durationUs, TimeUnit.MICROSECONDS);
    }

    /** Not supported: the kit can't set the clock of one process. */
    @Override
    public void shiftClock(int number, long ms) {
        throw new UnsupportedOperationException("the kit can't change the clock of a process");
    }
}
