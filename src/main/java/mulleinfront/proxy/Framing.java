package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;

/**
 * Where a message begins and ends, strictly by RFC 9112. The codec mends what is ambiguous and reads on; one
 * in the middle must not: what the two sides of it read differently hides a second request or a cut answer.
 */
final class Framing {
    /** The largest body that is read whole before it goes on, bytes; a larger one goes on while it comes. */
    static final int MOST_BODY = 64 * 1024;

    static final byte[] NO_BYTES = {};
    private static final HttpDecoderConfig STRICT = new HttpDecoderConfig()
            .setStrictLineParsing(true)
            .setMaxChunkSize(MOST_BODY)
            .setAllowDuplicateContentLengths(false);

    private Framing() {}

    /** Decodes HTTP requests and rejects those with ambiguous framing. */
    static class RequestDecoder extends HttpRequestDecoder {
        private final Runnable heard;

        /**
         * @param heard run whenever bytes have come, before what they make is handed on
         */
        RequestDecoder(Runnable heard) {
            super(STRICT);
            this.heard = heard;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) throws Exception {
            heard.run();
            super.channelRead(ctx, in);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("two lengths");
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            needColon(line, start + length);
            return super.splitHeaderName(line, start, length);
        }
    }

    /** Decodes HTTP responses and rejects those with ambiguous framing. */
    static class ResponseDecoder extends HttpResponseDecoder {
        ResponseDecoder() {
            super(STRICT);
        }

        /** Whether it holds the beginning of something that it could not yet make a message of. */
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("two lengths");
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            needColon(line, start + length);
            return super.splitHeaderName(line, start, length);
        }
    }

    /** The codec takes a line without a colon for the name of an empty header. */
    private static void needColon(byte[] line, int at) {
        if (at >= line.length || line[at] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
    }

    /** A message in one buffer and so in one write: a head whose characters are bytes, and a body. */
    static ByteBuf whole(byte[] start, String rest, byte[] body) {
        byte[] lines = rest.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(start, start.length + lines.length + body.length);
        System.arraycopy(lines, 0, all, start.length, lines.length);
        System.arraycopy(body, 0, all, start.length + lines.length, body.length);
        return Unpooled.wrappedBuffer(all);
    }

    /** A piece as a chunk (RFC 9112, 7.1); takes over its release. An empty one would be the end. */
    static ByteBuf chunk(ByteBuf piece) {
        return Unpooled.wrappedBuffer(ascii(Integer.toHexString(piece.readableBytes()) + "\r\n"), piece, ascii("\r\n"));
    }

    /** The last chunk, with no trailers. */
    static ByteBuf lastChunk() {
        return ascii("0\r\n\r\n");
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Whether a head can be read in one way only, as HTTP/1; says nothing of a body that is yet to come. */
    static boolean sound(HttpMessage head) {
        HttpVersion version = head.protocolVersion();
        HttpHeaders headers = head.headers();
        if (head.decoderResult().isFailure()
                || !version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        // The codec has checked each name and value (RFC 9110, 5.1 and 5.5) when it added them.
        if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            Iterator<String> stated = headers.valueStringIterator(HttpHeaderNames.CONTENT_LENGTH);
            return !stated.hasNext() || number(stated.next()) >= 0 && !stated.hasNext();
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.size() == 1
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && version.equals(HttpVersion.HTTP_1_1)
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
    }

    /** Whether a sound head says how long its body is. */
    static boolean statesLength(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /** Whether a sound head states a body larger than any may be. */
    static boolean tooLong(HttpHeaders headers) {
        return length(headers) > Flow.MOST;
    }

    /** The length of the body that a sound head states; -1 if it states none. */
    static long length(HttpHeaders headers) {
        return number(headers.get(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** A number of digits alone; -1 if it is none: no sign, no fraction, no list, nothing that overflows. */
    static long number(String text) {
        if (text == null || text.isEmpty() || text.length() > 18) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            number = 10 * number + (c - '0');
        }
        return number;
    }
}
