/**
 * A stand-in for the links between regions, which delays, limits, counts and cuts TCP connections.
 */
package org.gentianslip.standin.relay;
