/**
 * Connects the fleet membership to UDP sockets, to operators and to an event log.
 *
 * <p>Data flow: {@code PeerSocket} receives a datagram on the event loop and finds the peer of its source address.
 * {@link mulleinfront.gossip.Membership} passes it to the {@link mulleinfront.fleet.Fleet}, sends the datagrams that
 * the fleet produces, and reports the number of live members to the core. {@code EventLog} writes changes to a file if
 * one is configured.
 *
 * <p>May import {@code fleet}, {@code settings}, Netty, a JSON writer and the logging library. No class of this package
 * is loaded if no fleet is configured.
 */
package mulleinfront.gossip;
