/** The command line of the open-loop load client. */
package org.gentianslip.load;
