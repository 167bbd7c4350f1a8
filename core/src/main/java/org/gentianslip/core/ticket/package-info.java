/** Tickets that ensure that a request that is not idempotent runs at most once. */
package org.gentianslip.core.ticket;
