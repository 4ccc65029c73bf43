package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import mulleinfront.core.Core;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;

/** Cores and modules broken on purpose: each keeps all rules but the one that it is named after. */
final class Broken {
    private Broken() {}

    // ---- modules -------------------------------------------------------------------------------------

    /** The real module behind events and actions that a subclass may change. */
    private abstract static class Module implements Balancer {
        final Actions actions;
        final Balancer real;

        Module(Settings settings, long seed, long now, Actions actions) {
            this.actions = actions;
            this.real = Balancer.create(settings, seed, now, new Passed(actions, this));
        }

        String target(String requestId, String endpointId) {
            return endpointId;
        }

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            real.onEndpoints(now, source, endpoints);
        }

        @Override
        public void onDiscoveryFailed(long now) {
            real.onDiscoveryFailed(now);
        }

        @Override
        public void onDiscoveryFailed(long now, long quietUs) {
            real.onDiscoveryFailed(now, quietUs);
        }

        @Override
        public void onWatchEnded(long now) {
            real.onWatchEnded(now);
        }

        @Override
        public void onDiscoveryMoved(long now, long movedAgoUs) {
            real.onDiscoveryMoved(now, movedAgoUs);
        }

        @Override
        public void onDiscoveryUnreachable(long now) {
            real.onDiscoveryUnreachable(now);
        }

        @Override
        public void onRequest(long now, Request request) {
            real.onRequest(now, request);
        }

        @Override
        public void onRequestAbandoned(long now, String requestId) {
            real.onRequestAbandoned(now, requestId);
        }

        @Override
        public void onStreamStarted(long now, String requestId, int attempt) {
            real.onStreamStarted(now, requestId, attempt);
        }

        @Override
        public void onAttemptEnded(long now, AttemptEnd end) {
            real.onAttemptEnded(now, end);
        }

        @Override
        public void onLoadReport(long now, String endpointId, double held) {
            real.onLoadReport(now, endpointId, held);
        }

        @Override
        public void observe(Observer observer) {
            real.observe(observer);
        }

        @Override
        public void onProbeEnded(long now, String endpointId, Outcome outcome, long lagUs) {
            real.onProbeEnded(now, endpointId, outcome, lagUs);
        }

        @Override
        public void onTimer(long now) {
            real.onTimer(now);
        }
    }

    /** Actions on their way from the real module. */
    private record Passed(Actions to, Module module) implements Actions {
        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            to.send(requestId, module.target(requestId, endpointId), timeoutUs);
        }

        @Override
        public void refuse(String requestId, long retryAfterUs) {
            to.refuse(requestId, retryAfterUs);
        }

        @Override
        public void fail(String requestId) {
            to.fail(requestId);
        }

        @Override
        public void cancel(String requestId, int attempt) {
            to.cancel(requestId, attempt);
        }

        @Override
        public void probe(String endpointId) {
            to.probe(endpointId);
        }

        @Override
        public void subscribe() {
            to.subscribe();
        }

        @Override
        public void wakeAt(long atUs) {
            to.wakeAt(atUs);
        }
    }

    /** Takes every class for one that may be repeated: a payout that may have run is sent again. */
    static Balancer resendsPayouts(Settings settings, long seed, long now, Actions actions) {
        return Balancer.create(
                with(
                        settings,
                        c -> new RequestClass(
                                c.name(),
                                Effect.RETRYABLE,
                                null,
                                0,
                                c.worth(),
                                c.lateWorth(),
                                c.targetLatencyUs(),
                                0,
                                c.deadlineUs())),
                seed,
                now,
                actions);
    }

    /** Takes the group that drops repeats for the whole fleet. */
    static Balancer leavesTheGroup(Settings settings, long seed, long now, Actions actions) {
        return Balancer.create(
                with(
                        settings,
                        c -> c.effect() != Effect.DEDUP
                                ? c
                                : new RequestClass(
                                        c.name(),
                                        Effect.DEDUP,
                                        DedupScope.ALL,
                                        c.dedupWindowUs(),
                                        c.worth(),
                                        c.lateWorth(),
                                        c.targetLatencyUs(),
                                        0,
                                        c.deadlineUs())),
                seed,
                now,
                actions);
    }

    private static Settings with(Settings s, UnaryOperator<RequestClass> change) {
        return new Settings(
                s.classes().stream().map(change).toList(),
                s.tenantShares(),
                s.overShareWorth(),
                s.instances(),
                s.probePrice(),
                s.subscribe(),
                s.weightsVary(),
                s.limits(),
                s.contract());
    }

    /** Sends most of what it has to the server that started last. */
    static Balancer floodsTheNewest(Settings settings, long seed, long now, Actions actions) {
        return new Newest(settings, seed, now, actions, 1);
    }

    /** Sends every third request there. */
    static Balancer favoursTheNewest(Settings settings, long seed, long now, Actions actions) {
        return new Newest(settings, seed, now, actions, 3);
    }

    /** Balancer that redirects every n-th send to the ready server that started last. */
    private static final class Newest extends Module {
        private final int every;
        private final Map<String, Long> ready = new HashMap<>();
        private int sends;

        Newest(Settings settings, long seed, long now, Actions actions, int every) {
            super(settings, seed, now, actions);
            this.every = every;
        }

        @Override
        public void onEndpoints(long now, Source source, List<Endpoint> endpoints) {
            endpoints.forEach(e -> ready.remove(e.id()));
            endpoints.stream()
                    .filter(e -> e.availability() == Availability.READY && e.startedAtUs() > 0)
                    .forEach(e -> ready.put(e.id(), e.startedAtUs()));
            super.onEndpoints(now, source, endpoints);
        }

        @Override
        String target(String requestId, String endpointId) {
            return sends++ % every > 0
                    ? endpointId
                    : ready.entrySet().stream()
                            .max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                            .map(Map.Entry::getKey)
                            .orElse(endpointId);
        }
    }

    /** Never hears of a drain. */
    static Balancer deafToDrains(Settings settings, long seed, long now, Actions actions) {
        return new Module(settings, seed, now, actions) {
            @Override
            public void onEndpoints(long at, Source source, List<Endpoint> endpoints) {
                super.onEndpoints(
                        at,
                        Source.DELTA,
                        endpoints.stream()
                                .map(e -> new Endpoint(
                                        e.id(),
                                        e.zone(),
                                        e.cell(),
                                        e.kind(),
                                        Availability.READY,
                                        e.weight(),
                                        e.startedAtUs()))
                                .toList());
            }
        };
    }

    /** Never asks discovery for anything: it takes its lists to come by themselves. */
    static Balancer neverAsks(Settings settings, long seed, long now, Actions actions) {
        return Balancer.create(
                new Settings(
                        settings.classes(),
                        settings.tenantShares(),
                        settings.overShareWorth(),
                        settings.instances(),
                        settings.probePrice(),
                        false,
                        settings.weightsVary(),
                        settings.limits(),
                        settings.contract(),
                        settings.instanceNumber()),
                seed,
                now,
                actions);
    }

    /** Throws at its hundredth request. */
    static Balancer throwsOnce(Balancer real) {
        int[] count = {0};
        return (Balancer) java.lang.reflect.Proxy.newProxyInstance(
                Broken.class.getClassLoader(), new Class<?>[] {Balancer.class}, (self, method, args) -> {
                    if (method.getName().equals("onRequest") && ++count[0] == 100) {
                        throw new IllegalStateException("a defect");
                    }
                    return method.invoke(real, args);
                });
    }

    // ---- cores ---------------------------------------------------------------------------------------

    /** A caller whose words a subclass may change. */
    private static class Told implements ResponseHandler<Call, Answer> {
        final ResponseHandler<Call, Answer> to;

        Told(ResponseHandler<Call, Answer> to) {
            this.to = to;
        }

        @Override
        public void opened(Core.RequestHandle<Call, Answer> exchange) {
            to.opened(exchange);
        }

        @Override
        public void served(Answer answer) {
            to.served(answer);
        }

        @Override
        public void refused(long retryAfterUs) {
            to.refused(retryAfterUs);
        }

        @Override
        public void failed(boolean timeUp) {
            to.failed(timeUp);
        }
    }

    private static Fitting caller(
            java.util.function.BiFunction<ResponseHandler<Call, Answer>, Time, ResponseHandler<Call, Answer>> as) {
        return new Fitting() {
            @Override
            public ResponseHandler<Call, Answer> caller(ResponseHandler<Call, Answer> caller, Time time) {
                return as.apply(caller, time);
            }
        };
    }

    /** One answer in a hundred never reaches its client. */
    static Fitting forgets() {
        int[] count = {0};
        return caller((c, time) -> new Told(c) {
            @Override
            public void served(Answer answer) {
                if (++count[0] % 100 > 0) {
                    to.served(answer);
                }
            }
        });
    }

    /** One request in a hundred is answered twice. */
    static Fitting answersTwice() {
        int[] count = {0};
        return caller((c, time) -> new Told(c) {
            @Override
            public void served(Answer answer) {
                to.served(answer);
                if (++count[0] % 100 == 0) {
                    to.served(answer);
                }
            }
        });
    }

    /** Now and then a client gets the answer before its own. */
    static Fitting mixesAnswersUp() {
        List<Answer> before = new ArrayList<>();
        return caller((c, time) -> new Told(c) {
            @Override
            public void served(Answer answer) {
                before.add(answer);
                to.served(before.size() % 100 == 0 ? before.get(before.size() - 2) : answer);
            }
        });
    }

    /** A failure is told to be a refusal. */
    static Fitting callsFailuresHarmless() {
        return caller((c, time) -> new Told(c) {
            @Override
            public void failed(boolean timeUp) {
                to.refused(0);
            }
        });
    }

    /** Makes an attempt on the real wire, possibly with altered arguments. */
    private interface Made {
        Wire.Attempt attempt(
                Wire<Call, Answer> wire,
                Time time,
                String requestId,
                int number,
                String hostId,
                Call call,
                long timeoutUs,
                BooleanSupplier wanted,
                Wire.AttemptListener<Answer> end);
    }

    private static Fitting wire(Made made) {
        return new Fitting() {
            @Override
            public Wire<Call, Answer> wire(Wire<Call, Answer> wire, Time time) {
                return new Wire<>() {
                    @Override
                    public Attempt attempt(
                            String requestId,
                            int number,
                            String hostId,
                            Call call,
                            long timeoutUs,
                            BooleanSupplier wanted,
                            AttemptListener<Answer> end) {
                        return made.attempt(wire, time, requestId, number, hostId, call, timeoutUs, wanted, end);
                    }

                    @Override
                    public void probe(String hostId, AttemptListener<Answer> end) {
                        wire.probe(hostId, end);
                    }

                    @Override
                    public void subscribe(long patienceUs) {
                        wire.subscribe(patienceUs);
                    }
                };
            }
        };
    }

    /** Writes without asking whether it may: with a module that is deaf to drains, or a client that left. */
    static Fitting writesUnasked() {
        return wire((wire, time, requestId, number, hostId, call, timeoutUs, wanted, end) ->
                wire.attempt(requestId, number, hostId, call, timeoutUs, () -> true, end));
    }

    /** Begins one attempt in fifty by itself, long after it was decided on and was over for the core. */
    static Fitting sendsAfterTheEnd() {
        int[] count = {0};
        return wire((wire, time, requestId, number, hostId, call, timeoutUs, wanted, end) -> {
            Wire.Attempt plain = wire.attempt(requestId, number, hostId, call, timeoutUs, wanted, end);
            if (plain != null && ++count[0] % 50 == 0) {
                time.after(3_000_000, () -> {
                    Wire.Attempt late = wire.attempt(
                            requestId, number, hostId, call, 1_000_000, () -> true, (outcome, answer) -> {});
                    if (late != null) {
                        late.start();
                    }
                });
            }
            return plain;
        });
    }

    /** Sends one attempt in fifty to two servers at once. */
    static Fitting sendsSecondCopies() {
        int[] count = {0};
        Set<String> seen = new HashSet<>();
        return wire((wire, time, requestId, number, hostId, call, timeoutUs, wanted, end) -> {
            seen.add(hostId);
            Wire.Attempt plain = wire.attempt(requestId, number, hostId, call, timeoutUs, wanted, end);
            String other = seen.stream()
                    .filter(h -> !h.equals(hostId))
                    .sorted()
                    .findFirst()
                    .orElse(hostId);
            if (plain != null && ++count[0] % 50 == 0) {
                Wire.Attempt copy =
                        wire.attempt(requestId, number + 100, other, call, timeoutUs, wanted, (outcome, answer) -> {});
                if (copy != null) {
                    time.after(10_000, copy::start);
                }
            }
            return plain;
        });
    }

    /** Lists reach the core two seconds after they were told. */
    static Fitting hearsOfListsLate() {
        return new Fitting() {
            @Override
            public void listed(Core<Call, Answer> core, Source source, List<Endpoint> endpoints, Time time) {
                time.after(source == Source.CACHED ? 0 : 2_000_000, () -> core.onEndpointList(source, endpoints));
            }
        };
    }
}
