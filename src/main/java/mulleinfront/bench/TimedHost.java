package mulleinfront.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A host that says with each answer how long it had the request: all other time was spent on the way. */
final class TimedHost extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * The body is the nanoseconds from the request's last byte to the answer's first, in so many digits: a
     * client proxy passes bodies on as they are, and not every header.
     */
    static final int DIGITS = 12;

    private static final AtomicLong SEEDS = new AtomicLong(1);

    private final long micros;
    private final SplittableRandom random = new SplittableRandom(SEEDS.getAndIncrement());
    private int seen;

    private TimedHost(long micros) {
        this.micros = micros;
    }

    /**
     * Listens.
     *
     * @param micros mean time to an answer, each drawn between half and one and a half of it
     * @return its port
     */
    static int listen(EventLoopGroup group, long micros) throws InterruptedException {
        return ((InetSocketAddress) new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline().addLast(new TimedHost(micros));
                            }
                        })
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    /** Requests have no body here and come one at a time, so each ends with a blank line. */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
        long now = System.nanoTime();
        while (in.isReadable()) {
            byte b = in.readByte();
            seen = b == '\n' ? seen + 1 : b == '\r' ? seen : 0;
            if (seen == 2) {
                seen = 0;
                ctx.executor()
                        .schedule(
                                () -> ctx.writeAndFlush(Unpooled.copiedBuffer(
                                        String.format(
                                                Locale.ROOT,
                                                "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%0" + DIGITS + "d",
                                                DIGITS,
                                                System.nanoTime() - now),
                                        StandardCharsets.US_ASCII)),
                                (long) (micros * (0.5 + random.nextDouble())),
                                TimeUnit.MICROSECONDS);
            }
        }
    }
}
