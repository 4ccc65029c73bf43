package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog.ProposalOutcome;
import mulleinfront.config.VersionLog.ProposalResult;
import org.junit.jupiter.api.Test;

/** The state machine alone. */
class RegisterTest {
    private static ProposalResult decided(long number) {
        return new ProposalResult(ProposalOutcome.DECIDED, number, "");
    }

    private static Proposal sized(String id, int characters) {
        return Trio.proposal(id, -1, "x".repeat(characters));
    }

    @Test
    void numbersAreConsecutiveAndBeginWithOne() {
        Register register = new Register();
        assertEquals(Version.NONE, register.newest());
        assertEquals(Version.NONE, register.at(0));
        assertEquals(decided(1), register.apply(Trio.proposal("a", 0, "1")));
        assertEquals(decided(2), register.apply(Trio.proposal("b", -1, "2")));
        assertEquals(decided(3), register.apply(Trio.proposal("c", 2, "3")));
        assertEquals("2", register.at(2).entries().get("limit"));
        assertEquals("because of c", register.newest().why());
        assertNull(register.at(0));
        assertNull(register.at(4));
        assertEquals(List.of(register.at(2), register.at(3)), register.after(1));
    }

    @Test
    void anIdHasOneAnswer() {
        Register register = new Register();
        register.apply(Trio.proposal("a", -1, "1"));
        register.apply(Trio.proposal("b", -1, "2"));
        assertEquals(decided(1), register.apply(Trio.proposal("a", -1, "1")));
        ProposalResult refused = register.apply(Trio.proposal("early", 5, "1"));
        assertEquals(new ProposalResult(ProposalOutcome.REFUSED, 2, "based on version 5, the newest is 2"), refused);
        for (int i = 3; i <= 5; i++) {
            register.apply(Trio.proposal("p" + i, -1, "" + i));
        }
        assertEquals(refused, register.apply(Trio.proposal("early", 5, "1")), "now 5 is the newest, the id isn't new");
        assertEquals(decided(6), register.apply(Trio.proposal("late", 5, "1")));
    }

    @Test
    void anIdForOtherEntriesIsRefused() {
        Register register = new Register();
        register.apply(Trio.proposal("a", -1, "1"));
        ProposalResult answer = register.apply(Trio.proposal("a", -1, "2"));
        assertEquals(ProposalOutcome.REFUSED, answer.what());
        assertTrue(answer.reason().startsWith("the id a was given to version 1"), answer.reason());
        assertEquals(1, register.newest().number());
    }

    @Test
    void whatIsTooLargeOrNotOneLineIsRefused() {
        Register register = new Register();
        assertEquals(
                ProposalOutcome.REFUSED,
                register.apply(sized("big", Register.VERSION_BYTES)).what());
        assertEquals(
                ProposalOutcome.REFUSED,
                register.apply(Trio.proposal("", -1, "1")).what());
        assertEquals(
                ProposalOutcome.REFUSED,
                register.apply(Trio.proposal("i".repeat(101), -1, "1")).what());
        assertEquals(
                ProposalOutcome.REFUSED,
                register.apply(new Proposal("two", -1, new TreeMap<>(), "one\ntwo", 0))
                        .what());
        assertEquals(0, register.newest().number());
    }

    @Test
    void historyIsBoundedByNumberAndByBytes() {
        Register many = new Register();
        for (int i = 1; i <= Register.VERSIONS + 10; i++) {
            many.apply(Trio.proposal("p" + i, -1, "" + i));
        }
        assertNull(many.at(10));
        assertNotNull(many.at(11));
        Register large = new Register();
        for (int i = 1; i <= 100; i++) {
            assertEquals(decided(i), large.apply(sized("p" + i, 100_000)));
        }
        // 100,000 characters count as 200,000 bytes, and a few.
        long held = Register.HISTORY_BYTES / 200_000;
        assertNull(large.at(100 - held));
        assertNotNull(large.at(100 - held + 2));
    }

    @Test
    void theMemoryOfIdsIsBounded() {
        Register register = new Register();
        register.apply(Trio.proposal("first", -1, "1"));
        for (int i = 1; i < Register.DECIDED; i++) {
            register.apply(Trio.proposal("p" + i, -1, "1"));
        }
        for (int i = 0; i < 3 * Register.REFUSED; i++) {
            register.apply(Trio.proposal("r" + i, 0, "1"));
        }
        assertEquals(decided(1), register.apply(Trio.proposal("first", -1, "1")), "refused ones push out none");
        register.apply(Trio.proposal("last", -1, "1"));
        assertEquals(decided(Register.DECIDED + 2), register.apply(Trio.proposal("first", -1, "1")));
    }

    @Test
    void whatIsSavedIsLoadedTheSame() {
        Register register = new Register();
        for (int i = 1; i <= 60; i++) {
            register.apply(sized("p" + i, 30_000 + i));
        }
        register.apply(Trio.proposal("refused", 1, "1"));
        List<byte[]> parts = register.save();
        assertTrue(parts.size() > 2, parts.size() + " parts");
        for (byte[] part : parts) {
            assertTrue(part.length < KeeperWire.BODY_BYTES / 2, "a part of " + part.length);
        }
        Register loaded = Register.load(parts);
        assertEquals(register.after(0), loaded.after(0));
        assertEquals(decided(7), loaded.apply(sized("p7", 30_007)));
        assertEquals(register.apply(Trio.proposal("refused", 1, "1")), loaded.apply(Trio.proposal("refused", 1, "1")));
        assertEquals(decided(61), loaded.apply(Trio.proposal("next", 60, "1")));
        assertThrows(IllegalArgumentException.class, () -> Register.load(parts.subList(0, parts.size() - 1)));
        assertThrows(IllegalArgumentException.class, () -> Register.load(List.of()));
    }

    @Test
    void entriesAreNotTheProposersAnyMore() {
        Register register = new Register();
        TreeMap<String, String> entries = new TreeMap<>(Map.of("a", "1"));
        register.apply(new Proposal("p", -1, entries, "", 0));
        entries.put("a", "2");
        assertEquals("1", register.newest().entries().get("a"));
    }
}
