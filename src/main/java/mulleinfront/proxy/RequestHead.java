package mulleinfront.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;
import mulleinfront.Balancer.Effect;

/**
 * The head of a client's request as it is kept while the request is read, waits or is open: the values that the proxy
 * uses, and the encoded head that endpoints get. Decoded fields would take many times the memory.
 *
 * @param method the method
 * @param path the path without the query
 * @param sound whether the request target is printable and the method's headers are as the protocol has them
 * @param keyed whether there is an {@code Idempotency-Key}
 * @param keepAlive whether the client keeps the connection
 * @param http10 whether the client speaks HTTP/1.0
 * @param contentLength the stated length of the body, bytes; -1 if there is none
 * @param id the request's id; null if it is missing or repeated
 * @param requestClass the name of the request's class; null if it is missing or repeated
 * @param deadlineMs how long the client waits, milliseconds; -1 if that is no number
 * @param tenantStated whether a tenant is stated
 * @param tenant the name of the tenant; null if it is missing or repeated
 * @param key the routing key; null if there is none
 * @param expectedUs the expected work, microseconds; 0 if unknown
 * @param repeat whether the client marks the request as a repeat
 * @param encoded the request line and the forwarded headers
 */
record RequestHead(
        String method,
        String path,
        boolean sound,
        boolean keyed,
        boolean keepAlive,
        boolean http10,
        long contentLength,
        String id,
        String requestClass,
        long deadlineMs,
        boolean tenantStated,
        String tenant,
        String key,
        long expectedUs,
        boolean repeat,
        byte[] encoded) {
    /** Memory of a waiting request besides its encoded head and its body. */
    private static final int OVERHEAD_BYTES = 1024;
    /** Further memory of an open request, in the core and the balancer. */
    static final int OPEN_BYTES = 1024;

    static RequestHead of(HttpRequest request) {
        HttpHeaders headers = request.headers();
        Iterator<String> idempotencyKeys = headers.valueStringIterator("Idempotency-Key");
        boolean keyed = idempotencyKeys.hasNext() && idempotencyKeys.next() != null;
        String uri = request.uri();
        int queryIndex = uri.indexOf('?');
        return new RequestHead(
                request.method().name(),
                queryIndex < 0 ? uri : uri.substring(0, queryIndex),
                !idempotencyKeys.hasNext() && isPrintable(uri),
                keyed,
                HttpUtil.isKeepAlive(request),
                request.protocolVersion().equals(HttpVersion.HTTP_1_0),
                Framing.contentLength(headers),
                singleValue(headers, "X-Request-Id"),
                singleValue(headers, "X-Class"),
                Framing.parseDigits(singleValue(headers, RequestMessage.DEADLINE_HEADER)),
                headers.contains("X-Tenant"),
                singleValue(headers, "X-Tenant"),
                routingKey(headers),
                Math.max(0, Framing.parseDigits(headers.get("X-Cost-Hint"))),
                "1".equals(headers.get("X-Retry")),
                RequestMessage.encodeHead(request.method().name(), uri, headers));
    }

    /** The effect of a repeat according to the method and headers; null if the request is invalid by the protocol. */
    Effect effect(int bodyBytes) {
        if (!sound) {
            return null;
        }
        return switch (method) {
            case "GET" -> bodyBytes == 0 && !keyed ? Effect.RETRYABLE : null;
            case "POST" -> keyed ? Effect.DEDUP : Effect.FRAGILE;
            default -> null;
        };
    }

    /** Memory of the request without its body. */
    int heldBytes() {
        return encoded.length + OVERHEAD_BYTES;
    }

    private static String routingKey(HttpHeaders headers) {
        String key = singleValue(headers, "X-Key");
        return key == null && headers.contains("X-Key") ? String.join(",", headers.getAll("X-Key")) : key;
    }

    private static boolean isPrintable(String uri) {
        for (int i = 0; i < uri.length(); i++) {
            if (uri.charAt(i) <= ' ' || uri.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    /**
     * The value of a header that occurs once; null if it is missing or repeated, since repeated values are ambiguous.
     */
    private static String singleValue(HttpHeaders headers, CharSequence name) {
        Iterator<String> values = headers.valueStringIterator(name);
        String first = values.hasNext() ? values.next() : null;
        return values.hasNext() ? null : first;
    }
}
