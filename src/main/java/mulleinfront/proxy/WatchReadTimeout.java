package mulleinfront.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The read timeout of a discovery call's response and of the watch that it becomes. It has three stages: from the first
 * byte until the response body starts, until the first list is complete, and then the heartbeat timeout. A call that
 * has no response yet has no read timeout.
 */
final class WatchReadTimeout extends ChannelInboundHandlerAdapter {
    private final long listTimeoutMs;
    private ReadTimeoutHandler timer;
    private final Runnable onBodyStarted;
    private boolean bodyStarted;
    private long lastReadNanos;

    /**
     * @param listTimeoutMs longest time from the first byte until the body starts, and from then on without data until
     *     the first list is complete, milliseconds
     * @param onBodyStarted run when the first bytes of the response body have been read
     */
    WatchReadTimeout(long listTimeoutMs, Runnable onBodyStarted) {
        this.listTimeoutMs = listTimeoutMs;
        this.onBodyStarted = onBodyStarted;
    }

    /** Whether any bytes of the response body have been read; a heartbeat counts. */
    boolean bodyStarted() {
        return bodyStarted;
    }

    /** Whether anything has been read, including an error response. */
    boolean hasReceivedData() {
        return lastReadNanos != 0;
    }

    /** When data was last read; the end of a connection is no data. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** The response's head must be complete within the timeout of the list, however many reads it takes. */
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!hasReceivedData()) {
            ctx.executor().schedule(() -> failWithoutBody(ctx), listTimeoutMs, TimeUnit.MILLISECONDS);
        }
        lastReadNanos = System.nanoTime();
        ctx.fireChannelRead(msg);
    }

    private void failWithoutBody(ChannelHandlerContext ctx) {
        if (!bodyStarted) {
            ctx.fireExceptionCaught(new IOException("no response body came"));
        }
    }

    /** Called for each part of the response body; the first one starts the timeout of the list. */
    void onBodyData(ChannelHandlerContext ctx) {
        if (!bodyStarted) {
            bodyStarted = true;
            onBodyStarted.run();
            restartTimer(ctx, listTimeoutMs);
        }
    }

    /** The first list is complete: from now on the heartbeat timeout applies. */
    void onFirstList(ChannelHandlerContext ctx) {
        restartTimer(ctx, Discovery.WATCH_TIMEOUT_MS);
    }

    private void restartTimer(ChannelHandlerContext ctx, long timeoutMs) {
        ReadTimeoutHandler replacement = new ReadTimeoutHandler(timeoutMs, TimeUnit.MILLISECONDS);
        if (timer == null) {
            ctx.pipeline().addFirst(replacement);
        } else {
            ctx.pipeline().replace(timer, null, replacement);
        }
        timer = replacement;
    }
}
