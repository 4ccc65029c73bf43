package mulleinfront.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.List;

/** Passes on the body of a watch's response. Any status but 200, and the end of the response, end the watch. */
final class WatchBodyDecoder extends MessageToMessageDecoder<HttpObject> {
    WatchBodyDecoder() {
        super(HttpObject.class);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out) throws IOException {
        if (message.decoderResult().isFailure()
                || message instanceof HttpResponse response && response.status().code() != 200) {
            throw new IOException("discovery refused the watch");
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            ctx.pipeline().get(WatchReadTimeout.class).onBodyData(ctx);
            out.add(content.content().retain());
        }
        if (message instanceof LastHttpContent) {
            ctx.close();
        }
    }
}
