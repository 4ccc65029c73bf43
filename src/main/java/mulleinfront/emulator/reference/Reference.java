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

/** The balancers that the product is measured against. */
public enum Reference {
    /** Any server that is ready by the list. */
    RANDOM("any server that is ready by the list", Sees.NOTHING),
    /** One after the other, from a place drawn at the start. */
    ROUND_ROBIN("one server after the other", Sees.NOTHING),
    /** The one of two random servers where fewer of one's own attempts are out. */
    TWO_CHOICES("of two random servers the one with fewer of one's own attempts out", Sees.NOTHING),
    /** The owner of the key's hash (gRFC A42), and the next one where that has failed. */
    RING("the owner of the key by a hash ring alone", Sees.NOTHING),
    /**
     * Sees the true state of all servers, some time late: the owners of the key and a few others are
     * compared.
     */
    LATE("sees every server's true state half a second late", Sees.LATE),
    /** Sees the true state of all servers now: an upper bound that nobody can reach. */
    ORACLE("sees every server's true state at once", Sees.ALL);

    /** How late {@link #LATE} sees, microseconds. */
    public static final long LATE_US = 500_000;

    /** What a balancer is shown of the truth. */
    private enum Sees {
        NOTHING,
        LATE,
        ALL
    }

    private final String words;
    private final Sees sees;

    Reference(String words, Sees sees) {
        this.words = words;
        this.sees = sees;
    }

    /** The name on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** What it does, for people. */
    public String words() {
        return words;
    }

    /** How late it sees the truth, microseconds; negative: not at all. */
    public long seesLateUs() {
        return sees == Sees.NOTHING ? -1 : sees == Sees.LATE ? LATE_US : 0;
    }

    /** The balancer of that name; null if there is none. */
    public static Reference of(String word) {
        return Arrays.stream(values())
                .filter(r -> r.word().equals(word))
                .findFirst()
                .orElse(null);
    }

    /**
     * Makes a client proxy's balancer.
     *
     * @param truth what it is shown; null where {@link #seesLateUs} is negative
     */
    public Balancer make(Settings settings, long seed, Actions actions, ServerKnowledge truth) {
        return switch (this) {
            case RANDOM -> new Some(settings, seed, actions, 1);
            case ROUND_ROBIN -> new RoundRobin(settings, seed, actions);
            case TWO_CHOICES -> new Some(settings, seed, actions, 2);
            case RING -> new RingAlone(settings, seed, actions);
            case LATE -> new Seeing(settings, seed, actions, truth, false);
            case ORACLE -> new Seeing(settings, seed, actions, truth, true);
        };
    }

    /** The least used of some random servers. */
    private static final class Some extends Plain {
        /** Draws for a server that may have the request, before the whole list is gone through. */
        private static final int DRAWS = 8;

        private final int choices;
        private final Map<String, Integer> out = new HashMap<>();

        Some(Settings settings, long seed, Actions actions, int choices) {
            super(settings, seed, actions);
            this.choices = choices;
        }

        @Override
        Endpoint pick(Open r, long now) {
            Endpoint best = null;
            for (int i = 0; i < choices; i++) {
                Endpoint e = draw(r);
                if (e != null && (best == null || out.getOrDefault(e.id(), 0) < out.getOrDefault(best.id(), 0))) {
                    best = e;
                }
            }
            return best;
        }

        private Endpoint draw(Open r) {
            for (int i = 0; i < DRAWS; i++) {
                Endpoint e = servers.at(random.nextInt(servers.size()));
                if (allowed(r, e)) {
                    return e;
                }
            }
            for (int i = 0; i < servers.size(); i++) {
                if (allowed(r, servers.at(i))) {
                    return servers.at(i);
                }
            }
            return null;
        }

        @Override
        void counted(Endpoint server, int change) {
            out.merge(server.id(), change, (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /** Balancer that takes the servers in turn, starting at a random one and skipping those not allowed. */
    private static final class RoundRobin extends Plain {
        private int next;

        RoundRobin(Settings settings, long seed, Actions actions) {
            super(settings, seed, actions);
            next = random.nextInt(1 << 20);
        }

        @Override
        Endpoint pick(Open r, long now) {
            for (int i = 0; i < servers.size(); i++) {
                Endpoint e = servers.at(next++ % servers.size());
                if (allowed(r, e)) {
                    return e;
                }
            }
            return null;
        }
    }

    /** Balancer that takes the first allowed server in the order of the hash ring, regardless of load. */
    private static final class RingAlone extends Plain {
        RingAlone(Settings settings, long seed, Actions actions) {
            super(settings, seed, actions);
        }

        @Override
        Endpoint pick(Open r, long now) {
            List<Endpoint> owners = servers.owners(r.hash, servers.size());
            return owners.stream().filter(e -> allowed(r, e)).findFirst().orElse(null);
        }
    }

    /**
     * Goes where the answer comes soonest, as far as it sees. One that sees late keeps to the key's first owner while
     * that would answer within a part of the time there is, and else takes the better of a few drawn ones: were all
     * compared, all that see the same would go to the same. What it has sent itself since, it counts.
     */
    private static final class Seeing extends Plain {
        private static final double OWNERS_PART = 0.4;
        private static final int DRAWN = 3;
        private final ServerKnowledge truth;
        private final boolean all;
        private final Map<String, Integer> out = new HashMap<>();

        Seeing(Settings settings, long seed, Actions actions, ServerKnowledge truth, boolean all) {
            super(settings, seed, actions);
            this.truth = truth;
            this.all = all;
        }

        @Override
        Endpoint pick(Open r, long now) {
            double left = r.aimAt - now;
            if (all) {
                return soonest(r, left);
            }
            Endpoint owner = servers.owners(r.hash, 1).get(0);
            if (answerUs(r, owner) < OWNERS_PART * left) {
                return owner;
            }
            Endpoint best = null;
            double soonest = left;
            for (int i = 0; i < DRAWN; i++) {
                Endpoint e = servers.at(random.nextInt(servers.size()));
                double us = answerUs(r, e);
                if (us < soonest) {
                    soonest = us;
                    best = e;
                }
            }
            return best != null ? best : soonest(r, left);
        }

        /** Of all servers the one that answers soonest; null if none does within the time. */
        private Endpoint soonest(Open r, double within) {
            Endpoint best = null;
            double soonest = within;
            int from = random.nextInt(servers.size());
            for (int i = 0; i < servers.size(); i++) {
                Endpoint e = servers.at((from + i) % servers.size());
                double us = answerUs(r, e);
                if (us < soonest) {
                    soonest = us;
                    best = e;
                }
            }
            return best;
        }

        private double answerUs(Open r, Endpoint e) {
            return !allowed(r, e)
                    ? ServerKnowledge.NEVER
                    : truth.answerUs(e.id(), r.request.key(), r.request.classIndex())
                            * (all ? 1 : 1 + out.getOrDefault(e.id(), 0));
        }

        @Override
        void counted(Endpoint server, int change) {
            out.merge(server.id(), change, (a, b) -> a + b == 0 ? null : a + b);
        }
    }
}
