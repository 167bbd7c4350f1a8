/** Prints results as a table, as JSON and as plots. */
package org.gentianslip.bench.report;
