package mulleinfront.emulator;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.Source;
import mulleinfront.UnservedReason;
import mulleinfront.core.Core;
import mulleinfront.fleet.Change;

/**
 * The decision trace: one line for each event that a balancer received and each of its actions, in order, with the
 * virtual time and the client proxy's number, and the SHA-256 of all lines. Two runs with equal digests made the same
 * decisions.
 *
 * <pre>
 *   1250000 p3 request q17 class=1 key=k9 budget=2465000 tenant=4
 *   1250000 p3 > send q17 new-2core-4 600000
 *   1341277 p3 ended q17 0 OK done 91277
 * </pre>
 */
final class Trace {
    private static final int BUFFER_BYTES = 32 * 1024;

    private final MessageDigest digest;
    private final OutputStream file;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final byte[] digits = new byte[20];
    private int used;
    private long lines;

    /** @param file also receives the lines, or null */
    Trace(OutputStream file) {
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        this.file = file;
    }

    /** The hex digest so far; the trace continues. */
    String sha256() {
        flush();
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 can be cloned", e);
        }
    }

    long lines() {
        return lines;
    }

    void flush() {
        write(buffer, used);
        used = 0;
    }

    private void write(byte[] bytes, int length) {
        digest.update(bytes, 0, length);
        if (file != null) {
            try {
                file.write(bytes, 0, length);
            } catch (IOException e) {
                throw new UncheckedIOException("cannot write the decision trace: " + e.getMessage(), e);
            }
        }
    }

    private Trace beginLine(long now, int proxy, String eventName) {
        appendNumber(now);
        append(" p");
        appendNumber(proxy);
        return appendWord(eventName);
    }

    /** Records a change in one client proxy's view of another. */
    void membershipChanged(int proxy, Change change) {
        beginLine(change.atUs(), proxy, "fleet")
                .appendWord(change.number())
                .appendWord(change.member())
                .appendWord(change.from().outputName())
                .appendWord(change.to().outputName())
                .appendWord(change.incarnation())
                .appendWord(change.sourceMember())
                .appendWord(change.cause().outputName())
                .appendWord(change.digest())
                .end();
    }

    private void end() {
        ensureSpace(1);
        buffer[used++] = '\n';
        lines++;
    }

    private void ensureSpace(int bytes) {
        if (used + bytes > BUFFER_BYTES) {
            flush();
        }
    }

    private Trace appendWord(String text) {
        append(" ");
        return append(text);
    }

    private Trace append(String text) {
        int length = text.length();
        for (int i = 0; i < length; i++) {
            if (text.charAt(i) > 0x7f || length > BUFFER_BYTES) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                flush();
                write(bytes, bytes.length);
                return this;
            }
        }
        ensureSpace(length);
        for (int i = 0; i < length; i++) {
            buffer[used++] = (byte) text.charAt(i);
        }
        return this;
    }

    private Trace appendWord(long number) {
        append(" ");
        appendNumber(number);
        return this;
    }

    private Trace appendNumber(long number) {
        if (number == Long.MIN_VALUE) {
            return append(Long.toString(number));
        }
        ensureSpace(21);
        if (number < 0) {
            buffer[used++] = '-';
            number = -number;
        }
        int count = 0;
        do {
            digits[count++] = (byte) ('0' + number % 10);
            number /= 10;
        } while (number > 0);
        while (count > 0) {
            buffer[used++] = digits[--count];
        }
        return this;
    }

    /** Records why a request was left unserved, in the file only: it is not a decision, so the digest omits it. */
    void requestUnserved(long now, int proxy, UnservedReason reason) {
        if (file == null) {
            return;
        }
        flush();
        try {
            file.write(String.format(
                            Locale.ROOT,
                            "%d p%d # %s %s worth=%.2f age=%d bound=%.3f %s%n",
                            now,
                            proxy,
                            reason.requestId(),
                            reason.cause().outputName(),
                            reason.worth(),
                            reason.instanceAgeUs(),
                            reason.limitReached(),
                            reason.detail())
                    .getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the decision trace: " + e.getMessage(), e);
        }
    }

    /** A factory whose balancers are traced, with their actions, under a client proxy's number. */
    Core.BalancerFactory traced(Core.BalancerFactory factory, int proxy, EventQueue time) {
        return (settings, seed, now, actions) -> {
            beginLine(now, proxy, "start").appendWord(seed).end();
            return new EventTracer(factory.create(settings, seed, now, new ActionTracer(actions, proxy, time)), proxy);
        };
    }

    /** Traces the events for a balancer. */
    private final class EventTracer implements Balancer {
        private final Balancer balancer;
        private final int proxy;

        EventTracer(Balancer module, int proxy) {
            this.balancer = module;
            this.proxy = proxy;
        }

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            beginLine(now, proxy, "list").appendWord(source.name());
            for (Endpoint endpoint : endpoints) {
                appendWord(endpoint.id())
                        .append("=")
                        .append(endpoint.availability().name())
                        .append("@")
                        .appendNumber(endpoint.startedAtUs());
            }
            end();
            balancer.onEndpoints(now, source, endpoints);
        }

        @Override
        public void onDiscoveryFailed(long now) {
            beginLine(now, proxy, "discovery-failed").end();
            balancer.onDiscoveryFailed(now);
        }

        @Override
        public void onDiscoveryFailed(long now, long quietUs) {
            beginLine(now, proxy, "discovery-failed")
                    .append(" quiet=")
                    .appendNumber(quietUs)
                    .end();
            balancer.onDiscoveryFailed(now, quietUs);
        }

        @Override
        public void onDiscoveryUnreachable(long now) {
            beginLine(now, proxy, "discovery-unreachable").end();
            balancer.onDiscoveryUnreachable(now);
        }

        @Override
        public void onProcessStart(long now, long agoUs) {
            beginLine(now, proxy, "process-start").appendNumber(agoUs).end();
            balancer.onProcessStart(now, agoUs);
        }

        @Override
        public void onWatchEnded(long now) {
            beginLine(now, proxy, "watch-ended").end();
            balancer.onWatchEnded(now);
        }

        @Override
        public void onDiscoveryCalled(long now) {
            beginLine(now, proxy, "discovery-called").end();
            balancer.onDiscoveryCalled(now);
        }

        @Override
        public void onDiscoveryMoved(long now, long movedAgoUs, long quietUs) {
            beginLine(now, proxy, "discovery-moved").appendNumber(movedAgoUs).end();
            balancer.onDiscoveryMoved(now, movedAgoUs, quietUs);
        }

        @Override
        public void onTimedOutCallAnswered(long now, long startedAgoUs) {
            beginLine(now, proxy, "timed-out-call-answered")
                    .appendNumber(startedAgoUs)
                    .end();
            balancer.onTimedOutCallAnswered(now, startedAgoUs);
        }

        @Override
        public void onRequest(long now, Request request) {
            beginLine(now, proxy, "request")
                    .appendWord(request.id())
                    .append(" class=")
                    .appendNumber(request.classIndex())
                    .append(" key=")
                    .append(String.valueOf(request.key()))
                    .append(" budget=")
                    .appendNumber(request.budgetUs())
                    .append(" tenant=")
                    .appendNumber(request.tenant())
                    .end();
            balancer.onRequest(now, request);
        }

        @Override
        public void onRequestAbandoned(long now, String requestId) {
            beginLine(now, proxy, "gone").appendWord(requestId).end();
            balancer.onRequestAbandoned(now, requestId);
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {
            beginLine(now, proxy, "stream")
                    .appendWord(requestId)
                    .appendWord(attempt)
                    .end();
            balancer.onStreamStarted(now, requestId, attempt);
        }

        @Override
        public void onAttemptEnded(long now, AttemptEnd end) {
            beginLine(now, proxy, "ended")
                    .appendWord(end.requestId())
                    .appendWord(end.attempt())
                    .appendWord(end.outcome().name())
                    .appendWord(end.requestDone() ? "done" : "open")
                    .appendWord(end.latencyUs())
                    .end();
            balancer.onAttemptEnded(now, end);
        }

        @Override
        public void onLoadReport(long now, String endpointId, double inFlight) {
            beginLine(now, proxy, "report")
                    .appendWord(endpointId)
                    .appendWord((long) inFlight)
                    .end();
            balancer.onLoadReport(now, endpointId, inFlight);
        }

        @Override
        public void observe(Observer observer) {
            balancer.observe(observer);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long latencyUs) {
            beginLine(now, proxy, "probed")
                    .appendWord(endpointId)
                    .appendWord(outcome.name())
                    .appendWord(latencyUs)
                    .end();
            balancer.onProbeEnded(now, endpointId, outcome, latencyUs);
        }

        @Override
        public void onTimer(long now) {
            beginLine(now, proxy, "timer").end();
            balancer.onTimer(now);
        }
    }

    /** Traces a balancer's actions. */
    private final class ActionTracer implements Actions {
        private final Actions actions;
        private final int proxy;
        private final EventQueue time;

        ActionTracer(Actions actions, int proxy, EventQueue time) {
            this.actions = actions;
            this.proxy = proxy;
            this.time = time;
        }

        private Trace action(String what) {
            return beginLine(time.now(), proxy, ">").appendWord(what);
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            action("send")
                    .appendWord(requestId)
                    .appendWord(endpointId)
                    .appendWord(timeoutUs)
                    .end();
            actions.send(requestId, endpointId, timeoutUs);
        }

        @Override
        public void refuse(String requestId, long retryAfterUs) {
            action("refuse").appendWord(requestId).appendWord(retryAfterUs).end();
            actions.refuse(requestId, retryAfterUs);
        }

        @Override
        public void fail(String requestId) {
            action("fail").appendWord(requestId).end();
            actions.fail(requestId);
        }

        @Override
        public void cancel(String requestId, int attempt) {
            action("cancel").appendWord(requestId).appendWord(attempt).end();
            actions.cancel(requestId, attempt);
        }

        @Override
        public void probe(String endpointId) {
            action("probe").appendWord(endpointId).end();
            actions.probe(endpointId);
        }

        @Override
        public void subscribe() {
            action("subscribe").end();
            actions.subscribe();
        }

        @Override
        public void subscribe(long timeoutUs) {
            action("subscribe").end();
            actions.subscribe(timeoutUs);
        }

        @Override
        public void onListExpiryChanged(long atUs, Balancer.ListExpiryReason reason) {
            actions.onListExpiryChanged(atUs, reason);
        }

        @Override
        public void onListExpired(Balancer.ListExpiryReason bound) {
            action("list-overdue").appendWord(bound.name()).end();
            actions.onListExpired(bound);
        }

        @Override
        public void wakeAt(long atUs) {
            action("wake").appendWord(atUs).end();
            actions.wakeAt(atUs);
        }
    }
}
