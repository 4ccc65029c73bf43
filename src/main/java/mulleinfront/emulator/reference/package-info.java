/**
 * Reference policies to compare the balancer with, in the same core and the same simulation: textbook policies that
 * see what any client proxy sees, and two that see more ({@link mulleinfront.emulator.reference.ServerKnowledge}).
 *
 * <p>Only the emulator uses them; the daemon does not. The package may import the balancer's interface and a hash.
 * {@link mulleinfront.emulator.reference.Reference} lists the policies and creates a balancer for each client proxy.
 * {@code PickingBalancer} handles requests for all of them (an attempt, another if its effect allows one, a truthful
 * final answer); each policy only picks a server.
 */
package mulleinfront.emulator.reference;
