package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.Message;
import mulleinfront.proxy.StandIns.ReceivedRequest;
import org.junit.jupiter.api.Test;

/**
 * Requests in every form that the protocol allows, split at every byte: each reaches its endpoint as it was sent. The
 * first part has been read by itself once another connection has had two responses after it, each of which takes a turn
 * of the event loop.
 */
class PiecesTest extends ProxyTestBase {
    private static final String ID = "id0000";
    private static final String BODY = "\0b\r\n\r\nGET /api HTTP/1.1\r\n\u00ff0\r\n\r\n";
    private int idCount;
    private Client otherClient;

    /** A request, and what its endpoint receives: request line, request id, idempotency key and body. */
    private record Form(String text, String received) {}

    private static Map<String, Form> forms() {
        Map<String, Form> forms = new LinkedHashMap<>();
        forms.put(
                "a GET",
                new Form(
                        "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: safe\r\nX-Deadline-Ms: 20000\r\n\r\n",
                        "GET /api HTTP/1.1|" + ID + "|null|"));
        forms.put(
                "a GET with all there is",
                new Form(
                        "GET /api/a%20b?q=%2f&r HTTP/1.1\r\nHost: origin.svc\r\n"
                                + "X-Request-Id: " + ID
                                + "\r\nX-Class: safe\r\nX-Tenant: acme\r\nX-Key: a, b\r\nX-Deadline-Ms: 20000\r\n"
                                + "X-Retry: 1\r\nX-Cost-Hint: 1200\r\nX-Extras: a=1,b=2.5\r\nContent-Length: 0\r\n\r\n",
                        "GET /api/a%20b?q=%2f&r HTTP/1.1|" + ID + "|null|"));
        forms.put(
                "names in any case, space around values",
                new Form(
                        "\r\nGET /api HTTP/1.1\r\nhost:h\r\nx-request-id:" + ID
                                + "\r\nX-CLASS: \t safe \t \r\nx-Deadline-ms:  20000\r\nConnection: keep-alive\r\n\r\n",
                        "GET /api HTTP/1.1|" + ID + "|null|"));
        forms.put(
                "a keyed POST",
                new Form(
                        "POST /api?x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: keyed\r\nX-Deadline-Ms: 20000\r\nIdempotency-Key: k-1\r\nContent-Length: "
                                + BODY.length()
                                + "\r\n\r\n" + BODY,
                        "POST /api?x HTTP/1.1|" + ID + "|k-1|" + BODY));
        forms.put(
                "an unsafe POST of nothing",
                new Form(
                        "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n",
                        "POST /api HTTP/1.1|" + ID + "|null|"));
        forms.put(
                "with no length",
                new Form(
                        "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\n\r\n",
                        "POST /api HTTP/1.1|" + ID + "|null|"));
        forms.put(
                "in chunks",
                new Form(
                        "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "1\r\n" + BODY.charAt(0) + "\r\n0"
                                + Integer.toHexString(BODY.length() - 2).toUpperCase()
                                + ";e=\"v\";f\r\n" + BODY.substring(1, BODY.length() - 1) + "\r\n001\r\n"
                                + BODY.charAt(BODY.length() - 1) + "\r\n0\r\nX-Trailer: t\r\n\r\n",
                        "POST /api HTTP/1.1|" + ID + "|null|" + BODY));
        forms.put(
                "in no chunk but the last",
                new Form(
                        "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID
                                + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: 20000\r\ntransfer-encoding: Chunked\r\n\r\n000\r\n\r\n",
                        "POST /api HTTP/1.1|" + ID + "|null|"));
        return forms;
    }

    private static void echo(ReceivedRequest request) {
        Message message = request.message();
        request.respondOk(message.startLine() + "|" + message.header("x-request-id") + "|"
                + message.header("idempotency-key") + "|" + message.text());
    }

    private String newId() {
        return String.format("id%04d", ++idCount);
    }

    /** Lets the event loop turn until everything written before has been read. */
    private void awaitTwoLoopTurns() throws Exception {
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    404,
                    otherClient
                            .write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
                            .read()
                            .status());
        }
    }

    private Client connectWithoutDelay() throws Exception {
        Client client = connectClient();
        client.socket.setTcpNoDelay(true);
        return client;
    }

    private void startWithEchoServer() throws Exception {
        startProxy("", StandIns.endpointJson("s", startServer(PiecesTest::echo).address(), "in_service"));
        balancer.onRequest = request -> balancer.actions.send(request.id(), "s", 0);
        otherClient = connectWithoutDelay();
    }

    @Test
    void everyFormMayBeSplitAtEveryByte() throws Exception {
        startWithEchoServer();
        Client client = connectWithoutDelay();
        for (Map.Entry<String, Form> form : forms().entrySet()) {
            String text = form.getValue().text();
            for (int splitAt = 1; splitAt < text.length(); splitAt++) {
                String id = newId();
                String request = text.replace(ID, id);
                client.write(request.substring(0, splitAt));
                awaitTwoLoopTurns();
                Message answer = client.write(request.substring(splitAt)).read();
                assertEquals(
                        form.getValue().received().replace(ID, id),
                        answer.text(),
                        form.getKey() + " cut at " + splitAt);
                assertEquals(200, answer.status());
            }
        }
        assertTrue(idCount > 1_000, "splits: " + idCount);
    }

    @Test
    void everyFormMayArriveByteByByte() throws Exception {
        startWithEchoServer();
        Client client = connectWithoutDelay();
        for (Map.Entry<String, Form> form : forms().entrySet()) {
            String id = newId();
            for (char c : form.getValue().text().replace(ID, id).toCharArray()) {
                client.write(String.valueOf(c));
                awaitTwoLoopTurns();
            }
            assertEquals(
                    form.getValue().received().replace(ID, id), client.read().text(), form.getKey());
        }
    }

    @Test
    void pipelinedFormsMayBeSplitAroundTheirBoundary() throws Exception {
        startWithEchoServer();
        Client client = connectWithoutDelay();
        for (Map.Entry<String, Form> form : forms().entrySet()) {
            for (Map.Entry<String, Form> nextForm : forms().entrySet()) {
                for (int splitAt = -6; splitAt <= 6; splitAt++) {
                    String id = newId();
                    String first = form.getValue().text().replace(ID, id);
                    String nextId = newId();
                    String both = first + nextForm.getValue().text().replace(ID, nextId);
                    client.write(both.substring(0, first.length() + splitAt));
                    awaitTwoLoopTurns();
                    client.write(both.substring(first.length() + splitAt));
                    String description = form.getKey() + ", then " + nextForm.getKey() + ", cut at " + splitAt;
                    assertEquals(
                            form.getValue().received().replace(ID, id),
                            client.read().text(),
                            description);
                    assertEquals(
                            nextForm.getValue().received().replace(ID, nextId),
                            client.read().text(),
                            description);
                }
            }
        }
    }

    @Test
    void closingAndExpectContinueRequestsMayBeSplit() throws Exception {
        startWithEchoServer();
        String head = "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID + "\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 20000\r\nContent-Length: 4\r\n";
        String closing = head + "Connection: close\r\n\r\nbody";
        String expectContinue = head + "Expect: 100-continue\r\n\r\n";
        for (int splitAt = 1; splitAt < closing.length(); splitAt++) {
            String id = newId();
            Client client = connectWithoutDelay().write(closing.replace(ID, id).substring(0, splitAt));
            awaitTwoLoopTurns();
            Message answer =
                    client.write(closing.replace(ID, id).substring(splitAt)).read();
            assertEquals("POST /api HTTP/1.1|" + id + "|null|body", answer.text(), "split at " + splitAt);
            assertEquals("close", answer.header("connection"));
            assertEquals(-1, client.in.read());
            client.close();
        }
        Client client = connectWithoutDelay();
        for (int splitAt = 1; splitAt < expectContinue.length(); splitAt++) {
            String id = newId();
            client.write(expectContinue.replace(ID, id).substring(0, splitAt));
            awaitTwoLoopTurns();
            assertEquals(
                    100,
                    client.write(expectContinue.replace(ID, id).substring(splitAt))
                            .read()
                            .status(),
                    "split at " + splitAt);
            assertEquals(
                    "POST /api HTTP/1.1|" + id + "|null|body",
                    client.write("body").read().text());
        }
    }
}
