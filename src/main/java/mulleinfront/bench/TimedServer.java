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

/**
 * A stand-in server that reports its processing time in each response; the rest of the latency was spent in transit.
 */
final class TimedServer extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * Length of the body, which is the time from the request's last byte to the response's first in nanoseconds. It is
     * in the body because a client proxy passes bodies on unchanged, but not every header.
     */
    static final int BODY_DIGITS = 12;

    private static final AtomicLong SEEDS = new AtomicLong(1);

    private final long micros;
    private final SplittableRandom random = new SplittableRandom(SEEDS.getAndIncrement());
    private int lineEnds;

    private TimedServer(long micros) {
        this.micros = micros;
    }

    /**
     * Starts a server.
     *
     * @param micros mean processing time; each is drawn from 0.5 to 1.5 times the mean
     * @return the port
     */
    static int listen(EventLoopGroup group, long micros) throws InterruptedException {
        return ((InetSocketAddress) new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline().addLast(new TimedServer(micros));
                            }
                        })
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    /** Reads requests; they have no body and are not pipelined, so each ends with a blank line. */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
        long now = System.nanoTime();
        while (in.isReadable()) {
            byte next = in.readByte();
            lineEnds = next == '\n' ? lineEnds + 1 : next == '\r' ? lineEnds : 0;
            if (lineEnds == 2) {
                lineEnds = 0;
                ctx.executor()
                        .schedule(
                                () -> ctx.writeAndFlush(Unpooled.copiedBuffer(
                                        String.format(
                                                Locale.ROOT,
                                                "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%0" + BODY_DIGITS + "d",
                                                BODY_DIGITS,
                                                System.nanoTime() - now),
                                        StandardCharsets.US_ASCII)),
                                (long) (micros * (0.5 + random.nextDouble())),
                                TimeUnit.MICROSECONDS);
            }
        }
    }
}
