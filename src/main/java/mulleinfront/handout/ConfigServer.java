package mulleinfront.handout;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mulleinfront.config.ConfigPublisher;
import mulleinfront.config.Difference;
import mulleinfront.config.Proposal;
import mulleinfront.config.PublisherSettings;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;
import mulleinfront.settings.DifferenceLine;
import mulleinfront.settings.WatchLine;

/**
 * Configuration server at the client endpoint of a control-plane node. {@code POST
 * /config/watch?name=N&after=V&checksum=C} opens a watch: the response body is a stream with a line for each delta
 * and heartbeat, the request body is a stream with a line for each report of the active version. {@code POST
 * /config/propose}, {@code GET /config/status} and {@code GET /config/history} are for operators. Everything runs on
 * one event loop.
 */
public final class ConfigServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_REPORT_BYTES = 256;
    private static final int ACCEPT_BACKLOG = 1_024;
    /** Bytes that may be queued in this process for one subscriber. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(4 * 1024, 16 * 1024);
    /** A connection is closed after this time unless it has become a watch. */
    private static final long REQUEST_CONNECTION_LIFETIME_MS = 10_000;

    private static final int MAX_HISTORY_VERSIONS = 100;

    private final String name;
    private final EventLoop eventLoop;
    private final VersionLog versionLog;
    private final ConfigEventLog eventLog;
    private final ConfigPublisher publisher;
    private final Map<Long, Channel> watchChannels = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private Future<?> timer;
    private long lastWatchId;
    private long sentBytes;
    private Channel listener;

    private ConfigServer(
            String name,
            EventLoop eventLoop,
            VersionLog versionLog,
            PublisherSettings settings,
            ConfigEventLog eventLog) {
        this.name = name;
        this.eventLoop = eventLoop;
        this.versionLog = versionLog;
        this.eventLog = eventLog;
        this.publisher = new ConfigPublisher(settings, versionLog, new ChannelWire());
    }

    /**
     * Starts a server on the given address.
     *
     * @param eventLogFile file of the event log, or null for none
     * @throws IOException if the server can't listen on the address or the event log can't be opened; the message
     *         is one line
     */
    public static ConfigServer start(
            String name,
            EventLoop eventLoop,
            InetSocketAddress address,
            VersionLog versionLog,
            PublisherSettings settings,
            Path eventLogFile)
            throws IOException {
        ConfigServer server =
                new ConfigServer(name, eventLoop, versionLog, settings, new ConfigEventLog(eventLogFile, name));
        eventLoop
                .submit(() -> versionLog.addListener(server::onVersionCommitted))
                .awaitUninterruptibly();
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), server.new ConnectionHandler());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            server.eventLog.close();
            throw new IOException(
                    "can't listen on " + address + ": " + bindFuture.cause().getMessage(), bindFuture.cause());
        }
        server.listener = bindFuture.channel();
        return server;
    }

    /** The address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Monotonic time in microseconds. */
    private long nowUs() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    private void onVersionCommitted(Version version) {
        eventLog.write("decided", json -> {
            json.writeNumberField("version", version.number());
            json.writeStringField("why", version.description());
            json.writeNumberField("proposed_ms", version.proposedAtMs());
            json.writeNumberField("keys", version.entries().size());
        });
        publisher.onVersionCommitted(nowUs());
    }

    /** Closes all watches; their subscribers move to another node. */
    @Override
    public void close() throws IOException {
        listener.close();
        eventLoop
                .submit(() -> {
                    List.copyOf(watchChannels.values()).forEach(Channel::close);
                    if (timer != null) {
                        timer.cancel(false);
                    }
                })
                .awaitUninterruptibly();
        eventLog.close();
    }

    /** Sends the lines of the publisher over the channels of the watches. */
    private final class ChannelWire implements ConfigPublisher.Wire {
        @Override
        public byte[] encodeDelta(Difference delta) {
            byte[] line = DifferenceLine.write(delta);
            eventLog.write("handed-out", json -> {
                json.writeNumberField("version", delta.to());
                json.writeNumberField("from", delta.from());
                json.writeNumberField("bytes", line.length);
            });
            return line;
        }

        @Override
        public byte[] encodeHeartbeat(long newest, boolean quorumContact) {
            return WatchLine.heartbeat(newest, quorumContact);
        }

        @Override
        public void send(long watchId, byte[] line, int from, int to) {
            Channel watch = watchChannels.get(watchId);
            if (watch != null) {
                sentBytes += to - from;
                watch.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line, from, to - from)));
            }
        }

        @Override
        public void close(long watchId, String reason) {
            Channel watch = watchChannels.remove(watchId);
            if (watch != null) {
                eventLog.write("watch-closed", json -> {
                    json.writeNumberField("watch", watchId);
                    json.writeStringField("reason", reason);
                });
                watch.close();
            }
        }

        @Override
        public void wakeAt(long timeUs) {
            if (timer != null) {
                timer.cancel(false);
            }
            timer = eventLoop.schedule(() -> publisher.onTimer(nowUs()), timeUs - nowUs(), TimeUnit.MICROSECONDS);
        }
    }

    // ---- one connection ------------------------------------------------------------------------------

    /** Handles the requests of one connection in sequence; a watch is the last of them. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;
        private ByteBuf body;
        private Future<?> lifetimeTimer;
        /** Identifier of the watch; 0 while the connection is not a watch. */
        private long watchId;

        private String subscriberName;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            lifetimeTimer = ctx.executor()
                    .schedule(
                            () -> {
                                if (watchId == 0) {
                                    ctx.close();
                                }
                            },
                            REQUEST_CONNECTION_LIFETIME_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            if (message.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (message instanceof HttpRequest httpRequest) {
                request = httpRequest;
                body = ctx.alloc().buffer();
                if (new QueryStringDecoder(httpRequest.uri()).path().equals("/config/watch")) {
                    startWatch(ctx);
                }
            }
            if (message instanceof HttpContent content && watchId == 0 && body != null) {
                if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
                    ctx.close();
                    return;
                }
                body.writeBytes(content.content());
                if (message instanceof LastHttpContent) {
                    handleRequest(ctx, ByteBufUtil.getBytes(body));
                    releaseBody();
                }
            } else if (watchId != 0 && message instanceof LastHttpContent) {
                ctx.close();
            } else if (watchId != 0 && message instanceof HttpContent content) {
                ctx.fireChannelRead(content.content().retain());
            }
        }

        private void releaseBody() {
            if (body != null) {
                body.release();
                body = null;
            }
        }

        private void startWatch(ChannelHandlerContext ctx) {
            releaseBody();
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            subscriberName = parameter(query, "name", "");
            long baseVersion;
            long checksum;
            try {
                baseVersion = Long.parseLong(parameter(query, "after", "0"));
                checksum = DifferenceLine.parseChecksum(parameter(query, "checksum", "0"));
            } catch (IOException | NumberFormatException malformed) {
                baseVersion = -1;
                checksum = 0;
            }
            if (!request.method().equals(HttpMethod.POST)
                    || !subscriberName.matches("[!-~]{1,64}")
                    || baseVersion < 0) {
                reply(
                        ctx,
                        HttpResponseStatus.BAD_REQUEST,
                        "a watch is a POST with name, after and checksum\n".getBytes(StandardCharsets.US_ASCII),
                        true);
                return;
            }
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers()
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
            ctx.pipeline().addLast(new JsonObjectDecoder(MAX_REPORT_BYTES), new ReportHandler(this));
            watchId = ++lastWatchId;
            ctx.write(head);
            watchChannels.put(watchId, ctx.channel());
            boolean accepted = publisher.openWatch(nowUs(), watchId, subscriberName, baseVersion, checksum);
            ctx.flush();
            if (!accepted) {
                watchChannels.remove(watchId);
                ctx.close();
                return;
            }
            long openedWatch = watchId;
            long requestedBase = baseVersion;
            eventLog.write("watch-opened", json -> {
                json.writeNumberField("watch", openedWatch);
                json.writeStringField("reader", subscriberName);
                json.writeNumberField("after", requestedBase);
            });
        }

        void onReport(WatchLine line) {
            publisher.onReport(nowUs(), watchId, line.version(), line.checksum());
            if (lastReportedVersion != line.version()) {
                lastReportedVersion = line.version();
                eventLog.write("in-force", json -> {
                    json.writeNumberField("version", line.version());
                    json.writeStringField("reader", subscriberName);
                });
            }
        }

        private long lastReportedVersion = -1;

        private void handleRequest(ChannelHandlerContext ctx, byte[] requestBody) {
            String path = new QueryStringDecoder(request.uri()).path();
            String methodAndPath = request.method() + " " + path;
            switch (methodAndPath) {
                case "GET /config/status" -> reply(ctx, HttpResponseStatus.OK, status(), false);
                case "GET /config/history" -> reply(ctx, HttpResponseStatus.OK, history(), false);
                case "POST /config/propose" -> propose(ctx, requestBody);
                default ->
                    reply(
                            ctx,
                            HttpResponseStatus.NOT_FOUND,
                            "no such call\n".getBytes(StandardCharsets.US_ASCII),
                            true);
            }
        }

        private void propose(ChannelHandlerContext ctx, byte[] requestBody) {
            Proposal proposal;
            try {
                proposal = WatchLine.readProposal(requestBody);
            } catch (IOException malformed) {
                reply(
                        ctx,
                        HttpResponseStatus.BAD_REQUEST,
                        WatchLine.toLine(json -> {
                            json.writeStringField("what", "bad");
                            json.writeStringField(
                                    "reason",
                                    String.valueOf(malformed.getMessage()).replace('\n', ' '));
                        }),
                        true);
                return;
            }
            eventLog.write("proposed", json -> {
                json.writeStringField("id", proposal.id());
                json.writeStringField("why", proposal.description());
                json.writeNumberField("based_on", proposal.baseVersion());
            });
            versionLog.propose(
                    proposal,
                    result -> eventLoop.execute(() -> {
                        eventLog.write("answered", json -> {
                            json.writeStringField("id", proposal.id());
                            json.writeStringField("what", outputName(result.outcome()));
                            json.writeNumberField("version", result.version());
                            json.writeStringField("reason", result.reason());
                        });
                        reply(
                                ctx,
                                HttpResponseStatus.OK,
                                WatchLine.toLine(json -> {
                                    json.writeStringField("what", outputName(result.outcome()));
                                    json.writeNumberField("version", result.version());
                                    json.writeStringField("reason", result.reason());
                                }),
                                true);
                    }));
        }

        private void reply(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] body, boolean closeAfterwards) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            if (closeAfterwards) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = ctx.writeAndFlush(response);
            if (closeAfterwards) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (watchId != 0) {
                publisher.onWritabilityChanged(watchId, ctx.channel().isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            releaseBody();
            lifetimeTimer.cancel(false);
            if (watchId != 0 && watchChannels.remove(watchId) != null) {
                publisher.onWatchClosed(watchId);
                long endedWatch = watchId;
                eventLog.write("watch-ended", json -> {
                    json.writeNumberField("watch", endedWatch);
                    json.writeStringField("reader", subscriberName);
                });
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Handles the reports that a subscriber sends on its watch. */
    private static final class ReportHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final ConnectionHandler connection;

        ReportHandler(ConnectionHandler connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf object) throws IOException {
            connection.onReport(WatchLine.read(ByteBufUtil.getBytes(object)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static String parameter(QueryStringDecoder query, String key, String defaultValue) {
        List<String> values = query.parameters().getOrDefault(key, List.of());
        return values.isEmpty() ? defaultValue : values.get(0);
    }

    private static String outputName(VersionLog.ProposalOutcome outcome) {
        return outcome.name().toLowerCase(java.util.Locale.ROOT);
    }

    // ---- for operators -------------------------------------------------------------------------------

    private byte[] status() {
        long nowUs = nowUs();
        return WatchLine.toLine(json -> {
            json.writeStringField("machine", name);
            json.writeNumberField("newest", versionLog.newest().number());
            json.writeBooleanField("in_touch", versionLog.hasQuorumContact());
            json.writeNumberField("sent_bytes", sentBytes);
            json.writeArrayFieldStart("readers");
            for (ConfigPublisher.SubscriberStatus subscriber : publisher.subscribers()) {
                json.writeStartObject();
                json.writeStringField("name", subscriber.name());
                json.writeNumberField("at", subscriber.activeVersion());
                json.writeBooleanField("same", subscriber.checksumMatches());
                json.writeNumberField("sent", subscriber.sentVersion());
                json.writeBooleanField("watching", subscriber.watching());
                json.writeNumberField("heard_ms", (nowUs - subscriber.lastHeardUs()) / 1_000);
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    private byte[] history() {
        return WatchLine.toLine(json -> {
            json.writeStringField("machine", name);
            json.writeArrayFieldStart("versions");
            long newest = versionLog.newest().number();
            for (long number = newest; number > 0 && number > newest - MAX_HISTORY_VERSIONS; number--) {
                Version version = versionLog.find(number);
                if (version == null) {
                    break;
                }
                Version previous = number == 1 ? Version.NONE : versionLog.find(number - 1);
                json.writeStartObject();
                json.writeNumberField("version", number);
                json.writeNumberField("proposed_ms", version.proposedAtMs());
                json.writeStringField("why", version.description());
                json.writeNumberField("keys", version.entries().size());
                if (previous != null) {
                    Difference delta = Difference.between(previous, version);
                    json.writeNumberField("changed", delta.changed().size());
                    json.writeNumberField("removed", delta.removed().size());
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }
}
