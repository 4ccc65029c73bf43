/**
 * The configuration server of a control-plane node: HTTP/1.1 for the watches of client proxies, and for operators
 * to propose versions and read the status. A {@link mulleinfront.config.VersionLog} determines the newest version.
 */
package mulleinfront.handout;
