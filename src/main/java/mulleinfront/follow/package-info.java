/**
 * Configuration subscription of a client proxy over the network: one watch of one control-plane node at a time, and a
 * cached copy on disk. Loaded only if {@code serve} is configured to watch the configuration.
 */
package mulleinfront.follow;
