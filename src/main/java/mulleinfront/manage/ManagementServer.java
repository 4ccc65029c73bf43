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
 * Server of the management endpoint. Management clients are few and may never send a command, so there are at most
 * {@link #MAX_CONNECTIONS} connections: one more closes the oldest, which has had the most time. A connection without a
 * streamed reply is closed after {@link #CONNECTION_TIMEOUT_MS}.
 */
public final class ManagementServer {
    /** Maximum number of connections; each uses a file descriptor that is then not available to clients. */
    public static final int MAX_CONNECTIONS = 8;
    /** Time after which a connection without a streamed reply is closed. */
    static final long CONNECTION_TIMEOUT_MS = 5_000;
    /** Set on a connection with a streamed reply. */
    private static final AttributeKey<Boolean> STREAMING = AttributeKey.valueOf(ManagementServer.class, "streaming");

    private final ArrayDeque<Channel> connections = new ArrayDeque<>();
    private final EventLoop loop;
    private final CommandHandler handler;

    private ManagementServer(EventLoop loop, CommandHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /**
     * Opens the management endpoint.
     *
     * @param loop event loop that owns the state which the commands change
     * @param address address to listen on
     * @param buffers allocator of the connections
     * @param handler executes the commands
     * @return completes when the server listens, or fails if it can't bind the address
     */
    public static ChannelFuture listen(
            EventLoop loop, InetSocketAddress address, ByteBufAllocator buffers, CommandHandler handler) {
        ManagementServer server = new ManagementServer(loop, handler);
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        server.acceptConnection(channel);
                    }
                })
                .bind(address);
    }

    private void acceptConnection(SocketChannel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.poll().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(f -> connections.remove(channel));
        loop.schedule(
                () -> {
                    if (!channel.hasAttr(STREAMING)) {
                        channel.close();
                    }
                },
                CONNECTION_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        addHandlers(channel, handler);
    }

    /** Adds the handlers that read a command from a connection and reply to it. */
    public static void addHandlers(Channel channel, CommandHandler handler) {
        channel.pipeline()
                .addLast(new LineBasedFrameDecoder(CommandHandler.MAX_COMMAND_BYTES), new ConnectionHandler(handler));
    }

    /** Handler of one connection: replies to the first line and ignores all further lines. */
    private static final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final CommandHandler handler;
        private boolean replied;

        ConnectionHandler(CommandHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (replied) {
                return;
            }
            String command = line.toString(StandardCharsets.US_ASCII);
            Runnable onClose = handler.startStream(command, text -> {
                if (ctx.channel().isWritable()) {
                    ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII));
                } else {
                    // The subscriber does not read its reply; lines are not queued for it.
                    ctx.close();
                }
            });
            if (onClose == null) {
                replyAndClose(ctx, handler.execute(command));
                return;
            }
            replied = true;
            ctx.channel().attr(STREAMING).set(true);
            ctx.channel().closeFuture().addListener(f -> onClose.run());
            ctx.writeAndFlush(Unpooled.copiedBuffer("+OK watching\n", StandardCharsets.US_ASCII));
        }

        /** Handles a line that is too long, or a connection that broke. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!replied) {
                replyAndClose(ctx, "-ERR a call has " + CommandHandler.MAX_COMMAND_BYTES + " characters at most");
            }
        }

        private void replyAndClose(ChannelHandlerContext ctx, String reply) {
            replied = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(reply + "\n", StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}
