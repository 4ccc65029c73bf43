/**
 * The client proxies as a fleet, without I/O: who is there, who has failed, who left, and who agrees on it.
 *
 * <p>{@link mulleinfront.fleet.Fleet} is one member. It is told of datagrams and of time, and answers through
 * {@link mulleinfront.fleet.Fleet.Actions}; what it believes changes one numbered
 * {@link mulleinfront.fleet.Change} at a time, and whoever has to act on it listens for those.
 *
 * <p>The way of data: a wire hands a datagram to the fleet; {@code Datagram} reads it whole or counts why not;
 * each word about a member goes to {@code Members}, where the later one wins; what is new goes to {@code Rumours},
 * to be passed on with the next messages, and to the listeners. {@code Suspicions} holds who is doubted and until
 * when, {@code Health} how much this member doubts itself, {@code Exchange} compares two views that differ,
 * {@code Settling} tells whether the members agree and which part of them is in reach.
 *
 * <p>May import {@code java.util} and the hashing library, and nothing else: no socket, file, thread or system
 * clock. It is owned by one thread and holds no lock.
 */
package mulleinfront.fleet;
