/**
 * The command line, based on picocli. {@code serve} and {@code benchlink} start without it, because their start-up time
 * matters. Only the program's entry point depends on this package.
 */
package mulleinfront.cli;
