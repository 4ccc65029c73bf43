/**
 * The client proxy on sockets, on Netty: {@link mulleinfront.core} with the adapters that make it HTTP/1.1 on
 * both sides. {@link mulleinfront.proxy.ClientProxy} joins them; {@code Frontend} reads the application's
 * requests and hands them to the core, {@code Upstream} carries its attempts to hosts, {@code Discovery} brings
 * it lists. What is too large to be held goes from one connection to the other in a {@code Flow}, at the reader's pace.
 *
 * <p>May import {@code core}, {@code manage}, {@code settings}, the module and Netty; nothing of the
 * emulator or the command line. One event-loop thread owns it all; nothing blocks and nothing is locked.
 */
package mulleinfront.proxy;
