/** The command line that reports how fast service-level objectives burn their error budgets. */
package org.gentianslip.burn;
