package mulleinfront.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import mulleinfront.core.MemoryAccount;
import mulleinfront.core.Metrics;
import mulleinfront.core.Metrics.ClientError;
import mulleinfront.core.Metrics.Close;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.RuleGuard;
import mulleinfront.manage.CommandHandler;
import mulleinfront.manage.ManagementServer;
import mulleinfront.settings.Version;

/**
 * The clients' side of the proxy. It reads requests, passes those for endpoints to the {@link ClientProxy} and writes
 * final answers, one at a time on each connection. Whatever a client sends or fails to send affects only its own
 * connection.
 */
final class Frontend {
    /** Limit of the bytes of a streamed request that are read before its attempt takes them. */
    private static final int MAX_UPLOAD_BUFFER_BYTES = 16 * Framing.MAX_BUFFERED_BODY_BYTES;
    /** Size of a read: small at first, since most requests are, and larger while more arrives. */
    private static final int MIN_READ_BYTES = 512;

    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 8 * 1024;
    /** Reads from one connection before the event loop turns to the others. */
    private static final int READS_PER_TURN = 1;
    /** Waiting requests of one connection that are handled before the event loop turns to the others. */
    private static final int REQUESTS_PER_TURN = 32;
    /** Waiting requests of one connection, to be refused, at which reading from it pauses. */
    private static final int MAX_WAITING_REFUSALS = 10_000;
    /** Waiting requests at which reading pauses while the client does not take the answer before them. */
    private static final int MAX_REQUESTS_BEHIND_ANSWER = 16;
    /** Time in which a client's close has to be seen: half of that after which nothing may be sent for it. */
    private static final long CLOSE_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Time for which waiting requests are not handled while their client sends more than is read. */
    private static final long MAX_UNREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Connections that the operating system queues before the proxy accepts them. */
    private static final int ACCEPT_BACKLOG = 1024;
    /**
     * Idle timeout of a connection without an open request: the protocol allows a close after 2 s, and requires it
     * within 3 s for a client that sends nothing or never completes a request.
     */
    private static final long IDLE_TIMEOUT_MS = 2_300;

    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * Time after SIGTERM for which connections are accepted: clients may connect for 0.4 s by the protocol, plus slack.
     */
    private static final long SHUTDOWN_ACCEPT_MS = 480;
    /**
     * Time after SIGTERM for which new requests are read: the last connection accepted has time for its first request.
     */
    private static final long SHUTDOWN_READ_MS = 650;
    /**
     * Longest pause within a request that is still incomplete after that time. It is short because the sooner a process
     * ends, the sooner its replacement starts.
     */
    private static final long PARTIAL_REQUEST_GAP_MS = 450;
    /** Time for which such an incomplete request is read in total. */
    private static final long PARTIAL_REQUEST_TIMEOUT_MS = 700;
    /** Idle timeout while connections are drained: a request that crosses the close is rare after this time. */
    private static final long DRAINING_IDLE_TIMEOUT_MS = 400;
    /** Timeout of a head from its first byte; the pieces of a body have {@link #IDLE_TIMEOUT_MS} between them. */
    private static final long HEAD_TIMEOUT_MS = 2_600;
    /** Timeout of a request that is buffered whole, from its first byte, however steadily its pieces arrive. */
    private static final long REQUEST_TIMEOUT_MS = 30_000;
    /** A streamed response is aborted when it has made no progress for this time. */
    private static final long STALL_TIMEOUT_MS = 10_000;
    /**
     * Time for which data is read and dropped after a connection's last response: a close with unread data would reset
     * the connection, and the client could lose the response.
     */
    private static final long LINGER_MS = 1_000;
    /** Time for which such data is read and dropped at shutdown, when less time is left. */
    private static final long SHUTDOWN_LINGER_MS = 250;
    /** Header with the proxy's version, since a test kit of another version must not check this proxy. */
    private static final String VERSION_HEADER = Version.HEADER + ": " + Version.CURRENT + "\r\n";

    private final ClientProxy proxy;
    private final EventLoop loop;
    private final ChannelGroup clients;
    private final int maxClients;
    private final EnumCounts<Close> closes;
    private final EnumCounts<ClientError> errors;
    private final RuleGuard guard;
    /** Connections without an open request or with a response being written; the least recently active first. */
    private final LinkedHashSet<Client> idle = new LinkedHashSet<>();
    /** Connections whose output is shut down, until the client has closed as well; the oldest first. */
    private final LinkedHashSet<Client> closing = new LinkedHashSet<>();
    /** Connections with a streamed request or response. */
    private final LinkedHashSet<Client> streaming = new LinkedHashSet<>();

    private final MemoryAccount memory;
    private final LoopStall stall = new LoopStall(TimeUnit.MILLISECONDS.toMicros(SWEEP_INTERVAL_MS), System.nanoTime());
    private final LifecycleState lifecycle;
    private ClientChannel.Listener listener;
    private boolean sweepScheduled;
    private boolean newRequestsStopped;
    private boolean shutDown;
    private long readDeadlineNanos;
    private long answerDeadlineNanos;

    Frontend(
            ClientProxy proxy,
            LifecycleState lifecycle,
            EventLoop loop,
            int maxClients,
            MemoryAccount memory,
            Metrics metrics) {
        this.closes = metrics.clientCloses;
        this.errors = metrics.clientErrors;
        this.guard = metrics.ruleGuard;
        this.maxClients = maxClients;
        this.memory = memory;
        this.proxy = proxy;
        this.lifecycle = lifecycle;
        this.loop = loop;
        this.clients = new DefaultChannelGroup(loop);
    }

    /**
     * Listens.
     *
     * @param reusePort whether other event loops listen on the address too, each with its share of the connections
     * @param managedProcess handles operators' commands where the address is the management address; else null
     */
    ChannelFuture listen(InetSocketAddress address, boolean reusePort, CommandHandler.Process managedProcess) {
        ServerBootstrap serverBootstrap =
                bootstrap(managedProcess).channelFactory(() -> new ClientChannel.Listener(null, memory::add));
        if (reusePort) {
            serverBootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture bindFuture = serverBootstrap.bind(address);
        this.listener = (ClientChannel.Listener) bindFuture.channel();
        return bindFuture;
    }

    /** Accepts on an inherited listening socket. */
    void acceptOn(ServerSocketChannel inheritedSocket) {
        listener = (ClientChannel.Listener) bootstrap(null)
                .channelFactory(() -> new ClientChannel.Listener(inheritedSocket, memory::add))
                .register()
                .channel();
    }

    private ServerBootstrap bootstrap(CommandHandler.Process managedProcess) {
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return new ServerBootstrap()
                .group(loop)
                .option(ChannelOption.ALLOCATOR, Upstream.ALLOCATOR)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, Upstream.ALLOCATOR)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(READS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, Upstream.SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Upstream.WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (managedProcess == null) {
                            serve(channel);
                        } else {
                            clients.add(channel);
                            channel.pipeline().addLast(new ProtocolSelector(managedProcess));
                        }
                    }
                });
    }

    private void serve(Channel channel) {
        Client client = new Client(channel);
        channel.pipeline().addLast(new Framing.RequestDecoder(client::onBytesRead, client), client);
        admit(channel, client);
    }

    /** Selects the protocol by the first byte: the warm-up's HTTP requests start with a capital, commands do not. */
    private final class ProtocolSelector extends ByteToMessageDecoder {
        private final CommandHandler.Process managedProcess;

        ProtocolSelector(CommandHandler.Process managedProcess) {
            this.managedProcess = managedProcess;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (Character.isUpperCase(in.getByte(in.readerIndex()))) {
                serve(ctx.channel());
            } else {
                ManagementServer.addHandlers(ctx.channel(), new CommandHandler(managedProcess));
            }
            ctx.pipeline().remove(this);
        }
    }

    /**
     * Adds a client. At the connection limit, the oldest connection that is closing is closed to make room, or else the
     * longest idle one. If all have an open request, new connections are not accepted.
     */
    private void admit(Channel channel, Client client) {
        LinkedHashSet<Client> evictable = closing.isEmpty() ? idle : closing;
        if (clients.size() >= maxClients && !evictable.isEmpty()) {
            Client oldest = evictable.iterator().next();
            evictable.remove(oldest);
            oldest.close(Close.NO_ROOM);
        }
        clients.add(channel);
        client.markIdle();
        channel.closeFuture().addListener(f -> updateAccepting(channel));
    }

    private void updateAccepting(Channel client) {
        client.parent().config().setAutoRead(clients.size() < maxClients || !idle.isEmpty() || !closing.isEmpty());
    }

    private void sweep() {
        long now = System.nanoTime();
        stall.tick(now);
        for (Client client : idle.toArray(Client[]::new)) {
            if (client.isTimedOut(now)) {
                client.onTimeout();
            }
        }
        for (Client client : streaming.toArray(Client[]::new)) {
            client.endIfStalled(now);
        }
        long lingerLimitNanos =
                now - TimeUnit.MILLISECONDS.toNanos(newRequestsStopped ? SHUTDOWN_LINGER_MS : LINGER_MS);
        for (Client client;
                !closing.isEmpty() && (client = closing.iterator().next()).lastProgressNanos - lingerLimitNanos < 0; ) {
            closing.remove(client);
            client.close(Close.NOT_REUSABLE);
        }
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Serves while requests may still arrive, and closes each connection after its response. Then stops listening and
     * reading, closes idle connections, and runs {@code onDrained} when the last client has its response.
     */
    void drain(Runnable onDrained) {
        lifecycle.ending();
        answerDeadlineNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(proxy.beginShutdown());
        // Scheduled only after the listener has closed: connections that were accepted late, after a stall of the event
        // loop, are read first.
        Runnable afterListenerClosed = () -> loop.schedule(
                () -> stopNewRequests(onDrained), SHUTDOWN_READ_MS - SHUTDOWN_ACCEPT_MS, TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    if (listener == null) {
                        afterListenerClosed.run();
                    } else {
                        listener.closeAfterBacklog(ACCEPT_BACKLOG, afterListenerClosed);
                    }
                },
                SHUTDOWN_ACCEPT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void stopNewRequests(Runnable onDrained) {
        newRequestsStopped = true;
        readDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PARTIAL_REQUEST_TIMEOUT_MS);
        clients.forEach(channel -> channel.pipeline().get(Client.class).stopNewRequests());
        clients.newCloseFuture().addListener((Future<Void> f) -> onDrained.run());
    }

    /** Closes the listener and all connections at once. */
    void close() {
        shutDown = true;
        if (listener != null) {
            listener.close();
        }
        clients.close();
    }

    /** One connection of the application. */
    final class Client extends SimpleChannelInboundHandler<HttpObject>
            implements ResponseHandler<RequestMessage, Upstream.Answer>, Framing.HeldBytes {
        private final ClientChannel channel;
        private final ArrayDeque<PendingRequest> pipelined = new ArrayDeque<>();
        /** All that the proxy holds for this connection: requests in part, waiting and open, and unwritten answers. */
        private long heldBytes;
        /** The part that belongs to its requests. */
        private long requestBytes;
        /** The part that waits to be written. */
        private int unwrittenBytes;
        /** The part of these bytes that belongs to the open request's streamed body, until it is being sent. */
        private int uploadBytes;
        /** Since when waiting requests are held back until more is read; 0 if they are not. */
        private long deferredSinceNanos;
        /** Waiting requests that will be refused. */
        private int waitingRefusals;
        /** The part that belongs to the open request. */
        private int openBytes;
        /** The streamed body of the open request; null if there is none. */
        private BodyStream upload;
        /** That body when all of it is read, while its end is held back; null if it is not. */
        private BodyStream heldUpload;

        private final UnseenClose unseenClose = new UnseenClose();
        /** The streamed body of its response; null if there is none. */
        private BodyStream download;
        /** Whether a streamed response has started and its last byte is not written yet. */
        private boolean responseIncomplete;
        /** When the response being written has to be complete, microseconds on the proxy's clock. */
        private long responseDueUs = Long.MAX_VALUE;
        /** The request being read, and its body so far. */
        private RequestHead head;

        private ByteBuf body;
        private long bodyBytes;
        /** Whether the request being read exceeds the buffer limit, so that its body is dropped. */
        private boolean bodyDropped;
        /** Whether the client waits for 100 Continue before it sends the body. */
        private boolean expectsContinue;
        /** Whether further input is ignored, after unreadable input or the connection's last response. */
        private boolean ignoresInput;

        /** Whether a request is being handled or its response is being written. */
        private boolean busy;

        private boolean dispatching;
        private boolean keepAlive;
        private boolean http10;
        private boolean closed;
        /** When the connection last made progress: a response was written or a byte of a request was read. */
        private long lastProgressNanos;
        /** When a byte of the streamed request body was last read, or reading it was resumed. */
        private long uploadProgressNanos;
        /** Since when all bytes that have arrived of that body are read; 0 if there may be unread ones. */
        private long uploadDrainedNanos;
        /** When the first byte of the request being read arrived; 0 if there is none. */
        private long requestStartedNanos;

        private Core.RequestHandle<RequestMessage, Upstream.Answer> requestHandle;

        /** A request as read; or the error status for unreadable input; or a number of requests to be refused. */
        private record PendingRequest(
                RequestHead head, byte[] body, long receivedAtUs, HttpResponseStatus error, int refusedCount) {
            static PendingRequest unreadable(HttpResponseStatus error) {
                return new PendingRequest(null, Framing.NO_BYTES, 0, error, 0);
            }

            static PendingRequest refused(int count) {
                return new PendingRequest(null, Framing.NO_BYTES, 0, null, count);
            }

            int heldBytes() {
                return head == null ? 0 : head.heldBytes() + body.length;
            }
        }

        Client(Channel channel) {
            this.channel = (ClientChannel) channel;
        }

        // ---- memory ----------------------------------------------------------------------------------

        @Override
        public void add(int change) {
            heldBytes += change;
            memory.add(change);
        }

        @Override
        public long allowance() {
            return memory.allowanceBytes();
        }

        private void addRequestBytes(long change) {
            requestBytes += change;
            heldBytes += change;
            memory.add(change);
        }

        private boolean isOverAllowance() {
            return heldBytes >= allowance();
        }

        /** Writes data, which counts as held until the operating system has taken it. */
        private ChannelFuture write(ByteBuf data) {
            int bytes = data.readableBytes();
            add(bytes);
            unwrittenBytes += bytes;
            return channel.writeAndFlush(data).addListener(written -> {
                add(-bytes);
                unwrittenBytes -= bytes;
                paceDownload();
                if (unwrittenBytes == 0) {
                    resumeReading();
                }
            });
        }

        /** Reads the endpoint's response while its client takes it. */
        private void paceDownload() {
            if (download != null) {
                download.setSinkReady(unwrittenBytes == 0 || channel.isWritable() && unwrittenBytes < allowance());
            }
        }

        // ---- reading ---------------------------------------------------------------------------------

        /** Bytes were read. */
        void onBytesRead() {
            long now = System.nanoTime();
            requestStartedNanos = requestStartedNanos == 0 ? now : requestStartedNanos;
            if (upload != null) {
                uploadProgressNanos = now;
                catchUpIfQuiet(now);
                uploadDrainedNanos = 0;
            }
            unseenClose.bytesRead(now);
            // While a response is being written, the connection waits for the client to read, not for its requests.
            if (!busy && idle.remove(this)) {
                lastProgressNanos = now;
                idle.add(this);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (upload != null) {
                upload.flush();
            }
            if (upload != null && channel.config().isAutoRead() && channel.readAllArrived()) {
                uploadDrained();
            }
            if (memory.isFull() && isOverAllowance() && isReadingHead()) {
                rejectUnreadable(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
            ctx.fireChannelReadComplete();
        }

        private boolean isReadingHead() {
            return !ignoresInput && !busy && head == null && pipelined.isEmpty();
        }

        private void uploadDrained() {
            if (uploadDrainedNanos == 0) {
                uploadDrainedNanos = System.nanoTime();
            }
        }

        /**
         * Reading has caught up with the client if nothing more arrives for a while. Until then bytes that the client
         * has sent may still be on their way, held up by a receive window that was full.
         *
         * @return whether nothing has been read for that time
         */
        private boolean catchUpIfQuiet(long now) {
            boolean quiet = uploadDrainedNanos != 0 && now - uploadDrainedNanos >= UnseenClose.QUIET_NANOS;
            if (quiet && requestHandle != null) {
                proxy.readingCaughtUp(requestHandle);
            }
            return quiet;
        }

        /** Whether the connection has exceeded the timeout that applies to its state. */
        private boolean isTimedOut(long now) {
            long idleMs = TimeUnit.NANOSECONDS.toMillis(now - lastProgressNanos);
            if (busy) {
                // The response is being written and the client does not read it.
                return idleMs > IDLE_TIMEOUT_MS
                        || newRequestsStopped && now > answerDeadlineNanos
                        || proxy.now() > responseDueUs;
            }
            if (newRequestsStopped) {
                // A client that is still sending may complete its request within a short time; one that has paused
                // won't.
                return requestStartedNanos == 0 || idleMs > PARTIAL_REQUEST_GAP_MS || now > readDeadlineNanos;
            }
            if (requestStartedNanos == 0) {
                return idleMs > (lifecycle.closesConnections() ? DRAINING_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS);
            }
            long readingMs = TimeUnit.NANOSECONDS.toMillis(now - requestStartedNanos);
            return idleMs > IDLE_TIMEOUT_MS || readingMs > (head == null ? HEAD_TIMEOUT_MS : REQUEST_TIMEOUT_MS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (ignoresInput) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                Throwable cause = message.decoderResult().cause();
                rejectUnreadable(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (message instanceof HttpContent content && !ignoresInput) {
                appendBody(content.content());
                if (message instanceof LastHttpContent && !ignoresInput) {
                    endRequest();
                }
            }
        }

        private void beginRequest(HttpRequest request) {
            String expectation = request.headers().get(HttpHeaderNames.EXPECT);
            expectsContinue = expectation != null;
            if (!Framing.isValid(request)) {
                rejectUnreadable(HttpResponseStatus.BAD_REQUEST);
            } else if (Framing.isBodyTooLarge(request.headers())) {
                rejectUnreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (expectsContinue && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
                rejectUnreadable(HttpResponseStatus.EXPECTATION_FAILED);
            } else {
                head = RequestHead.of(request);
                addRequestBytes(head.heldBytes());
                body = null;
                bodyBytes = 0;
                bodyDropped = false;
                sendContinue();
            }
        }

        /** Sends 100 Continue to a client that expects it, once the requests before it are answered. */
        private void sendContinue() {
            if (expectsContinue && head != null && !busy) {
                expectsContinue = false;
                channel.writeAndFlush(
                        Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII));
            }
        }

        private void appendBody(ByteBuf data) {
            if (!data.isReadable()) {
                return;
            }
            bodyBytes += data.readableBytes();
            if (bodyBytes > BodyStream.MAX_BODY_BYTES) {
                rejectTooLarge();
            } else if (upload != null) {
                if (!upload.attached()) {
                    uploadBytes += data.readableBytes();
                    addRequestBytes(data.readableBytes());
                    if (isOverAllowance()) {
                        setUploadReading(false);
                    }
                }
                upload.receive(data);
            } else if (!bodyDropped) {
                int heldBefore = body == null ? 0 : body.capacity();
                body = body == null ? Upstream.ALLOCATOR.buffer(data.readableBytes()) : body;
                body.writeBytes(data);
                addRequestBytes(body.capacity() - heldBefore);
                streamIfLarge();
                dropBodyIfOverAllowance();
            }
        }

        /**
         * Drops a body while the connection holds more than its allowance; returns whether it has been dropped. Reading
         * goes on, since a client's close is seen only after all that it sent; the request is refused in its turn.
         */
        private boolean dropBodyIfOverAllowance() {
            if (!bodyDropped && upload == null && isOverAllowance()) {
                bodyDropped = true;
                releaseBody();
            }
            return bodyDropped;
        }

        private void releaseBody() {
            if (body != null) {
                addRequestBytes(-body.capacity());
                body.release();
                body = null;
            }
        }

        /** Rejects a chunked body above the size limit. The request is incomplete, so no endpoint has executed it. */
        private void rejectTooLarge() {
            if (upload == null) {
                rejectUnreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else {
                abortRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            }
        }

        /** Streams a body that is too large to be buffered, once no earlier request is open. */
        private void streamIfLarge() {
            if (!busy
                    && head != null
                    && body != null
                    && body.readableBytes() > Framing.MAX_BUFFERED_BODY_BYTES
                    && pipelined.isEmpty()) {
                byte[] firstPart = takeBody();
                addRequestBytes(firstPart.length);
                upload = new BodyStream(head.contentLength(), MAX_UPLOAD_BUFFER_BYTES, this::setUploadReading);
                uploadProgressNanos = System.nanoTime();
                streaming.add(this);
                handle(new PendingRequest(head, firstPart, arrivalUs(), null, 0), upload);
            }
        }

        /** Earliest time at which the data just read may have arrived, microseconds on the proxy's clock. */
        private long arrivalUs() {
            return proxy.now() - stall.ageUs(System.nanoTime());
        }

        /**
         * Reading follows the pace of the body's sink; before there is one, it goes on up to one client's allowance.
         */
        private void setUploadReading(boolean reading) {
            if (heldUpload != null) {
                return;
            }
            if (upload != null && upload.attached()) {
                releaseUploadBytes();
            }
            channel.config().setAutoRead(reading);
            uploadProgressNanos = System.nanoTime();
            uploadDrainedNanos = reading ? uploadDrainedNanos : 0;
            if (!reading && requestHandle != null) {
                proxy.readingPaused(requestHandle);
            }
        }

        private void releaseUploadBytes() {
            addRequestBytes(-uploadBytes);
            uploadBytes = 0;
        }

        private void releaseOpenBytes() {
            addRequestBytes(-openBytes);
            openBytes = 0;
        }

        private byte[] takeBody() {
            byte[] bytes = body == null ? Framing.NO_BYTES : new byte[body.readableBytes()];
            if (body != null) {
                body.readBytes(bytes);
                releaseBody();
            }
            return bytes;
        }

        private void endUpload() {
            BodyStream ended = upload;
            upload = null;
            head = null;
            requestStartedNanos = 0;
            if (download == null) {
                streaming.remove(this);
            }
            if (requestHandle != null) {
                proxy.requestComplete(requestHandle);
            }
            if (unseenClose.isPossible()) {
                holdEndOf(ended);
            } else {
                ended.end(true);
                resumeReading();
            }
        }

        /** Reads on before the end of the body is sent, since a close of the client may be behind it. */
        private void holdEndOf(BodyStream body) {
            heldUpload = body;
            int heldBytes = body.hold();
            if (body.attached()) {
                uploadBytes += heldBytes;
                addRequestBytes(heldBytes);
            }
            resumeReading();
            scheduleHeldEndCheck();
        }

        private void scheduleHeldEndCheck() {
            loop.schedule(this::checkHeldEnd, UnseenClose.QUIET_NANOS, TimeUnit.NANOSECONDS);
        }

        /** Sends the held end of a body once its client is known to be there; closes if the client has closed. */
        private void checkHeldEnd() {
            if (heldUpload == null) {
                return;
            }
            if (channel.closedByClient()) {
                close(Close.BEHIND_BODY);
            } else if (unseenClose.isQuiet(System.nanoTime(), channel.hasUnreadData())) {
                unseenClose.ruleOut();
                BodyStream released = heldUpload;
                heldUpload = null;
                if (released.attached()) {
                    releaseUploadBytes();
                }
                released.end(true);
            } else {
                scheduleHeldEndCheck();
            }
        }

        /** Answers and abandons an open request whose client does not send the rest of it correctly. */
        private void abortRequest(HttpResponseStatus status) {
            Core.RequestHandle<RequestMessage, Upstream.Answer> aborted = requestHandle;
            answer(status);
            if (aborted != null) {
                proxy.abandoned(aborted);
            }
        }

        /**
         * Ends a streamed request whose client sends nothing more, or a streamed response that makes no progress. Each
         * has a time of its own, since progress of the one says nothing about the other. How long they may take in all
         * is limited by the core.
         */
        private void endIfStalled(long now) {
            boolean uploadStalled = false;
            if (upload != null && channel.config().isAutoRead()) {
                if (!channel.closedByClient() && !channel.hasUnreadData()) {
                    uploadDrained();
                    if (catchUpIfQuiet(now)) {
                        unseenClose.ruleOut();
                    }
                }
                uploadStalled = TimeUnit.NANOSECONDS.toMillis(now - uploadProgressNanos) > IDLE_TIMEOUT_MS;
            }
            if (download != null) {
                long stalledMs = TimeUnit.NANOSECONDS.toMillis(now - lastProgressNanos);
                if (uploadStalled || stalledMs > STALL_TIMEOUT_MS) {
                    close(Close.STALLED);
                }
            } else if (uploadStalled) {
                abortRequest(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        }

        private void endRequest() {
            if (upload != null) {
                endUpload();
                return;
            }
            boolean refused = dropBodyIfOverAllowance();
            byte[] wholeBody = takeBody();
            RequestHead request = head;
            head = null;
            requestStartedNanos = 0;
            if (refused) {
                addRequestBytes(-request.heldBytes());
                waitingRefusals++;
                boolean followsRefused =
                        !pipelined.isEmpty() && pipelined.peekLast().refusedCount() > 0;
                pipelined.add(PendingRequest.refused(
                        followsRefused ? pipelined.pollLast().refusedCount() + 1 : 1));
            } else {
                addRequestBytes(wholeBody.length);
                pipelined.add(new PendingRequest(request, wholeBody, arrivalUs(), null, 0));
            }
            dispatchPending();
        }

        /** Stops reading requests from this client: the earlier ones are served, then the error is sent. */
        private void rejectUnreadable(HttpResponseStatus error) {
            ignoresInput = true;
            dropHead();
            pipelined.add(PendingRequest.unreadable(error));
            dispatchPending();
        }

        /** Drops the request being read. */
        private void dropHead() {
            if (head != null && upload == null) {
                addRequestBytes(-head.heldBytes());
                releaseBody();
            }
            head = null;
        }

        /** Resumes reading. At shutdown, input that does not belong to a request already started is dropped. */
        private void resumeReading() {
            if (upload == null) {
                ignoresInput |= newRequestsStopped && requestStartedNanos == 0;
                channel.config().setAutoRead(waitingRefusals < MAX_WAITING_REFUSALS && !isAnswerUntaken());
            }
        }

        /** Whether requests wait behind an answer that the client does not take: it gets no further answer before. */
        private boolean isAnswerUntaken() {
            return unwrittenBytes > 0 && download == null && pipelined.size() > MAX_REQUESTS_BEHIND_ANSWER;
        }

        // ---- answering -------------------------------------------------------------------------------

        /** Handles waiting requests in order while none is open, a limited number in each turn of the event loop. */
        private void dispatchPending() {
            if (dispatching) {
                return;
            }
            dispatching = true;
            int handled = 0;
            while (!busy && !pipelined.isEmpty() && channel.isActive()) {
                if (handled++ == REQUESTS_PER_TURN || awaitsReading()) {
                    // A scheduled task runs after the other connections, one that is only executed before them.
                    loop.schedule(this::continueDispatching, 0, TimeUnit.NANOSECONDS);
                    return;
                }
                PendingRequest next = pipelined.poll();
                waitingRefusals -= next.refusedCount() > 0 ? 1 : 0;
                if (next.refusedCount() > 1) {
                    pipelined.addFirst(PendingRequest.refused(next.refusedCount() - 1));
                }
                handle(next, null);
            }
            dispatching = false;
            sendContinue();
            streamIfLarge();
            resumeReading();
        }

        private void continueDispatching() {
            dispatching = false;
            dispatchPending();
        }

        /** Whether reading may soon show if the client has closed; a client that sends without a pause is not waited for. */
        private boolean awaitsReading() {
            if (pipelined.peek().head() == null || !mayHaveClosedUnseen()) {
                deferredSinceNanos = 0;
                return false;
            }
            long now = System.nanoTime();
            deferredSinceNanos = deferredSinceNanos == 0 ? now : deferredSinceNanos;
            resumeReading();
            return now - deferredSinceNanos < MAX_UNREAD_NANOS;
        }

        /** Whether the client has sent more than could be read for so long that a close behind it may be unseen. */
        private boolean mayHaveClosedUnseen() {
            return upload == null && !channel.readToTheEndWithin(CLOSE_NOTICE_NANOS);
        }

        private void handle(PendingRequest pending, BodyStream remainingBody) {
            busy = true;
            idle.remove(this);
            openBytes = pending.heldBytes() + RequestHead.OPEN_BYTES;
            addRequestBytes(RequestHead.OPEN_BYTES);
            RequestHead request = pending.head();
            keepAlive = request == null ? pending.refusedCount() > 0 : request.keepAlive();
            http10 = request != null && request.http10();
            String path = request == null ? "" : request.path();
            if (pending.refusedCount() > 0) {
                errors.add(ClientError.MEMORY);
                refused(proxy.retryAfterUs());
            } else if (request == null) {
                errors.add(
                        pending.error() == HttpResponseStatus.SERVICE_UNAVAILABLE
                                ? ClientError.MEMORY
                                : ClientError.UNREADABLE);
                answer(pending.error());
            } else if (path.equals("/-/ready")) {
                answer(
                        lifecycle.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        ClientProxy.EMPTY_ANSWER,
                        0,
                        VERSION_HEADER);
            } else if (!path.equals("/api") && !path.startsWith("/api/")) {
                answer(HttpResponseStatus.NOT_FOUND);
            } else if (remainingBody == null && mayHaveClosedUnseen()) {
                errors.add(ClientError.MEMORY);
                refused(proxy.retryAfterUs());
            } else {
                proxy.accept(this, request, pending.body(), remainingBody, pending.receivedAtUs());
            }
        }

        /** The current request is open until {@link #answer}. */
        @Override
        public void opened(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
            this.requestHandle = handle;
        }

        @Override
        public boolean stillWaiting() {
            if (channel.closedByClient()) {
                requestHandle = null;
                close(Close.BY_PEER);
                return false;
            }
            if (mayHaveClosedUnseen()) {
                failed(false);
                return false;
            }
            unseenClose.attemptStarts(upload != null && mayHaveClosedBehindUpload());
            return true;
        }

        /**
         * Whether a close may be behind the part of a streamed body that is not read. While reading is paused, the rest
         * may lie in the client's own buffers, so that what has arrived shows nothing.
         */
        private boolean mayHaveClosedBehindUpload() {
            return !channel.config().isAutoRead() || !channel.readToTheEndWithin(CLOSE_NOTICE_NANOS);
        }

        @Override
        public void served(Upstream.Answer answer) {
            answer(HttpResponseStatus.OK, answer, 0);
        }

        /**
         * Streams the response at the client's pace. If it breaks off, the connection is reset before its end is sent.
         */
        @Override
        public void responseStarted(Upstream.Answer answer) {
            boolean lastOnConnection = isLastOnConnection();
            boolean chunked = answer.remainingBody().length() < 0 && !http10;
            boolean untilClose = answer.remainingBody().length() < 0 && http10;
            BodyStream remainingBody = answer.remainingBody();
            download = remainingBody;
            responseIncomplete = true;
            streaming.add(this);
            lastProgressNanos = System.nanoTime();
            ByteBuf firstPart = Unpooled.wrappedBuffer(answer.body());
            write(Unpooled.wrappedBuffer(
                    Framing.message(
                            Framing.NO_BYTES,
                            encodeHead(
                                    HttpResponseStatus.OK,
                                    chunked
                                            ? "transfer-encoding: chunked\r\n"
                                            : untilClose ? "" : "content-length: " + remainingBody.length() + "\r\n",
                                    answer,
                                    0,
                                    "",
                                    lastOnConnection || untilClose),
                            Framing.NO_BYTES),
                    chunked && firstPart.isReadable() ? Framing.chunk(firstPart) : firstPart));
            remainingBody.attach(new BodyStream.Sink() {
                @Override
                public void write(ByteBuf piece) {
                    lastProgressNanos = System.nanoTime();
                    Client.this.write(chunked ? Framing.chunk(piece) : piece);
                    paceDownload();
                }

                @Override
                public void end(boolean complete) {
                    download = null;
                    responseDueUs = proxy.streamedResponseTakenBy(requestHandle);
                    requestHandle = null;
                    releaseOpenBytes();
                    if (upload == null) {
                        streaming.remove(Client.this);
                    }
                    if (!complete) {
                        close(Close.STALLED);
                        return;
                    }
                    stopUpload();
                    boolean closeConnection = lastOnConnection || untilClose || ignoresInput;
                    markIdle();
                    Client.this
                            .write(chunked ? Framing.lastChunk() : Unpooled.EMPTY_BUFFER)
                            .addListener(written -> onAnswerWritten(closeConnection || !written.isSuccess()));
                }
            });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (download != null) {
                lastProgressNanos = System.nanoTime();
                paceDownload();
            }
        }

        /**
         * Stops the streamed body of a request that is answered before its end: no further request can be read then.
         */
        private boolean stopUpload() {
            if (heldUpload != null) {
                BodyStream stopped = heldUpload;
                heldUpload = null;
                stopped.discard();
            }
            if (upload == null) {
                return false;
            }
            BodyStream stopped = upload;
            upload = null;
            releaseUploadBytes();
            head = null;
            ignoresInput = true;
            streaming.remove(this);
            stopped.discard();
            return true;
        }

        /**
         * Whether the response is the last on its connection. Above half of the connection limit, connections are not
         * kept alive, so that waiting clients get one; clients have a connection limit as well.
         */
        private boolean isLastOnConnection() {
            return !keepAlive
                    || pipelined.isEmpty()
                            && (lifecycle.closesConnections() || clients.size() - closing.size() > maxClients / 2);
        }

        @Override
        public void refused(long retryAfterUs) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientProxy.EMPTY_ANSWER, retryAfterUs);
        }

        @Override
        public void failed(boolean timeUp) {
            answer(timeUp ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY);
        }

        void answer(HttpResponseStatus status) {
            answer(status, ClientProxy.EMPTY_ANSWER, 0);
        }

        /** Writes the final answer of the current request; the next request is handled when it is written. */
        void answer(HttpResponseStatus status, Upstream.Answer answer, long retryAfterUs) {
            answer(status, answer, retryAfterUs, "");
        }

        private void answer(HttpResponseStatus status, Upstream.Answer answer, long retryAfterUs, String extraHeaders) {
            requestHandle = null;
            releaseOpenBytes();
            boolean uploadStopped = stopUpload();
            boolean lastOnConnection = isLastOnConnection() || uploadStopped;
            ByteBuf encoded = encode(status, answer, retryAfterUs, extraHeaders, lastOnConnection);
            markIdle();
            write(encoded).addListener(written -> onAnswerWritten(lastOnConnection || !written.isSuccess()));
        }

        /** The final answer is written: closes the connection or handles the next waiting request. */
        private void onAnswerWritten(boolean lastOnConnection) {
            responseIncomplete = false;
            responseDueUs = Long.MAX_VALUE;
            lastProgressNanos = System.nanoTime();
            if (lastOnConnection) {
                closeGracefully();
            } else {
                releaseUploadBytes();
                busy = false;
                dispatchPending();
            }
        }

        /**
         * Closes a connection without an unanswered request: shuts down the output, then reads and drops data until the
         * client has closed too. A request that crosses the shutdown is dropped here and never sent to an endpoint.
         */
        private void closeGracefully() {
            ignoresInput = true;
            idle.remove(this);
            if (closing.add(this)) {
                lastProgressNanos = System.nanoTime();
                channel.config().setAutoRead(true);
                ((SocketChannel) channel).shutdownOutput().addListener(outputShut -> {
                    if (!outputShut.isSuccess()) {
                        close(Close.BY_PEER);
                    }
                });
                updateAccepting(channel);
            }
        }

        /** Encodes a response for one write; the decoder has checked the endpoint's content type. */
        private static ByteBuf encode(
                HttpResponseStatus status,
                Upstream.Answer answer,
                long retryAfterUs,
                String extraHeaders,
                boolean lastOnConnection) {
            return Framing.message(
                    Framing.NO_BYTES,
                    encodeHead(
                            status,
                            "content-length: " + answer.body().length + "\r\n",
                            answer,
                            retryAfterUs,
                            extraHeaders,
                            lastOnConnection),
                    answer.body());
        }

        private static String encodeHead(
                HttpResponseStatus status,
                String lengthHeader,
                Upstream.Answer answer,
                long retryAfterUs,
                String extraHeaders,
                boolean lastOnConnection) {
            StringBuilder encodedHead = new StringBuilder(160)
                    .append("HTTP/1.1 ")
                    .append(status.codeAsText())
                    .append(' ')
                    .append(status.reasonPhrase())
                    .append("\r\n")
                    .append(lengthHeader);
            if (answer.contentType() != null) {
                encodedHead
                        .append("content-type: ")
                        .append(answer.contentType())
                        .append("\r\n");
            }
            if (retryAfterUs > 0) {
                encodedHead
                        .append("retry-after: ")
                        .append(BigDecimal.valueOf(retryAfterUs, 6)
                                .stripTrailingZeros()
                                .toPlainString())
                        .append("\r\n");
            }
            return encodedHead
                    .append(extraHeaders)
                    .append(lastOnConnection ? "connection: close\r\n\r\n" : "\r\n")
                    .toString();
        }

        /**
         * Closes the connection at once. In the middle of a streamed response it is reset, since a client could mistake
         * a regular close for the end of the response.
         */
        private void close(Close reason) {
            if (!closed) {
                closed = true;
                closes.add(reason);
                if (responseIncomplete && channel.isOpen()) {
                    channel.config().setSoLinger(0);
                }
                boolean answerRequired = requestHandle != null && !responseIncomplete || !pipelined.isEmpty();
                boolean answersUntaken = reason == Close.STALLED && unwrittenBytes > 0;
                boolean closedByPeer = reason == Close.BY_PEER || reason == Close.BEHIND_BODY;
                if (answerRequired && !answersUntaken && !closedByPeer) {
                    guard.verify(RuleGuard.Check.CLOSE_UNANSWERED, channel.closedByClient(), null);
                }
            }
            channel.close();
        }

        /** Starts the idle timeout, which also covers a client that does not read its response. */
        private void markIdle() {
            if (channel.isActive()) {
                lastProgressNanos = System.nanoTime();
                requestStartedNanos = requestStartedNanos == 0 ? 0 : lastProgressNanos;
                idle.remove(this);
                idle.add(this);
                updateAccepting(channel);
            }
        }

        /** Whether a request has started to arrive, including one that the event loop has not read yet. */
        private boolean hasRequestStarted() {
            if (requestStartedNanos == 0 && channel.hasUnreadData()) {
                onBytesRead();
            }
            return requestStartedNanos != 0;
        }

        private void onTimeout() {
            if (!busy && requestStartedNanos == 0 && hasRequestStarted()) {
                return;
            }
            idle.remove(this);
            if (head != null && !busy) {
                busy = true;
                keepAlive = false;
                errors.add(ClientError.TIMED_OUT);
                answer(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (busy) {
                close(Close.STALLED);
            } else {
                closeGracefully();
            }
        }

        /** Stops reading new requests at shutdown; open and partially read requests are still answered. */
        private void stopNewRequests() {
            if (busy || hasRequestStarted()) {
                resumeReading();
            } else {
                closeGracefully();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close(shutDown ? Close.SHUTDOWN : heldUpload != null ? Close.BEHIND_BODY : Close.BY_PEER);
            idle.remove(this);
            closing.remove(this);
            pipelined.clear();
            head = null;
            if (body != null) {
                body.release();
                body = null;
            }
            openBytes = 0;
            uploadBytes = 0;
            addRequestBytes(-requestBytes);
            streaming.remove(this);
            if (upload != null) {
                upload.end(false);
                upload = null;
            }
            if (heldUpload != null) {
                heldUpload.end(false);
                heldUpload = null;
            }
            if (download != null) {
                download.discard();
                download = null;
            }
            if (requestHandle != null) {
                proxy.abandoned(requestHandle);
            }
        }

        /** Closes this connection on any error; the client may retry the request that was open on it. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.endProcessIfFatal(cause);
            close(Close.ERROR);
        }
    }
}
