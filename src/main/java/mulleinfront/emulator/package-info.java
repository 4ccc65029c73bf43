/**
 * The emulator: a simulation in virtual time of client proxies (with the production core and balancer), servers,
 * clients, network and discovery, on one thread, one event queue and one seed.
 *
 * <p>Data flow: {@link mulleinfront.emulator.ScenarioReader} reads a scenario file or rejects it as a whole;
 * {@link mulleinfront.emulator.World} builds the simulation and runs it. {@code Clients} draw requests and their
 * tries; {@code Proxy} runs a {@link mulleinfront.core.Core} whose time is the
 * {@link mulleinfront.emulator.EventQueue} and whose wire is {@code EmulatedWire}; requests that it sends reach a
 * {@link mulleinfront.emulator.ServerModel}. {@code Script} applies the scenario's faults. Three classes observe:
 * {@link mulleinfront.emulator.Auditor} checks the four invariants from observed events, {@code ServiceStatistics}
 * collects the clients' service statistics, and {@code Trace} records the events and decisions of the balancers.
 *
 * <p>May import {@code core}, the balancer, a TOML reader and a JSON writer, but no sockets. All random values come
 * from {@link mulleinfront.emulator.RandomStream} and all time from the queue. Nothing depends on the iteration order
 * of a hash table, a clock, a locale or another thread, so a run is determined by its seed.
 */
package mulleinfront.emulator;
