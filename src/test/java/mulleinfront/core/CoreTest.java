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

/** The life of a request on virtual time, where two things can happen at one instant, in either order. */
class CoreTest {
    private static final int SAFE = 0;
    private static final int UNSAFE = 1;
    private static final int KEYED = 2;
    private static final int SOON = 3;
    private static final long MS = 1_000;

    private final EventQueue time = new EventQueue();
    private final List<String> log = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Throwable> defects = new ArrayList<>();
    private Consumer<Request> onRequest = r -> {};
    private Consumer<AttemptEnd> onEnd = e -> {};
    private Actions module;
    private boolean cancels = true;
    private boolean present = true;
    private Core.RequestHandle<String, String> exchange;
    private final Metrics metrics = new Metrics();
    private final Core<String, String> core = new Core<>(settings(), time, new ScriptedWire(), defects::add, metrics);

    CoreTest() {
        core.begin(
                (settings, seed, now, actions) -> {
                    module = actions;
                    return new Script();
                },
                1);
        list(Availability.READY);
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

    private void list(Availability state) {
        core.onEndpointList(
                Source.FULL,
                List.of(new Endpoint("h", 0, 0, 0, state, 1, 0), new Endpoint("i", 0, 0, 0, Availability.READY, 1, 0)));
    }

    /** Attempts that do nothing by themselves. */
    private final class ScriptedWire implements Wire<String, String> {
        @Override
        public Attempt attempt(
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
            CoreTest.Attempt made = new CoreTest.Attempt(requestId + "/" + number + "@" + hostId, wanted, end);
            attempts.add(made);
            return made;
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

    /** An attempt that logs what the core does with it and ends only when the test says so. */
    private final class Attempt implements Wire.Attempt {
        private final String name;
        private final BooleanSupplier wanted;
        private final Wire.AttemptListener<String> end;
        private boolean over;

        Attempt(String name, BooleanSupplier wanted, Wire.AttemptListener<String> end) {
            this.name = name;
            this.wanted = wanted;
            this.end = end;
        }

        @Override
        public void start() {
            log.add("start " + name);
        }

        @Override
        public void endWithin(long timeoutUs) {
            log.add("within " + timeoutUs / MS);
        }

        @Override
        public void cancel() {
            if (!over) {
                log.add("cancelled " + name);
                end(Outcome.CANCELED);
            }
        }

        /** As on any wire: the connection is up, and what is not wanted is not written. */
        void write() {
            if (wanted.getAsBoolean()) {
                log.add("write " + name);
            } else {
                end(Outcome.IGNORED);
            }
        }

        void end(Outcome outcome) {
            if (!over) {
                over = true;
                end.ended(outcome, outcome == Outcome.OK ? "answer to " + name : null);
            }
        }
    }

    /** A balancer that logs its events and decides as the test has set. */
    private final class Script implements Balancer {
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
            if (cancels) {
                module.cancel(requestId, 0);
            }
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {
            log.add("streams " + attempt);
        }

        @Override
        public void onAttemptEnded(long now, AttemptEnd e) {
            log.add("ended " + e.attempt() + " " + e.outcome() + (e.requestDone() ? " done" : ""));
            onEnd.accept(e);
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

    private ResponseHandler<String, String> caller() {
        return new ResponseHandler<>() {
            @Override
            public void opened(Core.RequestHandle<String, String> x) {
                exchange = x;
            }

            @Override
            public boolean stillWaiting() {
                return present;
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

    private void take(int type, long deadlineMs) {
        core.accept(caller(), "r", type, "k", deadlineMs, time.now(), 0, 0, false, "call");
    }

    private void sent(int type) {
        onRequest = r -> module.send(r.id(), "h", 0);
        take(type, 1_000);
        log.clear();
    }

    private void said(String... lines) {
        assertEquals(List.of(lines), log);
        assertEquals(List.of(), defects);
    }

    /** After all is over nothing is held, and nothing more is said however much time passes. */
    private void nothingFollows() {
        log.clear();
        time.runUntil(time.now() + 10_000_000);
        said();
        assertEquals(0, core.openRequests());
    }

    // ---- what a module may not do --------------------------------------------------------------------

    private void again(int type, String endpointId) {
        onEnd = e -> {
            if (e.attempt() == 0) {
                module.send(e.requestId(), endpointId, 0);
            }
        };
        sent(type);
        attempts.get(0).end(Outcome.FAILED);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNotSentAgain() {
        again(UNSAFE, "i");
        attempts.get(1).write();
        said("ended 0 FAILED", "start r/1@i", "ended 1 IGNORED");
        assertEquals(1, metrics.guard.prevented(RuleGuard.Check.REPEAT_UNSAFE));
        assertEquals(0, metrics.guard.violations());
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroup() {
        core.onEndpointList(
                Source.FULL,
                List.of(
                        new Endpoint("h", 0, 0, 0, Availability.READY, 1, 0),
                        new Endpoint("i", 1, 0, 0, Availability.READY, 1, 0)));
        log.clear();
        again(KEYED, "i");
        attempts.get(1).write();
        said("ended 0 FAILED", "start r/1@i", "ended 1 IGNORED");
        assertEquals(1, metrics.guard.prevented(RuleGuard.Check.REPEAT_OUTSIDE_GROUP));
    }

    @Test
    void whatMayHaveRunIsFailedWhereTheModuleRefusesIt() {
        onEnd = e -> module.refuse(e.requestId(), 0);
        sent(UNSAFE);
        attempts.get(0).end(Outcome.RESET);
        said("ended 0 RESET", "FAILED");
        assertEquals(1, metrics.guard.prevented(RuleGuard.Check.REFUSE_AFTER_EFFECT));
        nothingFollows();
    }

    @Test
    void whatHasNotRunIsRefusedAsTheModuleSays() {
        onEnd = e -> module.refuse(e.requestId(), 0);
        sent(UNSAFE);
        attempts.get(0).end(Outcome.QUEUE_FULL);
        said("ended 0 QUEUE_FULL", "REFUSED 0");
        assertEquals(0, metrics.guard.prevented(RuleGuard.Check.REFUSE_AFTER_EFFECT));
        nothingFollows();
    }

    // ---- what goes on while it comes -----------------------------------------------------------------

    private void takeReading(int type) {
        onRequest = r -> module.send(r.id(), "h", 0);
        core.accept(caller(), "r", type, "k", 1_000, time.now(), 0, 0, false, "call", true);
        said("start r/0@h", "streams 0");
        log.clear();
    }

    @Test
    void theTimeOfARequestThatIsBeingReadBeginsWithItsLastByte() {
        takeReading(UNSAFE);
        time.runUntil(5_000 * MS);
        said();
        core.requestComplete(exchange);
        said("within 965");
        log.clear();
        core.requestComplete(exchange);
        said();
        time.runUntil(5_975 * MS);
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void nothingIsAnsweredAfterTheEndThatWasSet() {
        List<Long> budgets = new ArrayList<>();
        onRequest = r -> {
            budgets.add(r.budgetUs());
            module.send(r.id(), "h", 0);
        };
        core.setShutdownDeadline(time.now() + 300 * MS);
        take(UNSAFE, 1_000);
        log.clear();
        time.runUntil(300 * MS);
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        assertEquals(List.of(965 * MS), budgets, "the module hears what the client said");
        log.clear();
        take(UNSAFE, 1_000);
        said("REFUSED 2000000");
        nothingFollows();
    }

    @Test
    void anEndThatIsSetHoldsForWhatIsOpenToo() {
        sent(UNSAFE);
        time.runUntil(100 * MS);
        core.setShutdownDeadline(time.now() + 300 * MS);
        time.runUntil(400 * MS - 1);
        said();
        time.runUntil(400 * MS);
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void anEndThatIsSetHoldsForWhatIsStillBeingReadToo() {
        takeReading(UNSAFE);
        core.setShutdownDeadline(time.now() + 300 * MS);
        time.runUntil(300 * MS);
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void anEndThatIsLaterThanTheClientsOwnChangesNothing() {
        sent(UNSAFE);
        core.setShutdownDeadline(time.now() + 3_000 * MS);
        time.runUntil(975 * MS);
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void aRequestThatIsBeingReadGoesWithItsClient() {
        takeReading(UNSAFE);
        core.abandoned(exchange);
        said("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void soItDoesOnceItHasComeInWholeThoughTheModuleLeavesItAlone() {
        cancels = false;
        takeReading(UNSAFE);
        core.requestComplete(exchange);
        log.clear();
        core.abandoned(exchange);
        said("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void anAnswerThatHasBegunIsTheFinalOneHoweverItEnds() {
        for (Outcome outcome : List.of(Outcome.OK, Outcome.RESET, Outcome.FAILED)) {
            sent(SAFE);
            assertTrue(attempts.get(attempts.size() - 1).end.responseStarted("half"));
            said("BEGINS half", "streams 0");
            log.clear();
            time.runUntil(time.now() + 20_000 * MS);
            said();
            assertEquals(1, core.openRequests(), "its id may not be used again meanwhile");
            attempts.get(attempts.size() - 1).end(outcome);
            said("ended 0 " + outcome + " done");
            nothingFollows();
        }
    }

    @Test
    void anAnswerThatBeginsTooLateIsTakenByNobody() {
        sent(UNSAFE);
        core.abandoned(exchange);
        log.clear();
        assertEquals(false, attempts.get(0).end.responseStarted("half"));
        said();
    }

    @Test
    void aClientThatLeavesItsAnswerEndsTheAttempt() {
        sent(UNSAFE);
        attempts.get(0).end.responseStarted("half");
        log.clear();
        core.abandoned(exchange);
        said("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    // ---- at one instant ------------------------------------------------------------------------------

    @Test
    void anAnswerAtTheInstantOfTheDeadlineCountsIfItCameFirst() {
        long guard = 975 * MS;
        onRequest = r -> module.send(r.id(), "h", 0);
        time.after(guard, () -> attempts.get(0).end(Outcome.OK));
        take(UNSAFE, 1_000);
        log.clear();
        time.runUntil(guard);
        said("SERVED answer to r/0@h", "ended 0 OK done");
        nothingFollows();
    }

    @Test
    void anAnswerAtTheInstantOfTheDeadlineIsTooLateIfThatCameFirst() {
        sent(UNSAFE);
        time.after(975 * MS, () -> attempts.get(0).end(Outcome.OK));
        time.runUntil(975 * MS);
        // The module stops waiting at once, so the answer finds the attempt ended.
        said("FAILED time up", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void aCancelAndTheAnswerAtOneInstantHaveOneEnd() {
        sent(UNSAFE);
        time.after(MS, () -> core.run(() -> module.cancel("r", 0)));
        time.after(MS, () -> attempts.get(0).end(Outcome.OK));
        onEnd = e -> module.fail(e.requestId());
        time.runUntil(MS);
        said("cancelled r/0@h", "ended 0 CANCELED", "FAILED");
        nothingFollows();
    }

    @Test
    void aCancelThatCrossesTheAnswerChangesNothing() {
        sent(UNSAFE);
        time.after(MS, () -> attempts.get(0).end(Outcome.OK));
        time.after(MS, () -> core.run(() -> module.cancel("r", 0)));
        time.runUntil(MS);
        said("SERVED answer to r/0@h", "ended 0 OK done");
        nothingFollows();
    }

    @Test
    void anAnswerAtTheInstantOfTheDrainNoticeIsServed() {
        sent(UNSAFE);
        time.after(MS, () -> list(Availability.DRAINING));
        time.after(MS, () -> attempts.get(0).end(Outcome.OK));
        time.runUntil(MS);
        said("SERVED answer to r/0@h", "ended 0 OK done");
        nothingFollows();
    }

    @Test
    void nothingIsWrittenOnceADrainIsToldWhileTheConnectionComesUp() {
        sent(UNSAFE);
        onEnd = e -> module.refuse(e.requestId(), 0);
        time.after(MS, () -> list(Availability.DRAINING));
        time.after(MS, () -> attempts.get(0).write());
        time.runUntil(MS);
        said("ended 0 IGNORED", "REFUSED 0");
        nothingFollows();
    }

    /** A second attempt that is decided while it may be, and whose connection comes up at this time. */
    private void again(int type, Outcome first, long upAt) {
        onEnd = e -> {
            if (e.attempt() == 0) {
                module.send("r", "i", 0);
            } else {
                module.fail("r");
            }
        };
        sent(type);
        time.runUntil(100 * MS);
        attempts.get(0).end(first);
        said("ended 0 " + first, "start r/1@i");
        log.clear();
        time.runUntil(upAt);
        attempts.get(1).write();
    }

    @Test
    void theWindowForRepeatsHoldsWhenTheRequestGoesOutAndNotWhenThatIsDecided() {
        // The first went out at 0, and 300 ms later nobody remembers it.
        again(SOON, Outcome.RESET, 300 * MS);
        said("ended 1 IGNORED", "FAILED");
        nothingFollows();
    }

    @Test
    void untilThenItGoesOut() {
        again(SOON, Outcome.RESET, 300 * MS - 1);
        said("write r/1@i");
    }

    @Test
    void noWindowBindsWhatHasSurelyNotRun() {
        again(SOON, Outcome.QUEUE_FULL, 700 * MS);
        said("write r/1@i");
    }

    @Test
    void aHostThatCameBackMeanwhileIsWrittenTo() {
        sent(UNSAFE);
        list(Availability.DRAINING);
        list(Availability.READY);
        attempts.get(0).write();
        said("write r/0@h");
    }

    @Test
    void nothingIsWrittenOnceTheClientLeftWhileTheConnectionComesUp() {
        sent(UNSAFE);
        core.abandoned(exchange);
        attempts.get(0).write();
        said("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void aCallerThatIsFoundToHaveLeftAsItsAttemptIsWrittenIsGone() {
        sent(UNSAFE);
        present = false;
        attempts.get(0).write();
        said("gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    // ---- what holds whatever the module does ---------------------------------------------------------

    @Test
    void aRequestThatTheModuleForgetsHasItsAnswerInTimeAndATrueOne() {
        take(UNSAFE, 1_000);
        time.runUntil(975 * MS);
        said("REFUSED 2000000", "gone r");
        nothingFollows();
        onRequest = r -> module.send(r.id(), "h", 0);
        take(SAFE, 1_000);
        log.clear();
        time.runUntil(time.now() + 975 * MS);
        said("REFUSED 2000000", "gone r", "cancelled r/0@h", "ended 0 CANCELED done");
        nothingFollows();
    }

    @Test
    void theWordAtTheEndOfItsTimeIsTrueAfterEveryOutcome() {
        for (int type : List.of(SAFE, UNSAFE, KEYED)) {
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
                sent(type);
                attempts.get(attempts.size() - 1).end(outcome);
                said("ended 0 " + outcome);
                log.clear();
                time.runUntil(time.now() + 975 * MS);
                said(mayHaveRun && type != SAFE ? "FAILED time up" : "REFUSED 2000000", "gone r");
                nothingFollows();
            }
        }
    }

    @Test
    void oneAttemptIsOutAtATimeAndNoMoreThanTheLimit() {
        onRequest = r -> {
            module.send(r.id(), "h", 0);
            module.send(r.id(), "i", 0);
        };
        take(SAFE, 1_000);
        said("start r/0@h", "ended 1 IGNORED");
        log.clear();
        onEnd = e -> {
            if (e.outcome() == Outcome.FAILED) {
                module.send(e.requestId(), "i", 0);
            }
        };
        attempts.get(0).end(Outcome.FAILED);
        said("ended 0 FAILED", "start r/2@i");
        log.clear();
        attempts.get(1).end(Outcome.FAILED);
        said("ended 2 FAILED", "ended 3 IGNORED");
    }

    @Test
    void theFirstLastWordCounts() {
        onRequest = r -> {
            module.refuse(r.id(), 7);
            module.fail(r.id());
            module.send(r.id(), "h", 0);
        };
        take(UNSAFE, 1_000);
        said("REFUSED 7", "ended 0 IGNORED done");
        nothingFollows();
    }

    @Test
    void anUnknownHostIsAnAttemptThatNeverWas() {
        onRequest = r -> module.send(r.id(), "nobody", 0);
        onEnd = e -> module.refuse(e.requestId(), 0);
        take(UNSAFE, 1_000);
        said("ended 0 IGNORED", "REFUSED 0");
        nothingFollows();
    }

    @Test
    void aModuleThatThrowsLosesNoRequest() {
        onRequest = r -> {
            throw new IllegalStateException("a defect");
        };
        take(UNSAFE, 1_000);
        assertEquals(1, defects.size());
        defects.clear();
        time.runUntil(975 * MS);
        said("REFUSED 2000000", "gone r");
        nothingFollows();
    }

    @Test
    void aDeadlineThatHasPassedOnArrivalIsRefusedUnseen() {
        time.runUntil(5_000 * MS);
        core.accept(caller(), "r", UNSAFE, "k", 1_000, time.now() - 999 * MS, 0, 0, false, "call");
        said("REFUSED 2000000");
        assertEquals(0, core.openRequests());
    }

    @Test
    void aFailureToldInsideAnActionDoesNotReenterTheModule() {
        List<String> nested = new ArrayList<>();
        onRequest = r -> {
            module.probe("h");
            nested.add("request over");
        };
        take(SAFE, 1_000);
        assertTrue(nested.size() == 1 && log.equals(List.of("probed h IGNORED")), log + " " + nested);
    }

    @Test
    void timersAreTheModulesLatest() {
        module.wakeAt(5 * MS);
        module.wakeAt(9 * MS);
        time.runUntil(20 * MS);
        said("timer");
    }
}
