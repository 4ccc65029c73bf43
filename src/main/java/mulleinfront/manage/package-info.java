/**
 * The operators' door: an address of its own where a connection carries one line and has one line back. A line goes
 * from {@link mulleinfront.manage.ManagementServer} to {@link mulleinfront.manage.CommandHandler}, which does what it names to
 * the client proxies of this process and words the answer.
 *
 * <p>May import {@code core} and Netty; nothing of the clients' and hosts' wire. Nothing of it is loaded where the
 * configuration names no such address.
 */
package mulleinfront.manage;
