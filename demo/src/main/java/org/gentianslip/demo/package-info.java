/** The command line that runs a complete fleet locally and checks the outcomes of its calls. */
package org.gentianslip.demo;
