package mulleinfront.fleet;

import java.util.BitSet;
import mulleinfront.emulator.FleetRun;
import mulleinfront.settings.Range;

/** Fleets on virtual time, as tests need them. */
final class Rounds {
    static final long S = 1_000_000;
    static final Range NO_TIME = Range.of(0);

    private Rounds() {}

    static FleetSettings settings(int number, int members) {
        return FleetSettings.defaults("test", "n" + number, number, members, S, 600 * S);
    }

    /** Members that have not started. */
    static FleetRun fleet(int members, long seed) {
        return FleetRun.alone(members, seed, i -> settings(i, members));
    }

    /** Members that started within a second and know each other. */
    static FleetRun settled(int members, long seed) {
        return settle(fleet(members, seed));
    }

    static FleetRun settle(FleetRun run) {
        for (int i = 0; i < run.members(); i++) {
            int number = i;
            run.after(S * i / run.members(), () -> run.start(number));
        }
        run.run(20 * S);
        return run;
    }

    static BitSet members(int from, int to) {
        BitSet set = new BitSet();
        set.set(from, to);
        return set;
    }

    static BitSet one(int member) {
        return members(member, member + 1);
    }

    /** How long what is wrong may last. */
    static long bound(int members) {
        return settings(0, members).convergenceBoundUs(members);
    }
}
