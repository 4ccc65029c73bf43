package mulleinfront.keep;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/**
 * The state machine: each decided proposal makes the next version. Without I/O, clock or chance, so that
 * every keeper that applies the same proposals in the same order holds the same.
 *
 * <p>Held are at most {@value #VERSIONS} versions of {@value #HISTORY_BYTES} bytes in all (the newest
 * always), the ids of the last {@value #DECIDED} decided proposals and of the last {@value #REFUSED} refused
 * ones. An id that comes again after as many others have gone by is taken for a new one: whoever repeats does
 * so within seconds.
 */
final class Register {
    /** Versions held for differences and history. */
    static final int VERSIONS = 256;
    /** Bytes of all versions held, as {@link #size} counts them. */
    static final long HISTORY_BYTES = 8L << 20;
    /** Ids of decided proposals held. */
    static final int DECIDED = 4096;
    /** Ids of refused proposals held. */
    static final int REFUSED = 1024;
    /** Bytes of one version at most, as {@link #size} counts them. */
    static final int VERSION_BYTES = 256 << 10;
    /** Characters of a proposal's id at most. */
    static final int ID_CHARS = 100;
    /** Characters of a proposal's reason at most. */
    static final int WHY_CHARS = 500;

    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final Map<String, Long> decided = new LinkedHashMap<>();
    private final Map<String, VersionLog.ProposalResult> refused = new LinkedHashMap<>();
    private long bytes;

    /** @return why a proposal can be in no version, one line; null if it can */
    static String check(Proposal proposal) {
        if (proposal.id().isBlank() || proposal.id().length() > ID_CHARS) {
            return "id has to have 1 to " + ID_CHARS + " characters";
        }
        if (proposal.why().length() > WHY_CHARS || proposal.why().chars().anyMatch(c -> c < ' ')) {
            return "why has to be one line of at most " + WHY_CHARS + " characters";
        }
        long size = size(proposal.entries(), proposal.why());
        return size <= VERSION_BYTES ? null : "is " + size + " bytes, at most " + VERSION_BYTES + " are taken";
    }

    /** Bytes that a version is counted as: its text in UTF-16, and a fixed part for each entry. */
    private static long size(Map<String, String> entries, String why) {
        long size = 64 + 2L * why.length();
        for (Map.Entry<String, String> e : entries.entrySet()) {
            size += 16 + 2L * (e.getKey().length() + e.getValue().length());
        }
        return size;
    }

    /** Decides on a proposal; the same id gets the same answer again. */
    VersionLog.ProposalResult apply(Proposal proposal) {
        Long number = decided.get(proposal.id());
        if (number != null) {
            Version held = at(number);
            return held == null || held.entries().equals(proposal.entries())
                    ? new VersionLog.ProposalResult(VersionLog.ProposalOutcome.DECIDED, number, "")
                    : new VersionLog.ProposalResult(
                            VersionLog.ProposalOutcome.REFUSED,
                            number,
                            "the id " + proposal.id() + " was given to version " + number
                                    + ", which has other entries");
        }
        VersionLog.ProposalResult before = refused.get(proposal.id());
        if (before != null) {
            return before;
        }
        String wrong = check(proposal);
        if (wrong == null && proposal.basedOn() >= 0 && proposal.basedOn() != newest().number()) {
            wrong = "based on version " + proposal.basedOn() + ", the newest is " + newest().number();
        }
        if (wrong != null) {
            VersionLog.ProposalResult answer =
                    new VersionLog.ProposalResult(VersionLog.ProposalOutcome.REFUSED, newest().number(), wrong);
            // One that no keeper may hold is refused before it is in the log; its id isn't worth the room.
            if (proposal.id().length() <= ID_CHARS) {
                remember(refused, proposal.id(), answer, REFUSED);
            }
            return answer;
        }
        Version version = new Version(newest().number() + 1, proposal.entries(), proposal.why(), proposal.atMillis());
        hold(version);
        remember(decided, proposal.id(), version.number(), DECIDED);
        return new VersionLog.ProposalResult(VersionLog.ProposalOutcome.DECIDED, version.number(), "");
    }

    private void hold(Version version) {
        versions.addLast(version);
        bytes += size(version.entries(), version.why());
        while (versions.size() > 1 && (versions.size() > VERSIONS || bytes > HISTORY_BYTES)) {
            Version oldest = versions.removeFirst();
            bytes -= size(oldest.entries(), oldest.why());
        }
    }

    private static <V> void remember(Map<String, V> memory, String id, V what, int most) {
        memory.put(id, what);
        if (memory.size() > most) {
            Iterator<String> ids = memory.keySet().iterator();
            ids.next();
            ids.remove();
        }
    }

    Version newest() {
        return versions.isEmpty() ? Version.NONE : versions.getLast();
    }

    /** @return that version, or null if it is not held; 0 is held until there is another */
    Version at(long number) {
        if (versions.isEmpty()) {
            return number == 0 ? Version.NONE : null;
        }
        if (number < versions.getFirst().number() || number > newest().number()) {
            return null;
        }
        for (Version v : versions) {
            if (v.number() == number) {
                return v;
            }
        }
        return null;
    }

    /** Versions held that are newer than one, in order. */
    List<Version> after(long number) {
        List<Version> newer = new ArrayList<>();
        for (Version v : versions) {
            if (v.number() > number) {
                newer.add(v);
            }
        }
        return newer;
    }

    /** All that is held, in parts of some {@value Codec#PART_BYTES} bytes; the same for the same contents. */
    List<byte[]> save() {
        return Codec.parts(versions, decided, refused);
    }

    /**
     * What was saved.
     *
     * @throws IllegalArgumentException if it isn't whole
     */
    static Register load(List<byte[]> parts) {
        Register register = new Register();
        Codec.load(parts, register::hold, register.decided, register.refused);
        return register;
    }
}
