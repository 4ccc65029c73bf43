package mulleinfront.kit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A client of a crowd, which strains a client proxy without a sound request: none of what it sends may reach a server.
 */
final class CrowdClient extends ChannelInboundHandlerAdapter {
    private static final int FIELDS = 1_500;
    /** A body that is buffered whole, of which a part never comes. */
    private static final int BODY_BYTES = 60_000;

    private static final int PIECE_BYTES = 500;
    private static final int WRITE_INTERVAL_MS = 20;
    private static final int REQUESTS_PER_WRITE = 20;
    private static final int UNREAD_REQUESTS = 200;
    private static final String UNKNOWN_PATH = "GET /crowd HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

    /** What the client does on its connection. */
    enum Kind {
        /** Sends nothing. */
        IDLE,
        /** Sends a head of very many short fields, without its end. */
        HALF_HEAD,
        /** Sends a body in small pieces, without its end. */
        SLOW_WRITER,
        /** Sends requests and reads no answers. */
        SLOW_READER,
        /** Sends requests as fast as the proxy reads them, and reads the answers. */
        FLOODER
    }

    private final Kind kind;

    CrowdClient(Kind kind) {
        this.kind = kind;
    }

    /** Returns what the client of this number does: the first one of a crowd floods, and no other does. */
    static Kind kindOf(int number) {
        return number == 0 ? Kind.FLOODER : Kind.values()[number % Kind.FLOODER.ordinal()];
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        switch (kind) {
            case IDLE -> {}
            case HALF_HEAD -> write(ctx, "GET /api HTTP/1.1\r\nHost: origin.svc\r\n" + "a:\r\n".repeat(FIELDS));
            case SLOW_WRITER -> {
                write(ctx, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                writeRepeatedly(ctx, "x".repeat(PIECE_BYTES), BODY_BYTES / PIECE_BYTES - 1);
            }
            case SLOW_READER -> {
                ctx.channel().config().setAutoRead(false);
                write(ctx, UNKNOWN_PATH.repeat(UNREAD_REQUESTS));
                writeRepeatedly(ctx, UNKNOWN_PATH, Integer.MAX_VALUE);
            }
            case FLOODER -> flood(ctx);
        }
    }

    private static void write(ChannelHandlerContext ctx, String text) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void writeRepeatedly(ChannelHandlerContext ctx, String text, int times) {
        if (times > 0 && ctx.channel().isActive()) {
            if (ctx.channel().isWritable()) {
                write(ctx, text);
            }
            ctx.executor()
                    .schedule(() -> writeRepeatedly(ctx, text, times - 1), WRITE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flood(ChannelHandlerContext ctx) {
        ByteBuf requests = Unpooled.copiedBuffer(UNKNOWN_PATH.repeat(REQUESTS_PER_WRITE), StandardCharsets.US_ASCII);
        ctx.writeAndFlush(requests).addListener(written -> {
            if (written.isSuccess()) {
                // The other clients are driven by the same event loop.
                ctx.executor().schedule(() -> flood(ctx), 1, TimeUnit.MILLISECONDS);
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object answer) {
        ReferenceCountUtil.release(answer);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
