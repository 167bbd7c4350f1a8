/**
 * Carries routed requests from callers to backend servers.
 *
 * <p>A request and all its exchanges stay on the event loop of its caller's connection.
 */
package org.gentianslip.entry.gateway;
