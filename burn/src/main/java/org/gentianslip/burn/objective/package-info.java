/** The service-level objectives that the settings define. */
package org.gentianslip.burn.objective;
