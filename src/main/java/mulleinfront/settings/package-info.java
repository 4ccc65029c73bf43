/**
 * Readers of settings: the platform's start-up configuration ({@code Config}, {@code EndpointList}; JSON), the settings
 * object in it and in the simulator's first message ({@code SettingsReader}), and the operators' TOML files
 * ({@code Section}, {@code ProcessSettings}, {@code FleetFile}, {@code ControlFile}; also scenarios in the emulator).
 * The package also has the JSON messages of the configuration watch ({@code WatchLine}, {@code DifferenceLine}). Each
 * error message is one line.
 *
 * <p>Data flow: bytes in, records out. Nothing here writes or watches a file.
 *
 * <p>Dependencies: the types of the balancer, {@code config} and {@code fleet}, Jackson, and tomlj in the TOML readers
 * only. Used by {@code proxy}, {@code benchlink}, {@code emulator}, the control plane and the command line. A default
 * start of the proxy loads no TOML classes.
 */
package mulleinfront.settings;
