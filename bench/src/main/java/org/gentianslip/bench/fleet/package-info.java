/** Simulated engines and links, and the specifications of the example fleets. */
package org.gentianslip.bench.fleet;
