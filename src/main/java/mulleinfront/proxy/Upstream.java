package mulleinfront.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import mulleinfront.Balancer.Outcome;
import mulleinfront.core.EnumCounts;
import mulleinfront.core.Metrics;
import mulleinfront.core.Metrics.Close;
import mulleinfront.core.RuleGuard;
import mulleinfront.core.Wire;
import mulleinfront.settings.LoadReport;

/**
 * Connections to hosts, one request at a time on each, and the attempts made on them. It resends nothing:
 * an attempt is written whole once at most, and ends exactly once, with the outcome that can be vouched for.
 */
final class Upstream {
    private static final long SWEEP_MS = 100;
    private static final long REST_NANOS = Wire.CONNECTION_COOL_DOWN_US * 1000;
    /** Interim answers (1xx) to one request; more of them is noise. */
    private static final int MOST_INTERIM = 16;
    /**
     * A host may close sooner than the settings say and not tell: a reset this soon after a request was
     * written to a connection that had been idle for at least so long. Then less idleness is allowed, and
     * slowly more again while it does no harm.
     */
    private static final long STALE_NANOS = 20_000_000;

    private static final long LEAST_IDLE_NANOS = 100_000_000;
    private static final double IDLE_CUT = 0.8;
    private static final double IDLE_GROW = 1.1;
    /**
     * An answer of unknown length is passed on as it comes if it is not whole this long after its first
     * bytes.
     */
    private static final long BEGIN_MS = 30;
    /** What may wait to be written on a connection before the other one is read no further, bytes. */
    static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(16 * 1024, 48 * 1024);

    /**
     * Buffers count as heap, which is bounded once and for all, and need no pool at this traffic, nor a
     * search for leaks.
     */
    static final UnpooledByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(false, true);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long mostIdleNanos;
    private long idleNanos;
    private final int mostConnections;
    private final IntSupplier mostIdle;
    private final EnumCounts<Close> closes;
    private final RuleGuard guard;
    /** Idle connections to all hosts, the longest idle first. */
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();
    /** All that are not closed, also while they come up. */
    private final Set<Connection> open = new HashSet<>();

    private boolean closed;
    /** Room for what nobody asked for: outside the heap, or each look would copy. */
    private final ByteBuffer peek = ByteBuffer.allocateDirect(1);

    /**
     * @param mostConnections connections to hold at most, also while all are in use
     * @param mostIdle idle connections to keep at most
     * @param metrics counts why connections are closed, and what was against a rule
     */
    Upstream(
            EventLoop loop,
            long dialTimeoutUs,
            long connIdleUs,
            int mostConnections,
            IntSupplier mostIdle,
            Metrics metrics) {
        this.loop = loop;
        this.closes = metrics.endpointCloses;
        this.guard = metrics.guard;
        this.mostIdle = mostIdle;
        this.mostConnections = mostConnections;
        this.mostIdleNanos = (long) (connIdleUs * 1000 * Wire.IDLE_CLOSE_FRACTION);
        this.idleNanos = mostIdleNanos;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /** Closes what has been idle for long, from now on. */
    void begin() {
        loop.scheduleWithFixedDelay(
                () -> {
                    long before = System.nanoTime() - idleNanos;
                    for (Connection c; !idle.isEmpty() && (c = idle.iterator().next()).idleAt - before < 0; ) {
                        c.close(Close.IDLE);
                    }
                },
                SWEEP_MS,
                SWEEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Closes all connections, for good: attempts that are out end, and others can't connect. */
    void close() {
        closed = true;
        List.copyOf(open).forEach(c -> c.close(Close.SHUTDOWN));
    }

    /** A host as last listed; all fields are discovery's to set. */
    static final class Host {
        final String id;
        InetSocketAddress address;
        boolean ready;
        /**
         * Idle connections that have rested, the last used first, and those that rest, the first used first.
         */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        private final ArrayDeque<Connection> resting = new ArrayDeque<>();

        Host(String id) {
            this.id = id;
        }
    }

    /**
     * A host's 200.
     *
     * @param body all of it, or its beginning
     * @param rest what follows the beginning; null if nothing does
     */
    record Answer(byte[] body, String contentType, Flow rest) {}

    /**
     * An attempt, to be started at once; null if the request can't be sent from its beginning.
     *
     * @param wanted whether it may still be sent
     */
    Attempt attempt(Host host, Call call, long timeoutUs, BooleanSupplier wanted, Wire.AttemptListener<Answer> end) {
        if (call.rest() != null && call.rest().given()) {
            // Part of the body has gone to another host and is not kept.
            return null;
        }
        return new Attempt(host, call, timeoutUs, wanted, end);
    }

    /** Closes the idle connections to a host; those in use close after their answer. */
    void hangUp(Host host) {
        for (Connection c; (c = host.idle.isEmpty() ? host.resting.peek() : host.idle.peek()) != null; ) {
            c.close(Close.ENDPOINT_LEFT);
        }
    }

    /** The last used of the idle connections that have rested and show nothing; null if there is none. */
    private Connection rested(Host host) {
        long now = System.nanoTime();
        for (Connection c; (c = host.resting.peek()) != null && now - c.idleAt > REST_NANOS; ) {
            host.idle.push(host.resting.poll());
        }
        for (Connection c; (c = host.idle.peek()) != null; ) {
            if (now - c.idleAt <= idleNanos && c.channel.untouched(peek)) {
                c.leaveIdle();
                return c;
            }
            c.close(now - c.idleAt <= idleNanos ? Close.BY_PEER : Close.IDLE);
        }
        return null;
    }

    /** What a reused connection taught: it was stale after this idleness, or still good. */
    private void learnIdle(long idleFor, boolean stale) {
        if (stale && idleFor > LEAST_IDLE_NANOS) {
            idleNanos = Math.min(idleNanos, Math.max(LEAST_IDLE_NANOS, (long) (IDLE_CUT * idleFor)));
        } else if (!stale && idleFor > idleNanos / 2) {
            idleNanos = Math.min(mostIdleNanos, (long) (IDLE_GROW * idleNanos));
        }
    }

    /** One attempt of a request: it connects or reuses a connection, writes the call and reports the outcome once. */
    final class Attempt implements Wire.Attempt {
        private final Host host;
        private final Call call;
        private long endNanos;
        private final BooleanSupplier wanted;
        private final Wire.AttemptListener<Answer> end;
        private ScheduledFuture<?> timer;
        private ChannelFuture connecting;
        private Connection connection;
        private ChannelFuture written;
        private int fresh;
        private long idleFor;
        private long writtenAt;
        private boolean over;

        private Attempt(
                Host host, Call call, long timeoutUs, BooleanSupplier wanted, Wire.AttemptListener<Answer> end) {
            this.host = host;
            this.call = call;
            this.wanted = wanted;
            this.end = end;
            if (timeoutUs != Wire.NO_TIMEOUT) {
                endWithin(timeoutUs);
            }
        }

        @Override
        public void endWithin(long timeoutUs) {
            if (!over && timer == null) {
                endNanos = System.nanoTime() + timeoutUs * 1000;
                timer = loop.schedule(() -> abandon(Outcome.TIMED_OUT), timeoutUs, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void start() {
            Connection reused = rested(host);
            if (reused != null) {
                idleFor = System.nanoTime() - reused.idleAt;
                write(reused, true);
            } else {
                connect();
            }
        }

        private void connect() {
            if (closed) {
                finish(Outcome.CONNECT_ERROR, null);
                return;
            }
            if (!guard.allows(RuleGuard.Check.START_AT_LEFT_ENDPOINT, host.ready)) {
                // A connection costs it something too, and nothing would be written there.
                finish(Outcome.IGNORED, null);
                return;
            }
            if (open.size() >= mostConnections && !idle.isEmpty()) {
                idle.iterator().next().close(Close.NO_ROOM);
            }
            Connection made;
            try {
                made = new Connection(host);
            } catch (ChannelException noDescriptor) {
                // It says nothing of the host.
                finish(Outcome.IGNORED, null);
                return;
            }
            ChannelFuture up = bootstrap
                    .clone()
                    .channelFactory(() -> made.channel)
                    .handler(made.pipeline())
                    .connect(made.to);
            fresh++;
            open.add(made);
            up.channel().closeFuture().addListener(f -> open.remove(made));
            connecting = up;
            up.addListener(f -> {
                if (over) {
                    up.channel().close();
                } else if (f.isSuccess()) {
                    write(made, false);
                } else if (resetAtOnce(f.cause()) && fresh < Wire.MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(ownFailure(f.cause()) ? Outcome.IGNORED : Outcome.CONNECT_ERROR, null);
                }
            });
        }

        /**
         * The one place where a request goes out. While the connection came up the host may have been told
         * to drain, or the request may have ended: then nothing is written, and that is known. A host that was
         * moved to another address is reached there. A connection that does not take the whole of it says little of
         * the host: a fresh one is tried.
         */
        private void write(Connection c, boolean reused) {
            connection = c;
            connecting = null;
            if (!guard.allows(RuleGuard.Check.START_AT_LEFT_ENDPOINT, host.ready) || !wanted.getAsBoolean()) {
                finish(Outcome.IGNORED, null);
                return;
            }
            if (!c.leadsToHost()) {
                release();
                if (fresh < Wire.MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
                return;
            }
            long left = timer == null ? Long.MAX_VALUE : endNanos - System.nanoTime();
            if (left <= 0) {
                // The loop had stood still: its timer is due too, and only behind this in the turn.
                abandon(Outcome.TIMED_OUT);
                return;
            }
            c.current = this;
            long leftMs = Math.max(1, left / 1_000_000);
            writtenAt = System.nanoTime();
            ChannelFuture first = c.channel.writeAndFlush(call.encode(leftMs));
            written = call.rest() == null ? first : c.channel.newPromise();
            first.addListener(f -> {
                if (f.isSuccess() && !over && connection == c && call.rest() != null) {
                    passOn(c);
                }
                if (f.isSuccess() || over) {
                    return;
                }
                if (reused || fresh < Wire.MAX_NEW_CONNECTIONS) {
                    idleFor = 0;
                    release();
                    connect();
                } else {
                    broken();
                }
            });
        }

        /** The rest of a request as it comes: it has been written whole when its last piece has. */
        private void passOn(Connection c) {
            Flow rest = call.rest();
            boolean chunked = rest.length() < 0;
            c.upload = rest;
            rest.to(new Flow.Sink() {
                @Override
                public void piece(ByteBuf piece) {
                    if (over) {
                        piece.release();
                        return;
                    }
                    c.channel.writeAndFlush(chunked ? Framing.chunk(piece) : piece);
                    if (!c.channel.isWritable()) {
                        rest.want(false);
                    }
                }

                /** If the client went away the core calls this off. */
                @Override
                public void end(boolean whole) {
                    c.upload = null;
                    if (whole && !over) {
                        c.channel.writeAndFlush(
                                chunked ? Framing.lastChunk() : Unpooled.EMPTY_BUFFER, (ChannelPromise) written);
                        writtenAt = System.nanoTime();
                    }
                }
            });
        }

        /** Whether somebody takes what there is of the answer; from here on time does not end it. */
        private boolean begin(Answer answer) {
            if (timer != null) {
                timer.cancel(false);
            }
            return end.responseStarted(answer);
        }

        /** Stops waiting: the connection goes with the attempt, so that the host stops too. */
        @Override
        public void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            boolean whole = written != null && written.isSuccess();
            finish(outcome == Outcome.TIMED_OUT && !whole ? Outcome.CONNECT_ERROR : outcome, null);
        }

        /** The connection is gone. Only if the write did not reach the last byte has it surely not run. */
        private void broken() {
            if (idleFor > 0) {
                learnIdle(idleFor, System.nanoTime() - writtenAt < STALE_NANOS);
            }
            finish(written.isSuccess() ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** Whether this machine had no address or port left to connect from: it says nothing of the host. */
        private static boolean ownFailure(Throwable cause) {
            return cause instanceof BindException;
        }

        /** Whether something is there that would not have this connection: then the host is not away. */
        private static boolean resetAtOnce(Throwable cause) {
            return cause instanceof SocketException
                    && !(cause instanceof ConnectException)
                    && !ownFailure(cause)
                    && !(cause instanceof NoRouteToHostException);
        }

        private void release() {
            if (connection != null) {
                connection.current = null;
                connection.cut();
                connection.close(Close.ATTEMPT_ENDED);
                connection = null;
                written = null;
            } else if (connecting != null) {
                connecting.channel().close();
            }
        }

        /** Closes what the attempt still holds before its end is told: what follows may be another. */
        private void finish(Outcome outcome, Answer answer) {
            if (over) {
                return;
            }
            over = true;
            if (timer != null) {
                timer.cancel(false);
            }
            release();
            end.ended(outcome, answer);
        }
    }

    /** A socket that can be asked whether anything has come: the loop may not have seen it yet. */
    private static final class HostChannel extends NioSocketChannel {
        boolean untouched(ByteBuffer peek) {
            try {
                return isActive() && javaChannel().read(peek.clear()) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One connection to a host: busy with one attempt, or idle in its host's list, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Host host;
        /** Where it leads; the host may be moved elsewhere meanwhile. */
        private final InetSocketAddress to;

        private final HostChannel channel = new HostChannel();
        private final ByteBuf body = BUFFERS.buffer();
        private Attempt current;
        private long idleAt;
        private boolean closed;
        private HttpResponse head;
        private int interim;
        private boolean reusable = true;
        private Outcome outcome;
        private Answer answer;
        /** The rest of the request that goes out here; null if there is none or it is out. */
        private Flow upload;
        /** The rest of the answer, once that is passed on as it comes. */
        private Flow download;

        private long bodyBytes;
        /** What the answer's head says of the host's load; null if nothing. */
        private String load;
        /** How long the body is by its head; -1 if that does not say. */
        private long stated;

        /** What comes while nothing is asked belongs to no request, read to its end or not. */
        private final Framing.ResponseDecoder decoder = new Framing.ResponseDecoder() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object in) throws Exception {
                if (current == null) {
                    ReferenceCountUtil.release(in);
                    ctx.close();
                } else {
                    super.channelRead(ctx, in);
                }
            }
        };

        Connection(Host host) {
            this.host = host;
            this.to = host.address;
        }

        private boolean leadsToHost() {
            return to.equals(host.address);
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(decoder, Connection.this);
                }
            };
        }

        void leaveIdle() {
            if (idle.remove(this) && !host.idle.remove(this)) {
                host.resting.remove(this);
            }
        }

        void close(Close why) {
            leaveIdle();
            if (!closed) {
                closed = true;
                closes.add(why);
            }
            channel.close();
        }

        /**
         * An answer is served only if it is whole by its own word; the codec would also take as whole what
         * ends with its connection, or has two lengths. What can't be read may have run all the same.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) {
            if (current == null) {
                return;
            }
            if (outcome != null) {
                reusable = false;
                return;
            }
            if (in.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (in instanceof HttpResponse response) {
                begin(response);
                if (outcome != null) {
                    return;
                }
            }
            if (in instanceof HttpContent content && head.status().code() >= 200) {
                append(content.content());
                if (in instanceof LastHttpContent && outcome == null && current != null) {
                    whole();
                }
            }
        }

        /** Keeps an answer whole up to a size, or passes it on as it comes. */
        private void append(ByteBuf more) {
            bodyBytes += more.readableBytes();
            if (bodyBytes > Flow.MOST || head.status().code() != 200 && bodyBytes > Framing.MOST_BODY) {
                spoilt();
                return;
            }
            if (download == null) {
                if (stated > Framing.MOST_BODY || body.readableBytes() + more.readableBytes() > Framing.MOST_BODY) {
                    begin();
                } else {
                    if (stated < 0 && body.readableBytes() == 0 && more.isReadable()) {
                        // Nobody knows how much there is: a slow one's first bytes are not kept for its last.
                        Attempt of = current;
                        loop.schedule(() -> beginIfSlow(of), BEGIN_MS, TimeUnit.MILLISECONDS);
                    }
                    body.writeBytes(more);
                    return;
                }
            }
            if (download != null) {
                download.put(more.retain());
            }
        }

        private void beginIfSlow(Attempt of) {
            if (current == of && outcome == null && download == null && body.isReadable()) {
                begin();
            }
        }

        private void begin() {
            byte[] first = new byte[body.readableBytes()];
            body.readBytes(first);
            Flow rest = new Flow(stated, 0, on -> channel.config().setAutoRead(on));
            download = rest;
            Attempt of = current;
            if (!of.begin(new Answer(first, head.headers().get(HttpHeaderNames.CONTENT_TYPE), rest)) && !of.over) {
                of.cancel();
            }
        }

        /** The attempt ends here and now: whoever takes its answer learns that there is no more of it. */
        private void cut() {
            if (download != null) {
                Flow cut = download;
                download = null;
                cut.end(false);
            }
            if (upload != null) {
                Flow left = upload;
                upload = null;
                left.stop();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (upload != null) {
                upload.want(channel.isWritable());
            }
        }

        private void begin(HttpResponse response) {
            head = response;
            load = response.headers().get(LoadReport.HEADER);
            int status = response.status().code();
            boolean interimToo = status < 200 && status != 101 && ++interim <= MOST_INTERIM;
            bodyBytes = 0;
            // An answer may also end with its connection, if it says that this ends (RFC 9112, 6.3).
            boolean framed = Framing.statesLength(response.headers());
            boolean endKnown = framed || !HttpUtil.isKeepAlive(response);
            stated = Framing.length(response.headers());
            if (!Framing.sound(response)
                    || Framing.tooLong(response.headers())
                    || status < 200 && !interimToo
                    || status == 200 && !endKnown) {
                spoilt();
            } else if (status > 200 && !framed) {
                whole();
                reusable = false;
            }
        }

        private void spoilt() {
            outcome = Outcome.FAILED;
            reusable = false;
            cut();
        }

        /** Keeps the answer until the read is over: what follows it unasked ends the connection. */
        private void whole() {
            int status = head.status().code();
            boolean notRun = (status == 503 || status == 504)
                    && "1".equals(head.headers().get("X-Not-Run"));
            outcome = status == 200 ? Outcome.OK : notRun ? Outcome.QUEUE_FULL : Outcome.FAILED;
            reusable = HttpUtil.isKeepAlive(head) && current.written.isSuccess();
            if (download != null) {
                Flow done = download;
                download = null;
                done.end(true);
            } else if (status == 200) {
                byte[] bytes = new byte[body.readableBytes()];
                body.readBytes(bytes);
                answer = new Answer(bytes, head.headers().get(HttpHeaderNames.CONTENT_TYPE), null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (outcome != null) {
                deliver();
            }
        }

        private void deliver() {
            Attempt ended = current;
            Outcome how = outcome;
            Answer what = answer;
            String said = load;
            load = null;
            current = null;
            outcome = null;
            answer = null;
            interim = 0;
            body.clear();
            if (upload != null) {
                // Answered before its end: the rest has nowhere to go.
                reusable = false;
                cut();
            }
            channel.config().setAutoRead(true);
            if (reusable && !decoder.holdsMore() && host.ready && leadsToHost() && channel.isActive()) {
                idleAt = System.nanoTime();
                host.resting.add(this);
                idle.add(this);
                if (idle.size() > mostIdle.getAsInt()) {
                    idle.iterator().next().close(Close.NO_ROOM);
                }
            } else {
                close(
                        !host.ready || !leadsToHost()
                                ? Close.ENDPOINT_LEFT
                                : channel.isActive() ? Close.NOT_REUSABLE : Close.BY_PEER);
            }
            if (ended != null) {
                if (ended.idleFor > 0) {
                    learnIdle(ended.idleFor, false);
                }
                double held = LoadReport.held(said);
                if (held >= 0) {
                    ended.end.loadReported(held);
                }
                ended.connection = null;
                ended.finish(how, what);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close(Close.BY_PEER);
            if (outcome != null) {
                deliver();
            } else if (current != null) {
                current.broken();
            }
        }

        /** A reset, say: it costs this connection and its attempt, no more. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null && outcome == null) {
                current.broken();
            }
            close(Close.ERROR);
        }
    }
}
