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
 * A control machine's door. {@code POST /config/watch?name=N&after=V&checksum=C} is a watch: its answer's
 * body goes on with a line for each difference and heartbeat, its request's with a line for each version in
 * force. {@code POST
 * /config/propose}, {@code GET /config/status} and {@code GET /config/history} are for operators. All on one
 * event loop.
 */
public final class HandoutServer implements AutoCloseable {
    private static final int LONGEST_BODY = 1024 * 1024;
    private static final int LONGEST_REPORT = 256;
    private static final int BACKLOG = 1_024;
    /** What may wait for one reader in this process. */
    private static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(4 * 1024, 16 * 1024);
    /** A connection on which no call has come to its end within this is closed. */
    private static final long CALL_MS = 10_000;

    private static final int HISTORY = 100;

    private final String name;
    private final EventLoop loop;
    private final VersionLog ledger;
    private final HandoutLog log;
    private final ConfigPublisher handout;
    private final Map<Long, Channel> watches = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private Future<?> timer;
    private long calls;
    private long sentBytes;
    private Channel listener;

    private HandoutServer(String name, EventLoop loop, VersionLog ledger, PublisherSettings settings, HandoutLog log) {
        this.name = name;
        this.loop = loop;
        this.ledger = ledger;
        this.log = log;
        this.handout = new ConfigPublisher(settings, ledger, new Sockets());
    }

    /**
     * Listens.
     *
     * @param events file of the event log, or null
     * @throws IOException one line: the address can't be had, or the event log can't be written
     */
    public static HandoutServer start(
            String name,
            EventLoop loop,
            InetSocketAddress address,
            VersionLog ledger,
            PublisherSettings settings,
            Path events)
            throws IOException {
        HandoutServer server = new HandoutServer(name, loop, ledger, settings, new HandoutLog(events, name));
        loop.submit(() -> ledger.listen(server::decided)).awaitUninterruptibly();
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), server.new Call());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            server.log.close();
            throw new IOException(
                    "can't listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        server.listener = bound.channel();
        return server;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Microseconds of a clock that never jumps. */
    private long now() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    private void decided(Version version) {
        log.write("decided", json -> {
            json.writeNumberField("version", version.number());
            json.writeStringField("why", version.why());
            json.writeNumberField("proposed_ms", version.decidedAtMillis());
            json.writeNumberField("keys", version.entries().size());
        });
        handout.decided(now());
    }

    /** Ends all watches; whoever watched looks for another machine. */
    @Override
    public void close() throws IOException {
        listener.close();
        loop.submit(() -> {
                    List.copyOf(watches.values()).forEach(Channel::close);
                    if (timer != null) {
                        timer.cancel(false);
                    }
                })
                .awaitUninterruptibly();
        log.close();
    }

    /** What handing out acts by. */
    private final class Sockets implements ConfigPublisher.Wire {
        @Override
        public byte[] line(Difference difference) {
            byte[] line = DifferenceLine.write(difference);
            log.write("handed-out", json -> {
                json.writeNumberField("version", difference.to());
                json.writeNumberField("from", difference.from());
                json.writeNumberField("bytes", line.length);
            });
            return line;
        }

        @Override
        public byte[] heartbeat(long newest, boolean inTouch) {
            return WatchLine.heartbeat(newest, inTouch);
        }

        @Override
        public void send(long reader, byte[] line, int from, int to) {
            Channel watch = watches.get(reader);
            if (watch != null) {
                sentBytes += to - from;
                watch.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line, from, to - from)));
            }
        }

        @Override
        public void close(long reader, String reason) {
            Channel watch = watches.remove(reader);
            if (watch != null) {
                log.write("watch-closed", json -> {
                    json.writeNumberField("watch", reader);
                    json.writeStringField("reason", reason);
                });
                watch.close();
            }
        }

        @Override
        public void wakeAt(long us) {
            if (timer != null) {
                timer.cancel(false);
            }
            timer = loop.schedule(() -> handout.onTimer(now()), us - now(), TimeUnit.MICROSECONDS);
        }
    }

    // ---- one connection ------------------------------------------------------------------------------

    /** Calls one after the other, until one of them is a watch. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;
        private ByteBuf body;
        private Future<?> guard;
        /** Its number as a watch; 0: it is none. */
        private long watch;

        private String reader;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            guard = ctx.executor()
                    .schedule(
                            () -> {
                                if (watch == 0) {
                                    ctx.close();
                                }
                            },
                            CALL_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) throws IOException {
            if (in.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (in instanceof HttpRequest r) {
                request = r;
                body = ctx.alloc().buffer();
                if (new QueryStringDecoder(r.uri()).path().equals("/config/watch")) {
                    watch(ctx);
                }
            }
            if (in instanceof HttpContent content && watch == 0 && body != null) {
                if (body.readableBytes() + content.content().readableBytes() > LONGEST_BODY) {
                    ctx.close();
                    return;
                }
                body.writeBytes(content.content());
                if (in instanceof LastHttpContent) {
                    answer(ctx, ByteBufUtil.getBytes(body));
                    drop();
                }
            } else if (watch != 0 && in instanceof LastHttpContent) {
                ctx.close();
            } else if (watch != 0 && in instanceof HttpContent content) {
                ctx.fireChannelRead(content.content().retain());
            }
        }

        private void drop() {
            if (body != null) {
                body.release();
                body = null;
            }
        }

        private void watch(ChannelHandlerContext ctx) {
            drop();
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            reader = parameter(query, "name", "");
            long after;
            long checksum;
            try {
                after = Long.parseLong(parameter(query, "after", "0"));
                checksum = DifferenceLine.checksum(parameter(query, "checksum", "0"));
            } catch (IOException | NumberFormatException e) {
                after = -1;
                checksum = 0;
            }
            if (!request.method().equals(HttpMethod.POST) || !reader.matches("[!-~]{1,64}") || after < 0) {
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
            ctx.pipeline().addLast(new JsonObjectDecoder(LONGEST_REPORT), new Reports(this));
            watch = ++calls;
            ctx.write(head);
            watches.put(watch, ctx.channel());
            boolean taken = handout.open(now(), watch, reader, after, checksum);
            ctx.flush();
            if (!taken) {
                watches.remove(watch);
                ctx.close();
                return;
            }
            long number = watch;
            long has = after;
            log.write("watch-opened", json -> {
                json.writeNumberField("watch", number);
                json.writeStringField("reader", reader);
                json.writeNumberField("after", has);
            });
        }

        void reported(WatchLine line) {
            handout.reported(now(), watch, line.number(), line.checksum());
            if (said != line.number()) {
                said = line.number();
                log.write("in-force", json -> {
                    json.writeNumberField("version", line.number());
                    json.writeStringField("reader", reader);
                });
            }
        }

        private long said = -1;

        private void answer(ChannelHandlerContext ctx, byte[] in) {
            String path = new QueryStringDecoder(request.uri()).path();
            String call = request.method() + " " + path;
            switch (call) {
                case "GET /config/status" -> reply(ctx, HttpResponseStatus.OK, status(), false);
                case "GET /config/history" -> reply(ctx, HttpResponseStatus.OK, history(), false);
                case "POST /config/propose" -> propose(ctx, in);
                default ->
                    reply(
                            ctx,
                            HttpResponseStatus.NOT_FOUND,
                            "no such call\n".getBytes(StandardCharsets.US_ASCII),
                            true);
            }
        }

        private void propose(ChannelHandlerContext ctx, byte[] in) {
            Proposal proposal;
            try {
                proposal = WatchLine.readProposal(in);
            } catch (IOException e) {
                reply(
                        ctx,
                        HttpResponseStatus.BAD_REQUEST,
                        WatchLine.object(json -> {
                            json.writeStringField("what", "bad");
                            json.writeStringField(
                                    "reason", String.valueOf(e.getMessage()).replace('\n', ' '));
                        }),
                        true);
                return;
            }
            log.write("proposed", json -> {
                json.writeStringField("id", proposal.id());
                json.writeStringField("why", proposal.why());
                json.writeNumberField("based_on", proposal.basedOn());
            });
            ledger.propose(
                    proposal,
                    answer -> loop.execute(() -> {
                        log.write("answered", json -> {
                            json.writeStringField("id", proposal.id());
                            json.writeStringField("what", word(answer.what()));
                            json.writeNumberField("version", answer.number());
                            json.writeStringField("reason", answer.reason());
                        });
                        reply(
                                ctx,
                                HttpResponseStatus.OK,
                                WatchLine.object(json -> {
                                    json.writeStringField("what", word(answer.what()));
                                    json.writeNumberField("version", answer.number());
                                    json.writeStringField("reason", answer.reason());
                                }),
                                true);
                    }));
        }

        private void reply(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] text, boolean last) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, text.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = ctx.writeAndFlush(response);
            if (last) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (watch != 0) {
                handout.writable(watch, ctx.channel().isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            drop();
            guard.cancel(false);
            if (watch != 0 && watches.remove(watch) != null) {
                handout.closed(watch);
                long number = watch;
                log.write("watch-ended", json -> {
                    json.writeNumberField("watch", number);
                    json.writeStringField("reader", reader);
                });
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** What a reader says on its watch. */
    private static final class Reports extends SimpleChannelInboundHandler<ByteBuf> {
        private final Call call;

        Reports(Call call) {
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf object) throws IOException {
            call.reported(WatchLine.read(ByteBufUtil.getBytes(object)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static String parameter(QueryStringDecoder query, String key, String absent) {
        List<String> values = query.parameters().getOrDefault(key, List.of());
        return values.isEmpty() ? absent : values.get(0);
    }

    private static String word(VersionLog.ProposalOutcome what) {
        return what.name().toLowerCase(java.util.Locale.ROOT);
    }

    // ---- for operators -------------------------------------------------------------------------------

    private byte[] status() {
        long now = now();
        return WatchLine.object(json -> {
            json.writeStringField("machine", name);
            json.writeNumberField("newest", ledger.newest().number());
            json.writeBooleanField("in_touch", ledger.hasQuorumContact());
            json.writeNumberField("sent_bytes", sentBytes);
            json.writeArrayFieldStart("readers");
            for (ConfigPublisher.SubscriberStatus s : handout.subscribers()) {
                json.writeStartObject();
                json.writeStringField("name", s.name());
                json.writeNumberField("at", s.at());
                json.writeBooleanField("same", s.same());
                json.writeNumberField("sent", s.sent());
                json.writeBooleanField("watching", s.watching());
                json.writeNumberField("heard_ms", (now - s.heardUs()) / 1_000);
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    private byte[] history() {
        return WatchLine.object(json -> {
            json.writeStringField("machine", name);
            json.writeArrayFieldStart("versions");
            long newest = ledger.newest().number();
            for (long n = newest; n > 0 && n > newest - HISTORY; n--) {
                Version v = ledger.at(n);
                if (v == null) {
                    break;
                }
                Version before = n == 1 ? Version.NONE : ledger.at(n - 1);
                json.writeStartObject();
                json.writeNumberField("version", n);
                json.writeNumberField("proposed_ms", v.decidedAtMillis());
                json.writeStringField("why", v.why());
                json.writeNumberField("keys", v.entries().size());
                if (before != null) {
                    Difference d = Difference.between(before, v);
                    json.writeNumberField("changed", d.changed().size());
                    json.writeNumberField("removed", d.removed().size());
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }
}
