package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Contract;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Limits;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import mulleinfront.emulator.EventQueue;
import org.junit.jupiter.api.Test;

/** Request handling on virtual time, where two events can happen at the same instant in either order. */
class CoreTest {
    private static final int RETRYABLE = 0;
    private static final int FRAGILE = 1;
    private static final int DEDUP = 2;
    private static final int DEDUP_SHORT_WINDOW = 3;
    private static final long US_PER_MS = 1_000;
    /** When a streamed response to a request with a deadline of 1 s is cut off: before 1.5 s, when it would be lost. */
    private static final long CUT_OFF_MS = 1_225;

    private final EventQueue time = new EventQueue();
    private final List<String> log = new ArrayList<>();
    private final List<ScriptedAttempt> attempts = new ArrayList<>();
    private final List<Throwable> exceptions = new ArrayList<>();
    private Consumer<Request> onRequest = r -> {};
    private Consumer<AttemptEnd> onAttemptEnd = e -> {};
    private Actions balancerActions;
    private boolean cancelsOnAbandon = true;
    private boolean clientWaiting = true;
    private Core.RequestHandle<String, String> handle;
    private final Metrics metrics = new Metrics();
    private final Core<String, String> core =
            new Core<>(settings(), time, new ScriptedWire(), exceptions::add, metrics);

    CoreTest() {
        core.createBalancer(
                (settings, seed, now, actions) -> {
                    balancerActions = actions;
                    return new ScriptedBalancer();
                },
                1);
        sendList(Availability.READY);
        log.clear();
    }

    private static Settings settings() {
        return new Settings(
                List.of(
                        new RequestClass("safe", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 1_000_000),
                        new RequestClass("unsafe", Effect.FRAGILE, null, 0, 1, 0, 500_000, 0, 1_000_000),
                        new RequestClass(
                                "keyed", Effect.DEDUP, DedupScope.ZONE, 20_000_000, 1, 0, 500_000, 0, 1_000_000),
                        new RequestClass("soon", Effect.DEDUP, DedupScope.ZONE, 300_000, 1, 0, 500_000, 0, 1_000_000)),
                List.of(),
                1,
                1,
                0,
                true,
                false,
                new Limits(3, true, true, 2_000_000, 5_000_000),
                new Contract(10_000_000, 0.2, 20_000_000));
    }

    private void sendList(Availability state) {
        core.onEndpointList(
                Source.FULL,
                List.of(new Endpoint("h", 0, 0, 0, state, 1, 0), new Endpoint("i", 0, 0, 0, Availability.READY, 1, 0)));
    }

    /** A wire whose attempts do nothing by themselves. */
    private final class ScriptedWire implements Wire<String, String> {
        @Override
        public Attempt prepareAttempt(
                String requestId,
                int number,
                String hostId,
                String call,
                long timeoutUs,
                BooleanSupplier wanted,
                AttemptListener<String> end) {
            if (!hostId.equals("h") && !hostId.equals("i")) {
                return null;
            }
            CoreTest.ScriptedAttempt attempt =
                    new CoreTest.ScriptedAttempt(requestId + "/" + number + "@" + hostId, wanted, end);
            attempts.add(attempt);
            return attempt;
        }

        @Override
        public void probe(String hostId, AttemptListener<String> end) {
            end.ended(Outcome.IGNORED, null);
        }

        @Override
        public void subscribe(long patienceUs) {
            log.add("subscribe");
        }
    }

    /** An attempt that logs the core's calls and ends only when the test or the core ends it. */
    private final class ScriptedAttempt implements Wire.Attempt {
        private final String name;
        private final BooleanSupplier wanted;
        private final Wire.AttemptListener<String> end;
        private boolean ended;

        ScriptedAttempt(String name, BooleanSupplier wanted, Wire.AttemptListener<String> end) {
            this.name = name;
            this.wanted = wanted;
            this.end = end;
        }

        @Override
        public void start() {
            log.add("start " + name);
        }

        @Override
        public void setTimeout(long timeoutUs) {
            log.add("within " + timeoutUs / US_PER_MS);
        }

        @Override
        public void cancel() {
            if (!ended) {
                log.add("cancelled " + name);
                finish(Outcome.CANCELED);
            }
        }

        /** Acts as a wire whose connection is established: writes the request only if the core still allows it. */
        void write() {
            if (wanted.getAsBoolean()) {
                log.add("write " + name);
            } else {
                finish(Outcome.IGNORED);
            }
        }

        void finish(Outcome outcome) {
            if (!ended) {
                ended = true;
                end.ended(outcome, outcome == Outcome.OK ? "answer to " + name : null);
            }
        }
    }

    /** A balancer that logs its events and makes the decisions that the test sets. */
    private final class ScriptedBalancer implements Balancer {
        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {}

        @Override
        public void onDiscoveryFailed(long now) {
            log.add("discovery failed");
        }

        @Override
        public void onRequest(long now, Request request) {
            onRequest.accept(request);
        }

        @Override
        public void onRequestAbandoned(long now, String requestId) {
            log.add("gone " + requestId);
            if (cancelsOnAbandon) {
                balancerActions.cancel(requestId, 0);
            }
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {
            log.add("streams " + attempt);
        }

        @Override
        public void onAttemptEnded(long now, AttemptEnd e) {
            log.add("ended " + e.attempt() + " " + e.outcome() + (e.requestDone() ? " done" : ""));
            onAttemptEnd.accept(e);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {
            log.add("probed " + endpointId + " " + outcome);
        }

        @Override
        public void onTimer(long now) {
            log.add("timer");
        }
    }

    private ResponseHandler<String, String> responseHandler() {
        return new ResponseHandler<>() {
            @Override
            public void opened(Core.RequestHandle<String, String> newHandle) {
                handle = newHandle;
            }

            @Override
            public boolean stillWaiting() {
                return clientWaiting;
            }

            @Override
            public void served(String answer) {
                log.add("SERVED " + answer);
            }

            @Override
            public void responseStarted(String answer) {
                log.add("BEGINS " + answer);
            }

            @Override
            public void refused(long retryAfterUs) {
                log.add("REFUSED " + retryAfterUs);
            }

            @Override
            public void failed(boolean timeUp) {
                log.add("FAILED" + (timeUp ? " time up" : ""));
            }
        };
    }

    private void acceptRequest(int classIndex, long deadlineMs) {
        core.accept(responseHandler(), "r", classIndex, "k", deadlineMs, time.now(), 0, 0, false, "call");
    }

    private void acceptAndSend(int classIndex) {
        onRequest = r -> balancerActions.send(r.id(), "h", 0);
        acceptRequest(classIndex, 1_000);
        log.clear();
    }

    private void assertLog(String... lines) {
        assertEquals(List.of(lines), log);
        assertEquals(List.of(), exceptions);
    }

    /** Asserts that no request is open and that nothing more happens within 10 s. */
    private void assertNothingFollows() {
        log.clear();
        time.runUntil(time.now() + 10_000_000);
        assertLog();
        assertEquals(0, core.openRequests());
    }

    // ---- invariants that hold whatever the balancer decides -------------------------------------------

    private void failFirstAttemptAndRetry(int classIndex, String endpointId) {
        onAttemptEnd = e -> {
            if (e.attempt() == 0) {
                balancerActions.send(e.requestId(), endpointId, 0);
            }
        };
        acceptAndSend(classIndex);
        attempts.get(0).finish(Outcome.FAILED);
    }

    @Test
    void fragileRequestIsNotRetriedIfItMayHaveRun() {
        failFirstAttemptAndRetry(FRAGILE, "i");
        attempts.get(1).write();
        assertLog("ended 0 FAILED", "start r/1@i", "ended 1 IGNORED");
        assertEquals(1, metrics.ruleGuard.prevented(RuleGuard.Check.REPEAT_UNSAFE));
        assertEquals(0, metrics.ruleGuard.violations());
    }

    @Test
    void dedupRequestIsNotRetriedOutsideItsGroup() {
        core.onEndpointList(
                Source.FULL,
                List.of(
                        new Endpoint("h", 0, 0, 0, Availability.READY, 1, 0),
                        new Endpoint("i", 1, 0, 0, Availability.READY, 1, 0)));
        log.clear();
        failFirstAttemptAndRetry(DEDUP, "i");
        attempts.get(1).write();
        assertLog("ended 0 FAILED", "start r/1@i", "ended 1 IGNORED");
        assertEquals(1, metrics.ruleGuard.prevented(RuleGuard.Check.REPEAT_OUTSIDE_GROUP));
    }

    @Test
    void refusalBecomesFailureIfRequestMayHaveRun() {
        onAttemptEnd = e -> balancerActions.refuse(e.requestId(), 0);
        acceptAndSend(FRAGILE);
        attempts.get(0).finish(Outcome.RESET);
        assertLog("ended 0 RESET", "FAILED");
        assertEquals(1, metrics.ruleGuard.prevented(RuleGuard.Check.REFUSE_AFTER_EFFECT));
        assertNothingFollows();
    }

    @Test
    void refusalIsPassedOnIfRequestHasNotRun() {
        onAttemptEnd = e -> balancerActions.refuse(e.requestId(), 0);
        acceptAndSend(FRAGILE);
        attempts.get(0).finish(Outcome.QUEUE_FULL);
        assertLog("ended 0 QUEUE_FULL", "REFUSED 0");
        assertEquals(0, metrics.ruleGuard.prevented(RuleGuard.Check.REFUSE_AFTER_EFFECT));
        assertNothingFollows();
    }

    // ---- streamed requests and responses, and the shutdown deadline -----------------------------------

    private void acceptWhileReading(int classIndex) {
        onRequest = r -> balancerActions.send(r.id(), "h", 0);
        core.accept(responseHandler(), "r", classIndex, "k", 1_000, time.now(), 0, 0, false, "call", true);
        assertLog("start r/0@h", "streams 0");
        log.clear();
    }

    @Test
    void deadlineCountsFromTheLastByte() {
        acceptWhileReading(FRAGILE);
        time.runUntil(5_000 * US_PER_MS);
        assertLog();
        core.requestComplete(handle);
        assertLog("within 965");
        log.clear();
        core.requestComplete(handle);
        assertLog();
        time.runUntil(5_975 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void newRequestIsAnsweredByShutdownDeadline() {
        List<Long> budgets = new ArrayList<>();
        onRequest = r -> {
            budgets.add(r.budgetUs());
            balancerActions.send(r.id(), "h", 0);
        };
        core.setShutdownDeadline(time.now() + 300 * US_PER_MS);
        acceptRequest(FRAGILE, 1_000);
        log.clear();
        time.runUntil(300 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertEquals(List.of(965 * US_PER_MS), budgets, "the balancer is given the client's own budget");
        log.clear();
        acceptRequest(FRAGILE, 1_000);
        assertLog("REFUSED 2000000");
        assertNothingFollows();
    }

    @Test
    void openRequestIsAnsweredByShutdownDeadline() {
        acceptAndSend(FRAGILE);
        time.runUntil(100 * US_PER_MS);
        core.setShutdownDeadline(time.now() + 300 * US_PER_MS);
        time.runUntil(400 * US_PER_MS - 1);
        assertLog();
        time.runUntil(400 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void requestBeingReadIsAnsweredByShutdownDeadline() {
        acceptWhileReading(FRAGILE);
        core.setShutdownDeadline(time.now() + 300 * US_PER_MS);
        time.runUntil(300 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void laterShutdownDeadlineHasNoEffect() {
        acceptAndSend(FRAGILE);
        core.setShutdownDeadline(time.now() + 3_000 * US_PER_MS);
        time.runUntil(975 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void requestBeingReadIsCancelledWhenClientDisconnects() {
        acceptWhileReading(FRAGILE);
        core.abandoned(handle);
        assertLog("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void completeStreamedRequestIsCancelledEvenIfBalancerDoesNot() {
        cancelsOnAbandon = false;
        acceptWhileReading(FRAGILE);
        core.requestComplete(handle);
        log.clear();
        core.abandoned(handle);
        assertLog("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void startedResponseIsFinalWhateverItsOutcome() {
        for (Outcome outcome : List.of(Outcome.OK, Outcome.RESET, Outcome.FAILED)) {
            acceptAndSend(RETRYABLE);
            assertTrue(attempts.get(attempts.size() - 1).end.responseStarted("half"));
            assertLog("BEGINS half", "streams 0");
            log.clear();
            time.runUntil(time.now() + 1_000 * US_PER_MS);
            assertLog();
            assertEquals(1, core.openRequests(), "the id may not be reused while the response is streamed");
            attempts.get(attempts.size() - 1).finish(outcome);
            assertLog("ended 0 " + outcome + " done");
            assertNothingFollows();
        }
    }

    /** Guards against a response that never ends, which no progress may keep open beyond the time of its loss. */
    @Test
    void streamedResponseIsCutOffBeforeItIsLost() {
        acceptAndSend(RETRYABLE);
        time.runUntil(900 * US_PER_MS);
        attempts.get(0).end.responseStarted("half");
        log.clear();
        time.runUntil(CUT_OFF_MS * US_PER_MS - 1);
        assertLog();
        time.runUntil(CUT_OFF_MS * US_PER_MS);
        assertLog("cancelled r/0@h", "ended 0 CANCELED done");
        assertEquals(1, metrics.answers.count(Metrics.Answer.CUT_OFF));
        assertEquals(0, metrics.answers.count(Metrics.Answer.SERVED), "a response that is cut off is not served");
        assertNothingFollows();
    }

    /** Guards against a response without a deadline because it started before its request was complete. */
    @Test
    void responseThatStartsDuringTheRequestIsCutOff() {
        acceptWhileReading(FRAGILE);
        attempts.get(0).end.responseStarted("half");
        log.clear();
        time.runUntil(5_000 * US_PER_MS);
        core.requestComplete(handle);
        time.runUntil((5_000 + CUT_OFF_MS) * US_PER_MS - 1);
        assertLog();
        time.runUntil((5_000 + CUT_OFF_MS) * US_PER_MS);
        assertLog("cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    /** Guards against a response that never ends and so delays the end of the process. */
    @Test
    void streamedResponseIsCutOffByShutdownDeadline() {
        acceptAndSend(RETRYABLE);
        attempts.get(0).end.responseStarted("half");
        log.clear();
        core.setShutdownDeadline(300 * US_PER_MS);
        time.runUntil(300 * US_PER_MS - 1);
        assertLog();
        time.runUntil(300 * US_PER_MS);
        assertLog("cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    /** Guards against an endpoint that takes a request's body slowly or not at all: its last byte may wait unread. */
    @Test
    void deadlineCountsFromAPauseInReading() {
        acceptWhileReading(FRAGILE);
        time.runUntil(2_000 * US_PER_MS);
        core.readingPaused(handle);
        time.runUntil(2_500 * US_PER_MS);
        core.readingPaused(handle);
        time.runUntil(2_975 * US_PER_MS - 1);
        assertLog();
        time.runUntil(2_975 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void lastByteReadAfterAPauseMayHaveArrivedDuringIt() {
        acceptWhileReading(FRAGILE);
        core.readingPaused(handle);
        time.runUntil(600 * US_PER_MS);
        core.requestComplete(handle);
        assertLog("within 365");
        log.clear();
        time.runUntil(975 * US_PER_MS);
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void pauseEndsWhenAllThatArrivedIsRead() {
        acceptWhileReading(FRAGILE);
        core.readingPaused(handle);
        time.runUntil(900 * US_PER_MS);
        core.readingCaughtUp(handle);
        time.runUntil(5_000 * US_PER_MS);
        assertLog();
        core.requestComplete(handle);
        assertLog("within 965");
    }

    @Test
    void responseThatStartsAfterDisconnectIsRejected() {
        acceptAndSend(FRAGILE);
        core.abandoned(handle);
        log.clear();
        assertEquals(false, attempts.get(0).end.responseStarted("half"));
        assertLog();
    }

    @Test
    void disconnectDuringResponseCancelsAttempt() {
        acceptAndSend(FRAGILE);
        attempts.get(0).end.responseStarted("half");
        log.clear();
        core.abandoned(handle);
        assertLog("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    // ---- events at the same instant -------------------------------------------------------------------

    @Test
    void responseAtDeadlineIsServedIfProcessedFirst() {
        long guard = 975 * US_PER_MS;
        onRequest = r -> balancerActions.send(r.id(), "h", 0);
        time.after(guard, () -> attempts.get(0).finish(Outcome.OK));
        acceptRequest(FRAGILE, 1_000);
        log.clear();
        time.runUntil(guard);
        assertLog("SERVED answer to r/0@h", "ended 0 OK done");
        assertNothingFollows();
    }

    @Test
    void responseAtDeadlineIsTooLateIfTimerFiredFirst() {
        acceptAndSend(FRAGILE);
        time.after(975 * US_PER_MS, () -> attempts.get(0).finish(Outcome.OK));
        time.runUntil(975 * US_PER_MS);
        // The balancer cancels the attempt at once, so the response arrives after the attempt has ended.
        assertLog("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void cancelBeforeResponseEndsAttemptOnce() {
        acceptAndSend(FRAGILE);
        time.after(US_PER_MS, () -> core.run(() -> balancerActions.cancel("r", 0)));
        time.after(US_PER_MS, () -> attempts.get(0).finish(Outcome.OK));
        onAttemptEnd = e -> balancerActions.fail(e.requestId());
        time.runUntil(US_PER_MS);
        assertLog("cancelled r/0@h", "ended 0 CANCELED", "FAILED");
        assertNothingFollows();
    }

    @Test
    void cancelAfterResponseHasNoEffect() {
        acceptAndSend(FRAGILE);
        time.after(US_PER_MS, () -> attempts.get(0).finish(Outcome.OK));
        time.after(US_PER_MS, () -> core.run(() -> balancerActions.cancel("r", 0)));
        time.runUntil(US_PER_MS);
        assertLog("SERVED answer to r/0@h", "ended 0 OK done");
        assertNothingFollows();
    }

    @Test
    void responseFromDrainingEndpointIsServed() {
        acceptAndSend(FRAGILE);
        time.after(US_PER_MS, () -> sendList(Availability.DRAINING));
        time.after(US_PER_MS, () -> attempts.get(0).finish(Outcome.OK));
        time.runUntil(US_PER_MS);
        assertLog("SERVED answer to r/0@h", "ended 0 OK done");
        assertNothingFollows();
    }

    @Test
    void nothingIsWrittenIfEndpointDrainsWhileConnecting() {
        acceptAndSend(FRAGILE);
        onAttemptEnd = e -> balancerActions.refuse(e.requestId(), 0);
        time.after(US_PER_MS, () -> sendList(Availability.DRAINING));
        time.after(US_PER_MS, () -> attempts.get(0).write());
        time.runUntil(US_PER_MS);
        assertLog("ended 0 IGNORED", "REFUSED 0");
        assertNothingFollows();
    }

    /**
     * Ends the first attempt after 100 ms, when a retry is still allowed, and lets the connection of the second attempt
     * be established at the given time.
     */
    private void retryAfterFirstAttempt(int classIndex, Outcome first, long upAt) {
        onAttemptEnd = e -> {
            if (e.attempt() == 0) {
                balancerActions.send("r", "i", 0);
            } else {
                balancerActions.fail("r");
            }
        };
        acceptAndSend(classIndex);
        time.runUntil(100 * US_PER_MS);
        attempts.get(0).finish(first);
        assertLog("ended 0 " + first, "start r/1@i");
        log.clear();
        time.runUntil(upAt);
        attempts.get(1).write();
    }

    @Test
    void dedupWindowIsCheckedWhenRetryIsWritten() {
        // The first attempt was sent at 0, and endpoints drop its repeats for 300 ms only.
        retryAfterFirstAttempt(DEDUP_SHORT_WINDOW, Outcome.RESET, 300 * US_PER_MS);
        assertLog("ended 1 IGNORED", "FAILED");
        assertNothingFollows();
    }

    @Test
    void retryIsWrittenWithinDedupWindow() {
        retryAfterFirstAttempt(DEDUP_SHORT_WINDOW, Outcome.RESET, 300 * US_PER_MS - 1);
        assertLog("write r/1@i");
    }

    @Test
    void dedupWindowDoesNotApplyIfRequestHasNotRun() {
        retryAfterFirstAttempt(DEDUP_SHORT_WINDOW, Outcome.QUEUE_FULL, 700 * US_PER_MS);
        assertLog("write r/1@i");
    }

    @Test
    void requestIsWrittenIfEndpointIsReadyAgain() {
        acceptAndSend(FRAGILE);
        sendList(Availability.DRAINING);
        sendList(Availability.READY);
        attempts.get(0).write();
        assertLog("write r/0@h");
    }

    @Test
    void nothingIsWrittenIfClientDisconnectsWhileConnecting() {
        acceptAndSend(FRAGILE);
        core.abandoned(handle);
        attempts.get(0).write();
        assertLog("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void unreadDisconnectIsDetectedBeforeWriting() {
        acceptAndSend(FRAGILE);
        clientWaiting = false;
        attempts.get(0).write();
        assertLog("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    // ---- guarantees that do not depend on the balancer ------------------------------------------------

    @Test
    void requestIgnoredByBalancerIsAnsweredCorrectlyAtDeadline() {
        acceptRequest(FRAGILE, 1_000);
        time.runUntil(975 * US_PER_MS);
        assertLog("REFUSED 2000000", "gone r");
        assertNothingFollows();
        onRequest = r -> balancerActions.send(r.id(), "h", 0);
        acceptRequest(RETRYABLE, 1_000);
        log.clear();
        time.runUntil(time.now() + 975 * US_PER_MS);
        assertLog("REFUSED 2000000", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertNothingFollows();
    }

    @Test
    void answerAtDeadlineIsCorrectAfterEveryOutcome() {
        for (int type : List.of(RETRYABLE, FRAGILE, DEDUP)) {
            for (Outcome outcome : List.of(
                    Outcome.FAILED,
                    Outcome.QUEUE_FULL,
                    Outcome.TIMED_OUT,
                    Outcome.CONNECT_ERROR,
                    Outcome.RESET,
                    Outcome.CANCELED,
                    Outcome.IGNORED)) {
                boolean mayHaveRun = outcome == Outcome.FAILED
                        || outcome == Outcome.TIMED_OUT
                        || outcome == Outcome.RESET
                        || outcome == Outcome.CANCELED;
                acceptAndSend(type);
                attempts.get(attempts.size() - 1).finish(outcome);
                assertLog("ended 0 " + outcome);
                log.clear();
                time.runUntil(time.now() + 975 * US_PER_MS);
                assertLog(mayHaveRun && type != RETRYABLE ? "FAILED time up" : "REFUSED 2000000", "gone r");
                assertNothingFollows();
            }
        }
    }

    @Test
    void attemptsAreSequentialAndLimited() {
        onRequest = r -> {
            balancerActions.send(r.id(), "h", 0);
            balancerActions.send(r.id(), "i", 0);
        };
        acceptRequest(RETRYABLE, 1_000);
        assertLog("start r/0@h", "ended 1 IGNORED");
        log.clear();
        onAttemptEnd = e -> {
            if (e.outcome() == Outcome.FAILED) {
                balancerActions.send(e.requestId(), "i", 0);
            }
        };
        attempts.get(0).finish(Outcome.FAILED);
        assertLog("ended 0 FAILED", "start r/2@i");
        log.clear();
        attempts.get(1).finish(Outcome.FAILED);
        assertLog("ended 2 FAILED", "ended 3 IGNORED");
    }

    @Test
    void onlyFirstFinalAnswerCounts() {
        onRequest = r -> {
            balancerActions.refuse(r.id(), 7);
            balancerActions.fail(r.id());
            balancerActions.send(r.id(), "h", 0);
        };
        acceptRequest(FRAGILE, 1_000);
        assertLog("REFUSED 7", "ended 0 IGNORED done");
        assertNothingFollows();
    }

    @Test
    void attemptAtUnknownEndpointIsIgnored() {
        onRequest = r -> balancerActions.send(r.id(), "nobody", 0);
        onAttemptEnd = e -> balancerActions.refuse(e.requestId(), 0);
        acceptRequest(FRAGILE, 1_000);
        assertLog("ended 0 IGNORED", "REFUSED 0");
        assertNothingFollows();
    }

    @Test
    void balancerExceptionLosesNoRequest() {
        onRequest = r -> {
            throw new IllegalStateException("a defect");
        };
        acceptRequest(FRAGILE, 1_000);
        assertEquals(1, exceptions.size());
        exceptions.clear();
        time.runUntil(975 * US_PER_MS);
        assertLog("REFUSED 2000000", "gone r");
        assertNothingFollows();
    }

    @Test
    void requestWithoutTimeLeftIsRefusedOnArrival() {
        time.runUntil(5_000 * US_PER_MS);
        core.accept(responseHandler(), "r", FRAGILE, "k", 1_000, time.now() - 999 * US_PER_MS, 0, 0, false, "call");
        assertLog("REFUSED 2000000");
        assertEquals(0, core.openRequests());
    }

    @Test
    void probeEndInsideActionDoesNotReenterBalancer() {
        List<String> nested = new ArrayList<>();
        onRequest = r -> {
            balancerActions.probe("h");
            nested.add("request over");
        };
        acceptRequest(RETRYABLE, 1_000);
        assertTrue(nested.size() == 1 && log.equals(List.of("probed h IGNORED")), log + " " + nested);
    }

    @Test
    void onlyLatestWakeTimeIsUsed() {
        balancerActions.wakeAt(5 * US_PER_MS);
        balancerActions.wakeAt(9 * US_PER_MS);
        time.runUntil(20 * US_PER_MS);
        assertLog("timer");
    }
}
