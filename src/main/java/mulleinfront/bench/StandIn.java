package mulleinfront.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Minimal stand-in servers that respond to every request after a delay, and a minimal byte relay. */
final class StandIn {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    private StandIn() {}

    private static int listen(EventLoopGroup group, ChannelHandler connection) throws InterruptedException {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(connection)
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    private static ChannelInitializer<SocketChannel> initializer(java.util.function.Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(handler.get());
            }
        };
    }

    /**
     * Starts a server.
     *
     * @param micros mean response time; each is drawn from 0.5 to 1.5 times the mean; 0 to respond at once
     * @return the port
     */
    static int server(EventLoopGroup group, long micros) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(1);
        return listen(group, initializer(() -> new SimpleChannelInboundHandler<ByteBuf>() {
            private final SplittableRandom connectionRandom = split(random);
            private int lineEnds;

            /** Counts requests; they have no body, so each ends with a blank line. */
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
                int responses = 0;
                while (in.isReadable()) {
                    byte next = in.readByte();
                    lineEnds = next == '\n' ? lineEnds + 1 : next == '\r' ? lineEnds : 0;
                    if (lineEnds == 2) {
                        responses++;
                        lineEnds = 0;
                    }
                }
                for (; responses > 0; responses--) {
                    if (micros == 0) {
                        ctx.write(Unpooled.wrappedBuffer(RESPONSE));
                    } else {
                        ctx.executor()
                                .schedule(
                                        () -> ctx.writeAndFlush(Unpooled.wrappedBuffer(RESPONSE)),
                                        (long) (micros * (0.5 + connectionRandom.nextDouble())),
                                        TimeUnit.MICROSECONDS);
                    }
                }
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext ctx) {
                ctx.flush();
            }
        }));
    }

    private static synchronized SplittableRandom split(SplittableRandom random) {
        return random.split();
    }

    /** Starts a byte relay to a port, with one onward connection for each accepted one; returns the relay's port. */
    static int relay(EventLoopGroup group, int targetPort) throws InterruptedException {
        return listen(group, initializer(() -> new ForwardingHandler() {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.channel().config().setAutoRead(false);
                ForwardingHandler back = new ForwardingHandler();
                back.other = ctx.channel();
                other = new Bootstrap()
                        .group(ctx.channel().eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(back)
                        .connect(InetAddress.getLoopbackAddress(), targetPort)
                        .addListener(f -> ctx.channel().config().setAutoRead(true))
                        .channel();
            }
        }));
    }

    /** One direction of a relay: forwards bytes and the close of this channel to the other channel. */
    private static class ForwardingHandler extends ChannelInboundHandlerAdapter {
        Channel other;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            other.write(in);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            other.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            other.close();
        }
    }
}
