package mulleinfront.keep;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/**
 * Encodes Raft messages, log entries and snapshots to bytes, for the network and the disk, and decodes them. The
 * fields of the library's model interfaces are written in a fixed order by a {@link DataOutputStream}, after a
 * format version. Decoding checks the lengths of strings and lists against the bytes that remain before it
 * allocates memory for them.
 */
final class Codec {
    /** Id of the Raft group; a fleet has one group. */
    static final String GROUP_ID = "configuration";
    /** Approximate size of a snapshot part: a part ends with the version that reaches this size. */
    static final int SNAPSHOT_PART_BYTES = 1 << 20;

    private static final int FORMAT_VERSION = 1;
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /** Message types; the ordinal is the type number on the wire. */
    private enum MessageType {
        APPEND,
        APPEND_SUCCESS,
        APPEND_FAILURE,
        INSTALL,
        INSTALL_RESPONSE,
        PRE_VOTE,
        PRE_VOTE_RESPONSE,
        VOTE,
        VOTE_RESPONSE,
        TRIGGER_ELECTION
    }

    /** Operation types; the ordinal is the type number on the wire and in the log. */
    private enum OperationType {
        TERM_START,
        CHANGE,
        PART
    }

    /** Writes one value to a stream; the exception never occurs, because the stream writes to memory. */
    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads one value from a stream. */
    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private Codec() {}

    private static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(FORMAT_VERSION);
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> T decode(byte[] bytes, Reader<T> reader) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
            int format = in.readUnsignedByte();
            if (format != FORMAT_VERSION) {
                throw new IllegalArgumentException("unknown format version " + format + ", expected " + FORMAT_VERSION);
            }
            T value = reader.read(in);
            if (in.available() > 0) {
                throw new IllegalArgumentException(in.available() + " extra bytes at the end");
            }
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException("truncated", e);
        }
    }

    // ---- messages

    static byte[] encodeMessage(RaftMessage message) {
        return encode(out -> {
            if (message instanceof AppendEntriesRequest request) {
                writeHeader(out, MessageType.APPEND, request);
                out.writeInt(request.getPreviousLogTerm());
                out.writeLong(request.getPreviousLogIndex());
                out.writeLong(request.getCommitIndex());
                out.writeInt(request.getLogEntries().size());
                for (LogEntry entry : request.getLogEntries()) {
                    writeEntry(out, entry);
                }
                writeSequenceNumbers(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
            } else if (message instanceof AppendEntriesSuccessResponse response) {
                writeHeader(out, MessageType.APPEND_SUCCESS, response);
                out.writeLong(response.getLastLogIndex());
                writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
            } else if (message instanceof AppendEntriesFailureResponse response) {
                writeHeader(out, MessageType.APPEND_FAILURE, response);
                out.writeLong(response.getExpectedNextIndex());
                writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
            } else if (message instanceof InstallSnapshotRequest request) {
                writeHeader(out, MessageType.INSTALL, request);
                out.writeBoolean(request.isSenderLeader());
                out.writeInt(request.getSnapshotTerm());
                out.writeLong(request.getSnapshotIndex());
                out.writeInt(request.getTotalSnapshotChunkCount());
                out.writeBoolean(request.getSnapshotChunk() != null);
                if (request.getSnapshotChunk() != null) {
                    writeChunk(out, request.getSnapshotChunk());
                }
                writeEndpoints(out, request.getSnapshottedMembers());
                writeMembers(out, request.getGroupMembersView());
                writeSequenceNumbers(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
            } else if (message instanceof InstallSnapshotResponse response) {
                writeHeader(out, MessageType.INSTALL_RESPONSE, response);
                out.writeLong(response.getSnapshotIndex());
                out.writeInt(response.getRequestedSnapshotChunkIndex());
                writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
            } else if (message instanceof PreVoteRequest request) {
                writeHeader(out, MessageType.PRE_VOTE, request);
                out.writeInt(request.getLastLogTerm());
                out.writeLong(request.getLastLogIndex());
            } else if (message instanceof PreVoteResponse response) {
                writeHeader(out, MessageType.PRE_VOTE_RESPONSE, response);
                out.writeBoolean(response.isGranted());
            } else if (message instanceof VoteRequest request) {
                writeHeader(out, MessageType.VOTE, request);
                out.writeInt(request.getLastLogTerm());
                out.writeLong(request.getLastLogIndex());
                out.writeBoolean(request.isSticky());
            } else if (message instanceof VoteResponse response) {
                writeHeader(out, MessageType.VOTE_RESPONSE, response);
                out.writeBoolean(response.isGranted());
            } else if (message instanceof TriggerLeaderElectionRequest request) {
                writeHeader(out, MessageType.TRIGGER_ELECTION, request);
                out.writeInt(request.getLastLogTerm());
                out.writeLong(request.getLastLogIndex());
            } else {
                throw new IllegalArgumentException("unsupported message: " + message);
            }
        });
    }

    private static void writeHeader(DataOutputStream out, MessageType type, RaftMessage message) throws IOException {
        out.writeByte(type.ordinal());
        writeText(out, (String) message.getSender().getId());
        out.writeInt(message.getTerm());
    }

    private static void writeSequenceNumbers(DataOutputStream out, long querySequence, long flowControlSequence)
            throws IOException {
        out.writeLong(querySequence);
        out.writeLong(flowControlSequence);
    }

    /** @throws IllegalArgumentException if the bytes are not exactly one valid message */
    static RaftMessage decodeMessage(byte[] bytes) {
        return decode(bytes, in -> {
            MessageType type = constantAt(MessageType.values(), in.readUnsignedByte());
            RaftEndpoint sender = new ReplicaEndpoint(readText(in));
            int term = nonNegative(in.readInt());
            return switch (type) {
                case APPEND ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setPreviousLogTerm(nonNegative(in.readInt()))
                            .setPreviousLogIndex(nonNegative(in.readLong()))
                            .setCommitIndex(nonNegative(in.readLong()))
                            .setLogEntries(readEntries(in))
                            .setQuerySequenceNumber(nonNegative(in.readLong()))
                            .setFlowControlSequenceNumber(nonNegative(in.readLong()))
                            .build();
                case APPEND_SUCCESS ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(nonNegative(in.readLong()))
                            .setQuerySequenceNumber(nonNegative(in.readLong()))
                            .setFlowControlSequenceNumber(nonNegative(in.readLong()))
                            .build();
                case APPEND_FAILURE ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(nonNegative(in.readLong()))
                            .setQuerySequenceNumber(nonNegative(in.readLong()))
                            .setFlowControlSequenceNumber(nonNegative(in.readLong()))
                            .build();
                case INSTALL ->
                    MODEL.createInstallSnapshotRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(in.readBoolean())
                            .setSnapshotTerm(nonNegative(in.readInt()))
                            .setSnapshotIndex(nonNegative(in.readLong()))
                            .setTotalSnapshotChunkCount(nonNegative(in.readInt()))
                            .setSnapshotChunk(in.readBoolean() ? readChunk(in) : null)
                            .setSnapshottedMembers(readEndpoints(in))
                            .setGroupMembersView(readMembers(in))
                            .setQuerySequenceNumber(nonNegative(in.readLong()))
                            .setFlowControlSequenceNumber(nonNegative(in.readLong()))
                            .build();
                case INSTALL_RESPONSE ->
                    MODEL.createInstallSnapshotResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(nonNegative(in.readLong()))
                            .setRequestedSnapshotChunkIndex(nonNegative(in.readInt()))
                            .setQuerySequenceNumber(nonNegative(in.readLong()))
                            .setFlowControlSequenceNumber(nonNegative(in.readLong()))
                            .build();
                case PRE_VOTE ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(nonNegative(in.readInt()))
                            .setLastLogIndex(nonNegative(in.readLong()))
                            .build();
                case PRE_VOTE_RESPONSE ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(in.readBoolean())
                            .build();
                case VOTE ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(nonNegative(in.readInt()))
                            .setLastLogIndex(nonNegative(in.readLong()))
                            .setSticky(in.readBoolean())
                            .build();
                case VOTE_RESPONSE ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(in.readBoolean())
                            .build();
                case TRIGGER_ELECTION ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(nonNegative(in.readInt()))
                            .setLastLogIndex(nonNegative(in.readLong()))
                            .build();
            };
        });
    }

    // ---- log entries, snapshots, members

    static byte[] encodeEntry(LogEntry entry) {
        return encode(out -> writeEntry(out, entry));
    }

    static LogEntry decodeEntry(byte[] bytes) {
        return decode(bytes, Codec::readEntry);
    }

    static byte[] encodeChunk(SnapshotChunk chunk) {
        return encode(out -> writeChunk(out, chunk));
    }

    static SnapshotChunk decodeChunk(byte[] bytes) {
        return decode(bytes, Codec::readChunk);
    }

    static byte[] encodeMembers(RaftGroupMembersView members) {
        return encode(out -> writeMembers(out, members));
    }

    static RaftGroupMembersView decodeMembers(byte[] bytes) {
        return decode(bytes, Codec::readMembers);
    }

    private static void writeEntry(DataOutputStream out, LogEntry entry) throws IOException {
        out.writeLong(entry.getIndex());
        out.writeInt(entry.getTerm());
        writeOperation(out, entry.getOperation());
    }

    private static LogEntry readEntry(DataInputStream in) throws IOException {
        return MODEL.createLogEntryBuilder()
                .setIndex(nonNegative(in.readLong()))
                .setTerm(nonNegative(in.readInt()))
                .setOperation(readOperation(in))
                .build();
    }

    private static List<LogEntry> readEntries(DataInputStream in) throws IOException {
        int count = readCount(in);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readEntry(in));
        }
        return entries;
    }

    private static void writeChunk(DataOutputStream out, SnapshotChunk chunk) throws IOException {
        out.writeLong(chunk.getIndex());
        out.writeInt(chunk.getTerm());
        out.writeInt(chunk.getSnapshotChunkIndex());
        out.writeInt(chunk.getSnapshotChunkCount());
        writeMembers(out, chunk.getGroupMembersView());
        writeOperation(out, chunk.getOperation());
    }

    private static SnapshotChunk readChunk(DataInputStream in) throws IOException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(nonNegative(in.readLong()))
                .setTerm(nonNegative(in.readInt()))
                .setSnapshotChunkIndex(nonNegative(in.readInt()))
                .setSnapshotChunkCount(nonNegative(in.readInt()))
                .setGroupMembersView(readMembers(in))
                .setOperation(readOperation(in))
                .build();
    }

    private static void writeMembers(DataOutputStream out, RaftGroupMembersView view) throws IOException {
        out.writeLong(view.getLogIndex());
        writeEndpoints(out, view.getMembers());
        writeEndpoints(out, view.getVotingMembers());
    }

    private static RaftGroupMembersView readMembers(DataInputStream in) throws IOException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(nonNegative(in.readLong()))
                .setMembers(readEndpoints(in))
                .setVotingMembers(readEndpoints(in))
                .build();
    }

    private static void writeEndpoints(DataOutputStream out, Collection<RaftEndpoint> members) throws IOException {
        out.writeInt(members.size());
        for (RaftEndpoint member : members) {
            writeText(out, (String) member.getId());
        }
    }

    private static Collection<RaftEndpoint> readEndpoints(DataInputStream in) throws IOException {
        int count = readCount(in);
        Collection<RaftEndpoint> members = new LinkedHashSet<>();
        for (int i = 0; i < count; i++) {
            members.add(new ReplicaEndpoint(readText(in)));
        }
        return members;
    }

    private static void writeOperation(DataOutputStream out, Object operation) throws IOException {
        if (operation instanceof Operation.TermStart) {
            out.writeByte(OperationType.TERM_START.ordinal());
        } else if (operation instanceof Operation.Change change) {
            out.writeByte(OperationType.CHANGE.ordinal());
            writeProposal(out, change.proposal());
        } else if (operation instanceof Operation.SnapshotPart part) {
            out.writeByte(OperationType.PART.ordinal());
            out.writeInt(part.bytes().length);
            out.write(part.bytes());
        } else {
            // The group's members are fixed by the settings, so the library never appends a membership change
            // or another operation of its own.
            throw new IllegalArgumentException("unsupported operation: " + operation);
        }
    }

    private static Operation readOperation(DataInputStream in) throws IOException {
        return switch (constantAt(OperationType.values(), in.readUnsignedByte())) {
            case TERM_START -> new Operation.TermStart();
            case CHANGE -> new Operation.Change(readProposal(in));
            case PART -> {
                byte[] part = new byte[readCount(in)];
                in.readFully(part);
                yield new Operation.SnapshotPart(part);
            }
        };
    }

    // ---- proposals and their results, between replicas

    static byte[] encodeProposal(Proposal proposal) {
        return encode(out -> writeProposal(out, proposal));
    }

    static Proposal decodeProposal(byte[] bytes) {
        return decode(bytes, Codec::readProposal);
    }

    static byte[] encodeProposalResult(VersionLog.ProposalResult result) {
        return encode(out -> writeProposalResult(out, result));
    }

    static VersionLog.ProposalResult decodeProposalResult(byte[] bytes) {
        return decode(bytes, Codec::readProposalResult);
    }

    private static void writeProposal(DataOutputStream out, Proposal proposal) throws IOException {
        writeText(out, proposal.id());
        out.writeLong(proposal.baseVersion());
        writeTextMap(out, proposal.entries());
        writeText(out, proposal.description());
        out.writeLong(proposal.proposedAtMs());
    }

    private static Proposal readProposal(DataInputStream in) throws IOException {
        return new Proposal(readText(in), in.readLong(), readTextMap(in), readText(in), in.readLong());
    }

    private static void writeProposalResult(DataOutputStream out, VersionLog.ProposalResult result) throws IOException {
        out.writeByte(result.outcome().ordinal());
        out.writeLong(result.version());
        writeText(out, result.reason());
    }

    private static VersionLog.ProposalResult readProposalResult(DataInputStream in) throws IOException {
        return new VersionLog.ProposalResult(
                constantAt(VersionLog.ProposalOutcome.values(), in.readUnsignedByte()),
                nonNegative(in.readLong()),
                readText(in));
    }

    // ---- snapshots of the state machine

    /** Encodes the state machine: the first part has the proposal ids, the others have the versions. */
    static List<byte[]> encodeSnapshot(
            Collection<Version> versions,
            Map<String, Long> versionNumbersById,
            Map<String, VersionLog.ProposalResult> refusedResultsById) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(encode(out -> {
            out.writeInt(versions.size());
            out.writeInt(versionNumbersById.size());
            for (Map.Entry<String, Long> e : versionNumbersById.entrySet()) {
                writeText(out, e.getKey());
                out.writeLong(e.getValue());
            }
            out.writeInt(refusedResultsById.size());
            for (Map.Entry<String, VersionLog.ProposalResult> e : refusedResultsById.entrySet()) {
                writeText(out, e.getKey());
                writeProposalResult(out, e.getValue());
            }
        }));
        List<Version> partVersions = new ArrayList<>();
        long partBytes = 0;
        for (Version version : versions) {
            partVersions.add(version);
            partBytes += encode(out -> writeVersion(out, version)).length;
            if (partBytes >= SNAPSHOT_PART_BYTES) {
                parts.add(encodeVersions(partVersions));
                partVersions.clear();
                partBytes = 0;
            }
        }
        if (!partVersions.isEmpty()) {
            parts.add(encodeVersions(partVersions));
        }
        return parts;
    }

    private static byte[] encodeVersions(List<Version> versions) {
        return encode(out -> {
            out.writeInt(versions.size());
            for (Version version : versions) {
                writeVersion(out, version);
            }
        });
    }

    static void decodeSnapshot(
            List<byte[]> parts,
            Consumer<Version> onVersion,
            Map<String, Long> versionNumbersById,
            Map<String, VersionLog.ProposalResult> refusedResultsById) {
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("the snapshot has no parts");
        }
        int expectedVersions = decode(parts.get(0), in -> {
            int versions = nonNegative(in.readInt());
            for (int i = readCount(in); i > 0; i--) {
                versionNumbersById.put(readText(in), nonNegative(in.readLong()));
            }
            for (int i = readCount(in); i > 0; i--) {
                refusedResultsById.put(readText(in), readProposalResult(in));
            }
            return versions;
        });
        long[] countAndLast = {0, 0};
        for (byte[] part : parts.subList(1, parts.size())) {
            decode(part, in -> {
                for (int i = readCount(in); i > 0; i--) {
                    Version version = readVersion(in);
                    if (countAndLast[0] > 0 && version.number() != countAndLast[1] + 1) {
                        throw new IllegalArgumentException(
                                "version " + version.number() + " follows version " + countAndLast[1]);
                    }
                    countAndLast[0]++;
                    countAndLast[1] = version.number();
                    onVersion.accept(version);
                }
                return null;
            });
        }
        if (countAndLast[0] != expectedVersions) {
            throw new IllegalArgumentException(
                    "the snapshot has " + countAndLast[0] + " versions, expected " + expectedVersions);
        }
    }

    private static void writeVersion(DataOutputStream out, Version version) throws IOException {
        out.writeLong(version.number());
        writeTextMap(out, version.entries());
        writeText(out, version.description());
        out.writeLong(version.proposedAtMs());
    }

    private static Version readVersion(DataInputStream in) throws IOException {
        return new Version(nonNegative(in.readLong()), readTextMap(in), readText(in), in.readLong());
    }

    // ---- text and numbers

    private static void writeTextMap(DataOutputStream out, Map<String, String> entries) throws IOException {
        out.writeInt(entries.size());
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            writeText(out, entry.getKey());
            writeText(out, entry.getValue());
        }
    }

    private static TreeMap<String, String> readTextMap(DataInputStream in) throws IOException {
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = readCount(in); i > 0; i--) {
            entries.put(readText(in), readText(in));
        }
        return entries;
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String readText(DataInputStream in) throws IOException {
        byte[] bytes = new byte[readCount(in)];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /**
     * Reads a byte length or an element count. It can't exceed the number of remaining bytes, because each element
     * takes at least one byte.
     */
    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new IllegalArgumentException("invalid length " + count + ": " + in.available() + " bytes remain");
        }
        return count;
    }

    private static int nonNegative(int value) {
        return (int) nonNegative((long) value);
    }

    private static long nonNegative(long value) {
        if (value < 0) {
            throw new IllegalArgumentException(value + " is negative");
        }
        return value;
    }

    private static <E> E constantAt(E[] values, int ordinal) {
        if (ordinal >= values.length) {
            throw new IllegalArgumentException("unknown type number " + ordinal);
        }
        return values[ordinal];
    }
}
