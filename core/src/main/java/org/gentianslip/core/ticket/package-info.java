/** Tickets by which a request that is not idempotent runs at most once. */
package org.gentianslip.core.ticket;
