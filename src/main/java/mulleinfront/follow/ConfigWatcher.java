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
 * This client proxy as a reader of the fleet's configuration: its {@link ConfigSubscriber} on the event loop's time,
 * one watch of one control machine at a time, and the copy that it keeps. All of it runs on the event loop.
 */
public final class ConfigWatcher implements ConfigSubscriber.Actions {
    private static final int LONGEST_LINE = 4 * 1024 * 1024;

    /** Whoever acts on the fleet's configuration; called on the event loop. */
    public interface Listener {
        /**
         * A version is in force from now on, the kept one first; never an older one.
         *
         * @param how where it came from, for people
         */
        void inForce(Version version, String how);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final List<ControlFile.Machine> machines;
    private final String name;
    private final Listener listener;
    private final KeptCopy copy;
    private final ConfigSubscriber follower;
    private final long startNanos = System.nanoTime();
    private Watch watch;
    private Future<?> timer;

    /**
     * @param name this client proxy's, as the control machines are told
     * @param seed of chance, this process's own
     * @param listener told of each version from the moment that it is in force
     * @throws IOException if there can't be a state folder where the file says
     */
    public ConfigWatcher(
            EventLoop loop, ByteBufAllocator buffers, ControlFile file, String name, long seed, Listener listener)
            throws IOException {
        this.loop = loop;
        this.machines = file.machines();
        this.name = name;
        this.listener = listener;
        this.copy =
                file.state() == null ? null : new KeptCopy(Path.of(file.state().replace("%n", plain(name))));
        Version kept = copy == null ? Version.NONE : copy.load();
        this.follower = new ConfigSubscriber(file.follow(), kept, new SplittableRandom(seed ^ name.hashCode()), this);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, file.follow().connectUs() / 1_000));
    }

    /** As the name of a folder. */
    private static String plain(String name) {
        return name.replaceAll("[^A-Za-z0-9._-]|^[.]+", "_");
    }

    /** Begins, with the kept version in force at once. */
    public void start() {
        loop.execute(() -> {
            if (follower.activeVersion().number() > 0) {
                listener.inForce(follower.activeVersion(), "kept");
            }
            follower.start(now());
        });
    }

    /** Ends the watch; what is in force stays so. Called on the event loop. */
    public void close() {
        follower.end();
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** The version in force; on the event loop. */
    public Version activeVersion() {
        return follower.activeVersion();
    }

    /** Whether the version in force may be behind, as far as this one can know; on the event loop. */
    public boolean mayBeBehind() {
        return follower.mayBeBehind();
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    // ---- the follower's actions ----------------------------------------------------------------------

    @Override
    public void ask(int machine, long after, long checksum) {
        InetSocketAddress address = machines.get(machine).clientAddress();
        Watch asked = new Watch("POST /config/watch?name=" + URLEncoder.encode(name, StandardCharsets.US_ASCII)
                + "&after=" + after + "&checksum="
                + Long.toHexString(checksum) + " HTTP/1.1\r\nHost: " + NetUtil.toSocketAddressString(address)
                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch = asked;
        bootstrap.clone().handler(asked.pipeline()).connect(address).addListener(f -> {
            if (!f.isSuccess()) {
                asked.lost();
            }
        });
    }

    @Override
    public void closeWatch() {
        if (watch != null) {
            Watch old = watch;
            watch = null;
            if (old.channel != null) {
                old.channel.close();
            }
        }
    }

    @Override
    public void onActiveVersion(Version version) {
        if (copy != null) {
            copy.keep(version);
        }
        listener.inForce(version, "by " + machines.get(follower.machine()).name());
    }

    @Override
    public void report(long number, long checksum) {
        if (watch != null) {
            watch.say(WatchLine.report(number, checksum));
        }
    }

    @Override
    public void wakeAt(long us) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(() -> follower.onTimer(now()), us - now(), TimeUnit.MICROSECONDS);
    }

    // ---- one watch -----------------------------------------------------------------------------------

    /** One call. It is lost once, however it ends, unless it was given up. */
    private final class Watch extends SimpleChannelInboundHandler<ByteBuf> {
        private final String call;
        private Channel channel;

        Watch(String call) {
            this.call = call;
        }

        ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    channel = ch;
                    ch.pipeline()
                            .addLast(
                                    new HttpResponseDecoder(),
                                    new Body(Watch.this),
                                    new JsonObjectDecoder(LONGEST_LINE),
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
            ctx.writeAndFlush(Unpooled.copiedBuffer(call, StandardCharsets.US_ASCII));
        }

        void say(byte[] line) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(Unpooled.wrappedBuffer(
                        (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII),
                        line,
                        "\r\n".getBytes(StandardCharsets.US_ASCII)));
            }
        }

        /** A piece came. */
        void heard() {
            if (watch == this) {
                follower.heard(now());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf object) throws IOException {
            if (watch != this) {
                return;
            }
            WatchLine line = WatchLine.read(ByteBufUtil.getBytes(object));
            if (line.difference() != null) {
                follower.difference(now(), line.difference());
            } else {
                follower.heartbeat(now(), line.number(), line.hasQuorumContact());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        /** A bad line, a refusal or a break: this watch has failed, and nothing else has. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            lost();
            ctx.close();
        }

        void lost() {
            if (watch == this) {
                watch = null;
                follower.lost(now());
            }
        }
    }

    /** Hands on what a watch's answer holds; any answer but 200, or its end, is the end of the watch. */
    private static final class Body extends MessageToMessageDecoder<HttpObject> {
        private final Watch watch;

        Body(Watch watch) {
            super(HttpObject.class);
            this.watch = watch;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject in, List<Object> out) throws IOException {
            if (in.decoderResult().isFailure()
                    || in instanceof HttpResponse r && r.status().code() != 200) {
                throw new IOException("the control machine refused the watch");
            }
            watch.heard();
            if (in instanceof HttpContent content && content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (in instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }
}
