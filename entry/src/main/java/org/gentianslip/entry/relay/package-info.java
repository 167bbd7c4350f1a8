/** Sends one request to a backend server or a peer and relays its response. */
package org.gentianslip.entry.relay;
