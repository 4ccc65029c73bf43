package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Lists, however they are laid out: on one line or indented over many, several in a read or one in pieces. White
 * space between two is the heartbeat. One that has begun and does not get to its end is silence too, whatever
 * white space follows.
 */
final class ListDecoder extends JsonObjectDecoder {
    private static final int LONGEST_LIST = 4 * 1024 * 1024;

    private final long patienceMs;
    private Future<?> patience;

    /** @param patienceMs how long a list may take from its first byte to its last */
    ListDecoder(long patienceMs) {
        super(LONGEST_LIST);
        this.patienceMs = patienceMs;
    }

    @Override
    protected ByteBuf extractObject(ChannelHandlerContext ctx, ByteBuf buffer, int index, int length) {
        ended();
        return super.extractObject(ctx, buffer, index, length);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (actualReadableBytes() > 0) {
            patience = patience == null ? failsAfter(ctx, patienceMs) : patience;
        }
        super.channelReadComplete(ctx);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        ended();
    }

    private void ended() {
        cancel(patience);
        patience = null;
    }

    private static Future<?> failsAfter(ChannelHandlerContext ctx, long delayMs) {
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
