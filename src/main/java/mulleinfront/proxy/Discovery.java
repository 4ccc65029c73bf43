package mulleinfront.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
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
import mulleinfront.settings.EndpointList;

/**
 * The discovery watch, and the endpoints as last listed. A watch that ends, times out or sends invalid data is reported
 * as failed, once. The balancer decides when to call again, since discovery has little capacity.
 */
final class Discovery {
    static final long WATCH_TIMEOUT_MS = Wire.WATCH_TIMEOUT_US / 1000;

    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /** Receives lists, and is notified of failed calls and watches. */
    interface Listener {
        void onList(Source source, List<Endpoint> endpoints);

        /**
         * A call failed before its response body started.
         *
         * @param unreachable whether the call surely did not reach discovery
         */
        void onCallFailed(boolean unreachable);

        /**
         * A watch broke or timed out.
         *
         * @param quietUs time since its last whole list or heartbeat, microseconds
         */
        void onWatchLost(long quietUs);

        /** Discovery closed a watch. */
        void onWatchEnded();

        /** A call starts. */
        void onCallStarted();

        /**
         * The first call to discovery's new address starts.
         *
         * @param movedAgoUs how long ago the move was requested, microseconds
         * @param quietUs time since the last whole list or heartbeat of the watch that the move closed, microseconds; 0
         *     if there was none
         */
        void onMoved(long movedAgoUs, long quietUs);

        /**
         * A call that had been reported as failed by its timeout is answered; its list follows.
         *
         * @param startedAgoUs time since that call started, microseconds
         */
        void onTimedOutCallAnswered(long startedAgoUs);
    }

    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Upstream upstream;
    private final Listener listener;
    private final Map<String, Upstream.Host> hosts = new HashMap<>();
    /** Numbers by name. Each name that the settings lack gets its own number, since zones must not merge. */
    private final Map<String, Integer> zones = new HashMap<>();

    private final Map<String, Integer> kinds = new HashMap<>();
    private final ListVersionFilter versionFilter = new ListVersionFilter();
    private long version = -1;
    private boolean listApplied;
    /** The latest call, or the watch that it opened; null if it has failed. */
    private Watch watch;
    /** The last call that timed out. It stays open, since its answer may still come; null if there is none. */
    private Watch timedOutCall;

    private final EventLoop loop;
    private final boolean unansweredCallsStayOpen;
    private final long movedCallTimeoutUs;
    /** Whether discovery has moved and its new address has not been called yet. */
    private boolean movePending;
    /** When the first of the moves since the last call was requested. */
    private long moveRequestedNanos;

    private final EventLog log;
    private final EnumCounts<Metrics.Discovery> counts;
    private long calls;
    /** Consecutive calls whose response started but brought no complete list; limited to the number of doublings. */
    private int incompleteListCalls;

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
        this.loop = loop;
        this.unansweredCallsStayOpen = config.settings().unansweredCallsStayOpen();
        this.movedCallTimeoutUs = Wire.movedCallTimeoutUs(config.settings());
        this.upstream = upstream;
        this.listener = listener;
        config.zones().forEach(name -> zones.put(name, zones.size()));
        config.kinds().forEach(name -> kinds.put(name, kinds.size()));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Upstream.ALLOCATOR);
    }

    /** The endpoint with this id, or null if it is not listed. */
    Upstream.Host host(String id) {
        return hosts.get(id);
    }

    boolean hasEndpoints() {
        return !hosts.isEmpty();
    }

    /** Whether any list has been applied, including an empty one. */
    boolean hasAppliedList() {
        return listApplied;
    }

    /**
     * Opens a watch for all changes since the current version, unless one is open.
     *
     * @param timeoutUs time until the response starts after which the call has failed, microseconds
     */
    void ensureWatch(long timeoutUs) {
        if (movePending) {
            callNewAddress();
        } else if (watch == null) {
            openWatch(TimeUnit.MICROSECONDS.toMillis(timeoutUs));
        }
    }

    /**
     * Moves to another discovery address. Its version numbers may be unrelated, so the full list is requested. The old
     * watch stays open until the new address is called; closing it is no failure. The current list stays in use until
     * the new one has arrived.
     *
     * @param delayUs time until the new address is called, unless a call is due before; 0 to call it at once
     */
    void move(InetSocketAddress newAddress, long delayUs) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            moveRequestedNanos = movePending ? moveRequestedNanos : System.nanoTime();
            movePending = true;
            if (delayUs == 0) {
                callNewAddress();
            } else {
                loop.schedule(
                        () -> {
                            if (movePending && address.equals(newAddress)) {
                                callNewAddress();
                            }
                        },
                        delayUs,
                        TimeUnit.MICROSECONDS);
            }
        }
    }

    private void callNewAddress() {
        movePending = false;
        long quietUs = watch == null ? 0 : watch.quietUs();
        stop();
        version = -1;
        versionFilter.reset();
        listener.onMoved((System.nanoTime() - moveRequestedNanos) / 1000, quietUs);
        openWatch(TimeUnit.MICROSECONDS.toMillis(movedCallTimeoutUs));
    }

    /**
     * Timeout of a call's first list, and of each list in pieces: doubled after each call whose list was not complete.
     */
    private long listTimeoutMs() {
        return TimeUnit.MICROSECONDS.toMillis(Wire.LIST_TIMEOUT_US) << incompleteListCalls;
    }

    private void openWatch(long timeoutMs) {
        Watch opened = new Watch();
        watch = opened;
        listener.onCallStarted();
        loop.schedule(opened::onCallTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        bootstrap.clone().handler(opened.pipeline()).connect(address).addListener(connected -> {
            if (!connected.isSuccess()) {
                opened.fail(connected.cause());
            }
        });
    }

    void stop() {
        giveUpLatestCall("given up");
        giveUpTimedOutCall("given up");
    }

    private void giveUpLatestCall(String reason) {
        Watch old = watch;
        watch = null;
        giveUp(old, reason);
    }

    private void giveUpTimedOutCall(String reason) {
        Watch old = timedOutCall;
        timedOutCall = null;
        giveUp(old, reason);
    }

    private static void giveUp(Watch call, String reason) {
        if (call != null) {
            call.logEnd(reason);
            call.channel.close();
        }
    }

    /**
     * Applies a list, first to the connections and then to the balancer. Entries of a late delta that a newer version
     * has replaced are ignored: they could undo a drain.
     */
    void apply(EndpointList listing, Source source) {
        boolean full = source != Source.DELTA;
        listApplied = true;
        version = full ? listing.version() : Math.max(version, listing.version());
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, Upstream.Host> unlisted = source == Source.DELTA ? new HashMap<>() : new HashMap<>(hosts);
        for (EndpointList.Entry entry :
                versionFilter.newEntries(listing.version(), full, listing.entries(), EndpointList.Entry::id)) {
            unlisted.remove(entry.id());
            endpoints.add(new Endpoint(
                    entry.id(),
                    numberOf(zones, entry.zone()),
                    entry.cell(),
                    numberOf(kinds, entry.kind()),
                    entry.availability(),
                    entry.weight(),
                    entry.startedMs() * 1000));
            if (entry.availability() == Availability.GONE) {
                removeHost(hosts.get(entry.id()));
                continue;
            }
            Upstream.Host host = hosts.computeIfAbsent(entry.id(), Upstream.Host::new);
            boolean addressChanged = host.address != null && !host.address.equals(entry.address());
            host.address = entry.address();
            host.ready = entry.availability() == Availability.READY;
            if (addressChanged || !host.ready) {
                upstream.closeIdle(host);
            }
        }
        unlisted.values().forEach(this::removeHost);
        listener.onList(source, endpoints);
    }

    private void removeHost(Upstream.Host host) {
        if (host != null) {
            host.ready = false;
            hosts.remove(host.id);
            upstream.closeIdle(host);
        }
    }

    private static int numberOf(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, unknownName -> numbers.size());
    }

    /**
     * One call and the watch that it opens. Its end is reported once as a failure, unless the proxy itself closed it.
     */
    private final class Watch extends SimpleChannelInboundHandler<ByteBuf> {
        private Channel channel;
        private final long callNumber = ++calls;
        private final long startedNanos = System.nanoTime();
        private final WatchReadTimeout readTimeout;
        private final ListDecoder listDecoder = new ListDecoder(listTimeoutMs());
        /** When the last list or heartbeat had been read that no incomplete list followed; the start before the first. */
        private long coveredUntilNanos = startedNanos;

        private boolean endedByDiscovery;
        private boolean listReceived;
        /** The version after which this watch asked for changes; -1 for the whole list. */
        private long askedAfter = -1;
        /** The newest version that this watch has sent. */
        private long newestVersion = -1;

        Watch() {
            this.readTimeout = new WatchReadTimeout(listTimeoutMs(), this::onBodyStarted);
            log.callStarted(callNumber, address, version);
            counts.add(Metrics.Discovery.CALL);
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel socketChannel) {
                    channel = socketChannel;
                    socketChannel
                            .pipeline()
                            .addLast(
                                    readTimeout,
                                    new HttpResponseDecoder(),
                                    new WatchBodyDecoder(),
                                    listDecoder,
                                    Watch.this);
                }
            };
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            askedAfter = version;
            String after = version >= 0 ? "&after=" + version : "";
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /api/targets?watch=1" + after + " HTTP/1.1\r\n" + "Host: discovery\r\n\r\n",
                    StandardCharsets.US_ASCII));
        }

        /** Whether data that comes is of use: neither has this failed, nor has another one been answered. */
        private boolean isOpen() {
            return watch == this || timedOutCall == this;
        }

        /**
         * The call has failed unless its response has started. It may wait in discovery's queue, though, and would lose
         * its place there: it stays open beside the next call, and the first answer counts.
         */
        private void onCallTimeout() {
            if (watch != this || readTimeout.hasReceivedData()) {
                return;
            }
            if (unansweredCallsStayOpen) {
                giveUpTimedOutCall("a later call timed out as well");
                timedOutCall = this;
                fail(new IOException("it has timed out and stays open"));
            } else {
                fail(new IOException("it has timed out"));
                channel.close();
            }
        }

        /** A list has come: this is the watch from now on, and the only call. */
        private void onFirstList(ChannelHandlerContext ctx) {
            listReceived = true;
            incompleteListCalls = 0;
            readTimeout.onFirstList(ctx);
            if (watch == this) {
                giveUpTimedOutCall("a later call was answered");
            } else {
                timedOutCall = null;
                giveUpLatestCall("an earlier call was answered");
                watch = this;
                listener.onTimedOutCallAnswered(TimeUnit.MILLISECONDS.toMicros(elapsedMs()));
            }
        }

        /** The response body has started, perhaps with a heartbeat only: the list must follow within its timeout. */
        private void onBodyStarted() {
            log.callAnswered(callNumber, elapsedMs());
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (!listReceived && isOpen()) {
                                    channel.pipeline().fireExceptionCaught(new IOException("no list came"));
                                }
                            },
                            listTimeoutMs(),
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf json) throws IOException {
            if (isOpen()) {
                EndpointList listing = EndpointList.parse(ByteBufUtil.getBytes(json));
                if (!listReceived) {
                    requireSameVersions(listing);
                    onFirstList(ctx);
                }
                // A full list replaces the current one, unless this watch has already sent a newer version.
                if (!listing.full() || listing.version() >= newestVersion) {
                    newestVersion = Math.max(newestVersion, listing.version());
                    counts.add(Metrics.Discovery.LIST);
                    log.listApplied(
                            callNumber,
                            listing.version(),
                            listing.full(),
                            listing.entries().size(),
                            elapsedMs());
                    apply(listing, listing.full() ? Source.FULL : Source.DELTA);
                }
            }
        }

        /**
         * Rejects changes since a version that is older than the one asked for: discovery numbers its versions anew,
         * and the current list may lack any change. The next call asks for the whole list.
         */
        private void requireSameVersions(EndpointList listing) throws IOException {
            if (!listing.full() && listing.version() < askedAfter) {
                version = -1;
                throw new IOException("version " + listing.version() + " after version " + askedAfter);
            }
        }

        /** Called after each read, also after the one that finds the connection reset. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (readTimeout.bodyStarted() && !listDecoder.isListIncomplete()) {
                coveredUntilNanos = readTimeout.lastReadNanos();
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endedByDiscovery = true;
            fail(new IOException("it ended"));
        }

        /** Invalid data, an error response, a timeout or a broken connection: only this call fails. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.endProcessIfFatal(cause);
            fail(cause);
            ctx.close();
        }

        private long elapsedMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        }

        /** Time since the last whole list or heartbeat, microseconds. */
        private long quietUs() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - coveredUntilNanos);
        }

        private void logEnd(Object reason) {
            log.callEnded(
                    callNumber,
                    reason,
                    readTimeout.bodyStarted(),
                    elapsedMs(),
                    TimeUnit.MICROSECONDS.toMillis(quietUs()),
                    version);
        }

        /**
         * Reports the failure, unless this had timed out and has been reported. The message for people is only written
         * for a watch that had worked, since calls keep failing while discovery is unreachable.
         */
        void fail(Throwable cause) {
            if (watch == this) {
                watch = null;
                logEnd(cause);
                if (listReceived) {
                    System.err.println("mulleinfront: the watch of " + NetUtil.toSocketAddressString(address)
                            + " failed: " + cause);
                }
                counts.add(readTimeout.bodyStarted() ? Metrics.Discovery.WATCH_LOST : Metrics.Discovery.CALL_FAILED);
                countIncompleteList();
                if (!readTimeout.bodyStarted()) {
                    listener.onCallFailed(isUnreachable(cause));
                } else if (endedByDiscovery) {
                    listener.onWatchEnded();
                } else {
                    listener.onWatchLost(quietUs());
                }
            } else if (timedOutCall == this) {
                timedOutCall = null;
                logEnd(cause);
                countIncompleteList();
            }
        }

        private void countIncompleteList() {
            if (readTimeout.bodyStarted() && !listReceived) {
                incompleteListCalls = Math.min(incompleteListCalls + 1, MAX_TIMEOUT_DOUBLINGS);
            }
        }
    }

    /**
     * Whether a call surely did not reach discovery: nothing listens at its address, or no route leads there. A
     * connection that does not come up in time, a reset, an error response and silence prove nothing, since a discovery
     * with too many callers causes them too; nor does a lack of descriptors or ports of this process.
     */
    private static boolean isUnreachable(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
                || cause instanceof NoRouteToHostException;
    }
}
