/** Calls to plain services: repeatable ones, and those that run at most once under a ticket. */
package org.gentianslip.entry.service;
