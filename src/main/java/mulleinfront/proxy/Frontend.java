package mulleinfront.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.concurrent.Future;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mulleinfront.core.Core;
import mulleinfront.core.EnumCounts;
import mulleinfront.core.LifecycleState;
import mulleinfront.core.Metrics;
import mulleinfront.core.Metrics.Close;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.RuleGuard;
import mulleinfront.manage.CommandHandler;
import mulleinfront.manage.ManagementServer;
import mulleinfront.settings.Version;

/**
 * What the application connects to. It reads requests, hands those for hosts to the {@link ClientProxy}
 * and writes final answers, one at a time on each connection. Nothing that a client sends, or does not send,
 * may cost more than its own connection.
 */
final class Frontend {
    /**
     * What is held of a client that it sends ahead of its answers, bytes; and of all clients together. Reading goes on
     * beyond that, since a client's leaving shows behind all that it sent: but that is dropped, and refused in its turn.
     */
    private static final int MOST_AHEAD_BYTES = 16 * Framing.MOST_BODY;

    private static final int MOST_HELD = 8 * 1024 * 1024;
    private static final int READ_BYTES = 8 * 1024;
    /** Connections that the system accepts for us before we do. */
    private static final int BACKLOG = 1024;
    /** What a request that waits takes besides its body, about. */
    private static final int HEAD_BYTES = 1024;
    /**
     * A connection without an open request ends after this long: the protocol allows it after 2 s, and a
     * client that says nothing or never gets to the end of a request is owed an end within 3 s.
     */
    private static final long QUIET_MS = 2_300;

    private static final long SWEEP_MS = 100;
    /** How long new connections go on coming after SIGTERM: 0.4 s at most by the protocol, and some slack. */
    private static final long LISTEN_ON_MS = 480;
    /** And how long requests do: a connection that was accepted last has had time for its first. */
    private static final long DRAIN_MS = 650;
    /**
     * And a request that has begun to come: as long as its pieces come no further apart than this, and this long. The
     * sooner a process ends, the sooner another is started in its place.
     */
    private static final long HALF_WAY_MS = 450;

    private static final long LAST_READ_MS = 700;
    /** While clients are sent away one that asks nothing is closed on after this: what crosses it is rare by then. */
    private static final long SENT_AWAY_MS = 400;
    /** Time for a head from its first byte; a body has {@link #QUIET_MS} from one piece to the next. */
    private static final long HEAD_MS = 2_600;
    /** A body or an answer that goes on while it comes ends when nothing of it has moved for this long. */
    private static final long STALLED_MS = 10_000;
    /** The same of an answer whose client's time is up: half a second after that it is lost, and a cut tells it before. */
    private static final long LATE_STALLED_MS = 300;
    /**
     * How long what a client still sends is read and dropped after its last answer: closing over it would reset the
     * connection, and the answer with it. At the end of the process there is less time for that.
     */
    private static final long LINGER_MS = 1_000;

    private static final long LAST_LINGER_MS = 250;
    /** A kit of another version must not judge this one. */
    private static final String VERSION = Version.HEADER + ": " + Version.OWN + "\r\n";

    private final ClientProxy proxy;
    private final EventLoop loop;
    private final ChannelGroup clients;
    private final int mostClients;
    private final EnumCounts<Close> closes;
    private final RuleGuard guard;
    /** Connections without an open request, the longest quiet first. */
    private final LinkedHashSet<Client> quiet = new LinkedHashSet<>();
    /** Those on which nothing more is said, until the client has closed as well; the first to part first. */
    private final LinkedHashSet<Client> parting = new LinkedHashSet<>();
    /** Those whose request or answer is going on while it comes. */
    private final LinkedHashSet<Client> flowing = new LinkedHashSet<>();

    private long held;
    private final LoopStall stall = new LoopStall(TimeUnit.MILLISECONDS.toMicros(SWEEP_MS), System.nanoTime());
    private final LifecycleState standing;
    private ClientChannel.Listener server;
    private boolean sweeping;
    private boolean deaf;
    private boolean shut;
    private long lastReadNanos;
    private long lastAnswerNanos;

    Frontend(ClientProxy proxy, LifecycleState standing, EventLoop loop, int mostClients, Metrics metrics) {
        this.closes = metrics.clientCloses;
        this.guard = metrics.guard;
        this.mostClients = mostClients;
        this.proxy = proxy;
        this.standing = standing;
        this.loop = loop;
        this.clients = new DefaultChannelGroup(loop);
    }

    /**
     * Listens.
     *
     * @param shared whether others listen there too, each with its own part of the connections
     * @param door the operators' who may call there too, since it is their address; null if it is not
     */
    ChannelFuture listen(InetSocketAddress address, boolean shared, CommandHandler.Process door) {
        ServerBootstrap server = bootstrap(door).channelFactory(() -> new ClientChannel.Listener(null, this::hold));
        if (shared) {
            server.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture bound = server.bind(address);
        this.server = (ClientChannel.Listener) bound.channel();
        return bound;
    }

    /** Accepts on a socket that listens already. */
    void adopt(ServerSocketChannel listening) {
        server = (ClientChannel.Listener) bootstrap(null)
                .channelFactory(() -> new ClientChannel.Listener(listening, this::hold))
                .register()
                .channel();
    }

    private ServerBootstrap bootstrap(CommandHandler.Process door) {
        if (!sweeping) {
            sweeping = true;
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
        return new ServerBootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Upstream.WAITING)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        if (door == null) {
                            serve(ch);
                        } else {
                            clients.add(ch);
                            ch.pipeline().addLast(new Divide(door));
                        }
                    }
                });
    }

    private void serve(Channel ch) {
        Client client = new Client(ch);
        ch.pipeline().addLast(new Framing.RequestDecoder(client::heard), client);
        admit(ch, client);
    }

    /** Tells operators from the rehearsal's own requests: a method has capitals, a call has none. */
    private final class Divide extends ByteToMessageDecoder {
        private final CommandHandler.Process door;

        Divide(CommandHandler.Process door) {
            this.door = door;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (Character.isUpperCase(in.getByte(in.readerIndex()))) {
                serve(ctx.channel());
            } else {
                ManagementServer.answerOn(ctx.channel(), new CommandHandler(door));
            }
            ctx.pipeline().remove(this);
        }
    }

    /**
     * At the most, one that has had its last answer makes room, or the longest quiet one; where all have a request
     * open, a new one must wait.
     */
    private void admit(Channel ch, Client client) {
        LinkedHashSet<Client> spare = parting.isEmpty() ? quiet : parting;
        if (clients.size() >= mostClients && !spare.isEmpty()) {
            Client longest = spare.iterator().next();
            spare.remove(longest);
            longest.close(Close.NO_ROOM);
        }
        clients.add(ch);
        client.hush();
        ch.closeFuture().addListener(f -> acceptIfRoom(ch));
    }

    private void acceptIfRoom(Channel client) {
        client.parent().config().setAutoRead(clients.size() < mostClients || !quiet.isEmpty() || !parting.isEmpty());
    }

    private void sweep() {
        long now = System.nanoTime();
        stall.tick(now);
        for (Client c : quiet.toArray(Client[]::new)) {
            if (c.overdue(now)) {
                c.tooLong();
            }
        }
        for (Client c : flowing.toArray(Client[]::new)) {
            c.endIfStalled(now);
        }
        long longAgo = now - TimeUnit.MILLISECONDS.toNanos(deaf ? LAST_LINGER_MS : LINGER_MS);
        for (Client c; !parting.isEmpty() && (c = parting.iterator().next()).quietAt - longAgo < 0; ) {
            parting.remove(c);
            c.close(Close.NOT_REUSABLE);
        }
    }

    private void hold(int bytes) {
        held += bytes;
    }

    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Serves on while requests may come, each answer the last of its connection; then stops listening and
     * reading, closes what is idle and runs {@code done} when the last client has its answer.
     */
    void drain(Runnable done) {
        standing.ending();
        lastAnswerNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(proxy.ending());
        // The last call is no timer of its own: what was accepted just now by a loop that had stood still is read
        // first.
        Runnable closed = () -> loop.schedule(() -> lastCall(done), DRAIN_MS - LISTEN_ON_MS, TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    if (server == null) {
                        closed.run();
                    } else {
                        server.closeAfterAll(BACKLOG, closed);
                    }
                },
                LISTEN_ON_MS,
                TimeUnit.MILLISECONDS);
    }

    private void lastCall(Runnable done) {
        deaf = true;
        lastReadNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_READ_MS);
        clients.forEach(c -> c.pipeline().get(Client.class).lastCall());
        clients.newCloseFuture().addListener((Future<Void> f) -> done.run());
    }

    /** Closes at once, the listener and all that it accepted. */
    void close() {
        shut = true;
        if (server != null) {
            server.close();
        }
        clients.close();
    }

    /** One connection of the application. */
    final class Client extends SimpleChannelInboundHandler<HttpObject>
            implements ResponseHandler<Call, Upstream.Answer> {
        private final ClientChannel channel;
        private final ArrayDeque<Ahead> ahead = new ArrayDeque<>();
        private int aheadBytes;
        /** What of these is the rest of the open request, until somebody takes it. */
        private int uploadBytes;
        /** The rest of the open request, and of its answer, while they go on as they come. */
        private Flow upload;

        private Flow download;
        /** When its client's time is up, microseconds on the proxy's clock. */
        private long downloadDue;
        /** The request being read, its body so far, and whether the client waits to be told to send it. */
        private HttpRequest head;

        private ByteBuf body;
        private long bodyBytes;
        /** Too much was sent ahead for it to be held: its body is dropped. */
        private boolean shed;

        private boolean expects;
        /** Set by what can't be read: nothing after it is. */
        private boolean lost;

        private boolean busy;
        private boolean pumping;
        private boolean keepAlive;
        private boolean old;
        private boolean closed;
        /** When the connection last made progress: an answer was given or a byte of a request read. */
        private long quietAt;
        /** When the first byte of the request being read came; 0 if nothing of one has. */
        private long startedAt;

        private Core.RequestHandle<Call, Upstream.Answer> exchange;

        /** A request as read; or what is to be said of one that can't be, or of so many that were too much. */
        private record Ahead(HttpRequest head, byte[] body, long at, HttpResponseStatus error, int shed) {
            static Ahead unreadable(HttpResponseStatus error) {
                return new Ahead(null, Framing.NO_BYTES, 0, error, 0);
            }

            static Ahead tooMany(int count) {
                return new Ahead(null, Framing.NO_BYTES, 0, null, count);
            }
        }

        Client(Channel channel) {
            this.channel = (ClientChannel) channel;
        }

        // ---- reading ---------------------------------------------------------------------------------

        /** Bytes came, whatever they are. */
        void heard() {
            long now = System.nanoTime();
            startedAt = startedAt == 0 ? now : startedAt;
            if (quiet.remove(this)) {
                quietAt = now;
                quiet.add(this);
            } else if (upload != null) {
                quietAt = now;
            }
        }

        /** Whether it has said nothing, or not enough, for too long. */
        private boolean overdue(long now) {
            long silent = TimeUnit.NANOSECONDS.toMillis(now - quietAt);
            if (busy) {
                // Its answer is on the way, and it does not read it.
                return silent > QUIET_MS || deaf && now > lastAnswerNanos;
            }
            if (deaf) {
                // Whoever still writes may get to the end of it, for a moment; who has stopped half way never will.
                return startedAt == 0 || silent > HALF_WAY_MS || now > lastReadNanos;
            }
            if (startedAt == 0) {
                return silent > (standing.closesConnections() ? SENT_AWAY_MS : QUIET_MS);
            }
            return silent > QUIET_MS || head == null && TimeUnit.NANOSECONDS.toMillis(now - startedAt) > HEAD_MS;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) {
            if (lost) {
                return;
            }
            if (in.decoderResult().isFailure()) {
                Throwable why = in.decoderResult().cause();
                unreadable(
                        why instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : why instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (in instanceof HttpRequest request) {
                begin(request);
            }
            if (in instanceof HttpContent content && !lost) {
                append(content.content());
                if (in instanceof LastHttpContent && !lost) {
                    end();
                }
            }
        }

        private void begin(HttpRequest request) {
            String expected = request.headers().get(HttpHeaderNames.EXPECT);
            expects = expected != null;
            if (!Framing.sound(request)) {
                unreadable(HttpResponseStatus.BAD_REQUEST);
            } else if (Framing.tooLong(request.headers())) {
                unreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (expects && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                unreadable(HttpResponseStatus.EXPECTATION_FAILED);
            } else {
                head = request;
                body = null;
                bodyBytes = 0;
                shed = false;
                goAhead();
            }
        }

        /** Tells a client that asks first to send its body, once it is its turn. */
        private void goAhead() {
            if (expects && head != null && !busy) {
                expects = false;
                channel.writeAndFlush(
                        Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII));
            }
        }

        private void append(ByteBuf more) {
            if (!more.isReadable()) {
                return;
            }
            bodyBytes += more.readableBytes();
            if (bodyBytes > Flow.MOST) {
                tooMuch();
            } else if (upload != null) {
                if (!upload.given()) {
                    uploadBytes += more.readableBytes();
                    hold(more.readableBytes());
                    if (held >= MOST_HELD) {
                        channel.config().setAutoRead(false);
                    }
                }
                upload.put(more.retain());
            } else if (!shed) {
                body = body == null ? Upstream.BUFFERS.buffer(more.readableBytes()) : body;
                hold(more.readableBytes());
                body.writeBytes(more);
                goOn();
                shedIfTooMuch();
            }
        }

        /** Whether the request being read is beyond what is held of one that has to wait for its turn. */
        private boolean shedIfTooMuch() {
            if (!shed && busy && upload == null && (aheadBytes >= MOST_AHEAD_BYTES || held >= MOST_HELD)) {
                shed = true;
                if (body != null) {
                    hold(-body.readableBytes());
                    body = null;
                }
            }
            return shed;
        }

        /** A body that only shows how large it is as it comes: its request has not come in whole, so none has run. */
        private void tooMuch() {
            if (upload == null) {
                unreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else {
                giveUp(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            }
        }

        /** Once it is its turn, a body that is too large to be held goes on while it comes. */
        private void goOn() {
            if (!busy && head != null && body != null && body.readableBytes() > Framing.MOST_BODY && ahead.isEmpty()) {
                byte[] first = takeBody();
                hold(-first.length);
                upload = new Flow(Framing.length(head.headers()), MOST_AHEAD_BYTES, this::readFlow);
                flowing.add(this);
                handle(new Ahead(head, first, cameAt(), null, 0), upload);
            }
        }

        /** When what has just been read may have come, microseconds on the clock of the client proxy. */
        private long cameAt() {
            return proxy.now() - stall.ageUs(System.nanoTime());
        }

        /** Reading follows whoever takes the body; until somebody does it goes on up to what is held of one client. */
        private void readFlow(boolean on) {
            if (upload != null && upload.given()) {
                uploadTaken();
            }
            channel.config().setAutoRead(on);
            quietAt = System.nanoTime();
        }

        private void uploadTaken() {
            hold(-uploadBytes);
            uploadBytes = 0;
        }

        private byte[] takeBody() {
            byte[] whole = body == null ? Framing.NO_BYTES : new byte[body.readableBytes()];
            if (body != null) {
                body.readBytes(whole);
                body = null;
            }
            return whole;
        }

        private void endUpload() {
            Flow ended = upload;
            upload = null;
            head = null;
            startedAt = 0;
            if (download == null) {
                flowing.remove(this);
            }
            if (exchange != null) {
                proxy.whole(exchange);
            }
            ended.end(true);
            readOn();
        }

        /** Ends an open request whose client does not do its part. */
        private void giveUp(HttpResponseStatus status) {
            Core.RequestHandle<Call, Upstream.Answer> x = exchange;
            answer(status);
            if (x != null) {
                proxy.gone(x);
            }
        }

        private void endIfStalled(long now) {
            long still = TimeUnit.NANOSECONDS.toMillis(now - quietAt);
            if (upload != null && download == null && channel.config().isAutoRead() && still > QUIET_MS) {
                giveUp(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (download != null && still > LATE_STALLED_MS && proxy.now() > downloadDue) {
                cutOff();
            } else if (still > STALLED_MS) {
                close(Close.STALLED);
            }
        }

        private void end() {
            if (upload != null) {
                endUpload();
                return;
            }
            boolean tooMany = shedIfTooMuch();
            byte[] whole = takeBody();
            HttpRequest request = head;
            head = null;
            startedAt = 0;
            if (tooMany) {
                boolean another = !ahead.isEmpty() && ahead.peekLast().shed() > 0;
                ahead.add(Ahead.tooMany(another ? ahead.pollLast().shed() + 1 : 1));
            } else {
                hold(HEAD_BYTES);
                ahead.add(new Ahead(request, whole, cameAt(), null, 0));
            }
            pump();
        }

        /** The last that is read of this client: what it sent before is served, then it is told. */
        private void unreadable(HttpResponseStatus error) {
            lost = true;
            head = null;
            ahead.add(Ahead.unreadable(error));
            pump();
        }

        private void hold(int bytes) {
            aheadBytes += bytes;
            Frontend.this.hold(bytes);
        }

        /** Once nothing more is taken of a client, all that it sends is read and dropped. */
        private void readOn() {
            if (upload == null) {
                lost |= deaf && startedAt == 0;
                channel.config().setAutoRead(true);
            }
        }

        // ---- answering -------------------------------------------------------------------------------

        /** Takes up requests in their order while none is open. */
        private void pump() {
            if (pumping) {
                return;
            }
            pumping = true;
            while (!busy && !ahead.isEmpty() && channel.isActive()) {
                Ahead next = ahead.poll();
                if (next.shed() > 1) {
                    ahead.addFirst(Ahead.tooMany(next.shed() - 1));
                }
                hold(next.head() == null ? 0 : -next.body().length - HEAD_BYTES);
                handle(next, null);
            }
            pumping = false;
            goAhead();
            goOn();
            readOn();
        }

        private void handle(Ahead next, Flow rest) {
            busy = true;
            quiet.remove(this);
            HttpRequest in = next.head();
            keepAlive = in == null ? next.shed() > 0 : HttpUtil.isKeepAlive(in);
            old = in != null && in.protocolVersion().equals(HttpVersion.HTTP_1_0);
            int query = in == null ? -1 : in.uri().indexOf('?');
            String path = in == null ? "" : query < 0 ? in.uri() : in.uri().substring(0, query);
            if (next.shed() > 0) {
                refused(proxy.comeBackUs());
            } else if (in == null) {
                answer(next.error());
            } else if (path.equals("/-/ready")) {
                answer(
                        standing.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        ClientProxy.NO_BODY,
                        0,
                        VERSION);
            } else if (!path.equals("/api") && !path.startsWith("/api/")) {
                answer(HttpResponseStatus.NOT_FOUND);
            } else {
                proxy.take(this, in, next.body(), rest, next.at());
            }
        }

        /** The request at hand is open until {@link #answer}. */
        @Override
        public void opened(Core.RequestHandle<Call, Upstream.Answer> exchange) {
            this.exchange = exchange;
        }

        @Override
        public boolean stillWaiting() {
            if (!channel.left()) {
                return true;
            }
            exchange = null;
            close(Close.BY_PEER);
            return false;
        }

        @Override
        public void served(Upstream.Answer answer) {
            answer(HttpResponseStatus.OK, answer, 0);
        }

        /** The rest goes on at the client's pace; where it breaks off, so does the connection, before any end of it. */
        @Override
        public void responseStarted(Upstream.Answer answer) {
            boolean last = isLast();
            boolean chunked = answer.rest().length() < 0 && !old;
            boolean untilClose = answer.rest().length() < 0 && old;
            Flow rest = answer.rest();
            download = rest;
            downloadDue = proxy.timeOf(exchange);
            flowing.add(this);
            quietAt = System.nanoTime();
            ByteBuf first = Unpooled.wrappedBuffer(answer.body());
            channel.writeAndFlush(Unpooled.wrappedBuffer(
                    Framing.whole(
                            Framing.NO_BYTES,
                            head(
                                    HttpResponseStatus.OK,
                                    chunked
                                            ? "transfer-encoding: chunked\r\n"
                                            : untilClose ? "" : "content-length: " + rest.length() + "\r\n",
                                    answer,
                                    0,
                                    "",
                                    last || untilClose),
                            Framing.NO_BYTES),
                    chunked && first.isReadable() ? Framing.chunk(first) : first));
            rest.to(new Flow.Sink() {
                @Override
                public void piece(ByteBuf piece) {
                    quietAt = System.nanoTime();
                    channel.writeAndFlush(chunked ? Framing.chunk(piece) : piece);
                    if (!channel.isWritable()) {
                        rest.want(false);
                    }
                }

                @Override
                public void end(boolean whole) {
                    download = null;
                    exchange = null;
                    if (upload == null) {
                        flowing.remove(Client.this);
                    }
                    if (!whole) {
                        cutOff();
                        return;
                    }
                    stopUpload();
                    boolean close = last || untilClose || lost;
                    hush();
                    channel.writeAndFlush(chunked ? Framing.lastChunk() : Unpooled.EMPTY_BUFFER)
                            .addListener(written -> next(close || !written.isSuccess()));
                }
            });
        }

        /** A reset, which no client can take for the end of an answer. */
        private void cutOff() {
            if (channel.isOpen()) {
                ((SocketChannel) channel).config().setSoLinger(0);
            }
            close(Close.STALLED);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (download != null) {
                quietAt = System.nanoTime();
                download.want(channel.isWritable());
            }
        }

        /** Its request is answered before it has come in whole: nothing more of this connection can be read. */
        private boolean stopUpload() {
            if (upload == null) {
                return false;
            }
            Flow cut = upload;
            upload = null;
            head = null;
            lost = true;
            flowing.remove(this);
            cut.stop();
            return true;
        }

        /** In a crowd nobody keeps what others wait for: clients may hold only so many connections as well. */
        private boolean isLast() {
            return !keepAlive
                    || ahead.isEmpty()
                            && (standing.closesConnections() || clients.size() - parting.size() > mostClients / 2);
        }

        @Override
        public void refused(long retryAfterUs) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientProxy.NO_BODY, retryAfterUs);
        }

        @Override
        public void failed(boolean timeUp) {
            answer(timeUp ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY);
        }

        void answer(HttpResponseStatus status) {
            answer(status, ClientProxy.NO_BODY, 0);
        }

        /** The final answer of the request at hand; the next has its turn when this one is written. */
        void answer(HttpResponseStatus status, Upstream.Answer what, long retryAfterUs) {
            answer(status, what, retryAfterUs, "");
        }

        private void answer(HttpResponseStatus status, Upstream.Answer what, long retryAfterUs, String lines) {
            exchange = null;
            boolean cut = stopUpload();
            boolean last = isLast() || cut;
            ByteBuf out = encode(status, what, retryAfterUs, lines, last);
            hush();
            channel.writeAndFlush(out).addListener(written -> next(last || !written.isSuccess()));
        }

        /** The final answer is written: what was sent ahead has its turn. */
        private void next(boolean last) {
            if (last) {
                part();
            } else {
                uploadTaken();
                busy = false;
                pump();
            }
        }

        /**
         * The one way in which a connection ends that owes its client nothing: our half is shut, and what still comes is
         * read and dropped until the client has closed too. It may cross the shutdown: it is never sent on.
         */
        private void part() {
            lost = true;
            quiet.remove(this);
            if (parting.add(this)) {
                quietAt = System.nanoTime();
                channel.config().setAutoRead(true);
                ((SocketChannel) channel).shutdownOutput().addListener(shut -> {
                    if (!shut.isSuccess()) {
                        close(Close.BY_PEER);
                    }
                });
                acceptIfRoom(channel);
            }
        }

        /** One buffer and one write; what a host said of its type was checked when it was read. */
        private static ByteBuf encode(
                HttpResponseStatus status, Upstream.Answer what, long retryAfterUs, String lines, boolean last) {
            return Framing.whole(
                    Framing.NO_BYTES,
                    head(status, "content-length: " + what.body().length + "\r\n", what, retryAfterUs, lines, last),
                    what.body());
        }

        private static String head(
                HttpResponseStatus status,
                String length,
                Upstream.Answer what,
                long retryAfterUs,
                String lines,
                boolean last) {
            StringBuilder head = new StringBuilder(160)
                    .append("HTTP/1.1 ")
                    .append(status.codeAsText())
                    .append(' ')
                    .append(status.reasonPhrase())
                    .append("\r\n")
                    .append(length);
            if (what.contentType() != null) {
                head.append("content-type: ").append(what.contentType()).append("\r\n");
            }
            if (retryAfterUs > 0) {
                head.append("retry-after: ")
                        .append(BigDecimal.valueOf(retryAfterUs, 6)
                                .stripTrailingZeros()
                                .toPlainString())
                        .append("\r\n");
            }
            return head.append(lines)
                    .append(last ? "connection: close\r\n\r\n" : "\r\n")
                    .toString();
        }

        private void close(Close why) {
            if (!closed) {
                closed = true;
                closes.add(why);
                boolean owed = exchange != null || !ahead.isEmpty();
                if (owed && why != Close.BY_PEER) {
                    guard.verify(RuleGuard.Check.CLOSE_UNANSWERED, channel.left(), null);
                }
            }
            channel.close();
        }

        /** From here on the connection is quiet: also one whose client does not read its answer. */
        private void hush() {
            if (channel.isActive()) {
                quietAt = System.nanoTime();
                startedAt = startedAt == 0 ? 0 : quietAt;
                quiet.remove(this);
                quiet.add(this);
                acceptIfRoom(channel);
            }
        }

        /** Whether a request has begun to come; one may be here, and only the loop has not come to it. */
        private boolean asks() {
            if (startedAt == 0 && channel.unread()) {
                heard();
            }
            return startedAt != 0;
        }

        private void tooLong() {
            if (!busy && startedAt == 0 && asks()) {
                return;
            }
            quiet.remove(this);
            if (head != null && !busy) {
                busy = true;
                keepAlive = false;
                answer(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (busy) {
                close(Close.STALLED);
            } else {
                part();
            }
        }

        /** Nothing more is read but a request that has begun; what is open has its answer first. */
        private void lastCall() {
            if (busy || asks()) {
                readOn();
            } else {
                part();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close(shut ? Close.SHUTDOWN : Close.BY_PEER);
            quiet.remove(this);
            parting.remove(this);
            ahead.clear();
            hold(-aheadBytes);
            flowing.remove(this);
            if (upload != null) {
                upload.end(false);
                upload = null;
            }
            if (download != null) {
                download.stop();
                download = null;
            }
            if (exchange != null) {
                proxy.gone(exchange);
            }
        }

        /** Whatever went wrong costs this connection; what was open on it is the client's to retry. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close(Close.ERROR);
        }
    }
}
