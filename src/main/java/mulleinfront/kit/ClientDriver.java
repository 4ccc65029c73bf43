package mulleinfront.kit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.emulator.HybridSimulation;
import mulleinfront.emulator.Scenario;

/**
 * The stage's clients on real sockets: an open loop, whose tries are sent when they are due and measured from then,
 * one request at a time on each connection, as many connections as that takes. On the world's event loop.
 */
final class ClientDriver {
    private static final int MOST_BODY = 256 * 1024;

    private final WorldClock clock;
    private final HybridSimulation stage;
    private final Places places;
    private final Scenario scenario;
    private final Bootstrap bootstrap;
    private final Map<Integer, ArrayDeque<Connection>> idle = new HashMap<>();
    private final Map<String, Connection> open = new HashMap<>();

    ClientDriver(WorldClock clock, HybridSimulation stage, Places places, Scenario scenario) {
        this.clock = clock;
        this.stage = stage;
        this.places = places;
        this.scenario = scenario;
        this.bootstrap = new Bootstrap()
                .group(clock.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000);
    }

    /**
     * A client sends a request.
     *
     * @param openOnly whether nobody connects any more: it goes on a connection that is open, if there is one
     */
    void send(HybridSimulation.Outgoing request, boolean openOnly) {
        ArrayDeque<Connection> rested = idle.computeIfAbsent(request.proxy(), p -> new ArrayDeque<>());
        for (Connection c; (c = rested.poll()) != null; ) {
            if (c.channel.isActive()) {
                c.write(request, true);
                return;
            }
        }
        if (openOnly) {
            clock.run(() -> stage.unanswered(request.id(), false));
        } else {
            connect(request);
        }
    }

    /** So many clients connect to a client proxy and say nothing; they close after a while, if they are let. */
    void crowd(int proxy, int connections, long forUs) {
        for (int i = 0; i < connections; i++) {
            Channel silent = bootstrap
                    .clone()
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(places.daemon(proxy))
                    .channel();
            clock.loop.schedule(() -> silent.close(), forUs, TimeUnit.MICROSECONDS);
        }
    }

    private void connect(HybridSimulation.Outgoing request) {
        Connection made = new Connection(request.proxy());
        open.put(request.id(), made);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MOST_BODY), made);
                    }
                })
                .connect(places.daemon(request.proxy()))
                .addListener((ChannelFuture f) -> {
                    made.channel = f.channel();
                    if (!f.isSuccess()) {
                        open.remove(request.id());
                        clock.run(() -> stage.unanswered(request.id(), false));
                    } else if (open.get(request.id()) != made) {
                        f.channel().close();
                    } else {
                        made.write(request, false);
                    }
                });
    }

    /** The client waits no longer and closes its connection. */
    void leave(String id) {
        Connection c = open.remove(id);
        if (c != null) {
            c.current = null;
            if (c.channel != null) {
                c.channel.close();
            }
        }
    }

    private String encode(HybridSimulation.Outgoing r) {
        RequestClass type = scenario.classes().get(r.classIndex()).type();
        StringBuilder out = new StringBuilder(320);
        out.append(type.effect() == Effect.RETRYABLE ? "GET" : "POST")
                .append(" /api HTTP/1.1\r\nHost: origin.svc")
                .append("\r\nX-Request-Id: ")
                .append(r.id())
                .append("\r\nX-Class: ")
                .append(type.name())
                .append("\r\nX-Deadline-Ms: ")
                .append(Math.max(1, r.deadlineUs() / 1000));
        if (r.key() != null) {
            out.append("\r\nX-Key: ").append(r.key());
        }
        if (!scenario.tenants().isEmpty()) {
            out.append("\r\nX-Tenant: ")
                    .append(scenario.tenants().get(r.tenant()).name());
        }
        if (type.effect() == Effect.DEDUP) {
            out.append("\r\nIdempotency-Key: ").append(r.effect());
        }
        return out.append(type.effect() == Effect.RETRYABLE ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n")
                .toString();
    }

    /** One connection to a client proxy. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int proxy;
        private Channel channel;
        private HybridSimulation.Outgoing current;
        /** The request that was answered last on it. */
        private String last;

        private boolean reused;

        Connection(int proxy) {
            this.proxy = proxy;
        }

        void write(HybridSimulation.Outgoing request, boolean again) {
            current = request;
            reused = again;
            open.put(request.id(), this);
            channel.writeAndFlush(Unpooled.copiedBuffer(encode(request), StandardCharsets.US_ASCII))
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            clock.run(() -> stage.taken(request.id()));
                        }
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse in) {
            HybridSimulation.Outgoing answered = current;
            int status = in.status().code();
            if (status < 200) {
                return;
            }
            if (answered == null) {
                String id = last;
                clock.run(() -> stage.answeredAgain(proxy, id));
                return;
            }
            last = answered.id();
            current = null;
            open.remove(answered.id());
            String body = in.content().toString(StandardCharsets.ISO_8859_1);
            long retryAfterUs = retryAfterUs(in.headers().get("Retry-After"));
            if (HttpUtil.isKeepAlive(in)) {
                idle.get(proxy).push(this);
            } else {
                ctx.close();
            }
            clock.run(() -> stage.answered(answered.id(), status, retryAfterUs, body));
        }

        private static long retryAfterUs(String seconds) {
            try {
                return seconds == null
                        ? 0
                        : new BigDecimal(seconds).movePointRight(6).longValue();
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        /** A client proxy may close between requests; one that this crosses is sent once more on a new connection. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.getOrDefault(proxy, new ArrayDeque<>()).remove(this);
            HybridSimulation.Outgoing lost = current;
            current = null;
            if (lost == null) {
                return;
            }
            if (reused) {
                clock.run(() -> stage.crossed(lost.id()));
                connect(lost);
            } else {
                open.remove(lost.id());
                clock.run(() -> stage.unanswered(lost.id(), true));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
