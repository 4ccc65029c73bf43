package mulleinfront.keep;

import io.microraft.model.message.RaftMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.VersionLog;

/**
 * Messages between keepers: HTTP/1.1 POSTs with {@link Codec}'s bytes. A message of the consensus is answered
 * by 204 when it was taken; those to one keeper go one after the other over one connection. A proposal sent
 * on has a connection of its own, and its answer as the body. All bounded: bytes of a message, messages
 * unanswered, connections.
 *
 * <p>Each message of the consensus names its sender and how many saves that had made when it sent it ({@link DiskLog#saves}).
 * A keeper remembers the greatest number it has heard of each other one, durably with its own next save. One
 * that says less has forgotten what it said: its disk is an older copy, or empty. Its message is dropped and
 * answered by 409, on which it stops: it must not vote again.
 */
final class KeeperWire implements Peers {
    static final String RAFT = "/keep/raft";
    static final String PROPOSE = "/keep/propose";
    static final String SENDER = "keeper";
    static final String SAVES = "keeper-saves";

    /** Bytes of a message's body at most: a batch of 8 of the greatest entries, or a part of a snapshot. */
    static final int BODY_BYTES = 4 << 20;

    private static final int REPLY_BYTES = 4096;
    private static final int MOST_CONNECTIONS = 16;
    private static final int MOST_UNANSWERED = 64;
    private static final int CONNECT_MILLIS = 500;
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ReplicaSettings settings;
    private final EventLoop loop;
    private final DiskLog log;
    private final Map<String, Line> lines = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private final Set<Channel> accepted = new HashSet<>();
    private final Set<Channel> asking = new HashSet<>();
    private Keeper keeper;
    private Channel server;
    private boolean closed;
    private long bytesSent;

    KeeperWire(ReplicaSettings settings, EventLoop loop, DiskLog log) {
        this.settings = settings;
        this.loop = loop;
        this.log = log;
        settings.keepers().forEach((name, address) -> {
            if (!name.equals(settings.name())) {
                lines.put(name, new Line(name, address));
                heard.put(name, log.heard(name));
            }
        });
    }

    /** Listens, and hands on what comes. */
    void bind(Keeper to) throws IOException {
        keeper = to;
        InetSocketAddress address = settings.keepers().get(settings.name());
        var bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (accepted.size() >= MOST_CONNECTIONS || closed) {
                            channel.close();
                            return;
                        }
                        accepted.add(channel);
                        channel.closeFuture().addListener(f -> accepted.remove(channel));
                        channel.config().setTcpNoDelay(true);
                        channel.pipeline()
                                .addLast(
                                        new Counting(),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(BODY_BYTES),
                                        new Serving());
                    }
                })
                .bind(address);
        if (loop.inEventLoop()) {
            // Binding runs on this very loop, later: what goes wrong is told then.
            bound.addListener(f -> {
                if (!f.isSuccess()) {
                    to.stop("can't listen on " + address + ": " + f.cause().getMessage());
                }
            });
        } else if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    "can't listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        server = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    long bytesSent() {
        return bytesSent;
    }

    void close() {
        closed = true;
        server.close();
        Set.copyOf(accepted).forEach(Channel::close);
        Set.copyOf(asking).forEach(Channel::close);
        lines.values().forEach(Line::drop);
    }

    /** Counts what goes to the socket. */
    private final class Counting extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                bytesSent += bytes.readableBytes();
            }
            ctx.write(message, promise);
        }
    }

    // ---- to the others

    @Override
    public void send(String to, RaftMessage message) {
        Line line = lines.get(to);
        if (line != null && !closed) {
            line.send(Codec.message(message));
        }
    }

    @Override
    public boolean reachable(String keeper) {
        return lines.containsKey(keeper) && lines.get(keeper).state == LineState.OPEN;
    }

    @Override
    public void propose(String to, Proposal proposal, Consumer<VersionLog.ProposalResult> reply) {
        if (closed || !lines.containsKey(to)) {
            reply.accept(null);
            return;
        }
        Asking asked = new Asking(reply);
        var connecting = client(asked, REPLY_BYTES).connect(settings.keepers().get(to));
        asking.add(connecting.channel());
        connecting.channel().closeFuture().addListener(f -> {
            asking.remove(connecting.channel());
            asked.finish(null);
        });
        loop.schedule(() -> connecting.channel().close(), SILENT_NANOS, TimeUnit.NANOSECONDS);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                post(connecting.channel(), to, PROPOSE, Codec.proposal(proposal));
            } else {
                asked.finish(null);
            }
        });
    }

    private Bootstrap client(SimpleChannelInboundHandler<FullHttpResponse> handler, int replyBytes) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new Counting(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(replyBytes),
                                        handler);
                    }
                });
    }

    private void post(Channel channel, String to, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        InetSocketAddress address = settings.keepers().get(to);
        request.headers()
                .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(SENDER, settings.name())
                .set(SAVES, log.saves());
        channel.writeAndFlush(request);
    }

    /** What a keeper's connection to another one is doing. */
    private enum LineState {
        DOWN,
        CONNECTING,
        OPEN
    }

    /**
     * The connection over which consensus messages go to one other keeper; lost ones are the library's to
     * repeat.
     */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String to;
        private final InetSocketAddress address;
        private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
        /** When each message that has no answer yet was sent, in order. */
        private final ArrayDeque<Long> unanswered = new ArrayDeque<>();

        private LineState state = LineState.DOWN;
        private Channel channel;
        private long notBefore = System.nanoTime();

        Line(String to, InetSocketAddress address) {
            this.to = to;
            this.address = address;
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        void send(byte[] body) {
            long now = System.nanoTime();
            if (!unanswered.isEmpty() && now - unanswered.getFirst() > SILENT_NANOS) {
                drop();
            }
            switch (state) {
                case OPEN -> {
                    if (unanswered.size() < MOST_UNANSWERED && channel.isWritable()) {
                        unanswered.add(now);
                        post(channel, to, RAFT, body);
                    }
                }
                case CONNECTING -> wait(body);
                case DOWN -> {
                    if (now - notBefore >= 0) {
                        wait(body);
                        connect();
                    }
                }
            }
        }

        private void wait(byte[] body) {
            if (waiting.size() >= MOST_UNANSWERED) {
                waiting.removeFirst();
            }
            waiting.add(body);
        }

        private void connect() {
            state = LineState.CONNECTING;
            var connecting = client(this, REPLY_BYTES).connect(address);
            Channel mine = connecting.channel();
            channel = mine;
            mine.closeFuture().addListener(f -> lost(mine));
            connecting.addListener(f -> {
                if (!f.isSuccess()) {
                    lost(mine);
                } else if (channel == mine) {
                    state = LineState.OPEN;
                    while (!waiting.isEmpty()) {
                        send(waiting.removeFirst());
                    }
                }
            });
        }

        /** The one place where a connection ends. */
        private void lost(Channel which) {
            if (channel == which) {
                channel = null;
                state = LineState.DOWN;
                waiting.clear();
                unanswered.clear();
                notBefore = System.nanoTime() + RECONNECT_NANOS;
            }
        }

        void drop() {
            if (channel != null) {
                Channel mine = channel;
                lost(mine);
                mine.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel) {
                return;
            }
            unanswered.pollFirst();
            if (response.status().equals(HttpResponseStatus.CONFLICT)) {
                forgot(to, response);
            } else if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
                drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void forgot(String by, FullHttpResponse response) {
        keeper.stop("keeper " + by + ": "
                + response.content().toString(StandardCharsets.UTF_8).strip());
    }

    /** A proposal sent on, until its one reply. */
    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Consumer<VersionLog.ProposalResult> reply;
        private boolean finished;

        Asking(Consumer<VersionLog.ProposalResult> reply) {
            this.reply = reply;
        }

        void finish(VersionLog.ProposalResult answer) {
            if (!finished) {
                finished = true;
                reply.accept(answer);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            VersionLog.ProposalResult answer = null;
            if (response.status().equals(HttpResponseStatus.OK)) {
                try {
                    answer = Codec.answer(ByteBufUtil.getBytes(response.content()));
                } catch (IllegalArgumentException e) {
                    // Not an answer: as if none had come.
                }
            }
            finish(answer);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---- from the others

    /** Handles the HTTP requests of the other keepers: Raft messages and forwarded proposals. */
    private final class Serving extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String sender = request.headers().get(SENDER, "");
            if (!request.decoderResult().isSuccess()
                    || !request.method().equals(HttpMethod.POST)
                    || !lines.containsKey(sender)) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "this is for keepers among themselves\n");
                return;
            }
            try {
                long saves = Long.parseLong(request.headers().get(SAVES, ""));
                byte[] body = ByteBufUtil.getBytes(request.content());
                if (request.uri().equals(RAFT)) {
                    RaftMessage message = Codec.message(body);
                    if (!message.getSender().getId().equals(sender)) {
                        throw new IllegalArgumentException("sent by " + sender + ", from " + message.getSender());
                    }
                    if (remembers(ctx, sender, saves)) {
                        keeper.handle(message);
                        answer(ctx, HttpResponseStatus.NO_CONTENT, "");
                    }
                } else if (request.uri().equals(PROPOSE)) {
                    // On a connection of its own it may be overtaken by what was sent after it, with more saves;
                    // and it promises nothing.
                    keeper.proposeHere(
                            Codec.proposal(body),
                            a -> loop.execute(() -> respond(ctx, HttpResponseStatus.OK, Codec.answer(a))));
                } else {
                    answer(ctx, HttpResponseStatus.NOT_FOUND, "no such path\n");
                }
            } catch (IllegalArgumentException e) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage() + "\n");
            }
        }

        /** Whether a sender knows all that it has said; if not, it is told so. */
        private boolean remembers(ChannelHandlerContext ctx, String sender, long saves) {
            long before = heard.get(sender);
            if (saves < before) {
                answer(
                        ctx,
                        HttpResponseStatus.CONFLICT,
                        "you are at save " + saves + ", and had told of "
                                + before
                                + ": your directory is an older copy\n");
                return false;
            }
            if (saves > before) {
                heard.put(sender, saves);
                try {
                    log.heard(sender, saves);
                } catch (IOException e) {
                    keeper.stop(e.getMessage());
                    return false;
                }
            }
            return true;
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String line) {
            respond(ctx, status, line.getBytes(StandardCharsets.UTF_8));
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
