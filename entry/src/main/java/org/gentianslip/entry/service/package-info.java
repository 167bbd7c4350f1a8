/** Calls to plain services: idempotent calls, and calls that run at most once under a ticket. */
package org.gentianslip.entry.service;
