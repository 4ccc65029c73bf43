package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.MemberState;

/**
 * Judges a fleet by what its members said of each other, as they said it, against what was so: on virtual time and,
 * from event logs, on processes. It never sees a member's own state.
 *
 * <p>What is held against a member has to have lasted for the stated bound, all that while with nothing changed for
 * those it is about: no process ended, begun or stood still, and no cut begun or healed among all.
 */
public final class FleetAuditor {
    private static final int MOST_KEPT = 100;

    /** What is judged, by name. */
    public enum Rule {
        /** A member that is in reach is called failed for longer than the bound. */
        CALLED_FAILED("a member in reach is called failed"),
        /** A dead one is called alive after it. */
        CALLED_ALIVE("a dead member is called alive"),
        /** Members in reach of one another hold different views after it. */
        VIEWS_DIFFER("views of members in reach of one another differ"),
        /** A belief went back to an earlier incarnation, or to an earlier state of one. */
        WENT_BACK("a belief went back"),
        /** Changes are not numbered one after the other. */
        OUT_OF_ORDER("changes are out of order");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        /** The rule in words. */
        public String words() {
            return words;
        }
    }

    /** A broken rule: who holds what of whom, and since when. */
    public record Breach(Rule rule, long atUs, int observer, int member, String what) {
        @Override
        public String toString() {
            return "rule broken: " + rule.words() + ": " + what + ", at "
                    + String.format(Locale.ROOT, "%.3f", atUs / 1e6) + " s";
        }
    }

    /** What one process believes of all, as it said. */
    private static final class View {
        private final byte[] state;
        private final long[] incarnation;
        private long changes;
        private long digest;

        View(int members) {
            this.state = new byte[members];
            this.incarnation = new long[members];
        }
    }

    private final int members;
    private final long boundUs;
    private final View[] views;
    private final boolean[] up;
    private final boolean[] still;
    private final boolean[] left;
    private final long[] ownSince;
    private final Links links;
    private long linksSince;
    private final List<Breach> breaches = new ArrayList<>();
    private int count;
    private int[] group;

    /** Which datagrams get through now. */
    public interface Links {
        boolean pass(int from, int to);

        /** Whether all do, as they mostly will. */
        boolean whole();
    }

    /**
     * @param boundUs how long what is wrong may last
     */
    public FleetAuditor(int members, long boundUs, Links links) {
        this.members = members;
        this.boundUs = boundUs;
        this.links = links;
        this.views = new View[members];
        this.up = new boolean[members];
        this.still = new boolean[members];
        this.left = new boolean[members];
        this.ownSince = new long[members];
    }

    /** The first broken rules, one of a kind for each pair of members. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** All of them. */
    public int breachCount() {
        return count;
    }

    private void breach(Rule rule, long now, int observer, int member, String what) {
        count++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(new Breach(rule, now, observer, member, what));
        }
    }

    // ---- what is so ----------------------------------------------------------------------------------

    /** A process begins; it knows nobody yet. */
    public void began(int member, long now) {
        views[member] = new View(members);
        up[member] = true;
        still[member] = false;
        left[member] = false;
        ownSince[member] = now;
    }

    /** A process is no more. */
    public void ended(int member, long now) {
        up[member] = false;
        ownSince[member] = now;
    }

    /** A process was told to end, and says that it leaves. */
    public void leaves(int member, long now) {
        left[member] = true;
        ownSince[member] = now;
    }

    /** A process stands still, or goes on. */
    public void stands(int member, boolean on, long now) {
        still[member] = on;
        ownSince[member] = now;
    }

    /** Which datagrams get through is not as it was. */
    public void linksChanged(long now) {
        linksSince = now;
    }

    // ---- what they say -------------------------------------------------------------------------------

    /** One said that it believes something else of another than before. */
    public void changed(int observer, Change c) {
        View v = views[observer];
        if (c.number() != v.changes + 1) {
            breach(
                    Rule.OUT_OF_ORDER,
                    c.atUs(),
                    observer,
                    c.member(),
                    "member " + observer + " gave change " + c.number() + " after " + v.changes);
        }
        v.changes = c.number();
        v.digest = c.digest();
        if (c.member() >= members) {
            return;
        }
        long held = v.incarnation[c.member()];
        boolean back = c.incarnation() < held || c.incarnation() == held && c.to().ordinal() < v.state[c.member()];
        if (back) {
            breach(
                    Rule.WENT_BACK,
                    c.atUs(),
                    observer,
                    c.member(),
                    "member " + observer + " believed "
                            + MemberState.values()[v.state[c.member()]].word() + " of " + c.member()
                            + " and now believes " + c.to().word() + " of the same life or an earlier one");
        }
        v.incarnation[c.member()] = c.incarnation();
        v.state[c.member()] = (byte) c.to().ordinal();
    }

    // ---- judging -------------------------------------------------------------------------------------

    /** Looks at all as it is now; to be called every so often, a part of the bound. */
    public void look(long now) {
        group = groups();
        long[] since = new long[members];
        Arrays.setAll(since, m -> Math.max(ownSince[m], linksSince));
        for (int o = 0; o < members; o++) {
            if (!up[o] || still[o] || left[o] || now - since[o] <= boundUs) {
                continue;
            }
            byte[] state = views[o].state;
            for (int m = 0; m < members; m++) {
                if (now - since[m] <= boundUs) {
                    continue;
                }
                boolean there = state[m] == MemberState.ALIVE.ordinal() || state[m] == MemberState.SUSPECTED.ordinal();
                if (group[o] == group[m] && up[m] && !still[m] && !left[m] && !there) {
                    breach(
                            Rule.CALLED_FAILED,
                            now,
                            o,
                            m,
                            "member " + o + " calls " + m + " " + MemberState.values()[state[m]].word());
                } else if (!up[m] && there) {
                    breach(
                            Rule.CALLED_ALIVE,
                            now,
                            o,
                            m,
                            "member " + o + " calls " + m + " " + MemberState.values()[state[m]].word()
                                    + ", which is dead");
                }
            }
        }
        digests(now, since);
    }

    /** Those of one group hold one view, if nothing has changed for any of them, nor for those they know. */
    private void digests(long now, long[] since) {
        if (Arrays.stream(since).max().orElse(0) >= now - boundUs) {
            return;
        }
        int[] first = new int[members + 1];
        Arrays.fill(first, -1);
        for (int m = 0; m < members; m++) {
            if (!up[m] || still[m] || left[m]) {
                continue;
            }
            int g = group[m];
            if (first[g] < 0) {
                first[g] = m;
            } else if (views[m].digest != views[first[g]].digest) {
                breach(
                        Rule.VIEWS_DIFFER,
                        now,
                        first[g],
                        m,
                        "members " + first[g] + " and " + m + " hold different views");
            }
        }
    }

    /** A number for each member; those of one number can reach each other, directly or by others. */
    private int[] groups() {
        int[] of = new int[members];
        if (links.whole()) {
            // All who run are in one group, under a number that is nobody's.
            Arrays.setAll(of, m -> up[m] && !still[m] ? members : m);
            return of;
        }
        boolean[][] reach = new boolean[2][];
        Arrays.fill(of, -1);
        for (int m = 0; m < members; m++) {
            if (of[m] >= 0) {
                continue;
            }
            of[m] = m;
            if (!up[m] || still[m]) {
                continue;
            }
            reach[0] = from(m, true);
            reach[1] = from(m, false);
            for (int k = m + 1; k < members; k++) {
                if (of[k] < 0 && reach[0][k] && reach[1][k]) {
                    of[k] = m;
                }
            }
        }
        return of;
    }

    private boolean[] from(int start, boolean forward) {
        boolean[] seen = new boolean[members];
        int[] stack = new int[members];
        int top = 0;
        stack[top++] = start;
        seen[start] = true;
        while (top > 0) {
            int a = stack[--top];
            for (int b = 0; b < members; b++) {
                if (!seen[b] && up[b] && !still[b] && (forward ? links.pass(a, b) : links.pass(b, a))) {
                    seen[b] = true;
                    stack[top++] = b;
                }
            }
        }
        return seen;
    }
}
