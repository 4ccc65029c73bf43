/**
 * Capacity model of the fleet: estimates costs at a size from measured slopes, compares them with budgets, and orders
 * the missing mechanisms by urgency. Pure arithmetic without I/O, clock or threads.
 *
 * <p>Data flow: {@code bench} measures {@code Slope}s and reads {@code Row}s from a file, {@code Capacity} computes the
 * estimates and their order, {@code Page} formats them as the tables of docs/CAPACITY.md.
 *
 * <p>Has no dependency on other packages of this program.
 */
package mulleinfront.capacity;
