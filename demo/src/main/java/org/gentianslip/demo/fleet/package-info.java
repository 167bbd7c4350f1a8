/** Fleets of real processes on the loopback interface: plans, start-up and fault injection. */
package org.gentianslip.demo.fleet;
