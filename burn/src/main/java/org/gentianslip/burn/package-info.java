/** The command line of the report on service-level burn. */
package org.gentianslip.burn;
