package mulleinfront.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Sends requests over a number of connections, one at a time on each, and measures the time to each answer. */
final class Driver implements AutoCloseable {
    private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int THREADS = 2;
    private static final AtomicLong IDS = new AtomicLong();

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final List<Connection> connections = new ArrayList<>();
    private volatile Histogram times = histogram();
    private final AtomicLong others = new AtomicLong();
    /** Nanoseconds between two sends of one connection; 0: a closed loop. */
    private volatile long everyNanos;

    /** Answers in a stretch of time: how many each second, with which latencies, and how many were no 200. */
    record Result(double perSecond, Histogram times, long others) {
        double ms(double percentile) {
            return times.getValueAtPercentile(percentile) / 1e6;
        }
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(HIGHEST_NANOS, 3);
    }

    /** Connects to the ports in turn. */
    Driver(int count, List<Integer> ports) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            Connection c = new Connection(i);
            connections.add(c);
            c.channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline().addLast(c);
                        }
                    })
                    .connect(InetAddress.getLoopbackAddress(), ports.get(i % ports.size()))
                    .sync()
                    .channel();
        }
    }

    /**
     * Sends for a while, measures the latter part of it.
     *
     * @param perSecond requests a second over all connections, each measured from when it was due (open loop); 0:
     *        each connection sends when it has its answer
     */
    Result run(long warmMs, long measuredMs, double perSecond, Runnable atBegin) throws InterruptedException {
        everyNanos = perSecond == 0 ? 0 : (long) (1e9 * connections.size() / perSecond);
        connections.forEach(c -> c.channel.eventLoop().execute(c::begin));
        Thread.sleep(warmMs);
        Histogram measured = histogram();
        others.set(0);
        times = measured;
        atBegin.run();
        long from = System.nanoTime();
        Thread.sleep(measuredMs);
        times = histogram();
        double seconds = (System.nanoTime() - from) / 1e9;
        long wrong = others.get();
        connections.forEach(c -> c.running = false);
        Histogram still = measured.copy();
        return new Result(still.getTotalCount() / seconds, still, wrong);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** One connection. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final int number;
        private Channel channel;
        private volatile boolean running;
        private boolean open;
        private long sentAt;
        private long nextDue;
        /** Sends that are due and wait for the answer before them. */
        private final ArrayDeque<Long> due = new ArrayDeque<>();

        private final StringBuilder head = new StringBuilder();
        private int bodyLeft = -1;
        private boolean served;

        Connection(int number) {
            this.number = number;
        }

        void begin() {
            running = true;
            if (everyNanos == 0) {
                if (!open) {
                    send(System.nanoTime());
                }
            } else {
                nextDue = System.nanoTime() + everyNanos * number / connections.size();
                tick();
            }
        }

        private void tick() {
            if (!running) {
                return;
            }
            long now = System.nanoTime();
            for (; nextDue <= now; nextDue += everyNanos) {
                due.add(nextDue);
            }
            next();
            channel.eventLoop().schedule(this::tick, nextDue - now, TimeUnit.NANOSECONDS);
        }

        private void next() {
            if (!open && !due.isEmpty()) {
                send(due.poll());
            }
        }

        private void send(long at) {
            open = true;
            sentAt = at;
            long id = IDS.incrementAndGet();
            channel.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: b"
                            + id + "\r\nX-Class: lookup\r\nX-Key: k" + id * 7919 % 1000
                            + "\r\nX-Deadline-Ms: 5000\r\n\r\n",
                    StandardCharsets.US_ASCII));
        }

        /** Answers have a Content-Length and come one at a time. */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            while (in.isReadable()) {
                if (bodyLeft >= 0) {
                    int skip = Math.min(bodyLeft, in.readableBytes());
                    in.skipBytes(skip);
                    bodyLeft -= skip;
                } else {
                    head.append((char) in.readByte());
                    int length = head.length();
                    if (length >= 4 && head.charAt(length - 1) == '\n' && head.charAt(length - 3) == '\n') {
                        served = head.indexOf(" 200 ") > 0;
                        bodyLeft = contentLength();
                        head.setLength(0);
                    }
                }
                if (bodyLeft == 0) {
                    bodyLeft = -1;
                    answered();
                }
            }
        }

        private int contentLength() {
            String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
            int at = lower.indexOf("content-length:") + 15;
            return Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).strip());
        }

        private void answered() {
            long now = System.nanoTime();
            times.recordValue(Math.min(HIGHEST_NANOS, Math.max(0, now - sentAt)));
            if (!served) {
                others.incrementAndGet();
            }
            open = false;
            if (running && everyNanos == 0) {
                send(now);
            } else {
                next();
            }
        }
    }
}
