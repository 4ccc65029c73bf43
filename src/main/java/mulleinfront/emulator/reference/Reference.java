package mulleinfront.emulator.reference;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Settings;

/** The reference policies that the balancer is compared with. */
public enum Reference {
    /** A random server that is ready according to the list. */
    RANDOM("any server that is ready by the list", Visibility.NOTHING),
    /** One server after another, from a random start. */
    ROUND_ROBIN("one server after the other", Visibility.NOTHING),
    /** Of two random servers the one with fewer of the proxy's own attempts in flight. */
    TWO_CHOICES("of two random servers the one with fewer of one's own attempts out", Visibility.NOTHING),
    /** The owner of the key's hash (gRFC A42), or the next one on the ring after a failure. */
    RING("the owner of the key by a hash ring alone", Visibility.NOTHING),
    /**
     * Sees the true state of all servers with a delay; compares the owner of the key and a few other servers.
     */
    LATE("sees every server's true state half a second late", Visibility.LATE),
    /** Sees the true state of all servers at once: an upper bound that no real balancer can reach. */
    ORACLE("sees every server's true state at once", Visibility.ALL);

    /** Delay of the state that {@link #LATE} sees, microseconds. */
    public static final long KNOWLEDGE_DELAY_US = 500_000;

    /** How a balancer sees the true state of servers. */
    private enum Visibility {
        NOTHING,
        LATE,
        ALL
    }

    private final String description;
    private final Visibility visibility;

    Reference(String description, Visibility visibility) {
        this.description = description;
        this.visibility = visibility;
    }

    /** The output name, also used on the command line. */
    public String outputName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Description of the policy. */
    public String description() {
        return description;
    }

    /** Delay of the true state that the balancer sees, microseconds; negative: it sees none. */
    public long knowledgeDelayUs() {
        return visibility == Visibility.NOTHING ? -1 : visibility == Visibility.LATE ? KNOWLEDGE_DELAY_US : 0;
    }

    /** The policy with that name; null if there is none. */
    public static Reference forName(String outputName) {
        return Arrays.stream(values())
                .filter(r -> r.outputName().equals(outputName))
                .findFirst()
                .orElse(null);
    }

    /**
     * Creates a client proxy's balancer.
     *
     * @param knowledge the true state that it sees; null if {@link #knowledgeDelayUs} is negative
     */
    public Balancer create(Settings settings, long seed, Actions actions, ServerKnowledge knowledge) {
        return switch (this) {
            case RANDOM -> new RandomChoices(settings, seed, actions, 1);
            case ROUND_ROBIN -> new RoundRobin(settings, seed, actions);
            case TWO_CHOICES -> new RandomChoices(settings, seed, actions, 2);
            case RING -> new RingOnly(settings, seed, actions);
            case LATE -> new Informed(settings, seed, actions, knowledge, false);
            case ORACLE -> new Informed(settings, seed, actions, knowledge, true);
        };
    }

    /** Balancer that takes the server with the fewest of its own attempts among some random servers. */
    private static final class RandomChoices extends PickingBalancer {
        /** Random draws for an allowed server, before the whole list is searched. */
        private static final int DRAWS = 8;

        private final int choices;
        private final Map<String, Integer> attemptsInFlight = new HashMap<>();

        RandomChoices(Settings settings, long seed, Actions actions, int choices) {
            super(settings, seed, actions);
            this.choices = choices;
        }

        @Override
        Endpoint pick(OpenRequest request, long now) {
            Endpoint best = null;
            for (int i = 0; i < choices; i++) {
                Endpoint endpoint = draw(request);
                if (endpoint != null
                        && (best == null
                                || attemptsInFlight.getOrDefault(endpoint.id(), 0)
                                        < attemptsInFlight.getOrDefault(best.id(), 0))) {
                    best = endpoint;
                }
            }
            return best;
        }

        private Endpoint draw(OpenRequest request) {
            for (int i = 0; i < DRAWS; i++) {
                Endpoint endpoint = servers.get(random.nextInt(servers.size()));
                if (allowed(request, endpoint)) {
                    return endpoint;
                }
            }
            for (int i = 0; i < servers.size(); i++) {
                if (allowed(request, servers.get(i))) {
                    return servers.get(i);
                }
            }
            return null;
        }

        @Override
        void attemptsChanged(Endpoint server, int change) {
            attemptsInFlight.merge(server.id(), change, (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /** Balancer that takes the servers in turn, starting at a random one and skipping those not allowed. */
    private static final class RoundRobin extends PickingBalancer {
        private int next;

        RoundRobin(Settings settings, long seed, Actions actions) {
            super(settings, seed, actions);
            next = random.nextInt(1 << 20);
        }

        @Override
        Endpoint pick(OpenRequest request, long now) {
            for (int i = 0; i < servers.size(); i++) {
                Endpoint endpoint = servers.get(next++ % servers.size());
                if (allowed(request, endpoint)) {
                    return endpoint;
                }
            }
            return null;
        }
    }

    /** Balancer that takes the first allowed server in the order of the hash ring, regardless of load. */
    private static final class RingOnly extends PickingBalancer {
        RingOnly(Settings settings, long seed, Actions actions) {
            super(settings, seed, actions);
        }

        @Override
        Endpoint pick(OpenRequest request, long now) {
            List<Endpoint> owners = servers.owners(request.hash, servers.size());
            return owners.stream()
                    .filter(endpoint -> allowed(request, endpoint))
                    .findFirst()
                    .orElse(null);
        }
    }

    /**
     * Balancer that takes the server with the earliest expected answer in the state that it sees. With a delayed state,
     * it takes the key's owner as long as that would answer within a fraction of the remaining time, and otherwise the
     * best of a few random servers: if all servers were compared, all proxies would choose the same one. With a delayed
     * state it also counts its own attempts in flight.
     */
    private static final class Informed extends PickingBalancer {
        private static final double OWNER_TIME_FRACTION = 0.4;
        private static final int RANDOM_CANDIDATES = 3;
        private final ServerKnowledge knowledge;
        private final boolean immediate;
        private final Map<String, Integer> attemptsInFlight = new HashMap<>();

        Informed(Settings settings, long seed, Actions actions, ServerKnowledge knowledge, boolean immediate) {
            super(settings, seed, actions);
            this.knowledge = knowledge;
            this.immediate = immediate;
        }

        @Override
        Endpoint pick(OpenRequest request, long now) {
            double left = request.targetAt - now;
            if (immediate) {
                return soonest(request, left);
            }
            Endpoint owner = servers.owners(request.hash, 1).get(0);
            if (answerUs(request, owner) < OWNER_TIME_FRACTION * left) {
                return owner;
            }
            Endpoint best = null;
            double soonest = left;
            for (int i = 0; i < RANDOM_CANDIDATES; i++) {
                Endpoint endpoint = servers.get(random.nextInt(servers.size()));
                double expectedUs = answerUs(request, endpoint);
                if (expectedUs < soonest) {
                    soonest = expectedUs;
                    best = endpoint;
                }
            }
            return best != null ? best : soonest(request, left);
        }

        /** The server with the earliest expected answer; null if none would answer in time. */
        private Endpoint soonest(OpenRequest request, double within) {
            Endpoint best = null;
            double soonest = within;
            int from = random.nextInt(servers.size());
            for (int i = 0; i < servers.size(); i++) {
                Endpoint endpoint = servers.get((from + i) % servers.size());
                double expectedUs = answerUs(request, endpoint);
                if (expectedUs < soonest) {
                    soonest = expectedUs;
                    best = endpoint;
                }
            }
            return best;
        }

        private double answerUs(OpenRequest request, Endpoint endpoint) {
            return !allowed(request, endpoint)
                    ? ServerKnowledge.NEVER
                    : knowledge.answerUs(endpoint.id(), request.request.key(), request.request.classIndex())
                            * (immediate ? 1 : 1 + attemptsInFlight.getOrDefault(endpoint.id(), 0));
        }

        @Override
        void attemptsChanged(Endpoint server, int change) {
            attemptsInFlight.merge(server.id(), change, (a, b) -> a + b == 0 ? null : a + b);
        }
    }
}
