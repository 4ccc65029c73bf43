package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;

/**
 * HTTP message framing, strictly by RFC 9112. Netty's codec repairs ambiguous framing and reads on. A proxy must reject
 * it: a message that its two sides frame differently can hide a second request or a truncated response.
 */
final class Framing {
    /** The largest body that is buffered before it is passed on; a larger one is streamed. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    static final byte[] NO_BYTES = {};
    /** Memory of a decoded field besides its text. */
    private static final int DECODED_FIELD_BYTES = 128;

    private static final HttpDecoderConfig STRICT = new HttpDecoderConfig()
            .setStrictLineParsing(true)
            .setMaxChunkSize(MAX_BUFFERED_BODY_BYTES)
            .setAllowDuplicateContentLengths(false);

    private Framing() {}

    /** Called with what a decoder holds. */
    interface HeldBytes {
        /**
         * The number of bytes held has changed.
         *
         * @param change the change, negative when bytes are released
         */
        void add(int change);

        /** Returns how many bytes this connection may hold in all. */
        long allowance();
    }

    /**
     * Decodes the head of a message when all of it has arrived, and counts the bytes that wait until then. Bytes behind
     * unreadable ones are dropped.
     */
    private static final class WholeHeads {
        private final HeadScanner scanner = new HeadScanner();
        private final HeldBytes held;
        private boolean betweenMessages = true;
        private boolean unreadable;
        private int heldBytes;
        private int trailerBytes;

        WholeHeads(HeldBytes held) {
            this.held = held;
        }

        /** Whether the codec may decode: a whole head has arrived, or its body is being read. */
        boolean mayDecode(ByteBuf in, List<Object> out) {
            if (unreadable) {
                in.skipBytes(in.readableBytes());
                return false;
            }
            if (!betweenMessages) {
                return true;
            }
            HeadScanner.Result result = scanner.scan(in);
            if (result == HeadScanner.Result.COMPLETE) {
                scanner.reset();
                return true;
            }
            if (result != HeadScanner.Result.INCOMPLETE) {
                unreadable = true;
                in.skipBytes(in.readableBytes());
                out.add(unreadable(errorOf(result)));
            }
            return false;
        }

        private static Exception errorOf(HeadScanner.Result result) {
            return switch (result) {
                case START_LINE_TOO_LONG ->
                    new TooLongHttpLineException("start line of more than " + HeadScanner.MAX_START_LINE_BYTES);
                case FIELDS_TOO_LONG ->
                    new TooLongHttpHeaderException("head of more than " + HeadScanner.MAX_HEAD_BYTES);
                default -> new IllegalArgumentException("not a line of a head");
            };
        }

        private static HttpObject unreadable(Exception cause) {
            HttpContent content = new DefaultHttpContent(Unpooled.EMPTY_BUFFER);
            content.setDecoderResult(DecoderResult.failure(cause));
            return content;
        }

        /** Notes what the codec has decoded. */
        void decoded(List<Object> out) {
            Object last = out.isEmpty() ? null : out.get(out.size() - 1);
            if (last instanceof LastHttpContent) {
                betweenMessages = true;
                held.add(-trailerBytes);
                trailerBytes = 0;
            } else if (last instanceof HttpMessage) {
                betweenMessages = false;
            }
        }

        /** A line of fields is decoded: behind a head it is a trailer, which the codec keeps until the last one. */
        void fieldDecoded(int lineBytes) {
            if (!betweenMessages) {
                int bytes = lineBytes + DECODED_FIELD_BYTES;
                trailerBytes += bytes;
                held.add(bytes);
                if (trailerBytes > held.allowance()) {
                    throw new TooLongHttpHeaderException("trailers");
                }
            }
        }

        /** Counts the bytes that the decoder keeps after a read. */
        void count(int bytes) {
            held.add(bytes - heldBytes);
            heldBytes = bytes;
        }

        void release() {
            count(0);
            held.add(-trailerBytes);
            trailerBytes = 0;
        }
    }

    /** Decodes HTTP requests and rejects those with ambiguous framing. */
    static class RequestDecoder extends HttpRequestDecoder {
        private final Runnable onRead;
        private final WholeHeads wholeHeads;

        /**
         * @param onRead run whenever bytes have been read, before they are decoded
         * @param held counts what the decoder holds
         */
        RequestDecoder(Runnable onRead, HeldBytes held) {
            super(STRICT);
            this.onRead = onRead;
            this.wholeHeads = new WholeHeads(held);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) throws Exception {
            onRead.run();
            super.channelRead(ctx, data);
            wholeHeads.count(actualReadableBytes() > 0 ? internalBuffer().capacity() : 0);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (wholeHeads.mayDecode(in, out)) {
                super.decode(ctx, in, out);
                wholeHeads.decoded(out);
            }
        }

        @Override
        protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
            wholeHeads.release();
            super.handlerRemoved0(ctx);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            requireColon(line, start + length);
            wholeHeads.fieldDecoded(length);
            return super.splitHeaderName(line, start, length);
        }
    }

    /** Decodes HTTP responses and rejects those with ambiguous framing. */
    static class ResponseDecoder extends HttpResponseDecoder {
        private final WholeHeads wholeHeads;

        /** @param held counts what the decoder holds */
        ResponseDecoder(HeldBytes held) {
            super(STRICT);
            this.wholeHeads = new WholeHeads(held);
        }

        /** Whether bytes have been read that are not part of a complete message yet. */
        boolean hasPartialMessage() {
            return actualReadableBytes() > 0;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) throws Exception {
            super.channelRead(ctx, data);
            wholeHeads.count(actualReadableBytes() > 0 ? internalBuffer().capacity() : 0);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (wholeHeads.mayDecode(in, out)) {
                super.decode(ctx, in, out);
                wholeHeads.decoded(out);
            }
        }

        @Override
        protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
            wholeHeads.release();
            super.handlerRemoved0(ctx);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            requireColon(line, start + length);
            wholeHeads.fieldDecoded(length);
            return super.splitHeaderName(line, start, length);
        }
    }

    /** Rejects a header line without a colon, which Netty's codec reads as the name of an empty header. */
    private static void requireColon(byte[] line, int nameEnd) {
        if (nameEnd >= line.length || line[nameEnd] != ':') {
            throw new IllegalArgumentException("header line without a colon");
        }
    }

    /** A message in one buffer and so in one write. */
    static ByteBuf message(byte[] head, String lastLines, byte[] body) {
        byte[] lastLineBytes = lastLines.getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = Arrays.copyOf(head, head.length + lastLineBytes.length + body.length);
        System.arraycopy(lastLineBytes, 0, bytes, head.length, lastLineBytes.length);
        System.arraycopy(body, 0, bytes, head.length + lastLineBytes.length, body.length);
        return Unpooled.wrappedBuffer(bytes);
    }

    /** A piece as a chunk (RFC 9112, 7.1); takes over its release. An empty chunk would end the body. */
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

    /** Whether a head is valid HTTP/1 with unambiguous framing; the body that follows is not checked. */
    static boolean isValid(HttpMessage head) {
        HttpVersion version = head.protocolVersion();
        HttpHeaders headers = head.headers();
        if (head.decoderResult().isFailure()
                || !version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        // The codec checked each name and value (RFC 9110, 5.1 and 5.5) when it added them.
        if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            Iterator<String> lengths = headers.valueStringIterator(HttpHeaderNames.CONTENT_LENGTH);
            return !lengths.hasNext() || parseDigits(lengths.next()) >= 0 && !lengths.hasNext();
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.size() == 1
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && version.equals(HttpVersion.HTTP_1_1)
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
    }

    /** Whether a valid head states how its body is delimited, by length or by chunks. */
    static boolean delimitsBody(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /** Whether a valid head states a body above the size limit. */
    static boolean isBodyTooLarge(HttpHeaders headers) {
        return contentLength(headers) > BodyStream.MAX_BODY_BYTES;
    }

    /** The length of the body that a valid head states; -1 if it states none. */
    static long contentLength(HttpHeaders headers) {
        return parseDigits(headers.get(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Parses a number of 1 to 18 digits; -1 for any other text, such as one with a sign, a fraction or a list. */
    static long parseDigits(String text) {
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
