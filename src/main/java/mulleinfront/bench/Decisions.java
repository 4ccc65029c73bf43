package mulleinfront.bench;

import com.sun.management.ThreadMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mulleinfront.Balancer;
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
import mulleinfront.core.NoOpActions;

/** Measures the cost of the balancer alone by number of endpoints: a request, a replaced endpoint, a full list. */
public final class Decisions {
    private static final int OPEN_ATTEMPTS = 8;
    private static final long STEP_US = 500;
    private static final long LATENCY_US = 4_000;

    private final PrintWriter out;
    private final int requests;
    private final int changes;

    /**
     * @param requests measured requests for each number of endpoints
     * @param changes measured deltas, each of which removes one endpoint and adds another
     */
    public Decisions(PrintWriter out, int requests, int changes) {
        this.out = out;
        this.requests = requests;
        this.changes = changes;
    }

    /** Measures with the given number of endpoints. */
    public void measure(int endpoints) {
        BalancerDriver driver = new BalancerDriver(endpoints);
        driver.sendRequests(requests / 2);
        driver.replaceEndpoints(changes / 2);
        long from = System.nanoTime();
        long allocatedBefore = allocated();
        driver.sendRequests(requests);
        double requestMicros = (System.nanoTime() - from) / 1e3 / requests;
        double bytesPerRequest = (double) (allocated() - allocatedBefore) / requests;
        from = System.nanoTime();
        driver.replaceEndpoints(changes);
        double changeMicros = (System.nanoTime() - from) / 1e3 / changes;
        from = System.nanoTime();
        int lists = Math.max(3, 100_000 / endpoints);
        for (int i = 0; i < lists; i++) {
            driver.applyFullList();
        }
        double fullListMicros = (System.nanoTime() - from) / 1e3 / lists;
        out.printf(
                Locale.ROOT,
                "%8d %12.2f %12.0f %14.1f %14.1f%n",
                endpoints,
                requestMicros,
                bytesPerRequest,
                changeMicros,
                fullListMicros);
        out.flush();
    }

    private static long allocated() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Drives a balancer and ends each attempt after some later ones have started. */
    private static final class BalancerDriver extends NoOpActions {
        private final ArrayDeque<AttemptEnd> openAttempts = new ArrayDeque<>();
        private final List<Endpoint> list = new ArrayList<>();
        private final Balancer balancer;
        private long nowUs = 1_000_000;
        private long requestNumber;
        private int createdEndpoints;
        private int changeNumber;

        BalancerDriver(int endpoints) {
            RequestClass lookup = new RequestClass("lookup", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
            balancer = Balancer.create(
                    new Settings(
                            List.of(lookup),
                            List.of(),
                            1,
                            1,
                            0,
                            false,
                            false,
                            new Limits(3, true, false, 0, 15_000_000),
                            new Contract(10_000_000, 0.2, 20_000_000)),
                    1,
                    nowUs,
                    this);
            for (int i = 0; i < endpoints; i++) {
                list.add(newEndpoint());
            }
            applyFullList();
        }

        private Endpoint newEndpoint() {
            return new Endpoint(
                    "host-" + createdEndpoints++,
                    createdEndpoints % 3,
                    0,
                    createdEndpoints % 2,
                    Availability.READY,
                    1,
                    0);
        }

        void applyFullList() {
            balancer.onEndpoints(nowUs, Source.FULL, list);
        }

        void sendRequests(int count) {
            for (int i = 0; i < count; i++) {
                nowUs += STEP_US;
                balancer.onRequest(
                        nowUs,
                        new Request(
                                "r" + requestNumber, 0, "k" + requestNumber * 7919 % 10_000, 2_000_000, 0, 0, false));
                requestNumber++;
                if (openAttempts.size() > OPEN_ATTEMPTS) {
                    balancer.onAttemptEnded(nowUs, openAttempts.poll());
                }
                if (i % 100 == 0) {
                    balancer.onTimer(nowUs);
                }
            }
        }

        /** Replaces one endpoint at a time by a delta with two entries, as a deployment does. */
        void replaceEndpoints(int count) {
            for (int i = 0; i < count; i++) {
                nowUs += 1_000;
                int at = changeNumber++ % list.size();
                Endpoint old = list.get(at);
                Endpoint fresh = newEndpoint();
                list.set(at, fresh);
                balancer.onEndpoints(
                        nowUs,
                        Source.DELTA,
                        List.of(
                                new Endpoint(
                                        old.id(),
                                        old.zone(),
                                        old.cell(),
                                        old.kind(),
                                        Availability.GONE,
                                        old.weight(),
                                        old.startedAtUs()),
                                fresh));
            }
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            openAttempts.add(new AttemptEnd(requestId, 0, Outcome.OK, true, LATENCY_US));
        }
    }
}
