package mulleinfront.fleet;

import java.util.BitSet;
import mulleinfront.emulator.FleetRun;
import mulleinfront.settings.Range;

/** Creates fleets on virtual time for tests. */
final class FleetFixtures {
    static final long SECOND_US = 1_000_000;
    static final Range NO_TIME = Range.of(0);

    private FleetFixtures() {}

    static FleetSettings settings(int number, int members) {
        return FleetSettings.defaults("test", "n" + number, number, members, SECOND_US, 600 * SECOND_US);
    }

    /** A fleet whose members have not started. */
    static FleetRun fleet(int members, long seed) {
        return FleetRun.alone(members, seed, i -> settings(i, members));
    }

    /** A fleet whose members started within a second and have converged. */
    static FleetRun convergedFleet(int members, long seed) {
        return converge(fleet(members, seed));
    }

    static FleetRun converge(FleetRun run) {
        for (int i = 0; i < run.members(); i++) {
            int number = i;
            run.after(SECOND_US * i / run.members(), () -> run.start(number));
        }
        run.run(20 * SECOND_US);
        return run;
    }

    static BitSet members(int from, int to) {
        BitSet set = new BitSet();
        set.set(from, to);
        return set;
    }

    static BitSet only(int member) {
        return members(member, member + 1);
    }

    /** Time within which the members must agree on a change. */
    static long convergenceBoundUs(int members) {
        return settings(0, members).convergenceBoundUs(members);
    }
}
