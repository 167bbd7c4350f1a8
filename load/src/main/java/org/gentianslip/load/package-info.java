/** The command line of the open-loop load generator. */
package org.gentianslip.load;
