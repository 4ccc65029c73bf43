package mulleinfront.config;

import java.util.SortedMap;

/**
 * A proposed version of the configuration.
 *
 * @param id identifier chosen by the proposer; a proposal that is repeated under its id is committed once
 * @param baseVersion number of the version that the proposal was made from; the proposal is refused if a later
 *        version has been committed. Negative to accept any newest version
 * @param entries the full configuration, already validated
 * @param description one line for people
 * @param proposedAtMs time by the proposer's clock, milliseconds since 1970
 */
public record Proposal(
        String id, long baseVersion, SortedMap<String, String> entries, String description, long proposedAtMs) {}
