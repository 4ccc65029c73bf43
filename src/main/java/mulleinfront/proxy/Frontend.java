package mulleinfront.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * What the application connects to. It reads requests, hands those for hosts to the {@link ClientProxy}
 * and writes final answers, one at a time on each connection.
 */
final class Frontend {
    /** Requests that a client may send ahead of its answers; the protocol asks for none. */
    private static final int MOST_AHEAD = 16;
    /**
     * Part of the process's descriptors that clients may hold; further connections wait to be accepted. With
     * an attempt for each, and a quarter idle to hosts, an eighth is left for the rest of the process.
     */
    private static final double CLIENT_SOCKETS = 0.3125;
    /** How long requests go on coming after SIGTERM: 0.4 s at most by the protocol, and some slack. */
    private static final long DRAIN_MS = 600;

    private final ClientProxy proxy;
    private final EventLoop loop;
    private final ChannelGroup clients;
    private final int mostClients;
    private Channel server;
    private boolean draining;

    Frontend(ClientProxy proxy, EventLoop loop, int sockets) {
        this.mostClients = (int) (sockets * CLIENT_SOCKETS);
        this.proxy = proxy;
        this.loop = loop;
        this.clients = new DefaultChannelGroup(loop);
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .childOption(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        admit(ch);
                        ch.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(Upstream.MOST_BODY), new Client(ch));
                    }
                }).bind(address);
        server = bound.channel();
        return bound;
    }

    private void admit(SocketChannel client) {
        clients.add(client);
        client.parent().config().setAutoRead(clients.size() < mostClients);
        client.closeFuture().addListener(f -> client.parent().config().setAutoRead(true));
    }

    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Serves on while requests may come, each answer the last of its connection; then stops listening,
     * closes what is idle and runs {@code done} when the last client has its answer.
     */
    void drain(Runnable done) {
        draining = true;
        loop.schedule(() -> {
            server.close();
            clients.forEach(c -> c.pipeline().get(Client.class).closeIfIdle());
            clients.newCloseFuture().addListener((Future<Void> f) -> done.run());
        }, DRAIN_MS, TimeUnit.MILLISECONDS);
    }

    /** One connection of the application. */
    final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final ArrayDeque<Ahead> ahead = new ArrayDeque<>();
        private boolean busy;
        private boolean keepAlive;
        private ClientProxy.Exchange exchange;

        private record Ahead(FullHttpRequest request, long at) {}

        Client(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest in) {
            if (!busy) {
                handle(in, proxy.now());
            } else if (ahead.size() < MOST_AHEAD) {
                ahead.add(new Ahead(in.retain(), proxy.now()));
            } else {
                ctx.close();
            }
        }

        private void handle(FullHttpRequest in, long at) {
            busy = true;
            boolean bad = in.decoderResult().isFailure();
            keepAlive = !bad && HttpUtil.isKeepAlive(in);
            String path = in.uri().split("\\?", 2)[0];
            if (bad) {
                answer(HttpResponseStatus.BAD_REQUEST);
            } else if (path.equals("/-/ready")) {
                answer(proxy.ready() && !draining ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else if (!path.equals("/api") && !path.startsWith("/api/")) {
                answer(HttpResponseStatus.NOT_FOUND);
            } else {
                exchange = proxy.take(this, in, at);
                if (exchange == null) {
                    answer(HttpResponseStatus.BAD_REQUEST);
                } else {
                    proxy.place(exchange);
                }
            }
        }

        void answer(HttpResponseStatus status) {
            answer(status, ClientProxy.NO_BODY, 0);
        }

        /** The final answer of the request at hand, then on to the next if the client sent ahead. */
        void answer(HttpResponseStatus status, Upstream.Answer what, long retryAfterUs) {
            exchange = null;
            DefaultFullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.wrappedBuffer(what.body()));
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, what.body().length);
            if (what.contentType() != null) {
                out.headers().set(HttpHeaderNames.CONTENT_TYPE, what.contentType());
            }
            if (retryAfterUs > 0) {
                out.headers().set(HttpHeaderNames.RETRY_AFTER,
                        BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString());
            }
            boolean last = !keepAlive || draining && ahead.isEmpty();
            if (last) {
                out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = channel.writeAndFlush(out);
            if (last) {
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            busy = false;
            Ahead next = ahead.poll();
            if (next != null) {
                try {
                    handle(next.request(), next.at());
                } finally {
                    next.request().release();
                }
            }
        }

        void closeIfIdle() {
            if (!busy) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ahead.forEach(a -> a.request().release());
            ahead.clear();
            if (exchange != null) {
                proxy.gone(exchange);
            }
        }

        /** Whatever went wrong costs this connection; what was open on it is the client's to retry. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
