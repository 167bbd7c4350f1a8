/** The service-level burn report. */
package org.gentianslip.burn;
