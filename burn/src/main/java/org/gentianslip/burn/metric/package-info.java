/** Metrics of entry instances: their text format and their totals over restarts. */
package org.gentianslip.burn.metric;
