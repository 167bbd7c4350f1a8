/** Runs the decision code of the entries against the fakes, and measures. */
package org.gentianslip.bench.run;
