package mulleinfront.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.List;

/** Hands on what a watch's answer holds; any answer but 200, or its end, is the end of the watch. */
final class AnswerBody extends MessageToMessageDecoder<HttpObject> {
    AnswerBody() {
        super(HttpObject.class);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject in, List<Object> out) throws IOException {
        if (in.decoderResult().isFailure()
                || in instanceof HttpResponse r && r.status().code() != 200) {
            throw new IOException("discovery refused the watch");
        }
        if (in instanceof HttpContent content && content.content().isReadable()) {
            ctx.pipeline().get(AnswerSilence.class).begun(ctx);
            out.add(content.content().retain());
        }
        if (in instanceof LastHttpContent) {
            ctx.close();
        }
    }
}
