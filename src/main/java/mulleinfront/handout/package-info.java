/**
 * The serving side of a control machine on sockets: HTTP/1.1 for client proxies that watch and for operators
 * who propose and ask. What is the newest version is a {@link mulleinfront.config.VersionLog}'s to say.
 */
package mulleinfront.handout;
