/**
 * The command line, on picocli: all words but {@code serve} and {@code benchlink}, which start without it since
 * their starts are measured. On top of everything; nothing imports it but the program's entry.
 */
package mulleinfront.cli;
