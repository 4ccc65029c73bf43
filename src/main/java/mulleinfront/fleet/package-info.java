/**
 * Membership of the fleet of client proxies, without I/O: which members are present, failed or left, and whether they
 * agree on it. The protocol is SWIM (DSN 2002) with the local health and suspicion timeouts of Lifeguard (DSN 2018).
 *
 * <p>{@link mulleinfront.fleet.Fleet} is one member. Its owner passes in datagrams and time, and it acts through
 * {@link mulleinfront.fleet.Fleet.Actions}. Its view changes by one numbered {@link mulleinfront.fleet.Change} at a
 * time, which is reported to listeners.
 *
 * <p>Data flow: the socket or the simulated network passes a datagram to the fleet. {@code Datagram} decodes it as a
 * whole or gives the reason for discarding it. Each update about a member is applied to {@code Members}, where the
 * newer one wins; a change is queued in {@code GossipQueue}, to be piggybacked on the next messages, and reported to
 * listeners. {@code Suspicions} holds the suspected members and their deadlines, {@code LocalHealth} the local health
 * multiplier, {@code AntiEntropy} reconciles two views that differ, and {@code Convergence} tells whether the members
 * agree and which part of them is reachable.
 *
 * <p>May import only {@code java.util} and the hashing library: no socket, file, thread or system clock. It is owned by
 * one thread and holds no lock.
 */
package mulleinfront.fleet;
