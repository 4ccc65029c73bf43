import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** A request of the application, in the form that PROTOCOL gives. */
record Request(String name, String id, byte[] bytes) {
    /** Draws a request of one of the three classes, with a key of some hundred and the class's whole deadline. */
    static Request draw(SplittableRandom random, String id) {
        double draw = random.nextDouble();
        return of(draw < 0.41 ? "invoice-lookup" : draw < 0.8 ? "advance-payout" : "invoice-submit", id,
                "k" + random.nextInt(660), 0, "");
    }

    /** Returns a request; a deadline of 0 stands for the class's own. */
    static Request of(String name, String id, String key, int deadlineMs, String body) {
        boolean lookup = name.equals("invoice-lookup");
        int classDeadlineMs = lookup ? 1500 : name.equals("advance-payout") ? 2500 : 4000;
        String head = (lookup ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: " + name + "\r\nX-Tenant: ulaanbaatar\r\nX-Key: " + key + "\r\nX-Deadline-Ms: "
                + (deadlineMs > 0 ? deadlineMs : classDeadlineMs) + "\r\n"
                + (name.equals("invoice-submit") ? "Idempotency-Key: i" + id + "\r\n" : "")
                + (lookup ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
        return new Request(name, id, head.getBytes(StandardCharsets.US_ASCII));
    }
}
