package mulleinfront.kit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import mulleinfront.emulator.HybridSimulation;
import mulleinfront.emulator.HybridSimulation.ConnectBehaviour;

/**
 * Serves the simulation's servers on real sockets. For each pair of client proxy and server there is an address that
 * accepts connections, refuses them or does not respond, as the simulation currently requires. Runs on the simulation's
 * event loop.
 */
final class StandInServers {
    private static final int MAX_REBINDS = 200;
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private final SimulationClock clock;
    private final HybridSimulation simulation;
    private final AddressPlan addresses;
    private final int proxies;
    private final Map<Integer, ServerAddress[]> byAddress = new HashMap<>();
    private volatile IOException bindFailure;

    StandInServers(SimulationClock clock, HybridSimulation simulation, AddressPlan addresses, int proxies) {
        this.clock = clock;
        this.simulation = simulation;
        this.addresses = addresses;
        this.proxies = proxies;
    }

    /** The address of one server for one client proxy. */
    private final class ServerAddress {
        private final int proxy;
        private final int address;
        private final Set<Channel> connections = new HashSet<>();
        private ConnectBehaviour behaviour = ConnectBehaviour.REFUSED;
        private Channel listener;
        private BlackHole blackHole;

        ServerAddress(int proxy, int address) {
            this.proxy = proxy;
            this.address = address;
        }

        void apply(ConnectBehaviour wanted) {
            if (wanted == behaviour) {
                return;
            }
            boolean reachableAgain = behaviour == ConnectBehaviour.SILENT && wanted == ConnectBehaviour.OPEN;
            unbind();
            behaviour = wanted;
            open(MAX_REBINDS);
            if (reachableAgain) {
                reset();
            }
        }

        /**
         * Binds the address. A closed listener holds its port until the event loop's next iteration, so a failed bind
         * is retried.
         */
        private void open(int tries) {
            ConnectBehaviour wanted = behaviour;
            if (wanted == ConnectBehaviour.SILENT) {
                try {
                    blackHole = new BlackHole(addresses.server(proxy, address));
                } catch (IOException e) {
                    retry(wanted, tries, e);
                }
            } else if (wanted == ConnectBehaviour.OPEN) {
                listen(tries);
            }
        }

        private void retry(ConnectBehaviour wanted, int tries, Throwable cause) {
            if (tries == 0) {
                recordFailure(new IOException(
                        "failed to listen on " + addresses.server(proxy, address) + ": " + cause.getMessage()));
            } else {
                clock.loop.schedule(
                        () -> {
                            if (behaviour == wanted && listener == null && blackHole == null) {
                                open(tries - 1);
                            }
                        },
                        1,
                        TimeUnit.MILLISECONDS);
            }
        }

        private void unbind() {
            if (listener != null) {
                listener.close();
                listener = null;
            }
            if (blackHole != null) {
                blackHole.close();
                blackHole = null;
            }
        }

        private void listen(int tries) {
            ChannelFuture bound = new ServerBootstrap()
                    .group(clock.loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, 1024)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new ArrivalRecorder(ServerAddress.this),
                                            new HttpRequestDecoder(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new ServerConnection(ServerAddress.this));
                        }
                    })
                    .bind(addresses.server(proxy, address));
            listener = bound.channel();
            bound.addListener(future -> {
                if (!future.isSuccess() && listener == bound.channel()) {
                    listener = null;
                    retry(ConnectBehaviour.OPEN, tries, future.cause());
                }
            });
        }

        void reset() {
            for (Channel connection : List.copyOf(connections)) {
                StandInServers.reset(connection);
            }
        }

        boolean silent() {
            return behaviour == ConnectBehaviour.SILENT;
        }
    }

    private void recordFailure(IOException failure) {
        bindFailure = bindFailure == null ? failure : bindFailure;
    }

    private static void reset(Channel connection) {
        try {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The peer has already closed the connection.
        }
        connection.close();
    }

    /**
     * Applies the simulation's current connection behaviour to a server's addresses. They are set up when a list first
     * names the server.
     */
    void applyBehaviour(int address) {
        ServerAddress[] serverAddresses = byAddress.computeIfAbsent(address, server -> {
            ServerAddress[] created = new ServerAddress[proxies];
            for (int i = 0; i < proxies; i++) {
                created[i] = new ServerAddress(i, server);
            }
            return created;
        });
        for (ServerAddress serverAddress : serverAddresses) {
            serverAddress.apply(simulation.connectBehaviour(serverAddress.proxy, address));
        }
    }

    void reset(int address) {
        ServerAddress[] serverAddresses = byAddress.get(address);
        if (serverAddresses != null) {
            for (ServerAddress serverAddress : serverAddresses) {
                if (!serverAddress.silent()) {
                    serverAddress.reset();
                }
            }
        }
    }

    /** The failure of the first address that could not be bound, or null. */
    IOException bindFailure() {
        return bindFailure;
    }

    void close() {
        for (ServerAddress[] serverAddresses : byAddress.values()) {
            for (ServerAddress serverAddress : serverAddresses) {
                serverAddress.unbind();
                serverAddress.reset();
            }
        }
    }

    /** Records when a request's first byte arrived, and discards input to a server that does not respond. */
    private final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
        private final ServerAddress serverAddress;
        private long firstByteAt = -1;

        ArrivalRecorder(ServerAddress serverAddress) {
            this.serverAddress = serverAddress;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            if (serverAddress.silent()) {
                ReferenceCountUtil.release(in);
                return;
            }
            firstByteAt = firstByteAt < 0 ? clock.nowUs() : firstByteAt;
            ctx.fireChannelRead(in);
        }
    }

    /** Handles the requests of one connection to a server. */
    private final class ServerConnection extends ChannelInboundHandlerAdapter {
        private final ServerAddress serverAddress;
        private final List<FullHttpRequest> pipelined = new ArrayList<>();
        private HybridSimulation.Connection connection;
        private boolean busy;

        ServerConnection(ServerAddress serverAddress) {
            this.serverAddress = serverAddress;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            serverAddress.connections.add(ctx.channel());
            clock.run(() -> {
                connection = simulation.connect(serverAddress.proxy, serverAddress.address);
                if (connection == null) {
                    reset(ctx.channel());
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            pipelined.add((FullHttpRequest) in);
            next(ctx);
        }

        private void next(ChannelHandlerContext ctx) {
            if (busy || pipelined.isEmpty() || connection == null) {
                return;
            }
            busy = true;
            FullHttpRequest request = pipelined.remove(0);
            ArrivalRecorder arrivals = ctx.pipeline().get(ArrivalRecorder.class);
            long first = arrivals.firstByteAt;
            arrivals.firstByteAt = -1;
            String id = request.headers().get("X-Request-Id");
            String effect = request.headers().get("Idempotency-Key");
            boolean probe = request.uri().startsWith("/-/");
            request.release();
            HybridSimulation.Reply reply = new HybridSimulation.Reply() {
                @Override
                public void answer(int status, boolean notRun) {
                    busy = false;
                    ctx.writeAndFlush(encode(status, notRun, status == 200 && id != null ? id : ""));
                    next(ctx);
                }

                @Override
                public void reset() {
                    StandInServers.reset(ctx.channel());
                }
            };
            clock.run(() -> {
                if (probe) {
                    connection.probe(reply);
                } else if (id == null) {
                    reply.answer(404, false);
                } else {
                    connection.request(id, effect, first, reply);
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            serverAddress.connections.remove(ctx.channel());
            pipelined.forEach(FullHttpRequest::release);
            pipelined.clear();
            if (connection != null) {
                clock.run(connection::closed);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Encodes a response; the body of a served request's response is the request's identifier. */
    private static ByteBuf encode(int status, boolean notRun, String body) {
        return Unpooled.copiedBuffer(
                "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + (notRun ? "\r\nX-Not-Run: 1" : "")
                        + "\r\n\r\n" + body,
                StandardCharsets.US_ASCII);
    }
}
