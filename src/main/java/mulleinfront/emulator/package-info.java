/**
 * A world on virtual time to rehearse on: client proxies with the real core and the real module, and models of
 * servers, clients, network and discovery, on one thread, one queue of events and one seed.
 *
 * <p>The way of data: {@link mulleinfront.emulator.ScenarioReader} reads a scenario file whole or refuses it;
 * {@link mulleinfront.emulator.World} builds and plays it. {@code Clients} draw requests and their tries,
 * {@code Proxy} holds a {@link mulleinfront.core.Core} whose time is the
 * {@link mulleinfront.emulator.EventQueue} and whose wire is {@code EmulatedWire}; what it sends reaches a
 * {@link mulleinfront.emulator.ServerModel}. {@code Script} makes the scenario's faults happen. Three watch:
 * {@link mulleinfront.emulator.Auditor} judges the four rules by what passed, {@code Tally} counts what clients
 * had, {@code Trace} writes down what modules were told and decided.
 *
 * <p>May import {@code core}, the module, a TOML reader and a JSON writer; nothing of the sockets. All chance
 * comes from {@link mulleinfront.emulator.Chance}, all time from the queue; nothing depends on the order of a
 * hash table, on a clock, a locale or another thread, so one seed has one course.
 */
package mulleinfront.emulator;
