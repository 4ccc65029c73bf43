package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A request message as it is forwarded to endpoints, without the headers of the client's own connection.
 *
 * @param head the request line and the forwarded headers, each with its line end; the headers that each attempt sets
 *     anew are left out
 * @param hasContentLength whether a body that has been read completely is sent with its length, also if that is 0
 * @param body the whole body, or its first part if the rest is streamed
 * @param remainingBody the rest of the body, streamed as it arrives; null if there is none
 * @param deadlineMs upper bound of the deadline sent to the endpoint with a streamed body, milliseconds
 */
record RequestMessage(byte[] head, boolean hasContentLength, byte[] body, BodyStream remainingBody, long deadlineMs) {
    static final AsciiString DEADLINE_HEADER = AsciiString.cached("x-deadline-ms");

    /** Hop-by-hop headers (RFC 9110, 7.6.1), and the headers that each attempt sets anew. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            DEADLINE_HEADER.toString());
    /** Length of the longest of these names; a longer header name needs no lookup. */
    private static final int LONGEST_NOT_FORWARDED = 17;

    static RequestMessage of(RequestHead head, byte[] body) {
        return of(head.method(), head.encoded(), body);
    }

    static RequestMessage of(String method, byte[] encodedHead, byte[] body) {
        return new RequestMessage(encodedHead, body.length > 0 || !method.equals("GET"), body, null, 0);
    }

    /** Encodes the request line and the headers that are forwarded. */
    static byte[] encodeHead(String method, String uri, HttpHeaders headers) {
        Set<String> connectionOptions = null;
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            connectionOptions = new HashSet<>();
            for (String names : headers.getAll(HttpHeaderNames.CONNECTION)) {
                for (String name : names.split(",")) {
                    connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        StringBuilder head = new StringBuilder(320);
        head.append(method).append(' ').append(uri).append(" HTTP/1.1\r\n");
        for (Map.Entry<String, String> header : headers) {
            if (isForwarded(header.getKey(), connectionOptions)) {
                head.append(header.getKey())
                        .append(": ")
                        .append(header.getValue())
                        .append("\r\n");
            }
        }
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Length of the message on the wire, without the headers that each attempt sets anew. */
    long bytes() {
        return head.length + body.length + (remainingBody == null ? 0 : Math.max(0, remainingBody.length()));
    }

    /** This request with the rest of its body streamed. */
    RequestMessage withRemainingBody(BodyStream remaining, long maxDeadlineMs) {
        return new RequestMessage(head, hasContentLength, body, remaining, maxDeadlineMs);
    }

    private static boolean isForwarded(String name, Set<String> connectionOptions) {
        if (connectionOptions == null && name.length() > LONGEST_NOT_FORWARDED) {
            return true;
        }
        String lowerCaseName = name.toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(lowerCaseName)
                && (connectionOptions == null || !connectionOptions.contains(lowerCaseName));
    }

    /** The health probe. */
    static RequestMessage healthProbe() {
        return new RequestMessage(
                "GET /-/healthy HTTP/1.1\r\nhost: origin.svc\r\n".getBytes(StandardCharsets.US_ASCII),
                false,
                Framing.NO_BYTES,
                null,
                0);
    }

    /**
     * Encodes the request into one buffer, so that one write either sends all of it or is known to have failed; head
     * and body in two writes could fail between the two. If the rest of the body is streamed, the buffer ends with the
     * first part of the body.
     *
     * @param remainingMs the client's remaining time; unlimited while the body is still being read
     */
    ByteBuf encode(long remainingMs) {
        if (remainingBody == null) {
            String lastHeaders = "X-Deadline-Ms: " + remainingMs
                    + (hasContentLength ? "\r\nContent-Length: " + body.length + "\r\n\r\n" : "\r\n\r\n");
            return Framing.message(head, lastHeaders, body);
        }
        boolean chunked = remainingBody.length() < 0;
        String lastHeaders = "X-Deadline-Ms: " + Math.min(remainingMs, deadlineMs)
                + (chunked
                        ? "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        : "\r\nContent-Length: " + remainingBody.length() + "\r\n\r\n");
        ByteBuf encodedHead = Framing.message(head, lastHeaders, Framing.NO_BYTES);
        ByteBuf firstPart = Unpooled.wrappedBuffer(body);
        return Unpooled.wrappedBuffer(encodedHead, chunked ? Framing.chunk(firstPart) : firstPart);
    }
}
