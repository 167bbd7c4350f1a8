/** The level and rate of log lines, as the settings say. */
package org.gentianslip.entry.logging;
