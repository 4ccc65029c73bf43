package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** A request as it goes on to a host: all that the client sent but what concerns its own connection. */
record Call(String method, String uri, HttpHeaders headers, byte[] body) {
    static final AsciiString DEADLINE = AsciiString.cached("x-deadline-ms");

    /** Hop-by-hop headers (RFC 9110, 7.6.1), and those that are written anew for each attempt. */
    private static final List<AsciiString> OWN = List.of(HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT, HttpHeaderNames.CONTENT_LENGTH, DEADLINE);

    static Call of(HttpRequest in, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set(in.headers());
        in.headers().getAll(HttpHeaderNames.CONNECTION).forEach(
                names -> List.of(names.split(",")).forEach(name -> headers.remove(name.trim())));
        OWN.forEach(headers::remove);
        return new Call(in.method().name(), in.uri(), headers, body);
    }

    /** A probe. */
    static Call health() {
        return new Call("GET", "/-/healthy", new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "origin.svc"),
                new byte[0]);
    }

    /**
     * The whole request in one buffer, so that its write either reaches the last byte or surely did not: an
     * encoder's head and body apart could end between the two.
     */
    ByteBuf encode(long deadlineMs) {
        StringBuilder head = new StringBuilder(256);
        head.append(method).append(' ').append(uri).append(" HTTP/1.1\r\n");
        for (Map.Entry<String, String> h : headers) {
            head.append(h.getKey()).append(": ").append(h.getValue()).append("\r\n");
        }
        head.append("X-Deadline-Ms: ").append(deadlineMs).append("\r\n");
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        return Unpooled.wrappedBuffer(concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), body));
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
