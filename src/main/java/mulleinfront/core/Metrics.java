package mulleinfront.core;

import mulleinfront.Balancer.Outcome;

/** Counters of one client proxy: requests, attempts, connections and discovery calls. */
public final class Metrics {
    /** How a request got its final answer, or why it requires none. */
    public enum Answer {
        SERVED,
        /** Refused on arrival because too little time was left for an attempt. */
        REFUSED_NO_TIME,
        REFUSED_UNSENT,
        REFUSED_AFTER_ATTEMPT,
        FAILED,
        /** The deadline timer fired before the balancer had ended the request. */
        TIME_UP,
        /** A streamed response went on beyond its deadline and was cut off. */
        CUT_OFF,
        /** A streamed response broke off at its endpoint. */
        BROKEN_OFF,
        CLIENT_GONE
    }

    /** Why a connection was closed. */
    public enum Close {
        /** The connection was idle for too long, or its client sent nothing for too long. */
        IDLE,
        /** The peer closed or reset the connection. */
        BY_PEER,
        /** The client closed right behind a long request, whose attempt had started: it was broken off. */
        BEHIND_BODY,
        /** The endpoint drains, was removed, or has a new address. */
        ENDPOINT_LEFT,
        /** The last message announced the close, or could not be read to its end. */
        NOT_REUSABLE,
        /** The limit of connections or idle connections was reached, and another connection needed the slot. */
        NO_ROOM,
        /** The attempt on the connection was cancelled or timed out. */
        ATTEMPT_ENDED,
        /** The message on the connection made no progress. */
        STALLED,
        /** The process shuts down. */
        SHUTDOWN,
        ERROR
    }

    /** Events of discovery calls and of the watches that they open. */
    public enum Discovery {
        CALL,
        LIST,
        CALL_FAILED,
        WATCH_LOST,
        /** The current list expired before it was renewed. */
        LIST_OVERDUE
    }

    /** Why the proxy itself answered a client's request with an error, before the request was accepted. */
    public enum ClientError {
        /** The connection held more than its share of the memory. */
        MEMORY,
        /** The request could not be read, or the protocol does not allow it. */
        UNREADABLE,
        /** The rest of the request did not arrive in time. */
        TIMED_OUT
    }

    /** Checks of the invariants: actions that were prevented, and violations. */
    public final RuleGuard ruleGuard = new RuleGuard();

    public final EnumCounts<Answer> answers = new EnumCounts<>(Answer.class);
    /** Attempts by outcome. */
    public final EnumCounts<Outcome> attempts = new EnumCounts<>(Outcome.class);
    /** Retries by outcome of the attempt before. */
    public final EnumCounts<Outcome> retries = new EnumCounts<>(Outcome.class);

    public final EnumCounts<Close> clientCloses = new EnumCounts<>(Close.class);
    public final EnumCounts<Close> endpointCloses = new EnumCounts<>(Close.class);
    public final EnumCounts<ClientError> clientErrors = new EnumCounts<>(ClientError.class);
    public final EnumCounts<Discovery> discovery = new EnumCounts<>(Discovery.class);

    /** Returns all counters above 0 on one line, such as {@code answers.served=12 retries.reset=1}. */
    public String summary() {
        StringBuilder out = new StringBuilder();
        answers.appendTo(out, "answers");
        attempts.appendTo(out, "attempts");
        retries.appendTo(out, "retries");
        clientCloses.appendTo(out, "client_closes");
        endpointCloses.appendTo(out, "endpoint_closes");
        clientErrors.appendTo(out, "client_errors");
        discovery.appendTo(out, "discovery");
        ruleGuard.appendTo(out);
        return out.length() == 0 ? "none" : out.substring(1);
    }
}
