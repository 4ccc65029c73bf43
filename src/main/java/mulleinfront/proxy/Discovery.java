package mulleinfront.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Source;
import mulleinfront.core.EnumCounts;
import mulleinfront.core.ListVersionFilter;
import mulleinfront.core.Metrics;
import mulleinfront.core.Wire;
import mulleinfront.settings.Config;
import mulleinfront.settings.Listing;

/**
 * Discovery's watch, and the hosts as last listed. A watch that ends, falls silent or talks nonsense has
 * failed, once; when to ask again is the module's to say, since discovery has little capacity.
 */
final class Discovery {
    static final long SILENCE_MS = Wire.WATCH_TIMEOUT_US / 1000;
    /** News counts as told 4 s after a move: within that time a silent new address is asked again. */
    private static final long MOVED_SILENCE_MS = 1_800;

    private static final int CONNECT_MS = 1_000;
    private static final int MOST_DOUBLINGS = 2;
    /** A call that ends sooner than this had not waited for its turn. */
    private static final long WAIT_MS = 1_000;

    /** Told of lists, and of calls and watches that failed. */
    interface Listener {
        void listed(Source source, List<Endpoint> endpoints);

        /**
         * A call failed before anything came of it.
         *
         * @param unreachable whether nobody took it
         */
        void failed(boolean unreachable);

        /**
         * A watch broke or fell silent.
         *
         * @param silentUs since when it had been silent, microseconds
         */
        void lost(long silentUs);

        /** A watch was ended in order. */
        void ended();

        /**
         * A call begins where discovery has moved to.
         *
         * @param movedAgoUs how long ago that was asked for, microseconds
         */
        void calledElsewhere(long movedAgoUs);
    }

    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Upstream upstream;
    private final Listener listener;
    private final Map<String, Upstream.Host> hosts = new HashMap<>();
    /** Numbers by name. A name that the settings lack gets a number of its own: zones must not merge. */
    private final Map<String, Integer> zones = new HashMap<>();

    private final Map<String, Integer> kinds = new HashMap<>();
    private final ListVersionFilter order = new ListVersionFilter();
    private long version = -1;
    private boolean heardAny;
    private Watch watch;
    private final boolean pushed;
    private final long askWithinUs;
    /** It is elsewhere, has not been asked there yet, and was where it is asked first moved from at that time. */
    private boolean moved;

    private long movedNanos;
    private final EventLog log;
    private final EnumCounts<Metrics.Discovery> counts;
    private long calls;
    /** Calls in a row that were answered and brought no whole list. */
    private int unfinishedLists;

    Discovery(
            Config config,
            EventLoop loop,
            Upstream upstream,
            EventLog log,
            EnumCounts<Metrics.Discovery> counts,
            Listener listener) {
        this.log = log;
        this.counts = counts;
        this.address = config.discovery();
        this.pushed = !config.settings().subscribe();
        this.askWithinUs = config.settings().contract().askWithinUs();
        this.upstream = upstream;
        this.listener = listener;
        config.zones().forEach(name -> zones.put(name, zones.size()));
        config.kinds().forEach(name -> kinds.put(name, kinds.size()));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Upstream.BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
    }

    /** The host of this id, or null if it is not listed. */
    Upstream.Host host(String id) {
        return hosts.get(id);
    }

    boolean holdsList() {
        return !hosts.isEmpty();
    }

    /** Whether there has been any list, one that names nobody too. */
    boolean hasHeard() {
        return heardAny;
    }

    /**
     * Asks for what changed and for all changes to come, unless that is asked for already.
     *
     * @param patienceUs how long nothing may come of the call, microseconds
     */
    void watch(long patienceUs) {
        if (moved) {
            takeUp();
        } else if (watch == null) {
            ask(TimeUnit.MICROSECONDS.toMillis(patienceUs));
        }
    }

    /**
     * Takes up another discovery. It may count its versions in its own way, so the whole list is asked for; until it has
     * come the old one holds, and until then the old watch goes on. That was given up, not failed.
     *
     * @param delayUs time until it is asked, unless somebody asks before; 0: at once
     */
    void move(InetSocketAddress to, long delayUs) {
        if (!to.equals(address)) {
            address = to;
            movedNanos = moved ? movedNanos : System.nanoTime();
            moved = true;
            if (delayUs == 0) {
                takeUp();
            } else {
                bootstrap
                        .config()
                        .group()
                        .next()
                        .schedule(
                                () -> {
                                    if (moved && address.equals(to)) {
                                        takeUp();
                                    }
                                },
                                delayUs,
                                TimeUnit.MICROSECONDS);
            }
        }
    }

    private void takeUp() {
        moved = false;
        stop();
        version = -1;
        order.reset();
        listener.calledElsewhere((System.nanoTime() - movedNanos) / 1000);
        ask(pushed ? MOVED_SILENCE_MS : TimeUnit.MICROSECONDS.toMillis(Wire.movedCallTimeoutUs(askWithinUs)));
    }

    /** How long a call's list may take, or stop halfway: twice as long after each call whose list was not finished. */
    private long listPatienceMs() {
        return TimeUnit.MICROSECONDS.toMillis(Wire.LIST_TIMEOUT_US) << unfinishedLists;
    }

    private void ask(long patienceMs) {
        Watch asked = new Watch(patienceMs);
        watch = asked;
        bootstrap.clone().handler(asked.pipeline()).connect(address).addListener(f -> {
            if (!f.isSuccess()) {
                asked.fail(f.cause());
            }
        });
    }

    void stop() {
        if (watch != null) {
            Watch old = watch;
            watch = null;
            old.logEnd("given up");
            old.channel.close();
        }
    }

    /**
     * Takes over a list, first for the sockets and then for the module. Of changes that come late only what
     * is news counts: what a newer version has overtaken would undo a drain.
     */
    void take(Listing listing, Source source) {
        boolean whole = source != Source.DELTA;
        heardAny = true;
        version = whole ? listing.version() : Math.max(version, listing.version());
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, Upstream.Host> left = source == Source.DELTA ? new HashMap<>() : new HashMap<>(hosts);
        for (Listing.Entry e : order.newEntries(listing.version(), whole, listing.entries(), Listing.Entry::id)) {
            left.remove(e.id());
            endpoints.add(new Endpoint(
                    e.id(),
                    number(zones, e.zone()),
                    e.cell(),
                    number(kinds, e.kind()),
                    e.availability(),
                    e.weight(),
                    e.startedMs() * 1000));
            if (e.availability() == Availability.GONE) {
                drop(hosts.get(e.id()));
                continue;
            }
            Upstream.Host host = hosts.computeIfAbsent(e.id(), Upstream.Host::new);
            boolean moved = host.address != null && !host.address.equals(e.address());
            host.address = e.address();
            host.ready = e.availability() == Availability.READY;
            if (moved || !host.ready) {
                upstream.hangUp(host);
            }
        }
        left.values().forEach(this::drop);
        listener.listed(source, endpoints);
    }

    private void drop(Upstream.Host host) {
        if (host != null) {
            host.ready = false;
            hosts.remove(host.id);
            upstream.hangUp(host);
        }
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, n -> numbers.size());
    }

    /** One call. It fails once, however it ends, unless it was given up for another. */
    private final class Watch extends SimpleChannelInboundHandler<ByteBuf> {
        private Channel channel;
        private final long call = ++calls;
        private final long beganNanos = System.nanoTime();
        private final AnswerSilence silence;
        private boolean connected;
        private boolean endedInOrder;
        private boolean heard;
        /** The newest version that it told of. */
        private long newest = -1;

        Watch(long patienceMs) {
            this.silence = new AnswerSilence(patienceMs, listPatienceMs(), this::answered);
            log.callBegan(call, address, version);
            counts.add(Metrics.Discovery.CALL);
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    channel = ch;
                    ch.pipeline()
                            .addLast(
                                    silence,
                                    new HttpResponseDecoder(),
                                    new AnswerBody(),
                                    new ListDecoder(listPatienceMs()),
                                    Watch.this);
                }
            };
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connected = true;
            String after = version >= 0 ? "&after=" + version : "";
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /api/targets?watch=1" + after + " HTTP/1.1\r\n" + "Host: discovery\r\n\r\n",
                    StandardCharsets.US_ASCII));
        }

        /** Something has come of an answer, if only a heartbeat: the list has to follow. */
        private void answered() {
            log.callAnswered(call, sinceBeginMs());
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (!heard && watch == this) {
                                    channel.pipeline().fireExceptionCaught(new IOException("no list came"));
                                }
                            },
                            listPatienceMs(),
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf object) throws IOException {
            if (watch == this) {
                Listing listing = Listing.parse(ByteBufUtil.getBytes(object));
                if (!heard) {
                    heard = true;
                    unfinishedLists = 0;
                    silence.listed(ctx);
                }
                // A whole list is the latest word of who sends it, but not one that it has overtaken itself.
                if (!listing.full() || listing.version() >= newest) {
                    newest = Math.max(newest, listing.version());
                    counts.add(Metrics.Discovery.LIST);
                    log.listTaken(
                            call,
                            listing.version(),
                            listing.full(),
                            listing.entries().size(),
                            sinceBeginMs());
                    take(listing, listing.full() ? Source.FULL : Source.DELTA);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endedInOrder = true;
            fail(new IOException("it ended"));
        }

        /** A bad line, a refusal, silence or a break: the call has failed, and nothing else has. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause);
            ctx.close();
        }

        private long sinceBeginMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
        }

        private void logEnd(Object reason) {
            log.callEnded(call, reason, silence.answered(), sinceBeginMs(), version);
        }

        /** Says so once for each watch that had worked: calls go on failing while discovery is down. */
        void fail(Throwable cause) {
            if (watch == this) {
                watch = null;
                logEnd(cause);
                if (heard) {
                    System.err.println("mulleinfront: the watch of " + NetUtil.toSocketAddressString(address)
                            + " failed: " + cause);
                }
                counts.add(silence.answered() ? Metrics.Discovery.WATCH_LOST : Metrics.Discovery.CALL_FAILED);
                if (silence.answered() && !heard) {
                    unfinishedLists = Math.min(unfinishedLists + 1, MOST_DOUBLINGS);
                }
                if (!silence.answered()) {
                    listener.failed(nobodyTookIt(cause));
                } else if (endedInOrder) {
                    listener.ended();
                } else {
                    listener.lost(silence.silentUs());
                }
            }
        }

        /**
         * Whether nobody took the call: there was no connection, it broke at once, or nothing at all came of it for longer
         * than discovery lets a call wait.
         */
        private boolean nobodyTookIt(Throwable cause) {
            boolean atOnce = sinceBeginMs() < WAIT_MS;
            boolean silent = cause instanceof ReadTimeoutException && sinceBeginMs() >= Wire.MAX_DISCOVERY_WAIT_MS;
            return !silence.heard() && (!connected || atOnce || silent);
        }
    }
}
