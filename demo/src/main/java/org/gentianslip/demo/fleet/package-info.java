/** Fleets of real processes on the loopback interface: their plan, their start and their faults. */
package org.gentianslip.demo.fleet;
