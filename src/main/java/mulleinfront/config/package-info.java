/**
 * Configuration of the fleet, without I/O: numbered versions, deltas between them, the publisher at a control-plane
 * node and the subscriber in a client proxy. A subscriber applies a version completely or not at all.
 *
 * <p>{@link mulleinfront.config.VersionLog} determines the newest version. Its implementation commits versions by
 * consensus of the control-plane nodes and reports a version only after it is durable. Everything else in this
 * package acts on the committed versions.
 *
 * <p>May import {@code java.util} and the hash functions of {@code hash4j}, and nothing else: no socket,
 * file, thread or system clock.
 */
package mulleinfront.config;
