package mulleinfront.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mulleinfront.Balancer.Outcome;

/**
 * Connections to hosts, one request at a time on each, and the attempts made on them. It resends nothing:
 * an attempt is written once at most, and ends exactly once, with the outcome that can be vouched for.
 */
final class Upstream {
    static final int MOST_BODY = 64 * 1024;
    /** Part of the settings' idle time after which we close first: a host closes at the whole of it. */
    private static final double IDLE_PART = 0.75;
    /** Part of the process's descriptors that idle connections may hold, so that a burst leaves no more. */
    private static final double IDLE_SOCKETS = 0.25;

    /** Buffers count as heap, which is bounded once and for all, and need no pool at this traffic. */
    static final UnpooledByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(false);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long idleUs;
    private final int mostIdle;
    private int idle;

    Upstream(EventLoop loop, long dialTimeoutUs, long connIdleUs, int sockets) {
        this.loop = loop;
        this.mostIdle = (int) (sockets * IDLE_SOCKETS);
        this.idleUs = (long) (connIdleUs * IDLE_PART);
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /** A host as last listed; all fields are discovery's to set. */
    static final class Host {
        final String id;
        InetSocketAddress address;
        boolean ready;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        Host(String id) {
            this.id = id;
        }
    }

    /** A host's 200. */
    record Answer(byte[] body, String contentType) {}

    /** Told once how an attempt ended; {@code answer} is null unless it was served. */
    interface End {
        void ended(Outcome outcome, Answer answer);
    }

    /**
     * An attempt, to be started at once.
     *
     * @param wanted whether the request still waits for an answer
     */
    Attempt attempt(Host host, Call call, long timeoutUs, BooleanSupplier wanted, End end) {
        return new Attempt(host, call, timeoutUs, wanted, end);
    }

    /** Closes the idle connections to a host; those in use close after their answer. */
    void hangUp(Host host) {
        for (Connection c; (c = host.idle.peek()) != null;) {
            c.close();
        }
    }

    final class Attempt {
        private final Host host;
        private final Call call;
        private final long endNanos;
        private final BooleanSupplier wanted;
        private final End end;
        private final ScheduledFuture<?> timer;
        private ChannelFuture connecting;
        private Connection connection;
        private ChannelFuture written;
        private boolean over;

        private Attempt(Host host, Call call, long timeoutUs, BooleanSupplier wanted, End end) {
            this.host = host;
            this.call = call;
            this.wanted = wanted;
            this.end = end;
            this.endNanos = System.nanoTime() + timeoutUs * 1000;
            this.timer = loop.schedule(() -> abandon(Outcome.TIMED_OUT), timeoutUs, TimeUnit.MICROSECONDS);
        }

        /** The end may be told before this returns. */
        void start() {
            Connection reused = host.idle.peek();
            if (reused != null) {
                reused.leaveIdle();
                write(reused);
                return;
            }
            Connection fresh = new Connection(host);
            ChannelFuture up = bootstrap.clone().handler(fresh.pipeline()).connect(host.address);
            connecting = up;
            up.addListener(f -> {
                if (over) {
                    up.channel().close();
                } else if (f.isSuccess()) {
                    write(fresh);
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
            });
        }

        /**
         * The one place where a request goes out. While the connection came up the host may have been told
         * to drain, or the request may have ended: then nothing is written, and that is known.
         */
        private void write(Connection c) {
            connection = c;
            connecting = null;
            if (!host.ready || !wanted.getAsBoolean()) {
                finish(Outcome.IGNORED, null);
                return;
            }
            c.current = this;
            long leftMs = Math.max(1, (endNanos - System.nanoTime()) / 1_000_000);
            written = c.channel.writeAndFlush(call.encode(leftMs));
            written.addListener(f -> {
                if (!f.isSuccess()) {
                    broken();
                }
            });
        }

        /** Stops waiting: the connection goes with the attempt, so that the host stops too. */
        void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            boolean whole = written != null && written.isSuccess();
            finish(outcome == Outcome.TIMED_OUT && !whole ? Outcome.CONNECT_ERROR : outcome, null);
        }

        /** The connection is gone. Only if the write did not reach the last byte has it surely not run. */
        private void broken() {
            finish(written.isSuccess() ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** Closes what the attempt still holds before its end is told: what follows may be another. */
        private void finish(Outcome outcome, Answer answer) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            if (connection != null) {
                connection.current = null;
                connection.close();
            } else if (connecting != null) {
                connecting.channel().close();
            }
            end.ended(outcome, answer);
        }
    }

    /** One connection to a host: busy with one attempt, or idle in its host's list, or closed. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Host host;
        private Channel channel;
        private Attempt current;
        private boolean inIdle;
        private boolean reusable;
        private Outcome outcome;
        private Answer answer;

        Connection(Host host) {
            this.host = host;
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    channel = ch;
                    ch.pipeline().addLast(new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS),
                            new HttpResponseDecoder(), new HttpObjectAggregator(MOST_BODY), Connection.this);
                }
            };
        }

        void leaveIdle() {
            if (inIdle) {
                inIdle = false;
                host.idle.remove(this);
                idle--;
            }
        }

        void close() {
            leaveIdle();
            channel.close();
        }

        /** Keeps the answer until the read is over: what follows it unasked must not meet a new request. */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse in) {
            if (in.decoderResult().isFailure() || current == null || outcome != null) {
                ctx.close();
                return;
            }
            int status = in.status().code();
            if (status < 200) {
                return;
            }
            boolean notRun = (status == 503 || status == 504) && "1".equals(in.headers().get("X-Not-Run"));
            outcome = status == 200 ? Outcome.OK : notRun ? Outcome.QUEUE_FULL : Outcome.FAILED;
            reusable = HttpUtil.isKeepAlive(in) && current.written.isSuccess();
            if (status == 200) {
                byte[] body = new byte[in.content().readableBytes()];
                in.content().readBytes(body);
                answer = new Answer(body, in.headers().get(HttpHeaderNames.CONTENT_TYPE));
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
            current = null;
            outcome = null;
            answer = null;
            if (reusable && host.ready && channel.isActive() && idle < mostIdle) {
                inIdle = true;
                host.idle.push(this);
                idle++;
            } else {
                channel.close();
            }
            if (ended != null) {
                ended.connection = null;
                ended.finish(how, what);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            leaveIdle();
            if (outcome != null) {
                deliver();
            } else if (current != null) {
                current.broken();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && current == null) {
                close();
            }
        }

        /**
         * Garbage, an oversized answer or a reset: it costs this connection and its attempt, no more. The
         * attempt ends before the close: an answer without a length would seem to end there in good order.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null && outcome == null) {
                current.broken();
            }
            close();
        }
    }
}
