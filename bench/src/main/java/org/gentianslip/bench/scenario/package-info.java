/** The scenarios of a simulation: arrivals, floods and faults. */
package org.gentianslip.bench.scenario;
