/** Formats results as tables, as JSON and as plots. */
package org.gentianslip.bench.report;
