/** Readings of clocks, as values. */
package org.gentianslip.core.time;
