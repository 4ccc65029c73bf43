package mulleinfront.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
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
import mulleinfront.core.MemoryAccount;
import mulleinfront.core.Metrics;
import mulleinfront.core.Metrics.Close;
import mulleinfront.core.RuleGuard;
import mulleinfront.core.StreamProgress;
import mulleinfront.core.Wire;
import mulleinfront.settings.LoadReport;

/**
 * Connections to endpoints, with one request at a time on each, and the attempts sent on them. It never repeats a
 * request by itself: an attempt is written completely at most once, and ends exactly once, with an outcome that is
 * certain.
 */
final class Upstream {
    private static final long SWEEP_INTERVAL_MS = 100;
    private static final long COOL_DOWN_NANOS = Wire.CONNECTION_COOL_DOWN_US * 1000;
    /** Limit of the interim responses (1xx) to one request; more of them fail it. */
    private static final int MAX_INTERIM_RESPONSES = 16;
    /**
     * An endpoint may close idle connections sooner than the settings say. A reset within this time after a request was
     * written to a reused connection is taken as a sign of that: the idle limit is then reduced below the connection's
     * idle time, and slowly raised again while reused connections work.
     */
    private static final long STALE_RESET_NANOS = 20_000_000;
    /** Lower bound of the idle limit; resets after a shorter idle time do not reduce it. */
    private static final long MIN_IDLE_LIMIT_NANOS = 100_000_000;

    private static final double IDLE_LIMIT_DECREASE = 0.8;
    private static final double IDLE_LIMIT_INCREASE = 1.1;
    /**
     * A response of unknown length is streamed if it is not complete within this time after its first body bytes.
     */
    private static final long STREAM_AFTER_MS = 30;
    /**
     * Size of a connection's send buffer: it shows within a short time whether a peer takes what it is sent, and bounds
     * the memory of the operating system.
     */
    static final int SEND_BUFFER_BYTES = 64 * 1024;
    /** Interval at which an attempt is looked at whose endpoint takes the request slowly. */
    private static final long TAKEN_CHECK_MS = 500;
    /** Bytes waiting to be written on a connection at which reading from the other one pauses and resumes. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 * 1024, 48 * 1024);
    /** Size of a read from an endpoint: small at first, since most responses are, and larger while more arrives. */
    private static final int MIN_READ_BYTES = 512;

    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 8 * 1024;
    /** Reads from one connection before the event loop turns to the others. */
    private static final int READS_PER_TURN = 1;

    /**
     * Allocates buffers on the heap, whose size is limited as a whole. At this traffic they need no pool and no leak
     * detection.
     */
    static final UnpooledByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long maxIdleLimitNanos;
    private long idleLimitNanos;
    private final int maxConnections;
    private final IntSupplier maxIdleConnections;
    private final EnumCounts<Close> closes;
    private final RuleGuard guard;
    private final MemoryAccount memory;
    /** Idle connections to all endpoints, the longest idle first. */
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();
    /** All connections that are not closed, including those being established. */
    private final Set<Connection> open = new HashSet<>();

    private boolean closed;
    /** Receives unsolicited data of an idle connection; a direct buffer, which avoids a copy on each check. */
    private final ByteBuffer peekBuffer = ByteBuffer.allocateDirect(1);

    /**
     * @param maxConnections number of connections above which an idle one is closed for each new one
     * @param maxIdleConnections limit of the idle connections kept
     * @param memory counts what the connections hold
     * @param metrics counts the reasons for which connections are closed, and the violations of invariants
     */
    Upstream(
            EventLoop loop,
            long dialTimeoutUs,
            long connIdleUs,
            int maxConnections,
            IntSupplier maxIdleConnections,
            MemoryAccount memory,
            Metrics metrics) {
        this.loop = loop;
        this.memory = memory;
        this.closes = metrics.endpointCloses;
        this.guard = metrics.ruleGuard;
        this.maxIdleConnections = maxIdleConnections;
        this.maxConnections = maxConnections;
        this.maxIdleLimitNanos = (long) (connIdleUs * 1000 * Wire.IDLE_CLOSE_FRACTION);
        this.idleLimitNanos = maxIdleLimitNanos;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, ALLOCATOR)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(READS_PER_TURN))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /** Starts the periodic task that closes connections idle for longer than the limit. */
    void startSweeping() {
        loop.scheduleWithFixedDelay(
                () -> {
                    long expiryNanos = System.nanoTime() - idleLimitNanos;
                    for (Connection oldest;
                            !idle.isEmpty() && (oldest = idle.iterator().next()).idleSinceNanos - expiryNanos < 0; ) {
                        oldest.close(Close.IDLE);
                    }
                },
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Closes all connections for good: attempts in progress end, and later ones can't connect. */
    void close() {
        closed = true;
        List.copyOf(open).forEach(connection -> connection.close(Close.SHUTDOWN));
    }

    /** An endpoint as last listed; its address and readiness are set by {@link Discovery}. */
    static final class Host {
        final String id;
        InetSocketAddress address;
        boolean ready;
        /**
         * Idle connections past their cool-down, the most recently used first; and those in cool-down, the least
         * recently used first.
         */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        private final ArrayDeque<Connection> coolingDown = new ArrayDeque<>();

        Host(String id) {
            this.id = id;
        }
    }

    /**
     * An endpoint's 200 response.
     *
     * @param body the whole body, or its first part if the rest is streamed
     * @param contentType the value of the Content-Type header; null if there is none
     * @param remainingBody the rest of the body, streamed as it arrives; null if there is none
     */
    record Answer(byte[] body, String contentType, BodyStream remainingBody) {}

    /**
     * Creates an attempt, to be started at once; null if the request can't be sent from its beginning.
     *
     * @param maySend checked right before the request is written: whether it may still be sent
     */
    Attempt attempt(
            Host host,
            RequestMessage message,
            long timeoutUs,
            BooleanSupplier maySend,
            Wire.AttemptListener<Answer> listener) {
        if (message.remainingBody() != null && message.remainingBody().attached()) {
            // Part of the body has been sent to another endpoint and is no longer buffered.
            return null;
        }
        return new Attempt(host, message, timeoutUs, maySend, listener);
    }

    /** Closes the idle connections to an endpoint; those in use close after their response. */
    void closeIdle(Host host) {
        for (Connection connection;
                (connection = host.idle.isEmpty() ? host.coolingDown.peek() : host.idle.peek()) != null; ) {
            connection.close(Close.ENDPOINT_LEFT);
        }
    }

    /** Takes the most recently used idle connection past its cool-down without unread data; null if there is none. */
    private Connection takeIdle(Host host) {
        long now = System.nanoTime();
        for (Connection connection;
                (connection = host.coolingDown.peek()) != null && now - connection.idleSinceNanos > COOL_DOWN_NANOS; ) {
            host.idle.push(host.coolingDown.poll());
        }
        for (Connection connection; (connection = host.idle.peek()) != null; ) {
            if (now - connection.idleSinceNanos <= idleLimitNanos && connection.channel.hasNoUnreadData(peekBuffer)) {
                connection.removeFromIdle();
                return connection;
            }
            connection.close(now - connection.idleSinceNanos <= idleLimitNanos ? Close.BY_PEER : Close.IDLE);
        }
        return null;
    }

    /** Adjusts the idle limit after a reused connection was found stale, or still usable. */
    private void adjustIdleLimit(long idleForNanos, boolean stale) {
        if (stale && idleForNanos > MIN_IDLE_LIMIT_NANOS) {
            idleLimitNanos = Math.min(
                    idleLimitNanos, Math.max(MIN_IDLE_LIMIT_NANOS, (long) (IDLE_LIMIT_DECREASE * idleForNanos)));
        } else if (!stale && idleForNanos > idleLimitNanos / 2) {
            idleLimitNanos = Math.min(maxIdleLimitNanos, (long) (IDLE_LIMIT_INCREASE * idleLimitNanos));
        }
    }

    /** One attempt of a request: connects or reuses a connection, writes the request and reports the outcome once. */
    final class Attempt implements Wire.Attempt {
        private final Host host;
        private final RequestMessage message;
        private long deadlineNanos;
        private final BooleanSupplier maySend;
        private final Wire.AttemptListener<Answer> listener;
        private ScheduledFuture<?> timer;
        private ChannelFuture connecting;
        private Connection connection;
        private ChannelFuture writeFuture;
        private int newConnections;
        private long idleForNanos;
        private long writtenNanos;
        /** Bytes of the request that the endpoint had taken when that was last looked at. */
        private long lastTakenBytes;

        private boolean ended;

        private Attempt(
                Host host,
                RequestMessage message,
                long timeoutUs,
                BooleanSupplier maySend,
                Wire.AttemptListener<Answer> listener) {
            this.host = host;
            this.message = message;
            this.maySend = maySend;
            this.listener = listener;
            if (timeoutUs != Wire.NO_TIMEOUT) {
                setTimeout(timeoutUs);
            }
        }

        @Override
        public void setTimeout(long timeoutUs) {
            if (!ended && timer == null) {
                deadlineNanos = System.nanoTime() + timeoutUs * 1000;
                timer = loop.schedule(this::onTimeout, timeoutUs, TimeUnit.MICROSECONDS);
            }
        }

        /**
         * An attempt whose response has begun goes on, and so does one whose endpoint has taken more of the request
         * since it was last looked at.
         */
        private void onTimeout() {
            long takenBytes = connection == null ? 0 : connection.takenBytes();
            boolean written = writeFuture != null && writeFuture.isSuccess();
            boolean takesRequest = connection != null && !written && takenBytes > lastTakenBytes;
            if (!isResponding() && !takesRequest || !listener.outlivesTimeout()) {
                abandon(Outcome.TIMED_OUT);
            } else if (takesRequest) {
                lastTakenBytes = takenBytes;
                deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TAKEN_CHECK_MS);
                timer = loop.schedule(this::onTimeout, TAKEN_CHECK_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public boolean isResponding() {
            return !ended && connection != null && connection.isResponding();
        }

        @Override
        public void streamResponse() {
            connection.streamIfBuffered();
        }

        @Override
        public StreamProgress.Transfer responseTransfer() {
            return connection == null ? null : connection.responseTransfer();
        }

        @Override
        public void start() {
            Connection reused = takeIdle(host);
            if (reused != null) {
                idleForNanos = System.nanoTime() - reused.idleSinceNanos;
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
                // A connection has a cost for the endpoint as well, and no request would be written to it.
                finish(Outcome.IGNORED, null);
                return;
            }
            if (open.size() >= maxConnections && !idle.isEmpty()) {
                idle.iterator().next().close(Close.NO_ROOM);
            }
            Connection candidate;
            try {
                candidate = new Connection(host);
            } catch (ChannelException noDescriptor) {
                // A lack of descriptors here says nothing about the endpoint.
                finish(Outcome.IGNORED, null);
                return;
            }
            ChannelFuture connectFuture = bootstrap
                    .clone()
                    .channelFactory(() -> candidate.channel)
                    .handler(candidate.pipeline())
                    .connect(candidate.address);
            newConnections++;
            open.add(candidate);
            connectFuture.channel().closeFuture().addListener(completed -> open.remove(candidate));
            connecting = connectFuture;
            connectFuture.addListener(completed -> {
                if (ended) {
                    connectFuture.channel().close();
                } else if (completed.isSuccess()) {
                    write(candidate, false);
                } else if (isResetByPeer(completed.cause()) && newConnections < Wire.MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(isLocalFailure(completed.cause()) ? Outcome.IGNORED : Outcome.CONNECT_ERROR, null);
                }
            });
        }

        /**
         * The only place where a request is written. If the endpoint began to drain or the request ended while the
         * connection was established, nothing is written, and the outcome says so. If the endpoint has moved to another
         * address, a connection is made to that one. If the write fails, which says little about the endpoint, a new
         * connection is tried.
         */
        private void write(Connection target, boolean reused) {
            connection = target;
            connecting = null;
            if (!guard.allows(RuleGuard.Check.START_AT_LEFT_ENDPOINT, host.ready) || !maySend.getAsBoolean()) {
                finish(Outcome.IGNORED, null);
                return;
            }
            if (!target.leadsToEndpoint()) {
                releaseConnection();
                if (newConnections < Wire.MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
                return;
            }
            long remainingNanos = timer == null ? Long.MAX_VALUE : deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                // After a stall of the event loop: the attempt's timer is due too, but runs after this task.
                abandon(Outcome.TIMED_OUT);
                return;
            }
            target.attempt = this;
            long remainingMs = Math.max(1, remainingNanos / 1_000_000);
            writtenNanos = System.nanoTime();
            ChannelFuture firstWrite = target.write(message.encode(remainingMs));
            writeFuture = message.remainingBody() == null ? firstWrite : target.channel.newPromise();
            firstWrite.addListener(completed -> {
                if (completed.isSuccess() && !ended && connection == target && message.remainingBody() != null) {
                    streamBody(target);
                }
                if (completed.isSuccess() || ended) {
                    return;
                }
                if (reused || newConnections < Wire.MAX_NEW_CONNECTIONS) {
                    idleForNanos = 0;
                    releaseConnection();
                    connect();
                } else {
                    onConnectionBroken();
                }
            });
        }

        /** Streams the rest of the request's body; the write is complete when the last piece has been written. */
        private void streamBody(Connection target) {
            BodyStream remainingBody = message.remainingBody();
            boolean chunked = remainingBody.length() < 0;
            target.upload = remainingBody;
            remainingBody.attach(new BodyStream.Sink() {
                @Override
                public void write(ByteBuf piece) {
                    if (ended) {
                        piece.release();
                        return;
                    }
                    target.write(chunked ? Framing.chunk(piece) : piece);
                    target.paceUpload();
                }

                /**
                 * After an incomplete body nothing is written: the client has disconnected, and the core cancels the
                 * attempt.
                 */
                @Override
                public void end(boolean complete) {
                    target.upload = null;
                    if (complete && !ended) {
                        target.channel.writeAndFlush(
                                chunked ? Framing.lastChunk() : Unpooled.EMPTY_BUFFER, (ChannelPromise) writeFuture);
                        writtenNanos = System.nanoTime();
                    }
                }
            });
        }

        /**
         * Starts to stream the response, without a timeout from now on; returns whether the response is still wanted.
         */
        private boolean startStreaming(Answer answer) {
            if (timer != null) {
                timer.cancel(false);
            }
            return listener.responseStarted(answer);
        }

        /** Ends the attempt and closes its connection, so that the endpoint stops its work too. */
        @Override
        public void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            boolean fullyWritten = writeFuture != null && writeFuture.isSuccess();
            finish(outcome == Outcome.TIMED_OUT && !fullyWritten ? Outcome.CONNECT_ERROR : outcome, null);
        }

        /**
         * The connection broke. Only if the last byte was not written is it certain that the request was not executed.
         */
        private void onConnectionBroken() {
            if (idleForNanos > 0) {
                adjustIdleLimit(idleForNanos, System.nanoTime() - writtenNanos < STALE_RESET_NANOS);
            }
            finish(writeFuture.isSuccess() ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** Whether no local address or port was free to connect from, which says nothing about the endpoint. */
        private static boolean isLocalFailure(Throwable cause) {
            return cause instanceof BindException;
        }

        /** Whether the connection was reset by a peer that is reachable, rather than refused or timed out. */
        private static boolean isResetByPeer(Throwable cause) {
            return cause instanceof SocketException
                    && !(cause instanceof ConnectException)
                    && !isLocalFailure(cause)
                    && !(cause instanceof NoRouteToHostException);
        }

        private void releaseConnection() {
            if (connection != null) {
                connection.attempt = null;
                connection.endStreams();
                connection.close(Close.ATTEMPT_ENDED);
                connection = null;
                writeFuture = null;
            } else if (connecting != null) {
                connecting.channel().close();
            }
        }

        /** Releases the connection before it reports the outcome, since the listener may start another attempt. */
        private void finish(Outcome outcome, Answer answer) {
            if (ended) {
                return;
            }
            ended = true;
            if (timer != null) {
                timer.cancel(false);
            }
            releaseConnection();
            listener.ended(outcome, answer);
        }
    }

    /** The part of a response's head that is kept: its decoded fields would take many times the memory. */
    private record ResponseHead(int status, boolean keepAlive, boolean notRun, String contentType) {
        static ResponseHead of(HttpResponse response) {
            int status = response.status().code();
            return new ResponseHead(
                    status,
                    HttpUtil.isKeepAlive(response),
                    (status == 503 || status == 504)
                            && "1".equals(response.headers().get("X-Not-Run")),
                    response.headers().get(HttpHeaderNames.CONTENT_TYPE));
        }
    }

    /** A socket that can tell whether data has arrived that the event loop has not read yet. */
    private static final class EndpointChannel extends NioSocketChannel {
        boolean hasNoUnreadData(ByteBuffer buffer) {
            try {
                return isActive() && javaChannel().read(buffer.clear()) == 0;
            } catch (IOException broken) {
                return false;
            }
        }
    }

    /** One connection to an endpoint: in use by one attempt, or idle in the endpoint's list, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Framing.HeldBytes {
        private final Host host;
        /** The address connected to; the endpoint may since have moved to another one. */
        private final InetSocketAddress address;

        private final EndpointChannel channel = new EndpointChannel();
        /** The body so far of a response that is not streamed; null if nothing of it has come. */
        private ByteBuf body;
        /** Bytes that wait to be written. */
        private int unwrittenBytes;

        private Attempt attempt;
        private long idleSinceNanos;
        private boolean closed;
        private ResponseHead head;
        private int interimResponses;
        private boolean reusable = true;
        private Outcome outcome;
        private Answer answer;
        /** The streamed body of the request; null if there is none or it has been written. */
        private BodyStream upload;
        /** The streamed body of the response; null if there is none. */
        private BodyStream download;

        private long bodyBytes;
        private long firstBodyByteNanos;
        private long lastBodyByteNanos;
        /** Bytes whose write is complete. */
        private long writtenBytes;
        /** The load report in the response's head; null if there is none. */
        private String loadReport;
        /** The length of the body stated in the response's head; -1 if there is none. */
        private long statedLength;

        /** Closes the connection when data arrives while no request is in progress: it is a response to none. */
        private final Framing.ResponseDecoder decoder = new Framing.ResponseDecoder(this) {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object in) throws Exception {
                if (attempt == null) {
                    ReferenceCountUtil.release(in);
                    ctx.close();
                } else {
                    super.channelRead(ctx, in);
                }
            }
        };

        Connection(Host host) {
            this.host = host;
            this.address = host.address;
        }

        @Override
        public void add(int change) {
            memory.add(change);
        }

        @Override
        public long allowance() {
            return memory.allowanceBytes();
        }

        /** Writes data, which counts as held until the operating system has taken it. */
        private ChannelFuture write(ByteBuf data) {
            int bytes = data.readableBytes();
            add(bytes);
            unwrittenBytes += bytes;
            return channel.writeAndFlush(data).addListener(written -> {
                add(-bytes);
                unwrittenBytes -= bytes;
                writtenBytes += bytes;
                paceUpload();
            });
        }

        /** Reads the client's request while the endpoint takes it. */
        private void paceUpload() {
            if (upload != null) {
                upload.setSinkReady(unwrittenBytes == 0 || channel.isWritable() && unwrittenBytes < allowance());
            }
        }

        /** Bytes that the operating system has taken, of a write in progress too. */
        private long takenBytes() {
            ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
            return writtenBytes + (unwritten == null ? 0 : unwritten.currentProgress());
        }

        /** Whether the head of a successful response has come, and its body is not complete. */
        private boolean isResponding() {
            return head != null && head.status() == 200 && outcome == null;
        }

        private void streamIfBuffered() {
            if (download == null) {
                startStreaming();
            }
        }

        private StreamProgress.Transfer responseTransfer() {
            long now = System.nanoTime();
            return new StreamProgress.Transfer(
                    statedLength, bodyBytes, (now - firstBodyByteNanos) / 1000, (now - lastBodyByteNanos) / 1000);
        }

        private void appendToBody(ByteBuf data) {
            int heldBefore = body == null ? 0 : body.capacity();
            body = body == null ? ALLOCATOR.buffer(data.readableBytes()) : body;
            body.writeBytes(data);
            add(body.capacity() - heldBefore);
        }

        private int bodyLength() {
            return body == null ? 0 : body.readableBytes();
        }

        /** Takes the body so far out of its buffer. */
        private byte[] takeBody() {
            byte[] bytes = new byte[bodyLength()];
            if (body != null) {
                body.readBytes(bytes);
                releaseBody();
            }
            return bytes;
        }

        private void releaseBody() {
            if (body != null) {
                add(-body.capacity());
                body.release();
                body = null;
            }
        }

        private boolean leadsToEndpoint() {
            return address.equals(host.address);
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel socketChannel) {
                    socketChannel.pipeline().addLast(decoder, Connection.this);
                }
            };
        }

        void removeFromIdle() {
            if (idle.remove(this) && !host.idle.remove(this)) {
                host.coolingDown.remove(this);
            }
        }

        void close(Close reason) {
            removeFromIdle();
            if (!closed) {
                closed = true;
                closes.add(reason);
            }
            channel.close();
        }

        /**
         * A response is served only if its own head shows that it is complete: Netty's codec would also accept one that
         * ends with its connection unannounced, or has two lengths. The request of an invalid response may have been
         * executed all the same.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (attempt == null) {
                return;
            }
            if (outcome != null) {
                reusable = false;
                return;
            }
            if (message.decoderResult().isFailure()) {
                failResponse();
                return;
            }
            if (message instanceof HttpResponse response) {
                beginResponse(response);
                if (outcome != null) {
                    return;
                }
            }
            if (message instanceof HttpContent content && head.status() >= 200) {
                appendBody(content.content());
                if (message instanceof LastHttpContent && outcome == null && attempt != null) {
                    completeResponse();
                }
            }
        }

        /** Buffers a response up to a size, or streams it. */
        private void appendBody(ByteBuf data) {
            if (!data.isReadable()) {
                return;
            }
            lastBodyByteNanos = System.nanoTime();
            firstBodyByteNanos = bodyBytes == 0 ? lastBodyByteNanos : firstBodyByteNanos;
            bodyBytes += data.readableBytes();
            if (bodyBytes > BodyStream.MAX_BODY_BYTES
                    || head.status() != 200 && bodyBytes > Framing.MAX_BUFFERED_BODY_BYTES) {
                failResponse();
                return;
            }
            if (head.status() != 200) {
                return;
            }
            if (download == null) {
                long bufferedLimit = Math.min(Framing.MAX_BUFFERED_BODY_BYTES, allowance());
                if (statedLength > Framing.MAX_BUFFERED_BODY_BYTES
                        || bodyLength() + data.readableBytes() > bufferedLimit) {
                    startStreaming();
                } else {
                    if (statedLength < 0 && body == null && data.isReadable()) {
                        // The length is unknown: streaming starts after this delay, so that the first bytes of a slow
                        // response don't wait for its last ones.
                        Attempt receiving = attempt;
                        loop.schedule(() -> streamIfSlow(receiving), STREAM_AFTER_MS, TimeUnit.MILLISECONDS);
                    }
                    appendToBody(data);
                    return;
                }
            }
            if (download != null) {
                download.receive(data);
            }
        }

        private void streamIfSlow(Attempt receiving) {
            if (attempt == receiving && outcome == null && download == null && bodyLength() > 0) {
                startStreaming();
            }
        }

        private void startStreaming() {
            byte[] firstPart = takeBody();
            BodyStream remainingBody =
                    new BodyStream(statedLength, 0, reading -> channel.config().setAutoRead(reading));
            download = remainingBody;
            Attempt receiving = attempt;
            if (!receiving.startStreaming(new Answer(firstPart, head.contentType(), remainingBody))
                    && !receiving.ended) {
                receiving.cancel();
            }
        }

        /** Ends the streamed bodies of both directions early; a streamed response is reported as incomplete. */
        private void endStreams() {
            if (download != null) {
                BodyStream responseBody = download;
                download = null;
                responseBody.end(false);
            }
            if (upload != null) {
                BodyStream requestBody = upload;
                upload = null;
                requestBody.discard();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            paceUpload();
        }

        private void beginResponse(HttpResponse response) {
            head = ResponseHead.of(response);
            loadReport = response.headers().get(LoadReport.HEADER);
            int status = response.status().code();
            boolean allowedInterim = status < 200 && status != 101 && ++interimResponses <= MAX_INTERIM_RESPONSES;
            bodyBytes = 0;
            // A response may also end with its connection, if its head announces the close (RFC 9112, 6.3).
            boolean delimited = Framing.delimitsBody(response.headers());
            boolean endKnown = delimited || !HttpUtil.isKeepAlive(response);
            statedLength = Framing.contentLength(response.headers());
            if (!Framing.isValid(response)
                    || Framing.isBodyTooLarge(response.headers())
                    || status < 200 && !allowedInterim
                    || status == 200 && !endKnown) {
                failResponse();
            } else if (status > 200 && !delimited) {
                completeResponse();
                reusable = false;
            }
        }

        private void failResponse() {
            outcome = Outcome.FAILED;
            reusable = false;
            endStreams();
        }

        /**
         * Completes a response. It is delivered after the read, so that unsolicited data behind it closes the
         * connection.
         */
        private void completeResponse() {
            int status = head.status();
            outcome = status == 200 ? Outcome.OK : head.notRun() ? Outcome.QUEUE_FULL : Outcome.FAILED;
            reusable = head.keepAlive() && attempt.writeFuture.isSuccess();
            if (download != null) {
                BodyStream finished = download;
                download = null;
                finished.end(true);
            } else if (status == 200) {
                answer = new Answer(takeBody(), head.contentType(), null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (download != null) {
                download.flush();
            }
            if (outcome != null) {
                deliver();
            }
        }

        private void deliver() {
            Attempt endedAttempt = attempt;
            Outcome finalOutcome = outcome;
            Answer finalAnswer = answer;
            String report = loadReport;
            loadReport = null;
            attempt = null;
            outcome = null;
            answer = null;
            head = null;
            interimResponses = 0;
            releaseBody();
            if (upload != null) {
                // Answered before the request's body was complete: the rest of it is dropped.
                reusable = false;
                endStreams();
            }
            channel.config().setAutoRead(true);
            if (reusable && !decoder.hasPartialMessage() && host.ready && leadsToEndpoint() && channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                host.coolingDown.add(this);
                idle.add(this);
                if (idle.size() > maxIdleConnections.getAsInt()) {
                    idle.iterator().next().close(Close.NO_ROOM);
                }
            } else {
                close(
                        !host.ready || !leadsToEndpoint()
                                ? Close.ENDPOINT_LEFT
                                : channel.isActive() ? Close.NOT_REUSABLE : Close.BY_PEER);
            }
            if (endedAttempt != null) {
                if (endedAttempt.idleForNanos > 0) {
                    adjustIdleLimit(endedAttempt.idleForNanos, false);
                }
                double outstanding = LoadReport.inFlight(report);
                if (outstanding >= 0) {
                    endedAttempt.listener.loadReported(outstanding);
                }
                endedAttempt.connection = null;
                endedAttempt.finish(finalOutcome, finalAnswer);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close(Close.BY_PEER);
            if (outcome == null) {
                releaseBody();
            }
            if (outcome != null) {
                deliver();
            } else if (attempt != null) {
                attempt.onConnectionBroken();
            }
        }

        /** An error such as a reset ends this connection and its attempt only. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.endProcessIfFatal(cause);
            if (attempt != null && outcome == null) {
                attempt.onConnectionBroken();
            }
            close(Close.ERROR);
        }
    }
}
