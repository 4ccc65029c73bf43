package mulleinfront.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mulleinfront.core.Wire;

/**
 * The read timeout of a discovery call and of the watch that it opens. It has three stages: until the response body
 * starts (discovery may queue the call), until the first list is complete, and then the heartbeat timeout.
 */
final class WatchReadTimeout extends ChannelInboundHandlerAdapter {
    private final long callTimeoutMs;
    private final long listTimeoutMs;
    private ReadTimeoutHandler timer;
    private final Runnable onBodyStarted;
    private boolean bodyStarted;
    private long lastReadNanos;

    /**
     * @param callTimeoutMs longest time without data before the response body starts, milliseconds
     * @param listTimeoutMs longest time without data until the first list is complete, milliseconds
     * @param onBodyStarted run when the first bytes of the response body have been read
     */
    WatchReadTimeout(long callTimeoutMs, long listTimeoutMs, Runnable onBodyStarted) {
        this.callTimeoutMs = callTimeoutMs;
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

    /** Time since the last read, microseconds; 0 if the next heartbeat is not due yet. */
    long idleUs() {
        long elapsedUs = (System.nanoTime() - lastReadNanos) / 1000;
        return elapsedUs > Wire.HEARTBEAT_US ? elapsedUs : 0;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        timer = new ReadTimeoutHandler(callTimeoutMs, TimeUnit.MILLISECONDS);
        ctx.pipeline().addFirst(timer);
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
        ctx.pipeline().replace(timer, null, replacement);
        timer = replacement;
    }
}
