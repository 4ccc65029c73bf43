/**
 * Fault-injection tests on real processes: runs an emulator scenario on real sockets and the real clock against client
 * proxies that run as processes, so that the program under test is the deployed one.
 *
 * <p>Data flow: {@code RealRun} starts the {@code DaemonProcess}es and then the clock of a
 * {@link mulleinfront.emulator.HybridSimulation}, which has the same servers, clients, discovery, faults, auditor and
 * report as on virtual time. {@code ClientDriver} sends its tries to the client proxies and returns their responses,
 * {@code StandInServers} receives the attempts for its servers, and {@code StandInDiscovery} sends its lists. All of
 * these run on one event loop ({@code SimulationClock}); processes are monitored from another thread. The
 * {@code KitResult} states whether the rules were satisfied.
 *
 * <p>May import the emulator, settings, Netty, Jackson and HdrHistogram; nothing imports it but the command line.
 */
package mulleinfront.kit;
