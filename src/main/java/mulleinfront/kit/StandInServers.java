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
 * The stage's servers on real sockets, as PROTOCOL has them: for each client proxy and server an address that listens,
 * refuses, or is silent as the world has it at the moment. On the world's event loop.
 */
final class StandInServers {
    private static final int REBINDS = 200;
    private static final int MOST_BODY = 256 * 1024;

    private final WorldClock clock;
    private final HybridSimulation stage;
    private final Places places;
    private final int proxies;
    private final Map<Integer, Pair[]> byAddress = new HashMap<>();
    private volatile IOException broken;

    StandInServers(WorldClock clock, HybridSimulation stage, Places places, int proxies) {
        this.clock = clock;
        this.stage = stage;
        this.places = places;
        this.proxies = proxies;
    }

    /** What one client proxy finds at one server's address. */
    private final class Pair {
        private final int proxy;
        private final int address;
        private final Set<Channel> connections = new HashSet<>();
        private ConnectBehaviour door = ConnectBehaviour.REFUSED;
        private Channel listener;
        private BlackHole hole;

        Pair(int proxy, int address) {
            this.proxy = proxy;
            this.address = address;
        }

        void become(ConnectBehaviour now) {
            if (now == door) {
                return;
            }
            boolean back = door == ConnectBehaviour.SILENT && now == ConnectBehaviour.OPEN;
            shut();
            door = now;
            open(REBINDS);
            if (back) {
                reset();
            }
        }

        /** A listener that was closed holds its port until the loop has been round once: then it is asked for again. */
        private void open(int tries) {
            ConnectBehaviour meant = door;
            if (meant == ConnectBehaviour.SILENT) {
                try {
                    hole = new BlackHole(places.server(proxy, address));
                } catch (IOException e) {
                    again(meant, tries, e);
                }
            } else if (meant == ConnectBehaviour.OPEN) {
                listen(tries);
            }
        }

        private void again(ConnectBehaviour meant, int tries, Throwable why) {
            if (tries == 0) {
                failed(new IOException("can't listen on " + places.server(proxy, address) + ": " + why.getMessage()));
            } else {
                clock.loop.schedule(
                        () -> {
                            if (door == meant && listener == null && hole == null) {
                                open(tries - 1);
                            }
                        },
                        1,
                        TimeUnit.MILLISECONDS);
            }
        }

        private void shut() {
            if (listener != null) {
                listener.close();
                listener = null;
            }
            if (hole != null) {
                hole.close();
                hole = null;
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
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new Arrivals(Pair.this),
                                            new HttpRequestDecoder(),
                                            new HttpObjectAggregator(MOST_BODY),
                                            new Server(Pair.this));
                        }
                    })
                    .bind(places.server(proxy, address));
            listener = bound.channel();
            bound.addListener(f -> {
                if (!f.isSuccess() && listener == bound.channel()) {
                    listener = null;
                    again(ConnectBehaviour.OPEN, tries, f.cause());
                }
            });
        }

        void reset() {
            for (Channel c : List.copyOf(connections)) {
                StandInServers.reset(c);
            }
        }

        boolean silent() {
            return door == ConnectBehaviour.SILENT;
        }
    }

    private void failed(IOException e) {
        broken = broken == null ? e : broken;
    }

    private static void reset(Channel c) {
        try {
            c.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side has closed it already.
        }
        c.close();
    }

    /** Brings an address to what the world has it be; ones that a list has named are there from then on. */
    void changed(int address) {
        Pair[] pairs = byAddress.computeIfAbsent(address, a -> {
            Pair[] made = new Pair[proxies];
            for (int i = 0; i < proxies; i++) {
                made[i] = new Pair(i, a);
            }
            return made;
        });
        for (Pair p : pairs) {
            p.become(stage.connectBehaviour(p.proxy, address));
        }
    }

    void reset(int address) {
        Pair[] pairs = byAddress.get(address);
        if (pairs != null) {
            for (Pair p : pairs) {
                if (!p.silent()) {
                    p.reset();
                }
            }
        }
    }

    /** The first address that could not be had, or null. */
    IOException broken() {
        return broken;
    }

    void close() {
        for (Pair[] pairs : byAddress.values()) {
            for (Pair p : pairs) {
                p.shut();
                p.reset();
            }
        }
    }

    /** Notes when a request's first byte came, and swallows what comes to a server that is off the net. */
    private final class Arrivals extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private long firstByteAt = -1;

        Arrivals(Pair pair) {
            this.pair = pair;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            if (pair.silent()) {
                ReferenceCountUtil.release(in);
                return;
            }
            firstByteAt = firstByteAt < 0 ? clock.now() : firstByteAt;
            ctx.fireChannelRead(in);
        }
    }

    /** One connection to a server. */
    private final class Server extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final List<FullHttpRequest> ahead = new ArrayList<>();
        private HybridSimulation.Connection connection;
        private boolean busy;

        Server(Pair pair) {
            this.pair = pair;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            pair.connections.add(ctx.channel());
            clock.run(() -> {
                connection = stage.connect(pair.proxy, pair.address);
                if (connection == null) {
                    reset(ctx.channel());
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            ahead.add((FullHttpRequest) in);
            next(ctx);
        }

        private void next(ChannelHandlerContext ctx) {
            if (busy || ahead.isEmpty() || connection == null) {
                return;
            }
            busy = true;
            FullHttpRequest request = ahead.remove(0);
            Arrivals arrivals = ctx.pipeline().get(Arrivals.class);
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
            pair.connections.remove(ctx.channel());
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
            if (connection != null) {
                clock.run(connection::closed);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** An answer in one write; a served one's body is the id of the request that it was made for. */
    private static ByteBuf encode(int status, boolean notRun, String body) {
        return Unpooled.copiedBuffer(
                "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + (notRun ? "\r\nX-Not-Run: 1" : "")
                        + "\r\n\r\n" + body,
                StandardCharsets.US_ASCII);
    }
}
