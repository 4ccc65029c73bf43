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
 * The replicated state machine: each accepted proposal becomes the next configuration version. It is
 * deterministic (no I/O, clock or random source), so that all replicas that apply the same proposals in the same
 * order have the same state.
 *
 * <p>It keeps at most {@value #MAX_VERSIONS} versions with at most {@value #MAX_HISTORY_BYTES} bytes in total (the
 * newest version always), the ids of the last {@value #MAX_ACCEPTED_IDS} accepted proposals, and the results of the
 * last {@value #MAX_REFUSED_IDS} refused ones. A proposal repeated after its id has been evicted counts as new;
 * proposers repeat a proposal within seconds, long before that.
 */
final class ConfigStateMachine {
    /** Maximum number of versions kept for deltas and history. */
    static final int MAX_VERSIONS = 256;
    /** Maximum total size of the versions kept, as computed by {@link #size}. */
    static final long MAX_HISTORY_BYTES = 8L << 20;
    /** Maximum number of ids of accepted proposals kept. */
    static final int MAX_ACCEPTED_IDS = 4096;
    /** Maximum number of ids of refused proposals kept. */
    static final int MAX_REFUSED_IDS = 1024;
    /** Maximum size of one version, as computed by {@link #size}. */
    static final int MAX_VERSION_BYTES = 256 << 10;
    /** Maximum length of a proposal's id. */
    static final int MAX_ID_CHARS = 100;
    /** Maximum length of a proposal's reason. */
    static final int MAX_REASON_CHARS = 500;

    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final Map<String, Long> versionNumbersById = new LinkedHashMap<>();
    private final Map<String, VersionLog.ProposalResult> refusedResultsById = new LinkedHashMap<>();
    private long historyBytes;

    /** @return why a proposal is invalid, in one line; null if it is valid */
    static String validate(Proposal proposal) {
        if (proposal.id().isBlank() || proposal.id().length() > MAX_ID_CHARS) {
            return "id has to have 1 to " + MAX_ID_CHARS + " characters";
        }
        if (proposal.description().length() > MAX_REASON_CHARS
                || proposal.description().chars().anyMatch(c -> c < ' ')) {
            return "why has to be one line of at most " + MAX_REASON_CHARS + " characters";
        }
        long size = size(proposal.entries(), proposal.description());
        return size <= MAX_VERSION_BYTES ? null : "is " + size + " bytes, at most " + MAX_VERSION_BYTES + " are taken";
    }

    /** Size in bytes: the text in UTF-16, plus a fixed overhead for the version and for each entry. */
    private static long size(Map<String, String> entries, String description) {
        long size = 64 + 2L * description.length();
        for (Map.Entry<String, String> e : entries.entrySet()) {
            size += 16 + 2L * (e.getKey().length() + e.getValue().length());
        }
        return size;
    }

    /** Accepts or refuses a committed proposal; a repeated id gets the result of its first proposal. */
    VersionLog.ProposalResult apply(Proposal proposal) {
        Long number = versionNumbersById.get(proposal.id());
        if (number != null) {
            Version acceptedVersion = at(number);
            return acceptedVersion == null || acceptedVersion.entries().equals(proposal.entries())
                    ? new VersionLog.ProposalResult(VersionLog.ProposalOutcome.DECIDED, number, "")
                    : new VersionLog.ProposalResult(
                            VersionLog.ProposalOutcome.REFUSED,
                            number,
                            "the id " + proposal.id() + " was given to version " + number
                                    + ", which has other entries");
        }
        VersionLog.ProposalResult earlierResult = refusedResultsById.get(proposal.id());
        if (earlierResult != null) {
            return earlierResult;
        }
        String problem = validate(proposal);
        if (problem == null && proposal.baseVersion() >= 0 && proposal.baseVersion() != newest().number()) {
            problem = "based on version " + proposal.baseVersion() + ", the newest is " + newest().number();
        }
        if (problem != null) {
            VersionLog.ProposalResult result =
                    new VersionLog.ProposalResult(VersionLog.ProposalOutcome.REFUSED, newest().number(), problem);
            // An id that is too long is not remembered: such a proposal is refused before it gets into the log.
            if (proposal.id().length() <= MAX_ID_CHARS) {
                putBounded(refusedResultsById, proposal.id(), result, MAX_REFUSED_IDS);
            }
            return result;
        }
        Version version =
                new Version(newest().number() + 1, proposal.entries(), proposal.description(), proposal.proposedAtMs());
        addVersion(version);
        putBounded(versionNumbersById, proposal.id(), version.number(), MAX_ACCEPTED_IDS);
        return new VersionLog.ProposalResult(VersionLog.ProposalOutcome.DECIDED, version.number(), "");
    }

    private void addVersion(Version version) {
        versions.addLast(version);
        historyBytes += size(version.entries(), version.description());
        while (versions.size() > 1 && (versions.size() > MAX_VERSIONS || historyBytes > MAX_HISTORY_BYTES)) {
            Version oldest = versions.removeFirst();
            historyBytes -= size(oldest.entries(), oldest.description());
        }
    }

    private static <V> void putBounded(Map<String, V> valuesById, String id, V value, int maxEntries) {
        valuesById.put(id, value);
        if (valuesById.size() > maxEntries) {
            Iterator<String> ids = valuesById.keySet().iterator();
            ids.next();
            ids.remove();
        }
    }

    Version newest() {
        return versions.isEmpty() ? Version.NONE : versions.getLast();
    }

    /** @return that version, or null if it is not kept; version 0 exists until version 1 is added */
    Version at(long number) {
        if (versions.isEmpty()) {
            return number == 0 ? Version.NONE : null;
        }
        if (number < versions.getFirst().number() || number > newest().number()) {
            return null;
        }
        for (Version version : versions) {
            if (version.number() == number) {
                return version;
            }
        }
        return null;
    }

    /** The kept versions with a greater number, in order. */
    List<Version> versionsAfter(long number) {
        List<Version> newer = new ArrayList<>();
        for (Version version : versions) {
            if (version.number() > number) {
                newer.add(version);
            }
        }
        return newer;
    }

    /**
     * Encodes the whole state in parts of about {@value Codec#SNAPSHOT_PART_BYTES} bytes; equal states give equal
     * parts.
     */
    List<byte[]> encodeSnapshot() {
        return Codec.encodeSnapshot(versions, versionNumbersById, refusedResultsById);
    }

    /**
     * Decodes a snapshot.
     *
     * @throws IllegalArgumentException if the snapshot is incomplete or damaged
     */
    static ConfigStateMachine decodeSnapshot(List<byte[]> parts) {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        Codec.decodeSnapshot(
                parts, stateMachine::addVersion, stateMachine.versionNumbersById, stateMachine.refusedResultsById);
        return stateMachine;
    }
}
