/**
 * Measurements of the client proxy on sockets: stand-in servers that answer after a stated time, a plain byte relay
 * to compare with, and a load driver with closed and open loops. Everything listens on loopback, each part in a
 * process of its own so that its CPU can be told apart.
 *
 * <p>The way of data: {@code Throughput} starts {@code Child} processes (hosts, relay, client proxy), {@code Driver}
 * sends to one after the other, and the children tell their own CPU and allocation when asked.
 *
 * <p>May import {@code proxy}, Netty and HdrHistogram; on the command line's side of everything that serves.
 */
package mulleinfront.bench;
