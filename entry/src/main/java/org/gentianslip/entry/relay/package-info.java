/** Carries one request to a backend server or a peer and its answer back. */
package org.gentianslip.entry.relay;
