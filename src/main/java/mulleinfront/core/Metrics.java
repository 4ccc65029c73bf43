package mulleinfront.core;

import mulleinfront.Balancer.Outcome;

/** What one client proxy counts of its own work: requests, attempts, connections and calls to discovery. */
public final class Metrics {
    /** How a request got its final answer, or why it needs none. */
    public enum Answer {
        SERVED,
        /** There was too little time left for an attempt when it came. */
        REFUSED_NO_TIME,
        REFUSED_UNSENT,
        REFUSED_AFTER_ATTEMPT,
        FAILED,
        /** Its time was up before the decision module had ended it. */
        TIME_UP,
        CLIENT_GONE
    }

    /** Why a connection was closed. */
    public enum Close {
        /** It was idle for long, or its client was quiet for long. */
        IDLE,
        /** The other side had closed or reset it. */
        BY_PEER,
        /** The endpoint drains, is gone, or is reached elsewhere now. */
        ENDPOINT_LEFT,
        /** Its last message said so, or could not be read to its end. */
        NOT_REUSABLE,
        /** Others need its place. */
        NO_ROOM,
        /** Its attempt was given up. */
        ATTEMPT_ENDED,
        /** The message on it does not go on. */
        STALLED,
        /** The process ends. */
        SHUTDOWN,
        ERROR
    }

    /** What became of calls to discovery and of the watches that came of them. */
    public enum Discovery {
        CALL,
        LIST,
        CALL_FAILED,
        WATCH_LOST,
        /** The list held had to be renewed by then, and was not. */
        LIST_OVERDUE
    }

    /** Checks of the rules: what was prevented, and what was broken all the same. */
    public final RuleGuard guard = new RuleGuard();

    public final EnumCounts<Answer> answers = new EnumCounts<>(Answer.class);
    /** Attempts, by how they ended. */
    public final EnumCounts<Outcome> attempts = new EnumCounts<>(Outcome.class);
    /** Further attempts, by how the one before had ended. */
    public final EnumCounts<Outcome> retries = new EnumCounts<>(Outcome.class);

    public final EnumCounts<Close> clientCloses = new EnumCounts<>(Close.class);
    public final EnumCounts<Close> endpointCloses = new EnumCounts<>(Close.class);
    public final EnumCounts<Discovery> discovery = new EnumCounts<>(Discovery.class);

    /** All that is not 0 in one line, such as {@code answers.served=12 retries.reset=1}. */
    public String summary() {
        StringBuilder out = new StringBuilder();
        answers.appendTo(out, "answers");
        attempts.appendTo(out, "attempts");
        retries.appendTo(out, "retries");
        clientCloses.appendTo(out, "client_closes");
        endpointCloses.appendTo(out, "endpoint_closes");
        discovery.appendTo(out, "discovery");
        guard.appendTo(out);
        return out.length() == 0 ? "none" : out.substring(1);
    }
}
