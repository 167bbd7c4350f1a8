/** Parses the metrics of entry instances and accumulates their counters over restarts. */
package org.gentianslip.burn.metric;
