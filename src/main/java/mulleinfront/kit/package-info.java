/**
 * The rehearsal kit: a scenario of the emulator played on real sockets and the real clock against client proxies that
 * run as processes, so that what is rehearsed is what is deployed.
 *
 * <p>The way of data: {@code RealRun} starts the {@code DaemonProcess}es and then the clock of a
 * {@link mulleinfront.emulator.HybridSimulation}, which holds the same servers, clients, discovery, faults, auditor and report as
 * on virtual time. {@code ClientDriver} carries its tries to the client proxies and their answers back,
 * {@code StandInServers} the attempts that come to its servers, {@code StandInDiscovery} its lists. All of that is one
 * event loop ({@code WorldClock}); processes are watched from another thread. At the end the {@code Outcome} says
 * whether the rules were kept.
 *
 * <p>May import the emulator, settings, Netty, Jackson and HdrHistogram; nothing imports it but the command line.
 */
package mulleinfront.kit;
