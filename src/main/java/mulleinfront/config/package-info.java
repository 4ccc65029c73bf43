/**
 * The configuration that the whole fleet goes by, without I/O: numbered versions, how one differs from
 * another, who hands them out and who takes them, whole or not at all.
 *
 * <p>{@link mulleinfront.config.VersionLog} decides which version is the newest; whoever implements it does so by
 * consensus of the control machines and says nothing before it is durable. All else here acts on what the
 * ledger says.
 *
 * <p>May import {@code java.util} and the hash functions of {@code hash4j}, and nothing else: no socket,
 * file, thread or system clock.
 */
package mulleinfront.config;
