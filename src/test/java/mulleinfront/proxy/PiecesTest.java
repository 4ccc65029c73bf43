package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Message;
import mulleinfront.proxy.Peers.Seen;
import org.junit.jupiter.api.Test;

/**
 * Requests in every form that the protocol allows, cut at every byte: each comes to its host as it was sent. A piece
 * has surely been read by itself once another connection has had two answers, each a turn of the loop, after it.
 */
class PiecesTest extends ProxyRig {
    private static final String ID = "id0000";
    private static final String BODY = "\0b\r\n\r\nGET /api HTTP/1.1\r\n\u00ff0\r\n\r\n";
    private int ids;
    private Client other;

    /** A request, and what a host gets of it: method, target, id, key of its effect and body. */
    private record Form(String text, String got) {}

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

    private static void echo(Seen s) {
        Message m = s.message();
        s.served(m.first() + "|" + m.header("x-request-id") + "|" + m.header("idempotency-key") + "|" + m.text());
    }

    private String fresh() {
        return String.format("id%04d", ++ids);
    }

    /** Lets the loop turn until all that was written before has been read. */
    private void turn() throws Exception {
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    404,
                    other.write("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").read().status());
        }
    }

    private Client quick() throws Exception {
        Client client = client();
        client.socket.setTcpNoDelay(true);
        return client;
    }

    private void begin() throws Exception {
        start("", Peers.host("s", host(PiecesTest::echo).address(), "in_service"));
        module.onRequest = r -> module.actions.send(r.id(), "s", 0);
        other = quick();
    }

    @Test
    void everyFormMayBeCutAtEveryByte() throws Exception {
        begin();
        Client client = quick();
        for (Map.Entry<String, Form> one : forms().entrySet()) {
            String text = one.getValue().text();
            for (int cut = 1; cut < text.length(); cut++) {
                String id = fresh();
                String now = text.replace(ID, id);
                client.write(now.substring(0, cut));
                turn();
                Message answer = client.write(now.substring(cut)).read();
                assertEquals(one.getValue().got().replace(ID, id), answer.text(), one.getKey() + " cut at " + cut);
                assertEquals(200, answer.status());
            }
        }
        assertTrue(ids > 1_000, "cuts: " + ids);
    }

    @Test
    void everyFormMayComeByTheByte() throws Exception {
        begin();
        Client client = quick();
        for (Map.Entry<String, Form> one : forms().entrySet()) {
            String id = fresh();
            for (char c : one.getValue().text().replace(ID, id).toCharArray()) {
                client.write(String.valueOf(c));
                turn();
            }
            assertEquals(one.getValue().got().replace(ID, id), client.read().text(), one.getKey());
        }
    }

    @Test
    void anyTwoFormsMayFollowEachOtherCutAtEveryByteOfTheirMeeting() throws Exception {
        begin();
        Client client = quick();
        for (Map.Entry<String, Form> one : forms().entrySet()) {
            for (Map.Entry<String, Form> next : forms().entrySet()) {
                for (int cut = -6; cut <= 6; cut++) {
                    String id = fresh();
                    String first = one.getValue().text().replace(ID, id);
                    String nextId = fresh();
                    String both = first + next.getValue().text().replace(ID, nextId);
                    client.write(both.substring(0, first.length() + cut));
                    turn();
                    client.write(both.substring(first.length() + cut));
                    String what = one.getKey() + ", then " + next.getKey() + ", cut at " + cut;
                    assertEquals(
                            one.getValue().got().replace(ID, id), client.read().text(), what);
                    assertEquals(
                            next.getValue().got().replace(ID, nextId),
                            client.read().text(),
                            what);
                }
            }
        }
    }

    @Test
    void theLastOfAConnectionAndOneThatAsksFirstMayBeCutToo() throws Exception {
        begin();
        String head = "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + ID + "\r\nX-Class: unsafe\r\n"
                + "X-Deadline-Ms: 20000\r\nContent-Length: 4\r\n";
        String last = head + "Connection: close\r\n\r\nbody";
        String asks = head + "Expect: 100-continue\r\n\r\n";
        for (int cut = 1; cut < last.length(); cut++) {
            String id = fresh();
            Client client = quick().write(last.replace(ID, id).substring(0, cut));
            turn();
            Message answer = client.write(last.replace(ID, id).substring(cut)).read();
            assertEquals("POST /api HTTP/1.1|" + id + "|null|body", answer.text(), "cut at " + cut);
            assertEquals("close", answer.header("connection"));
            assertEquals(-1, client.in.read());
            client.close();
        }
        Client client = quick();
        for (int cut = 1; cut < asks.length(); cut++) {
            String id = fresh();
            client.write(asks.replace(ID, id).substring(0, cut));
            turn();
            assertEquals(
                    100,
                    client.write(asks.replace(ID, id).substring(cut)).read().status(),
                    "cut at " + cut);
            assertEquals(
                    "POST /api HTTP/1.1|" + id + "|null|body",
                    client.write("body").read().text());
        }
    }
}
