/**
 * Balancers to measure the product against, in the same core and the same world: textbook policies that see
 * what any client proxy sees, and two that see more than any can ({@link
 * mulleinfront.emulator.reference.Truth}).
 *
 * <p>They are for the emulator alone; the daemon knows nothing of them. May import the module's interface and
 * a hash. The way of data: {@link mulleinfront.emulator.reference.Reference} names them and makes one for
 * each client proxy; {@code Plain} is the life of a request that all of them share (an attempt, another where
 * its effect allows one, a true last word), and each of them only picks a server.
 */
package mulleinfront.emulator.reference;
