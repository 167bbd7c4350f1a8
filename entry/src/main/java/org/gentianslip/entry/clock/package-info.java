/** Reads the clocks of this machine. */
package org.gentianslip.entry.clock;
