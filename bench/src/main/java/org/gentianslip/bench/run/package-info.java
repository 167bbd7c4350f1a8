/** Simulates fleets with the routing code of the entries, and measures the policies. */
package org.gentianslip.bench.run;
