package mulleinfront.follow;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
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
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import mulleinfront.config.ConfigSubscriber;
import mulleinfront.config.Version;
import mulleinfront.settings.ControlFile;
import mulleinfront.settings.WatchLine;

/**
 * Connects a {@link ConfigSubscriber} to the network, the event loop's timers and the cached copy on disk. There is
 * at most one watch of one control-plane node at a time. Everything runs on the event loop, except that the cached
 * copy is written by a thread of its own.
 */
public final class ConfigWatcher implements ConfigSubscriber.Actions {
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    /** Receives the active versions; called on the event loop. */
    public interface Listener {
        /**
         * Called when a version becomes active: first the cached one, if any, and never an older one afterwards.
         *
         * @param source where the version came from, for people
         */
        void onActiveVersion(Version version, String source);
    }

    private final EventLoop eventLoop;
    private final Bootstrap bootstrap;
    private final List<ControlFile.Node> nodes;
    private final String name;
    private final Listener listener;
    private final CachedCopy cachedCopy;
    private final ConfigSubscriber subscriber;
    private final long startNanos = System.nanoTime();
    private Watch watch;
    private Future<?> timer;

    /**
     * @param name name of this client proxy, sent to the control-plane nodes
     * @param seed seed for random delays, different for each process
     * @param listener called for each version that becomes active
     * @throws IOException if the state folder that the file names can't be created
     */
    public ConfigWatcher(
            EventLoop eventLoop, ByteBufAllocator buffers, ControlFile file, String name, long seed, Listener listener)
            throws IOException {
        this.eventLoop = eventLoop;
        this.nodes = file.nodes();
        this.name = name;
        this.listener = listener;
        this.cachedCopy = file.cacheDirectory() == null
                ? null
                : new CachedCopy(Path.of(file.cacheDirectory().replace("%n", folderName(name))));
        Version cachedVersion = cachedCopy == null ? Version.NONE : cachedCopy.load();
        this.subscriber = new ConfigSubscriber(
                file.subscriber(), cachedVersion, new SplittableRandom(seed ^ name.hashCode()), this);
        this.bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, file.subscriber().connectTimeoutUs() / 1_000));
    }

    /** Replaces characters of a name that are not allowed in the name of a folder. */
    private static String folderName(String name) {
        return name.replaceAll("[^A-Za-z0-9._-]|^[.]+", "_");
    }

    /** Activates the cached version immediately, if there is one, and starts the subscription. */
    public void start() {
        eventLoop.execute(() -> {
            if (subscriber.activeVersion().number() > 0) {
                listener.onActiveVersion(subscriber.activeVersion(), "kept");
            }
            subscriber.start(nowUs());
        });
    }

    /** Ends the subscription; the active version stays. Must be called on the event loop. */
    public void close() {
        subscriber.stop();
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** The active version. Must be called on the event loop. */
    public Version activeVersion() {
        return subscriber.activeVersion();
    }

    /**
     * Whether the active version may be outdated: no watch is open, or the watched node is behind. Must be called on
     * the event loop.
     */
    public boolean mayBeBehind() {
        return subscriber.mayBeBehind();
    }

    private long nowUs() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    // ---- actions of the subscriber -------------------------------------------------------------------

    @Override
    public void openWatch(int machine, long baseVersion, long checksum) {
        InetSocketAddress address = nodes.get(machine).clientAddress();
        Watch opened = new Watch("POST /config/watch?name=" + URLEncoder.encode(name, StandardCharsets.US_ASCII)
                + "&after=" + baseVersion + "&checksum="
                + Long.toHexString(checksum) + " HTTP/1.1\r\nHost: " + NetUtil.toSocketAddressString(address)
                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch = opened;
        bootstrap.clone().handler(opened.pipeline()).connect(address).addListener(connected -> {
            if (!connected.isSuccess()) {
                opened.onLost();
            }
        });
    }

    @Override
    public void closeWatch() {
        if (watch != null) {
            Watch closed = watch;
            watch = null;
            if (closed.channel != null) {
                closed.channel.close();
            }
        }
    }

    @Override
    public void onActiveVersion(Version version) {
        if (cachedCopy != null) {
            cachedCopy.save(version);
        }
        listener.onActiveVersion(
                version, "by " + nodes.get(subscriber.machine()).name());
    }

    @Override
    public void report(long number, long checksum) {
        if (watch != null) {
            watch.send(WatchLine.report(number, checksum));
        }
    }

    @Override
    public void wakeAt(long timeUs) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = eventLoop.schedule(() -> subscriber.onTimer(nowUs()), timeUs - nowUs(), TimeUnit.MICROSECONDS);
    }

    // ---- one watch -----------------------------------------------------------------------------------

    /** One watch. The subscriber is notified once of its end, unless the subscriber itself closed it. */
    private final class Watch extends SimpleChannelInboundHandler<ByteBuf> {
        private final String requestHead;
        private Channel channel;

        Watch(String requestHead) {
            this.requestHead = requestHead;
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel socket) {
                    channel = socket;
                    socket.pipeline()
                            .addLast(
                                    new HttpResponseDecoder(),
                                    new BodyDecoder(Watch.this),
                                    new JsonObjectDecoder(MAX_LINE_BYTES),
                                    Watch.this);
                }
            };
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (watch != this) {
                ctx.close();
                return;
            }
            ctx.writeAndFlush(Unpooled.copiedBuffer(requestHead, StandardCharsets.US_ASCII));
        }

        void send(byte[] line) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(Unpooled.wrappedBuffer(
                        (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII),
                        line,
                        "\r\n".getBytes(StandardCharsets.US_ASCII)));
            }
        }

        /** Called when a part of the response arrives. */
        void onData() {
            if (watch == this) {
                subscriber.onData(nowUs());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf object) throws IOException {
            if (watch != this) {
                return;
            }
            WatchLine line = WatchLine.read(ByteBufUtil.getBytes(object));
            if (line.difference() != null) {
                subscriber.onDelta(nowUs(), line.difference());
            } else {
                subscriber.onHeartbeat(nowUs(), line.version(), line.hasQuorumContact());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onLost();
        }

        /** A malformed line, a refused watch or a broken connection ends only this watch. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            onLost();
            ctx.close();
        }

        void onLost() {
            if (watch == this) {
                watch = null;
                subscriber.onWatchLost(nowUs());
            }
        }
    }

    /** Passes on the body of the response. Any status but 200, or the end of the response, ends the watch. */
    private static final class BodyDecoder extends MessageToMessageDecoder<HttpObject> {
        private final Watch watch;

        BodyDecoder(Watch watch) {
            super(HttpObject.class);
            this.watch = watch;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out) throws IOException {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response
                            && response.status().code() != 200) {
                throw new IOException("the control-plane node refused the watch");
            }
            watch.onData();
            if (message instanceof HttpContent content && content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }
}
