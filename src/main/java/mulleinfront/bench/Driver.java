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

/** Sends requests over several connections, one at a time on each, and measures the time to each response. */
final class Driver implements AutoCloseable {
    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int THREADS = 2;
    private static final AtomicLong IDS = new AtomicLong();

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final List<Connection> connections = new ArrayList<>();
    private volatile Histogram times = histogram();
    private final AtomicLong failures = new AtomicLong();
    /** Nanoseconds between two requests on one connection; 0 for a closed loop. */
    private volatile long intervalNanos;

    /** Responses per second, their latencies, and the number of responses with a status other than 200. */
    record Result(double perSecond, Histogram times, long failures) {
        double latencyMs(double percentile) {
            return times.getValueAtPercentile(percentile) / 1e6;
        }
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(MAX_LATENCY_NANOS, 3);
    }

    /** Opens the connections, round robin over the ports. */
    Driver(int count, List<Integer> ports) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            Connection connection = new Connection(i);
            connections.add(connection);
            connection.channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(connection);
                        }
                    })
                    .connect(InetAddress.getLoopbackAddress(), ports.get(i % ports.size()))
                    .sync()
                    .channel();
        }
    }

    /**
     * Sends requests, and measures after the warm-up time.
     *
     * @param perSecond requests per second over all connections, each measured from when it was due (open loop); 0:
     *     each connection sends the next request when it has its response (closed loop)
     */
    Result run(long warmMs, long measuredMs, double perSecond, Runnable atBegin) throws InterruptedException {
        intervalNanos = perSecond == 0 ? 0 : (long) (1e9 * connections.size() / perSecond);
        connections.forEach(c -> c.channel.eventLoop().execute(c::begin));
        Thread.sleep(warmMs);
        Histogram measured = histogram();
        failures.set(0);
        times = measured;
        atBegin.run();
        long from = System.nanoTime();
        Thread.sleep(measuredMs);
        times = histogram();
        double seconds = (System.nanoTime() - from) / 1e9;
        long failed = failures.get();
        connections.forEach(c -> c.running = false);
        Histogram snapshot = measured.copy();
        return new Result(snapshot.getTotalCount() / seconds, snapshot, failed);
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
        /** Whether a request is in flight on this connection. */
        private boolean inFlight;

        private long measuredFromNanos;
        private long nextDueNanos;
        /** Due times of requests that wait for the previous response. */
        private final ArrayDeque<Long> dueTimes = new ArrayDeque<>();

        private final StringBuilder head = new StringBuilder();
        private int bodyLeft = -1;
        private boolean succeeded;

        Connection(int number) {
            this.number = number;
        }

        void begin() {
            running = true;
            if (intervalNanos == 0) {
                if (!inFlight) {
                    send(System.nanoTime());
                }
            } else {
                nextDueNanos = System.nanoTime() + intervalNanos * number / connections.size();
                tick();
            }
        }

        private void tick() {
            if (!running) {
                return;
            }
            long now = System.nanoTime();
            for (; nextDueNanos <= now; nextDueNanos += intervalNanos) {
                dueTimes.add(nextDueNanos);
            }
            sendNextDue();
            channel.eventLoop().schedule(this::tick, nextDueNanos - now, TimeUnit.NANOSECONDS);
        }

        private void sendNextDue() {
            if (!inFlight && !dueTimes.isEmpty()) {
                send(dueTimes.poll());
            }
        }

        private void send(long fromNanos) {
            inFlight = true;
            measuredFromNanos = fromNanos;
            long id = IDS.incrementAndGet();
            channel.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: b"
                            + id + "\r\nX-Class: lookup\r\nX-Key: k" + id * 7919 % 1000
                            + "\r\nX-Deadline-Ms: 5000\r\n\r\n",
                    StandardCharsets.US_ASCII));
        }

        /** Reads responses; they have a Content-Length and are not pipelined. */
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
                        succeeded = head.indexOf(" 200 ") > 0;
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
            times.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, now - measuredFromNanos)));
            if (!succeeded) {
                failures.incrementAndGet();
            }
            inFlight = false;
            if (running && intervalNanos == 0) {
                send(now);
            } else {
                sendNextDue();
            }
        }
    }
}
