/**
 * Benchmarks of the client proxy on sockets: stand-in servers that respond after a given time, a plain byte relay for
 * comparison, and a load driver with closed and open loops. Everything listens on loopback. Each part is a process of
 * its own so that its CPU time can be measured separately.
 *
 * <p>Data flow: {@code Throughput} starts {@code Child} processes (servers, relay, client proxy), {@code Driver} sends
 * to one after the other, and the children report their own CPU time and allocation on request.
 * The measurements for capacity planning collect their values in a {@code SlopeCollector}; {@code CapacityFile} reads
 * and writes the file that holds them.
 *
 * <p>May import {@code proxy}, Netty and HdrHistogram. Only the command line uses it; nothing that serves depends on
 * it.
 */
package mulleinfront.bench;
