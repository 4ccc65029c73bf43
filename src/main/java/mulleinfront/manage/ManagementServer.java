package mulleinfront.manage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Where operators call. Callers are few and may say nothing, so there is room for {@link #MOST} of them: one more ends
 * the oldest, which has had the most time, and none stays longer than {@link #PATIENCE_MS}.
 */
public final class ManagementServer {
    /** Connections at most; each is a descriptor that clients can't have. */
    public static final int MOST = 8;
    /** Longest stay of a caller, milliseconds. */
    static final long PATIENCE_MS = 5_000;
    /** A caller whose answer goes on. */
    private static final AttributeKey<Boolean> READS_ON = AttributeKey.valueOf(ManagementServer.class, "reads on");

    private final ArrayDeque<Channel> callers = new ArrayDeque<>();
    private final EventLoop loop;
    private final CommandHandler calls;

    private ManagementServer(EventLoop loop, CommandHandler calls) {
        this.loop = loop;
        this.calls = calls;
    }

    /**
     * Listens.
     *
     * @param loop the thread that owns what the calls change
     * @return done when it listens, or failed if the address can't be had
     */
    public static ChannelFuture listen(
            EventLoop loop, InetSocketAddress address, ByteBufAllocator buffers, CommandHandler calls) {
        ManagementServer server = new ManagementServer(loop, calls);
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        server.admit(ch);
                    }
                })
                .bind(address);
    }

    private void admit(SocketChannel ch) {
        if (callers.size() >= MOST) {
            callers.poll().close();
        }
        callers.add(ch);
        ch.closeFuture().addListener(f -> callers.remove(ch));
        loop.schedule(
                () -> {
                    if (!ch.hasAttr(READS_ON)) {
                        ch.close();
                    }
                },
                PATIENCE_MS,
                TimeUnit.MILLISECONDS);
        answerOn(ch, calls);
    }

    /** Makes a connection one that carries a call. */
    public static void answerOn(Channel channel, CommandHandler calls) {
        channel.pipeline().addLast(new LineBasedFrameDecoder(CommandHandler.LONGEST), new Caller(calls));
    }

    /** One connection: the first line is answered, what follows it is not read. */
    private static final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private final CommandHandler calls;
        private boolean told;

        Caller(CommandHandler calls) {
            this.calls = calls;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (told) {
                return;
            }
            String call = line.toString(StandardCharsets.US_ASCII);
            Runnable end = calls.begin(call, more -> {
                if (ctx.channel().isWritable()) {
                    ctx.writeAndFlush(Unpooled.copiedBuffer(more + "\n", StandardCharsets.US_ASCII));
                } else {
                    // Whoever does not read what it asked for is not waited for.
                    ctx.close();
                }
            });
            if (end == null) {
                tell(ctx, calls.answer(call));
                return;
            }
            told = true;
            ctx.channel().attr(READS_ON).set(true);
            ctx.channel().closeFuture().addListener(f -> end.run());
            ctx.writeAndFlush(Unpooled.copiedBuffer("+OK watching\n", StandardCharsets.US_ASCII));
        }

        /** A line that is too long, or a connection that broke. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!told) {
                tell(ctx, "-ERR a call has " + CommandHandler.LONGEST + " characters at most");
            }
        }

        private void tell(ChannelHandlerContext ctx, String answer) {
            told = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}
