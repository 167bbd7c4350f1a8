/** What happens to a fleet in a run: arrivals, floods and faults. */
package org.gentianslip.bench.scenario;
