/**
 * The fleet on sockets: datagrams between client proxies, and what operators see of it.
 *
 * <p>The way of data: {@code PeerSocket} takes a datagram from the event loop's socket and says from which peer's
 * address it came; {@link mulleinfront.gossip.Membership} hands it to the {@link mulleinfront.fleet.Fleet}, sends what
 * that gives back, and tells the core how many live; {@code EventLog} writes changes down, where that is on.
 *
 * <p>May import {@code fleet}, {@code settings}, Netty, a JSON writer and the logging library. Nothing of it is loaded
 * where no fleet is switched on.
 */
package mulleinfront.gossip;
