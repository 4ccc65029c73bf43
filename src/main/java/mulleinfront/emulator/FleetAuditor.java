package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.MemberState;

/**
 * Checks the states that the members of a fleet report of each other against the true ones: on virtual time and, from
 * event logs, on processes. It never reads a member's internal state.
 *
 * <p>A wrong state is a violation once it has lasted for the stated bound, with nothing changed in that time for the
 * members concerned: none of their processes started, ended, paused or resumed, and no network partition began or
 * ended in the whole fleet.
 */
public final class FleetAuditor {
    private static final int MAX_RECORDED_BREACHES = 100;

    /** Rules that the auditor checks. */
    public enum Rule {
        /** A reachable member is recorded as failed for longer than the bound. */
        CALLED_FAILED("a member in reach is called failed"),
        /** A dead member is recorded as alive for longer than the bound. */
        CALLED_ALIVE("a dead member is called alive"),
        /** Members that reach one another have different views for longer than the bound. */
        VIEWS_DIFFER("views of members in reach of one another differ"),
        /** A recorded state went back to an earlier incarnation, or to an earlier state of the same incarnation. */
        WENT_BACK("a belief went back"),
        /** Changes are not numbered consecutively. */
        OUT_OF_ORDER("changes are out of order");

        private final String description;

        Rule(String description) {
            this.description = description;
        }

        /** Description of the rule's violation. */
        public String description() {
            return description;
        }
    }

    /** A violation of a rule: the observer, the member that the wrong state is about, and a description. */
    public record Breach(Rule rule, long atUs, int observer, int member, String description) {
        @Override
        public String toString() {
            return "rule broken: " + rule.description() + ": " + description + ", at "
                    + String.format(Locale.ROOT, "%.3f", atUs / 1e6) + " s";
        }
    }

    /** The states that one process reported of all members. */
    private static final class ReportedView {
        private final byte[] state;
        private final long[] incarnation;
        private long changes;
        private long digest;

        ReportedView(int members) {
            this.state = new byte[members];
            this.incarnation = new long[members];
        }
    }

    private final int members;
    private final long boundUs;
    private final ReportedView[] views;
    private final boolean[] running;
    private final boolean[] paused;
    private final boolean[] leaving;
    private final long[] memberChangedAtUs;
    private final LinkState links;
    private long linksChangedAtUs;
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    private int[] groupOf;

    /** Which datagrams are delivered now. */
    public interface LinkState {
        boolean passes(int from, int to);

        /** Whether all datagrams are delivered: no partition is active, the usual case. */
        boolean fullyConnected();
    }

    /**
     * @param boundUs longest time that a wrong state may last
     */
    public FleetAuditor(int members, long boundUs, LinkState links) {
        this.members = members;
        this.boundUs = boundUs;
        this.links = links;
        this.views = new ReportedView[members];
        this.running = new boolean[members];
        this.paused = new boolean[members];
        this.leaving = new boolean[members];
        this.memberChangedAtUs = new long[members];
    }

    /** The first violations, at most 100. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Number of all violations. */
    public int breachCount() {
        return breachCount;
    }

    private void addBreach(Rule rule, long now, int observer, int member, String description) {
        breachCount++;
        if (breaches.size() < MAX_RECORDED_BREACHES) {
            breaches.add(new Breach(rule, now, observer, member, description));
        }
    }

    // ---- true state ----------------------------------------------------------------------------------

    /** A process starts; it knows no other member yet. */
    public void started(int member, long now) {
        views[member] = new ReportedView(members);
        running[member] = true;
        paused[member] = false;
        leaving[member] = false;
        memberChangedAtUs[member] = now;
    }

    /** A process has ended. */
    public void ended(int member, long now) {
        running[member] = false;
        memberChangedAtUs[member] = now;
    }

    /** A process is shutting down and announces that it leaves. */
    public void leaves(int member, long now) {
        leaving[member] = true;
        memberChangedAtUs[member] = now;
    }

    /** A process is paused or resumes. */
    public void pauseChanged(int member, boolean on, long now) {
        paused[member] = on;
        memberChangedAtUs[member] = now;
    }

    /** A network partition began or ended. */
    public void linksChanged(long now) {
        linksChangedAtUs = now;
    }

    // ---- reports of members --------------------------------------------------------------------------

    /** An observer reported a change of the state that it records for a member. */
    public void changed(int observer, Change change) {
        ReportedView view = views[observer];
        if (change.number() != view.changes + 1) {
            addBreach(
                    Rule.OUT_OF_ORDER,
                    change.atUs(),
                    observer,
                    change.member(),
                    "member " + observer + " gave change " + change.number() + " after " + view.changes);
        }
        view.changes = change.number();
        view.digest = change.digest();
        if (change.member() >= members) {
            return;
        }
        long incarnation = view.incarnation[change.member()];
        boolean wentBack = change.incarnation() < incarnation
                || change.incarnation() == incarnation && change.to().ordinal() < view.state[change.member()];
        if (wentBack) {
            addBreach(
                    Rule.WENT_BACK,
                    change.atUs(),
                    observer,
                    change.member(),
                    "member " + observer + " believed "
                            + MemberState.values()[view.state[change.member()]].outputName() + " of " + change.member()
                            + " and now believes " + change.to().outputName() + " of the same life or an earlier one");
        }
        view.incarnation[change.member()] = change.incarnation();
        view.state[change.member()] = (byte) change.to().ordinal();
    }

    // ---- checks --------------------------------------------------------------------------------------

    /** Checks the present states; to be called periodically, several times per bound. */
    public void check(long now) {
        groupOf = reachabilityGroups();
        long[] changedAt = new long[members];
        Arrays.setAll(changedAt, member -> Math.max(memberChangedAtUs[member], linksChangedAtUs));
        for (int observer = 0; observer < members; observer++) {
            if (!running[observer] || paused[observer] || leaving[observer] || now - changedAt[observer] <= boundUs) {
                continue;
            }
            byte[] state = views[observer].state;
            for (int member = 0; member < members; member++) {
                if (now - changedAt[member] <= boundUs) {
                    continue;
                }
                boolean recordedPresent = state[member] == MemberState.ALIVE.ordinal()
                        || state[member] == MemberState.SUSPECTED.ordinal();
                if (groupOf[observer] == groupOf[member]
                        && running[member]
                        && !paused[member]
                        && !leaving[member]
                        && !recordedPresent) {
                    addBreach(
                            Rule.CALLED_FAILED,
                            now,
                            observer,
                            member,
                            "member " + observer + " calls " + member + " "
                                    + MemberState.values()[state[member]].outputName());
                } else if (!running[member] && recordedPresent) {
                    addBreach(
                            Rule.CALLED_ALIVE,
                            now,
                            observer,
                            member,
                            "member " + observer + " calls " + member + " "
                                    + MemberState.values()[state[member]].outputName() + ", which is dead");
                }
            }
        }
        checkViewsAgree(now, changedAt);
    }

    /** Checks that members of one group have the same view, if nothing has changed in the fleet for the bound. */
    private void checkViewsAgree(long now, long[] changedAt) {
        if (Arrays.stream(changedAt).max().orElse(0) >= now - boundUs) {
            return;
        }
        int[] first = new int[members + 1];
        Arrays.fill(first, -1);
        for (int member = 0; member < members; member++) {
            if (!running[member] || paused[member] || leaving[member]) {
                continue;
            }
            int group = groupOf[member];
            if (first[group] < 0) {
                first[group] = member;
            } else if (views[member].digest != views[first[group]].digest) {
                addBreach(
                        Rule.VIEWS_DIFFER,
                        now,
                        first[group],
                        member,
                        "members " + first[group] + " and " + member + " hold different views");
            }
        }
    }

    /** Group number of each member; members of one group reach each other, directly or through other members. */
    private int[] reachabilityGroups() {
        int[] groups = new int[members];
        if (links.fullyConnected()) {
            // All running members are in one group, whose number is no member's number.
            Arrays.setAll(groups, m -> running[m] && !paused[m] ? members : m);
            return groups;
        }
        boolean[][] reach = new boolean[2][];
        Arrays.fill(groups, -1);
        for (int member = 0; member < members; member++) {
            if (groups[member] >= 0) {
                continue;
            }
            groups[member] = member;
            if (!running[member] || paused[member]) {
                continue;
            }
            reach[0] = reachableFrom(member, true);
            reach[1] = reachableFrom(member, false);
            for (int other = member + 1; other < members; other++) {
                if (groups[other] < 0 && reach[0][other] && reach[1][other]) {
                    groups[other] = member;
                }
            }
        }
        return groups;
    }

    private boolean[] reachableFrom(int start, boolean forward) {
        boolean[] seen = new boolean[members];
        int[] stack = new int[members];
        int top = 0;
        stack[top++] = start;
        seen[start] = true;
        while (top > 0) {
            int current = stack[--top];
            for (int next = 0; next < members; next++) {
                if (!seen[next]
                        && running[next]
                        && !paused[next]
                        && (forward ? links.passes(current, next) : links.passes(next, current))) {
                    seen[next] = true;
                    stack[top++] = next;
                }
            }
        }
        return seen;
    }
}
