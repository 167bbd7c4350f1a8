/** Clients that read the settings and the metrics. */
package org.gentianslip.burn.source;
