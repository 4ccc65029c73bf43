package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Splits a watch's response body into lists, in any JSON layout: on one line or indented over several, several in one
 * read or one in pieces. White space between lists is the heartbeat. A list that has started must be complete within a
 * timeout, whatever white space follows it.
 */
final class ListDecoder extends JsonObjectDecoder {
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    private final long timeoutMs;
    private Future<?> listTimer;

    /** @param timeoutMs limit of the time from a list's first byte to its last, milliseconds */
    ListDecoder(long timeoutMs) {
        super(MAX_LIST_BYTES);
        this.timeoutMs = timeoutMs;
    }

    @Override
    protected ByteBuf extractObject(ChannelHandlerContext ctx, ByteBuf buffer, int index, int length) {
        cancelTimer();
        return super.extractObject(ctx, buffer, index, length);
    }

    /** Whether the beginning of a list has been read and not its end. */
    boolean isListIncomplete() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (isListIncomplete()) {
            listTimer = listTimer == null ? failAfter(ctx, timeoutMs) : listTimer;
        }
        super.channelReadComplete(ctx);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        cancelTimer();
    }

    private void cancelTimer() {
        cancel(listTimer);
        listTimer = null;
    }

    private static Future<?> failAfter(ChannelHandlerContext ctx, long delayMs) {
        return ctx.executor()
                .schedule(
                        () -> {
                            ctx.fireExceptionCaught(new IOException("a list did not get to its end"));
                        },
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
