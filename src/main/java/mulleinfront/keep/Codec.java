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
 * The library's messages and log entries as bytes, for the wire and for the disk: the fields of its model
 * interfaces in their order, by {@link DataOutputStream}. Each starts with the format's number. Reading
 * believes no length: text and lists are held against what is left of the bytes.
 */
final class Codec {
    /** What the library calls the group; one a fleet. */
    static final String GROUP = "configuration";
    /** Bytes of a snapshot's part, about: a part ends with the version that fills it. */
    static final int PART_BYTES = 1 << 20;

    private static final int FORMAT = 1;
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /** Messages by their number on the wire. */
    private enum Kind {
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

    /** Operations by their number in the log. */
    private enum Tag {
        TERM_START,
        CHANGE,
        PART
    }

    /** Writes without the checked exception, which memory never has. */
    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads one value from a stream. */
    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private Codec() {}

    private static byte[] bytes(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(FORMAT);
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> T read(byte[] bytes, Reader<T> reader) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
            int format = in.readUnsignedByte();
            if (format != FORMAT) {
                throw new IllegalArgumentException("format " + format + " is not known, " + FORMAT + " is");
            }
            T value = reader.read(in);
            if (in.available() > 0) {
                throw new IllegalArgumentException(in.available() + " bytes too many");
            }
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException("cut short", e);
        }
    }

    // ---- messages

    static byte[] message(RaftMessage message) {
        return bytes(out -> {
            if (message instanceof AppendEntriesRequest m) {
                head(out, Kind.APPEND, m);
                out.writeInt(m.getPreviousLogTerm());
                out.writeLong(m.getPreviousLogIndex());
                out.writeLong(m.getCommitIndex());
                out.writeInt(m.getLogEntries().size());
                for (LogEntry e : m.getLogEntries()) {
                    entry(out, e);
                }
                sequences(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
            } else if (message instanceof AppendEntriesSuccessResponse m) {
                head(out, Kind.APPEND_SUCCESS, m);
                out.writeLong(m.getLastLogIndex());
                sequences(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
            } else if (message instanceof AppendEntriesFailureResponse m) {
                head(out, Kind.APPEND_FAILURE, m);
                out.writeLong(m.getExpectedNextIndex());
                sequences(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
            } else if (message instanceof InstallSnapshotRequest m) {
                head(out, Kind.INSTALL, m);
                out.writeBoolean(m.isSenderLeader());
                out.writeInt(m.getSnapshotTerm());
                out.writeLong(m.getSnapshotIndex());
                out.writeInt(m.getTotalSnapshotChunkCount());
                out.writeBoolean(m.getSnapshotChunk() != null);
                if (m.getSnapshotChunk() != null) {
                    chunk(out, m.getSnapshotChunk());
                }
                endpoints(out, m.getSnapshottedMembers());
                members(out, m.getGroupMembersView());
                sequences(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
            } else if (message instanceof InstallSnapshotResponse m) {
                head(out, Kind.INSTALL_RESPONSE, m);
                out.writeLong(m.getSnapshotIndex());
                out.writeInt(m.getRequestedSnapshotChunkIndex());
                sequences(out, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
            } else if (message instanceof PreVoteRequest m) {
                head(out, Kind.PRE_VOTE, m);
                out.writeInt(m.getLastLogTerm());
                out.writeLong(m.getLastLogIndex());
            } else if (message instanceof PreVoteResponse m) {
                head(out, Kind.PRE_VOTE_RESPONSE, m);
                out.writeBoolean(m.isGranted());
            } else if (message instanceof VoteRequest m) {
                head(out, Kind.VOTE, m);
                out.writeInt(m.getLastLogTerm());
                out.writeLong(m.getLastLogIndex());
                out.writeBoolean(m.isSticky());
            } else if (message instanceof VoteResponse m) {
                head(out, Kind.VOTE_RESPONSE, m);
                out.writeBoolean(m.isGranted());
            } else if (message instanceof TriggerLeaderElectionRequest m) {
                head(out, Kind.TRIGGER_ELECTION, m);
                out.writeInt(m.getLastLogTerm());
                out.writeLong(m.getLastLogIndex());
            } else {
                throw new IllegalArgumentException("not a message: " + message);
            }
        });
    }

    private static void head(DataOutputStream out, Kind kind, RaftMessage message) throws IOException {
        out.writeByte(kind.ordinal());
        text(out, (String) message.getSender().getId());
        out.writeInt(message.getTerm());
    }

    private static void sequences(DataOutputStream out, long query, long flow) throws IOException {
        out.writeLong(query);
        out.writeLong(flow);
    }

    /** @throws IllegalArgumentException if these are not one whole message */
    static RaftMessage message(byte[] bytes) {
        return read(bytes, in -> {
            Kind kind = one(Kind.values(), in.readUnsignedByte());
            RaftEndpoint sender = new Member(text(in));
            int term = natural(in.readInt());
            return switch (kind) {
                case APPEND ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setPreviousLogTerm(natural(in.readInt()))
                            .setPreviousLogIndex(natural(in.readLong()))
                            .setCommitIndex(natural(in.readLong()))
                            .setLogEntries(entries(in))
                            .setQuerySequenceNumber(natural(in.readLong()))
                            .setFlowControlSequenceNumber(natural(in.readLong()))
                            .build();
                case APPEND_SUCCESS ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(natural(in.readLong()))
                            .setQuerySequenceNumber(natural(in.readLong()))
                            .setFlowControlSequenceNumber(natural(in.readLong()))
                            .build();
                case APPEND_FAILURE ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(natural(in.readLong()))
                            .setQuerySequenceNumber(natural(in.readLong()))
                            .setFlowControlSequenceNumber(natural(in.readLong()))
                            .build();
                case INSTALL ->
                    MODEL.createInstallSnapshotRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(in.readBoolean())
                            .setSnapshotTerm(natural(in.readInt()))
                            .setSnapshotIndex(natural(in.readLong()))
                            .setTotalSnapshotChunkCount(natural(in.readInt()))
                            .setSnapshotChunk(in.readBoolean() ? chunk(in) : null)
                            .setSnapshottedMembers(endpoints(in))
                            .setGroupMembersView(members(in))
                            .setQuerySequenceNumber(natural(in.readLong()))
                            .setFlowControlSequenceNumber(natural(in.readLong()))
                            .build();
                case INSTALL_RESPONSE ->
                    MODEL.createInstallSnapshotResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(natural(in.readLong()))
                            .setRequestedSnapshotChunkIndex(natural(in.readInt()))
                            .setQuerySequenceNumber(natural(in.readLong()))
                            .setFlowControlSequenceNumber(natural(in.readLong()))
                            .build();
                case PRE_VOTE ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(natural(in.readInt()))
                            .setLastLogIndex(natural(in.readLong()))
                            .build();
                case PRE_VOTE_RESPONSE ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(in.readBoolean())
                            .build();
                case VOTE ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(natural(in.readInt()))
                            .setLastLogIndex(natural(in.readLong()))
                            .setSticky(in.readBoolean())
                            .build();
                case VOTE_RESPONSE ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(in.readBoolean())
                            .build();
                case TRIGGER_ELECTION ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(natural(in.readInt()))
                            .setLastLogIndex(natural(in.readLong()))
                            .build();
            };
        });
    }

    // ---- log entries, snapshots, members

    static byte[] entry(LogEntry entry) {
        return bytes(out -> entry(out, entry));
    }

    static LogEntry entry(byte[] bytes) {
        return read(bytes, Codec::entry);
    }

    static byte[] chunk(SnapshotChunk chunk) {
        return bytes(out -> chunk(out, chunk));
    }

    static SnapshotChunk chunk(byte[] bytes) {
        return read(bytes, Codec::chunk);
    }

    static byte[] members(RaftGroupMembersView members) {
        return bytes(out -> members(out, members));
    }

    static RaftGroupMembersView members(byte[] bytes) {
        return read(bytes, Codec::members);
    }

    private static void entry(DataOutputStream out, LogEntry entry) throws IOException {
        out.writeLong(entry.getIndex());
        out.writeInt(entry.getTerm());
        operation(out, entry.getOperation());
    }

    private static LogEntry entry(DataInputStream in) throws IOException {
        return MODEL.createLogEntryBuilder()
                .setIndex(natural(in.readLong()))
                .setTerm(natural(in.readInt()))
                .setOperation(operation(in))
                .build();
    }

    private static List<LogEntry> entries(DataInputStream in) throws IOException {
        int count = count(in);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(in));
        }
        return entries;
    }

    private static void chunk(DataOutputStream out, SnapshotChunk chunk) throws IOException {
        out.writeLong(chunk.getIndex());
        out.writeInt(chunk.getTerm());
        out.writeInt(chunk.getSnapshotChunkIndex());
        out.writeInt(chunk.getSnapshotChunkCount());
        members(out, chunk.getGroupMembersView());
        operation(out, chunk.getOperation());
    }

    private static SnapshotChunk chunk(DataInputStream in) throws IOException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(natural(in.readLong()))
                .setTerm(natural(in.readInt()))
                .setSnapshotChunkIndex(natural(in.readInt()))
                .setSnapshotChunkCount(natural(in.readInt()))
                .setGroupMembersView(members(in))
                .setOperation(operation(in))
                .build();
    }

    private static void members(DataOutputStream out, RaftGroupMembersView view) throws IOException {
        out.writeLong(view.getLogIndex());
        endpoints(out, view.getMembers());
        endpoints(out, view.getVotingMembers());
    }

    private static RaftGroupMembersView members(DataInputStream in) throws IOException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(natural(in.readLong()))
                .setMembers(endpoints(in))
                .setVotingMembers(endpoints(in))
                .build();
    }

    private static void endpoints(DataOutputStream out, Collection<RaftEndpoint> members) throws IOException {
        out.writeInt(members.size());
        for (RaftEndpoint m : members) {
            text(out, (String) m.getId());
        }
    }

    private static Collection<RaftEndpoint> endpoints(DataInputStream in) throws IOException {
        int count = count(in);
        Collection<RaftEndpoint> members = new LinkedHashSet<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(text(in)));
        }
        return members;
    }

    private static void operation(DataOutputStream out, Object operation) throws IOException {
        if (operation instanceof Operation.TermStart) {
            out.writeByte(Tag.TERM_START.ordinal());
        } else if (operation instanceof Operation.Change c) {
            out.writeByte(Tag.CHANGE.ordinal());
            proposal(out, c.proposal());
        } else if (operation instanceof Operation.Part p) {
            out.writeByte(Tag.PART.ordinal());
            out.writeInt(p.bytes().length);
            out.write(p.bytes());
        } else {
            // The three keepers are fixed by the settings: no operation of the library's own is ever asked
            // for.
            throw new IllegalArgumentException("not an operation: " + operation);
        }
    }

    private static Operation operation(DataInputStream in) throws IOException {
        return switch (one(Tag.values(), in.readUnsignedByte())) {
            case TERM_START -> new Operation.TermStart();
            case CHANGE -> new Operation.Change(proposal(in));
            case PART -> {
                byte[] part = new byte[count(in)];
                in.readFully(part);
                yield new Operation.Part(part);
            }
        };
    }

    // ---- proposals and answers between keepers

    static byte[] proposal(Proposal proposal) {
        return bytes(out -> proposal(out, proposal));
    }

    static Proposal proposal(byte[] bytes) {
        return read(bytes, Codec::proposal);
    }

    static byte[] answer(VersionLog.ProposalResult answer) {
        return bytes(out -> answer(out, answer));
    }

    static VersionLog.ProposalResult answer(byte[] bytes) {
        return read(bytes, Codec::answer);
    }

    private static void proposal(DataOutputStream out, Proposal p) throws IOException {
        text(out, p.id());
        out.writeLong(p.basedOn());
        entries(out, p.entries());
        text(out, p.why());
        out.writeLong(p.atMillis());
    }

    private static Proposal proposal(DataInputStream in) throws IOException {
        return new Proposal(text(in), in.readLong(), texts(in), text(in), in.readLong());
    }

    private static void answer(DataOutputStream out, VersionLog.ProposalResult answer) throws IOException {
        out.writeByte(answer.what().ordinal());
        out.writeLong(answer.number());
        text(out, answer.reason());
    }

    private static VersionLog.ProposalResult answer(DataInputStream in) throws IOException {
        return new VersionLog.ProposalResult(
                one(VersionLog.ProposalOutcome.values(), in.readUnsignedByte()), natural(in.readLong()), text(in));
    }

    // ---- the register's snapshot

    /** The register's contents: the first part the ids, the others versions. */
    static List<byte[]> parts(
            Collection<Version> versions, Map<String, Long> decided, Map<String, VersionLog.ProposalResult> refused) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(bytes(out -> {
            out.writeInt(versions.size());
            out.writeInt(decided.size());
            for (Map.Entry<String, Long> e : decided.entrySet()) {
                text(out, e.getKey());
                out.writeLong(e.getValue());
            }
            out.writeInt(refused.size());
            for (Map.Entry<String, VersionLog.ProposalResult> e : refused.entrySet()) {
                text(out, e.getKey());
                answer(out, e.getValue());
            }
        }));
        List<Version> some = new ArrayList<>();
        long size = 0;
        for (Version v : versions) {
            some.add(v);
            size += bytes(out -> version(out, v)).length;
            if (size >= PART_BYTES) {
                parts.add(versions(some));
                some.clear();
                size = 0;
            }
        }
        if (!some.isEmpty()) {
            parts.add(versions(some));
        }
        return parts;
    }

    private static byte[] versions(List<Version> versions) {
        return bytes(out -> {
            out.writeInt(versions.size());
            for (Version v : versions) {
                version(out, v);
            }
        });
    }

    static void load(
            List<byte[]> parts,
            Consumer<Version> version,
            Map<String, Long> decided,
            Map<String, VersionLog.ProposalResult> refused) {
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("a snapshot without parts");
        }
        int expected = read(parts.get(0), in -> {
            int versions = natural(in.readInt());
            for (int i = count(in); i > 0; i--) {
                decided.put(text(in), natural(in.readLong()));
            }
            for (int i = count(in); i > 0; i--) {
                refused.put(text(in), answer(in));
            }
            return versions;
        });
        long[] last = {0, 0};
        for (byte[] part : parts.subList(1, parts.size())) {
            read(part, in -> {
                for (int i = count(in); i > 0; i--) {
                    Version v = version(in);
                    if (last[0] > 0 && v.number() != last[1] + 1) {
                        throw new IllegalArgumentException("version " + v.number() + " after " + last[1]);
                    }
                    last[0]++;
                    last[1] = v.number();
                    version.accept(v);
                }
                return null;
            });
        }
        if (last[0] != expected) {
            throw new IllegalArgumentException(last[0] + " versions of " + expected);
        }
    }

    private static void version(DataOutputStream out, Version v) throws IOException {
        out.writeLong(v.number());
        entries(out, v.entries());
        text(out, v.why());
        out.writeLong(v.decidedAtMillis());
    }

    private static Version version(DataInputStream in) throws IOException {
        return new Version(natural(in.readLong()), texts(in), text(in), in.readLong());
    }

    // ---- text and numbers

    private static void entries(DataOutputStream out, Map<String, String> entries) throws IOException {
        out.writeInt(entries.size());
        for (Map.Entry<String, String> e : entries.entrySet()) {
            text(out, e.getKey());
            text(out, e.getValue());
        }
    }

    private static TreeMap<String, String> texts(DataInputStream in) throws IOException {
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = count(in); i > 0; i--) {
            entries.put(text(in), text(in));
        }
        return entries;
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String text(DataInputStream in) throws IOException {
        byte[] bytes = new byte[count(in)];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** A length or a number of things of a byte or more each: there can't be more than there are bytes. */
    private static int count(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new IllegalArgumentException("a length of " + count + " with " + in.available() + " bytes left");
        }
        return count;
    }

    private static int natural(int n) {
        return (int) natural((long) n);
    }

    private static long natural(long n) {
        if (n < 0) {
            throw new IllegalArgumentException(n + " is below 0");
        }
        return n;
    }

    private static <E> E one(E[] values, int ordinal) {
        if (ordinal >= values.length) {
            throw new IllegalArgumentException("kind " + ordinal + " is not known");
        }
        return values[ordinal];
    }
}
