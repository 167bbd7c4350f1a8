/** The Prometheus metrics of an instance. */
package org.gentianslip.entry.metrics;
