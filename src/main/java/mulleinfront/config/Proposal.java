package mulleinfront.config;

import java.util.SortedMap;

/**
 * A version that somebody wants in force.
 *
 * @param id the proposer's own name for it: one proposed again under its id is decided once
 * @param basedOn number of the version that its proposer had before them; refused if another was decided since.
 *        Below 0: whatever is newest
 * @param entries the whole of it, checked already
 * @param why one line for people
 * @param atMillis the proposer's clock, milliseconds since 1970
 */
public record Proposal(String id, long basedOn, SortedMap<String, String> entries, String why, long atMillis) {}
