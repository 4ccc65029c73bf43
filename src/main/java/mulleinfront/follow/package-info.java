/**
 * A client proxy's side of the fleet's configuration on sockets: one watch of one control machine at a time,
 * and the copy that is kept. Loaded only where {@code serve} is told to watch.
 */
package mulleinfront.follow;
