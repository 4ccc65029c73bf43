/**
 * The management endpoint: an address of its own where a connection carries one command and gets one reply, which is
 * one line or a stream of lines. {@link mulleinfront.manage.ManagementServer} reads the command, and
 * {@link mulleinfront.manage.CommandHandler} executes it on the client proxies of this process and returns the reply.
 *
 * <p>May import {@code core} and Netty, but nothing of the connections to clients and endpoints. No class of this
 * package is loaded if the configuration names no management address.
 */
package mulleinfront.manage;
