package mulleinfront.kit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
 * Sends the simulated clients' requests over real sockets. The load is an open loop: each try is sent when it is due
 * and measured from then. A connection carries one request at a time; connections are opened as needed. Runs on the
 * simulation's event loop.
 */
final class ClientDriver {
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private final SimulationClock clock;
    private final HybridSimulation simulation;
    private final AddressPlan addresses;
    private final Scenario scenario;
    private final Bootstrap bootstrap;
    /** Idle connections by client proxy. */
    private final Map<Integer, ArrayDeque<Connection>> idle = new HashMap<>();
    /** Connections by the identifier of the request in flight on them. */
    private final Map<String, Connection> open = new HashMap<>();

    ClientDriver(SimulationClock clock, HybridSimulation simulation, AddressPlan addresses, Scenario scenario) {
        this.clock = clock;
        this.simulation = simulation;
        this.addresses = addresses;
        this.scenario = scenario;
        this.bootstrap = new Bootstrap()
                .group(clock.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000);
    }

    /**
     * Sends a client's request to its proxy.
     *
     * @param openOnly whether to use only idle open connections, as for a proxy that no longer accepts new ones;
     *     without such a connection the request counts as unanswered
     */
    void send(HybridSimulation.Outgoing request, boolean openOnly) {
        ArrayDeque<Connection> idleConnections = idle.computeIfAbsent(request.proxy(), p -> new ArrayDeque<>());
        for (Connection connection; (connection = idleConnections.poll()) != null; ) {
            if (connection.channel.isActive()) {
                connection.write(request, true);
                return;
            }
        }
        if (openOnly) {
            clock.run(() -> simulation.unanswered(request.id(), false));
        } else {
            connect(request);
        }
    }

    /**
     * Opens the connections of a crowd of bad clients to a client proxy and closes them after the given time, unless the
     * proxy did so before.
     */
    void floodConnections(int proxy, int connections, long durationUs) {
        for (int i = 0; i < connections; i++) {
            Channel connection = bootstrap
                    .clone()
                    .handler(new CrowdClient(CrowdClient.kindOf(i)))
                    .connect(addresses.daemon(proxy))
                    .channel();
            clock.loop.schedule(() -> connection.close(), durationUs, TimeUnit.MICROSECONDS);
        }
    }

    private void connect(HybridSimulation.Outgoing request) {
        Connection connection = new Connection(request.proxy());
        open.put(request.id(), connection);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpResponseDecoder(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        connection);
                    }
                })
                .connect(addresses.daemon(request.proxy()))
                .addListener((ChannelFuture future) -> {
                    connection.channel = future.channel();
                    if (!future.isSuccess()) {
                        open.remove(request.id());
                        clock.run(() -> simulation.unanswered(request.id(), false));
                    } else if (open.get(request.id()) != connection) {
                        future.channel().close();
                    } else {
                        connection.write(request, false);
                    }
                });
    }

    /** Abandons a request: its client closes the connection. */
    void abandon(String id) {
        Connection connection = open.remove(id);
        if (connection != null) {
            connection.current = null;
            if (connection.channel != null) {
                connection.channel.close();
            }
        }
    }

    private String encode(HybridSimulation.Outgoing request) {
        RequestClass type = scenario.classes().get(request.classIndex()).type();
        StringBuilder out = new StringBuilder(320);
        out.append(type.effect() == Effect.RETRYABLE ? "GET" : "POST")
                .append(" /api HTTP/1.1\r\nHost: origin.svc")
                .append("\r\nX-Request-Id: ")
                .append(request.id())
                .append("\r\nX-Class: ")
                .append(type.name())
                .append("\r\nX-Deadline-Ms: ")
                .append(Math.max(1, request.deadlineUs() / 1000));
        if (request.key() != null) {
            out.append("\r\nX-Key: ").append(request.key());
        }
        if (!scenario.tenants().isEmpty()) {
            out.append("\r\nX-Tenant: ")
                    .append(scenario.tenants().get(request.tenant()).name());
        }
        if (type.effect() == Effect.DEDUP) {
            out.append("\r\nIdempotency-Key: ").append(request.effect());
        }
        return out.append(type.effect() == Effect.RETRYABLE ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n")
                .toString();
    }

    /** One connection to a client proxy. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int proxy;
        private Channel channel;
        private HybridSimulation.Outgoing current;
        /** Identifier of the last request answered on this connection. */
        private String lastAnsweredId;

        private boolean reused;

        Connection(int proxy) {
            this.proxy = proxy;
        }

        void write(HybridSimulation.Outgoing request, boolean reusing) {
            current = request;
            reused = reusing;
            open.put(request.id(), this);
            channel.writeAndFlush(Unpooled.copiedBuffer(encode(request), StandardCharsets.US_ASCII))
                    .addListener(future -> {
                        if (future.isSuccess()) {
                            clock.run(() -> simulation.tryWritten(request.id()));
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
                String id = lastAnsweredId;
                clock.runAfterReads(() -> simulation.unexpectedResponse(proxy, id));
                return;
            }
            lastAnsweredId = answered.id();
            current = null;
            open.remove(answered.id());
            String body = in.content().toString(StandardCharsets.ISO_8859_1);
            long retryAfterUs = retryAfterUs(in.headers().get("Retry-After"));
            if (HttpUtil.isKeepAlive(in)) {
                idle.get(proxy).push(this);
            } else {
                ctx.close();
            }
            clock.runAfterReads(() -> simulation.answered(answered.id(), status, retryAfterUs, body));
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

        /**
         * A proxy may close between requests; a request that races with the close is sent again on a new connection.
         */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.getOrDefault(proxy, new ArrayDeque<>()).remove(this);
            HybridSimulation.Outgoing unanswered = current;
            current = null;
            if (unanswered == null) {
                return;
            }
            if (reused) {
                clock.run(() -> simulation.closedDuringWrite(unanswered.id()));
                connect(unanswered);
            } else {
                open.remove(unanswered.id());
                clock.run(() -> simulation.unanswered(unanswered.id(), true));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
