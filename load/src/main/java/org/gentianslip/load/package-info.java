/** The open-loop load client. */
package org.gentianslip.load;
