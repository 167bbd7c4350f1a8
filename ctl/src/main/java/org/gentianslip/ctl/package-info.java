/** The command line for operators: checks settings and queries running instances. */
package org.gentianslip.ctl;
