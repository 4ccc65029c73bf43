package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A request as it goes on to a host: all that the client sent but what concerns its own connection.
 *
 * @param head its first lines, each with its end, without those that are written anew for each attempt
 * @param body all of it, or its beginning
 * @param rest what follows the beginning; null if nothing does
 * @param deadlineMs what hosts are told of the time while the rest still comes, milliseconds
 */
record Call(byte[] head, boolean statesLength, byte[] body, Flow rest, long deadlineMs) {
    static final AsciiString DEADLINE = AsciiString.cached("x-deadline-ms");

    /** Hop-by-hop headers (RFC 9110, 7.6.1), and those that are written anew for each attempt. */
    private static final Set<String> OWN = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            DEADLINE.toString());
    /** Longest of those names: most headers are told apart by their length. */
    private static final int LONGEST_OWN = 17;

    static Call of(HttpRequest in, byte[] body) {
        return of(in.method().name(), in.uri(), in.headers(), body);
    }

    static Call of(String method, String uri, HttpHeaders headers, byte[] body) {
        Set<String> named = null;
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            named = new HashSet<>();
            for (String names : headers.getAll(HttpHeaderNames.CONNECTION)) {
                for (String name : names.split(",")) {
                    named.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        StringBuilder head = new StringBuilder(320);
        head.append(method).append(' ').append(uri).append(" HTTP/1.1\r\n");
        for (Map.Entry<String, String> h : headers) {
            if (goesOn(h.getKey(), named)) {
                head.append(h.getKey()).append(": ").append(h.getValue()).append("\r\n");
            }
        }
        return new Call(
                head.toString().getBytes(StandardCharsets.ISO_8859_1),
                body.length > 0 || !method.equals("GET"),
                body,
                null,
                0);
    }

    /** The same with more to come. */
    Call with(Flow more, long deadline) {
        return new Call(head, statesLength, body, more, deadline);
    }

    private static boolean goesOn(String name, Set<String> named) {
        if (named == null && name.length() > LONGEST_OWN) {
            return true;
        }
        String lower = name.toLowerCase(Locale.ROOT);
        return !OWN.contains(lower) && (named == null || !named.contains(lower));
    }

    /** A probe. */
    static Call health() {
        return new Call(
                "GET /-/healthy HTTP/1.1\r\nhost: origin.svc\r\n".getBytes(StandardCharsets.US_ASCII),
                false,
                Framing.NO_BYTES,
                null,
                0);
    }

    /**
     * The whole request in one buffer, so that its write either reaches the last byte or surely did not: an
     * encoder's head and body apart could end between the two. Of one that still comes, its beginning.
     *
     * @param leftMs what is left to the client; of one that still comes all of its time may be
     */
    ByteBuf encode(long leftMs) {
        if (rest == null) {
            String more = "X-Deadline-Ms: " + leftMs
                    + (statesLength ? "\r\nContent-Length: " + body.length + "\r\n\r\n" : "\r\n\r\n");
            return Framing.whole(head, more, body);
        }
        boolean chunked = rest.length() < 0;
        String more = "X-Deadline-Ms: " + Math.min(leftMs, deadlineMs)
                + (chunked
                        ? "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        : "\r\nContent-Length: " + rest.length() + "\r\n\r\n");
        ByteBuf begun = Framing.whole(head, more, Framing.NO_BYTES);
        ByteBuf first = Unpooled.wrappedBuffer(body);
        return Unpooled.wrappedBuffer(begun, chunked ? Framing.chunk(first) : first);
    }
}
