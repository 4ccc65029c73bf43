/**
 * The client proxy on sockets, on Netty: {@link mulleinfront.core} with adapters for HTTP/1.1 on both sides. {@link
 * mulleinfront.proxy.ClientProxy} connects them; {@code Frontend} reads the application's requests and passes them to
 * the core, {@code Upstream} sends the core's attempts to endpoints, and {@code Discovery} supplies endpoint lists.
 * Bodies too large to be buffered are streamed from one connection to the other by a {@code BodyStream}, at the
 * reader's pace.
 *
 * <p>May import {@code core}, {@code manage}, {@code settings}, the balancer and Netty; nothing of the emulator or the
 * command line. A single event-loop thread owns each proxy; nothing blocks and nothing is locked.
 */
package mulleinfront.proxy;
