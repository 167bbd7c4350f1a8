/** The log: its output, and the level and rate that the settings define. */
package org.gentianslip.entry.logging;
