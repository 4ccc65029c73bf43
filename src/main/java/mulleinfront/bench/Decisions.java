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

/** What the decision module costs by itself as hosts become more: a request, a host gone and back, a whole list. */
public final class Decisions {
    private static final int OPEN = 8;
    private static final long STEP_US = 500;
    private static final long ANSWER_US = 4_000;

    private final PrintWriter out;
    private final int requests;
    private final int changes;

    /**
     * @param requests counted requests of each size
     * @param changes counted changes of the list, each one host gone and one come
     */
    public Decisions(PrintWriter out, int requests, int changes) {
        this.out = out;
        this.requests = requests;
        this.changes = changes;
    }

    /** Measures a fleet of so many hosts. */
    public void measure(int hosts) {
        Driver driver = new Driver(hosts);
        driver.requests(requests / 2);
        driver.change(changes / 2);
        long from = System.nanoTime();
        long allocated = allocated();
        driver.requests(requests);
        double request = (System.nanoTime() - from) / 1e3 / requests;
        double bytes = (double) (allocated() - allocated) / requests;
        from = System.nanoTime();
        driver.change(changes);
        double change = (System.nanoTime() - from) / 1e3 / changes;
        from = System.nanoTime();
        int lists = Math.max(3, 100_000 / hosts);
        for (int i = 0; i < lists; i++) {
            driver.whole();
        }
        double whole = (System.nanoTime() - from) / 1e3 / lists;
        out.printf(Locale.ROOT, "%8d %12.2f %12.0f %14.1f %14.1f%n", hosts, request, bytes, change, whole);
        out.flush();
    }

    private static long allocated() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** A module and whoever carries out what it decides: each attempt is answered after some others. */
    private static final class Driver extends NoOpActions {
        private final ArrayDeque<AttemptEnd> out = new ArrayDeque<>();
        private final List<Endpoint> list = new ArrayList<>();
        private final Balancer module;
        private long now = 1_000_000;
        private long next;
        private int named;
        private int turn;

        Driver(int hosts) {
            RequestClass lookup = new RequestClass("lookup", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
            module = Balancer.create(
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
                    now,
                    this);
            for (int i = 0; i < hosts; i++) {
                list.add(host());
            }
            whole();
        }

        private Endpoint host() {
            return new Endpoint("host-" + named++, named % 3, 0, named % 2, Availability.READY, 1, 0);
        }

        void whole() {
            module.onEndpoints(now, Source.FULL, list);
        }

        void requests(int count) {
            for (int i = 0; i < count; i++) {
                now += STEP_US;
                module.onRequest(now, new Request("r" + next, 0, "k" + next * 7919 % 10_000, 2_000_000, 0, 0, false));
                next++;
                if (out.size() > OPEN) {
                    module.onAttemptEnded(now, out.poll());
                }
                if (i % 100 == 0) {
                    module.onTimer(now);
                }
            }
        }

        /** One host goes and another comes, as a deploy has it, in one list of two entries. */
        void change(int count) {
            for (int i = 0; i < count; i++) {
                now += 1_000;
                int at = turn++ % list.size();
                Endpoint old = list.get(at);
                Endpoint fresh = host();
                list.set(at, fresh);
                module.onEndpoints(
                        now,
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
            out.add(new AttemptEnd(requestId, 0, Outcome.OK, true, ANSWER_US));
        }
    }
}
