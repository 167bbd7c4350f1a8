/** Figures of a run, as text and as JSON. */
package org.gentianslip.load.report;
