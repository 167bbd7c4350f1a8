/** Decisions without I/O: routing, limits, membership, tickets and recovery. */
package org.gentianslip.core;
