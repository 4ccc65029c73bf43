package mulleinfront;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;

/** The state that {@link Logic} keeps of endpoints, requests and attempts; all decisions are made there. */
final class State {
    private State() {}

    /** State of one endpoint; kept after its removal from the list until its outstanding attempts have ended. */
    static final class EndpointState {
        final String id;
        final long hash;
        int zone;
        int kind;
        int cell;
        double weight = 1;
        /** Whether the last latency sample was late or lost, and when it was taken. */
        boolean lastSampleLate;

        long lastSampleAt = Long.MIN_VALUE / 2;
        /** Time of the last timely response or probe. */
        long lastTimelyAt = Long.MIN_VALUE / 2;
        /** Time until which other endpoints are preferred, since a probe took too long. */
        long busyUntil;
        /** In-flight requests of its last load report, per unit of size, and the time of that report. */
        double reportedLoad;

        long reportedAt = Long.MIN_VALUE / 2;
        /** End of the back-off after rejected requests, and the number of rejections since the last success. */
        long backoffUntil;

        int consecutiveRejections;
        /** Size, adjusted for slow start and for the speed of its server type. */
        double capacity;
        /** Its contribution to the total capacity: 0 while it is not usable. */
        double countedCapacity;
        /** Decaying number of requests for which it was a usable owner. */
        double offeredLoad;
        /** Start of its process according to the list, and start of its slow start. */
        long startedAt;

        long slowStartFrom;
        boolean cold;
        /** Whether the list has it as ready; false while it drains. */
        boolean ready;

        boolean onRing;
        /** Number of its ring points, fixed when it was added: its listed weight may have changed since. */
        int ringPoints;

        final List<Attempt> outstanding = new ArrayList<>();
        /** Concurrency limit; below 1, the share of requests that may be sent while none is outstanding. */
        double concurrencyLimit;

        boolean limitEverReduced;
        /** Smoothed share of failed attempts. */
        double failureRate;
        /** Time of the last response or successful probe. */
        long lastResponseAt;
        /** Time until which a pooled connection to it is expected to be open. */
        long connectedUntil;
        /** Tokens for requests while it is cold, and the count of requests at their last refill. */
        double coldTokens;

        long coldTokensRefillCount;
        boolean ejected;
        /** Whether it was ejected since it could not be reached. */
        boolean unreachable;

        long ejectedUntil;
        /** Duration of the last ejection. */
        long ejectionUs;
        /** The outstanding attempt that decides whether the ejection ends, or null. */
        Attempt halfOpenProbe;
        /** Number of the last walk that visited it. */
        int lastVisit;

        EndpointState(String id, long hash, double concurrencyLimit) {
            this.id = id;
            this.hash = hash;
            this.concurrencyLimit = concurrencyLimit;
        }
    }

    /** A request; kept after its final answer until its outstanding attempts have ended. */
    static final class RequestState {
        final Request arrival;
        final RequestClass requestClass;
        final long hash;
        /** End of its target latency. */
        final long targetAt;
        /** End of the client's budget. */
        final long deadlineAt;
        /** Expected value; orders admission and the queue. */
        final double priority;

        final List<Attempt> attempts = new ArrayList<>(2);
        int outstanding;
        /** End of its wait in the queue; 0 if it has never been queued. */
        long queuedUntil;
        /** Endpoint that is probed for this request, or that was probed last. */
        EndpointState probedEndpoint;

        long probeTimeoutAt;
        int probeCount;
        /** Whether it may be preceded by a probe and moved by bounded load. */
        boolean inProbingShare;
        /** Position in the order of arrival. */
        final long sequenceNumber;

        RequestState(
                Request arrival,
                RequestClass requestClass,
                long hash,
                long arrivedAt,
                double priority,
                long sequenceNumber) {
            this.sequenceNumber = sequenceNumber;
            this.arrival = arrival;
            this.requestClass = requestClass;
            this.hash = hash;
            this.priority = priority;
            this.deadlineAt = arrivedAt + Math.max(0, arrival.budgetUs());
            long targetUs = requestClass.targetLatencyUs()
                    + (long) (requestClass.targetStretch() * Math.max(0, arrival.expectedUs()));
            this.targetAt = Math.min(deadlineAt, arrivedAt + Math.min(targetUs, requestClass.deadlineUs()));
        }

        /** The time after which a response has no value. */
        long usefulUntil() {
            return requestClass.lateWorth() > 0 ? deadlineAt : targetAt;
        }
    }

    /** One attempt; {@code outcome} is null while it is outstanding. */
    static final class Attempt {
        final RequestState request;
        final EndpointState endpoint;
        final int number;
        final long sentAt;
        boolean canceled;
        /** Whether the response has begun, or the request is still being read. */
        boolean streaming;

        Outcome outcome;

        Attempt(RequestState request, EndpointState endpoint, int number, long sentAt) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = number;
            this.sentAt = sentAt;
        }

        /** Whether the endpoint may have executed the request, or may still do so. */
        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }
}
