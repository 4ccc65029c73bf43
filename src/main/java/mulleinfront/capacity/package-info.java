/**
 * What the fleet costs at a size: measured slopes, the figure that each gives at that size, its budget and
 * margin, and which missing mechanism comes first. Pure arithmetic on figures that others have measured: no
 * I/O, clock or thread.
 *
 * <p>The way of data: {@code bench} measures {@code Slope}s and reads {@code Row}s from a file, {@code
 * Capacity} works out {@code Figure}s and their order, {@code Page} writes them as the tables of
 * docs/CAPACITY.md.
 *
 * <p>Imports nothing of this program.
 */
package mulleinfront.capacity;
