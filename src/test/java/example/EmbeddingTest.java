package example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Contract;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Limits;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import org.junit.jupiter.api.Test;

/** The README's example, run from another package with actions that record their calls. */
class EmbeddingTest {
    @Test
    void readmeExampleWorks() {
        List<String> log = new ArrayList<>();
        Actions actions = new Actions() {
            public void send(String requestId, String endpointId, long timeoutUs) {
                log.add("send " + requestId);
            }

            public void refuse(String requestId, long retryAfterUs) {
                log.add("refuse");
            }

            public void fail(String requestId) {
                log.add("fail");
            }

            public void cancel(String requestId, int attempt) {
                log.add("cancel");
            }

            public void subscribe() {
                log.add("subscribe");
            }

            public void wakeAt(long atUs) {}
        };
        // <example>
        RequestClass read = new RequestClass("read", Effect.RETRYABLE, null, 0, 1.0, 0.0, 500_000, 0, 2_000_000);
        Settings settings = new Settings(
                List.of(read),
                List.of(),
                1.0,
                1,
                0,
                false,
                false,
                new Limits(3, true, false, 0, 15_000_000),
                new Contract(10_000_000, 0.2, 20_000_000));
        Balancer balancer = Balancer.create(settings, 42, 0, actions);
        balancer.onEndpoints(
                0,
                Source.FULL,
                List.of(
                        new Endpoint("10.0.0.1:80", 0, 0, 0, Availability.READY, 1, 0),
                        new Endpoint("10.0.0.2:80", 1, 0, 0, Availability.READY, 1, 0)));
        balancer.onRequest(1_000, new Request("r1", 0, "some-key", 2_000_000, 0, 0, false)); // calls send
        balancer.onAttemptEnded(31_000, new AttemptEnd("r1", 0, Outcome.OK, true, 30_000));
        // </example>
        assertEquals(List.of("send r1"), log);
    }

    @Test
    void readmeShowsTheSameLines() throws Exception {
        String source = Files.readString(Path.of("src/test/java/example/EmbeddingTest.java"));
        String readme = Files.readString(Path.of("README.md"));
        String body = source.substring(source.indexOf("// <example>") + 12, source.indexOf("// </example>"));
        for (String line : body.strip().split("\n")) {
            assertTrue(readme.contains(line.strip()), line);
        }
    }
}
