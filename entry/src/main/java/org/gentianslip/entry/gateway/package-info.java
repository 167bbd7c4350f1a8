/**
 * Routes requests from callers to backend servers.
 *
 * <p>A request and all its exchanges are processed on the event loop of the caller's connection.
 */
package org.gentianslip.entry.gateway;
