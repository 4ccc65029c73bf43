package mulleinfront.config;

import java.util.random.RandomGenerator;

/**
 * A client proxy's side: watches one control machine at a time, takes a version whole or not at all and never
 * an older one, goes on by the last good one while there is none to hear, and says which it is at.
 *
 * <p>Owned by one event loop, whose time is passed in, in microseconds.
 */
public final class ConfigSubscriber {
    /** Who begins, begins within this. */
    private static final long START_US = 100_000;

    /** What it is doing. */
    public enum State {
        /** Until the next try. */
        WAITING,
        /** A machine was asked and has not answered. */
        ASKING,
        /** A machine has answered and is heard. */
        WATCHING,
        /** For good. */
        ENDED
    }

    /** What it acts by. None of it may block. */
    public interface Actions {
        /**
         * Asks a machine for what changed since a version and for all to come.
         *
         * @param machine its number, from 0
         * @param after the version held; 0: the whole is wanted
         * @param checksum of the version held
         */
        void ask(int machine, long after, long checksum);

        /** Ends the watch that was asked for last. */
        void closeWatch();

        /** A version is in force from now on. */
        void onActiveVersion(Version version);

        /** Says to the machine that is watched which version is in force. */
        void report(long number, long checksum);

        /** Asks for {@link #onTimer} at an instant, in place of the one asked for before. */
        void wakeAt(long us);
    }

    private final SubscriberSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    /** Machines in the order in which this one tries them: those who lose one spread over the others. */
    private final int[] order;

    private Version inForce;
    private long checksum;
    private State state = State.WAITING;
    private int turn;
    /** Tries that came to nothing, one after the other. */
    private int failures;

    private boolean wantsWhole;
    private long heardUs;
    private long askedUs;
    private long nextTryUs;
    private long nextReportUs;
    /** Since when the machine has said that it is behind; below 0: it does not. */
    private long behindSinceUs = -1;
    /** Machines left for being behind, one after the other. */
    private int leftBehind;

    private long wakeUs = Long.MAX_VALUE;

    /** @param kept the last good version, or {@link Version#NONE}; it is in force at once */
    public ConfigSubscriber(SubscriberSettings settings, Version kept, RandomGenerator random, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        this.inForce = kept;
        this.checksum = Checksum.of(kept);
        this.order = new int[settings.machines()];
        for (int i = 0; i < order.length; i++) {
            int j = random.nextInt(i + 1);
            order[i] = order[j];
            order[j] = i;
        }
    }

    /** Begins. */
    public void start(long now) {
        nextTryUs = now + random.nextLong(START_US);
        wake(now);
    }

    /** Ends for good; what is in force stays. */
    public void end() {
        if (state == State.ASKING || state == State.WATCHING) {
            actions.closeWatch();
        }
        state = State.ENDED;
    }

    /** The version in force. */
    public Version activeVersion() {
        return inForce;
    }

    public State state() {
        return state;
    }

    /** The machine that is asked or watched, or will be next. */
    public int machine() {
        return order[turn];
    }

    /** Whether the machine watched has said of itself that it may be behind; then so may this one. */
    public boolean mayBeBehind() {
        return state != State.WATCHING || behindSinceUs >= 0;
    }

    /** Something came of the machine asked: a piece of a line too. */
    public void heard(long now) {
        if (state == State.ASKING) {
            state = State.WATCHING;
            behindSinceUs = -1;
            nextReportUs = now;
        }
        heardUs = now;
        wake(now);
    }

    /** A machine says what it has. */
    public void heartbeat(long now, long newest, boolean inTouch) {
        if (state != State.WATCHING) {
            return;
        }
        if (inTouch && newest >= inForce.number()) {
            behindSinceUs = -1;
            failures = 0;
            leftBehind = 0;
        } else if (behindSinceUs < 0) {
            behindSinceUs = now;
        }
        wake(now);
    }

    /** A difference, whole; it is taken or is nothing. */
    public void difference(long now, Difference difference) {
        if (state != State.WATCHING || difference.to() <= inForce.number()) {
            return;
        }
        try {
            Version taken = difference.on(inForce);
            checksum = difference.checksum();
            inForce = taken;
            wantsWhole = false;
            failures = 0;
        } catch (VersionMismatchException e) {
            // Of this machine, or of the version held: another machine is asked, and for the whole.
            wantsWhole = true;
            actions.closeWatch();
            failed(now);
            return;
        }
        actions.onActiveVersion(inForce);
        if (state == State.WATCHING) {
            report(now);
        }
        wake(now);
    }

    /** The watch ended, was refused or could not be had. */
    public void lost(long now) {
        if (state == State.ASKING || state == State.WATCHING) {
            failed(now);
        }
    }

    /** What was asked for by {@link Actions#wakeAt}. */
    public void onTimer(long now) {
        long late = now - wakeUs;
        wakeUs = Long.MAX_VALUE;
        if (late > settings.silenceUs() / 2) {
            // This process stood still: what came meanwhile is not read yet, and nobody was silent.
            heardUs = now;
            askedUs = now;
            behindSinceUs = behindSinceUs < 0 ? -1 : now;
        }
        switch (state) {
            case WAITING -> {
                if (now >= nextTryUs) {
                    state = State.ASKING;
                    askedUs = now;
                    actions.ask(order[turn], wantsWhole ? 0 : inForce.number(), wantsWhole ? 0 : checksum);
                }
            }
            case ASKING -> {
                if (now >= askedUs + settings.connectUs()) {
                    actions.closeWatch();
                    failed(now);
                }
            }
            case WATCHING -> watch(now);
            case ENDED -> {}
        }
        wake(now);
    }

    private void watch(long now) {
        if (now >= heardUs + settings.silenceUs()) {
            actions.closeWatch();
            failed(now);
        } else if (behindSinceUs >= 0 && now >= behindSinceUs + behindPatience()) {
            leftBehind++;
            actions.closeWatch();
            turn = (turn + 1) % order.length;
            state = State.WAITING;
            nextTryUs = now + random.nextLong(settings.spreadUs());
        } else if (now >= nextReportUs) {
            report(now);
        }
    }

    /** If all that can be had are behind, one of them is as good as the other. */
    private long behindPatience() {
        return leftBehind < order.length ? settings.behindUs() : 5 * settings.behindUs();
    }

    private void report(long now) {
        nextReportUs = now + settings.reportUs();
        actions.report(inForce.number(), checksum);
    }

    private void failed(long now) {
        boolean watched = state == State.WATCHING;
        state = State.WAITING;
        turn = (turn + 1) % order.length;
        failures++;
        long spread;
        if (watched && failures == 1) {
            // Many lose a machine at one moment.
            spread = settings.spreadUs();
        } else if (failures < order.length) {
            spread = settings.spreadUs() / 4;
        } else {
            spread = Math.min(settings.mostRetryUs(), settings.retryUs() << Math.min(10, failures - order.length));
        }
        nextTryUs = now + random.nextLong(spread);
        wake(now);
    }

    private void wake(long now) {
        long at = switch (state) {
            case WAITING -> nextTryUs;
            case ASKING -> askedUs + settings.connectUs();
            case WATCHING ->
                Math.min(
                        Math.min(heardUs + settings.silenceUs(), nextReportUs),
                        behindSinceUs < 0 ? Long.MAX_VALUE : behindSinceUs + behindPatience());
            case ENDED -> Long.MAX_VALUE;
        };
        // Each piece heard puts the instant off: the timer that stands comes early and looks again.
        if (at < wakeUs) {
            wakeUs = Math.max(at, now);
            actions.wakeAt(wakeUs);
        }
    }
}
