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
 * Sends and receives messages between replicas as HTTP/1.1 POST requests with bodies encoded by {@link Codec}.
 * Raft messages to one replica share a connection, in order, and each is acknowledged with status 204. A forwarded
 * proposal uses its own connection; the response body has the result. Message size, unacknowledged messages and
 * connections are limited.
 *
 * <p>Each Raft message carries the sender's name and its save counter at that time ({@link
 * DiskLog#saveCount}). Every replica records the highest counter received from each other replica, durable with its own
 * next save. A sender with a lower counter has lost state that its earlier messages depended on: its directory is an
 * older copy or empty. Its message is dropped and answered with status 409, on which the sender stops, because it might
 * vote twice in one term.
 */
final class ReplicaTransport implements Peers {
    static final String RAFT_PATH = "/keep/raft";
    static final String PROPOSE_PATH = "/keep/propose";
    static final String SENDER_HEADER = "keeper";
    static final String SAVE_COUNT_HEADER = "keeper-saves";

    /** Maximum body size: fits an append request with 8 entries of the maximum size, or a snapshot part. */
    static final int MAX_BODY_BYTES = 4 << 20;

    private static final int MAX_RESPONSE_BYTES = 4096;
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_UNACKNOWLEDGED = 64;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long RESPONSE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(1);
    private static final long RECONNECT_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ReplicaSettings settings;
    private final EventLoop loop;
    private final DiskLog log;
    private final Map<String, PeerConnection> connections = new HashMap<>();
    private final Map<String, Long> highestSaveCounts = new HashMap<>();
    private final Set<Channel> acceptedChannels = new HashSet<>();
    private final Set<Channel> proposalChannels = new HashSet<>();
    private Replica replica;
    private Channel serverChannel;
    private boolean closed;
    private long bytesSent;

    ReplicaTransport(ReplicaSettings settings, EventLoop loop, DiskLog log) {
        this.settings = settings;
        this.loop = loop;
        this.log = log;
        settings.replicas().forEach((name, address) -> {
            if (!name.equals(settings.name())) {
                connections.put(name, new PeerConnection(name, address));
                highestSaveCounts.put(name, log.highestSaveCount(name));
            }
        });
    }

    /** Binds the listening socket; received messages go to the given replica. */
    void bind(Replica localReplica) throws IOException {
        replica = localReplica;
        InetSocketAddress address = settings.replicas().get(settings.name());
        var bindFuture = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (acceptedChannels.size() >= MAX_CONNECTIONS || closed) {
                            channel.close();
                            return;
                        }
                        acceptedChannels.add(channel);
                        channel.closeFuture().addListener(f -> acceptedChannels.remove(channel));
                        channel.config().setTcpNoDelay(true);
                        channel.pipeline()
                                .addLast(
                                        new SentBytesCounter(),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new PeerRequestHandler());
                    }
                })
                .bind(address);
        if (loop.inEventLoop()) {
            // Binding runs later on this same loop; a failure is reported when it happens.
            bindFuture.addListener(f -> {
                if (!f.isSuccess()) {
                    localReplica.stop(
                            "can't listen on " + address + ": " + f.cause().getMessage());
                }
            });
        } else if (!bindFuture.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    "can't listen on " + address + ": " + bindFuture.cause().getMessage(), bindFuture.cause());
        }
        serverChannel = bindFuture.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    long bytesSent() {
        return bytesSent;
    }

    void close() {
        closed = true;
        serverChannel.close();
        Set.copyOf(acceptedChannels).forEach(Channel::close);
        Set.copyOf(proposalChannels).forEach(Channel::close);
        connections.values().forEach(PeerConnection::disconnect);
    }

    /** Counts the bytes written to the sockets. */
    private final class SentBytesCounter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                bytesSent += bytes.readableBytes();
            }
            ctx.write(message, promise);
        }
    }

    // ---- outgoing messages

    @Override
    public void send(String peer, RaftMessage message) {
        PeerConnection connection = connections.get(peer);
        if (connection != null && !closed) {
            connection.send(Codec.encodeMessage(message));
        }
    }

    @Override
    public boolean reachable(String peer) {
        return connections.containsKey(peer) && connections.get(peer).state == ConnectionState.OPEN;
    }

    @Override
    public void propose(String peer, Proposal proposal, Consumer<VersionLog.ProposalResult> reply) {
        if (closed || !connections.containsKey(peer)) {
            reply.accept(null);
            return;
        }
        ProposalResponseHandler responseHandler = new ProposalResponseHandler(reply);
        var connectFuture = clientBootstrap(responseHandler, MAX_RESPONSE_BYTES)
                .connect(settings.replicas().get(peer));
        proposalChannels.add(connectFuture.channel());
        connectFuture.channel().closeFuture().addListener(f -> {
            proposalChannels.remove(connectFuture.channel());
            responseHandler.finish(null);
        });
        loop.schedule(() -> connectFuture.channel().close(), RESPONSE_TIMEOUT_NS, TimeUnit.NANOSECONDS);
        connectFuture.addListener(f -> {
            if (f.isSuccess()) {
                post(connectFuture.channel(), peer, PROPOSE_PATH, Codec.encodeProposal(proposal));
            } else {
                responseHandler.finish(null);
            }
        });
    }

    private Bootstrap clientBootstrap(SimpleChannelInboundHandler<FullHttpResponse> handler, int maxResponseBytes) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new SentBytesCounter(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(maxResponseBytes),
                                        handler);
                    }
                });
    }

    private void post(Channel channel, String peer, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        InetSocketAddress address = settings.replicas().get(peer);
        request.headers()
                .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(SENDER_HEADER, settings.name())
                .set(SAVE_COUNT_HEADER, log.saveCount());
        channel.writeAndFlush(request);
    }

    /** States of a connection to another replica. */
    private enum ConnectionState {
        DOWN,
        CONNECTING,
        OPEN
    }

    /** The connection for Raft messages to one other replica; the library repeats lost messages. */
    private final class PeerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String peer;
        private final InetSocketAddress address;
        private final ArrayDeque<byte[]> queued = new ArrayDeque<>();
        /** Send times of the unacknowledged messages, in order, from {@link System#nanoTime}. */
        private final ArrayDeque<Long> unacknowledgedSentNanos = new ArrayDeque<>();

        private ConnectionState state = ConnectionState.DOWN;
        private Channel channel;
        private long reconnectAtNanos = System.nanoTime();

        PeerConnection(String peer, InetSocketAddress address) {
            this.peer = peer;
            this.address = address;
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        void send(byte[] body) {
            long now = System.nanoTime();
            if (!unacknowledgedSentNanos.isEmpty() && now - unacknowledgedSentNanos.getFirst() > RESPONSE_TIMEOUT_NS) {
                disconnect();
            }
            switch (state) {
                case OPEN -> {
                    if (unacknowledgedSentNanos.size() < MAX_UNACKNOWLEDGED && channel.isWritable()) {
                        unacknowledgedSentNanos.add(now);
                        post(channel, peer, RAFT_PATH, body);
                    }
                }
                case CONNECTING -> enqueue(body);
                case DOWN -> {
                    if (now - reconnectAtNanos >= 0) {
                        enqueue(body);
                        connect();
                    }
                }
            }
        }

        private void enqueue(byte[] body) {
            if (queued.size() >= MAX_UNACKNOWLEDGED) {
                queued.removeFirst();
            }
            queued.add(body);
        }

        private void connect() {
            state = ConnectionState.CONNECTING;
            var connectFuture = clientBootstrap(this, MAX_RESPONSE_BYTES).connect(address);
            Channel newChannel = connectFuture.channel();
            channel = newChannel;
            newChannel.closeFuture().addListener(f -> onClosed(newChannel));
            connectFuture.addListener(f -> {
                if (!f.isSuccess()) {
                    onClosed(newChannel);
                } else if (channel == newChannel) {
                    state = ConnectionState.OPEN;
                    while (!queued.isEmpty()) {
                        send(queued.removeFirst());
                    }
                }
            });
        }

        /** Resets the state after the connection has ended; the only place that does so. */
        private void onClosed(Channel closedChannel) {
            if (channel == closedChannel) {
                channel = null;
                state = ConnectionState.DOWN;
                queued.clear();
                unacknowledgedSentNanos.clear();
                reconnectAtNanos = System.nanoTime() + RECONNECT_DELAY_NS;
            }
        }

        void disconnect() {
            if (channel != null) {
                Channel oldChannel = channel;
                onClosed(oldChannel);
                oldChannel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel) {
                return;
            }
            unacknowledgedSentNanos.pollFirst();
            if (response.status().equals(HttpResponseStatus.CONFLICT)) {
                stopAsOutdated(peer, response);
            } else if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
                disconnect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void stopAsOutdated(String peer, FullHttpResponse response) {
        replica.stop("keeper " + peer + ": "
                + response.content().toString(StandardCharsets.UTF_8).strip());
    }

    /** Waits for the response to a forwarded proposal and passes it on once. */
    private final class ProposalResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Consumer<VersionLog.ProposalResult> reply;
        private boolean finished;

        ProposalResponseHandler(Consumer<VersionLog.ProposalResult> reply) {
            this.reply = reply;
        }

        void finish(VersionLog.ProposalResult result) {
            if (!finished) {
                finished = true;
                reply.accept(result);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            VersionLog.ProposalResult result = null;
            if (response.status().equals(HttpResponseStatus.OK)) {
                try {
                    result = Codec.decodeProposalResult(ByteBufUtil.getBytes(response.content()));
                } catch (IllegalArgumentException e) {
                    // An invalid body counts as no response.
                }
            }
            finish(result);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---- incoming messages

    /** Handles the HTTP requests of the other replicas: Raft messages and forwarded proposals. */
    private final class PeerRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String sender = request.headers().get(SENDER_HEADER, "");
            if (!request.decoderResult().isSuccess()
                    || !request.method().equals(HttpMethod.POST)
                    || !connections.containsKey(sender)) {
                respondText(ctx, HttpResponseStatus.BAD_REQUEST, "this is for keepers among themselves\n");
                return;
            }
            try {
                long saveCount = Long.parseLong(request.headers().get(SAVE_COUNT_HEADER, ""));
                byte[] body = ByteBufUtil.getBytes(request.content());
                if (request.uri().equals(RAFT_PATH)) {
                    RaftMessage message = Codec.decodeMessage(body);
                    if (!message.getSender().getId().equals(sender)) {
                        throw new IllegalArgumentException(
                                "the sender header names " + sender + ", the message names " + message.getSender());
                    }
                    if (checkSaveCount(ctx, sender, saveCount)) {
                        replica.handle(message);
                        respondText(ctx, HttpResponseStatus.NO_CONTENT, "");
                    }
                } else if (request.uri().equals(PROPOSE_PATH)) {
                    // The save counter is not checked: a proposal has its own connection, so later messages with
                    // a higher counter may overtake it, and it doesn't depend on the sender's Raft state.
                    replica.proposeLocally(
                            Codec.decodeProposal(body),
                            result -> loop.execute(
                                    () -> respond(ctx, HttpResponseStatus.OK, Codec.encodeProposalResult(result))));
                } else {
                    respondText(ctx, HttpResponseStatus.NOT_FOUND, "no such path\n");
                }
            } catch (IllegalArgumentException e) {
                respondText(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage() + "\n");
            }
        }

        /** Checks and records the sender's save counter; answers with status 409 if it is lower than before. */
        private boolean checkSaveCount(ChannelHandlerContext ctx, String sender, long saveCount) {
            long highestSaveCount = highestSaveCounts.get(sender);
            if (saveCount < highestSaveCount) {
                respondText(
                        ctx,
                        HttpResponseStatus.CONFLICT,
                        "you are at save " + saveCount + ", and had told of "
                                + highestSaveCount
                                + ": your directory is an older copy\n");
                return false;
            }
            if (saveCount > highestSaveCount) {
                highestSaveCounts.put(sender, saveCount);
                try {
                    log.recordSaveCount(sender, saveCount);
                } catch (IOException e) {
                    replica.stop(e.getMessage());
                    return false;
                }
            }
            return true;
        }

        private void respondText(ChannelHandlerContext ctx, HttpResponseStatus status, String line) {
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
