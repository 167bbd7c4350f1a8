/** The event loop that drives virtual time. */
package org.gentianslip.bench.time;
