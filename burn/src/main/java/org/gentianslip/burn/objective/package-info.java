/** Service-level objectives, as the settings give them. */
package org.gentianslip.burn.objective;
