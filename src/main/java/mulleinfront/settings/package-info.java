/**
 * Whatever reads settings: what the platform tells a client proxy ({@code Config}, {@code Listing}, JSON), what the
 * bench's first message tells an instance ({@code SettingsReader}, the same object), and the operators' own files
 * ({@code Section}, TOML: {@code Machine}, and scenarios in the emulator). What is wrong is said in one line.
 *
 * <p>The way of data: bytes of a file come in, records come out; nothing here keeps or watches a file.
 *
 * <p>May import the module's types, Jackson and, in what reads TOML alone, tomlj; under {@code proxy},
 * {@code benchlink}, {@code emulator} and the command line. The deployed start loads nothing of TOML.
 */
package mulleinfront.settings;
