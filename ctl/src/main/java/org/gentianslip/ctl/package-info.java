/** The operators' command line. */
package org.gentianslip.ctl;
