/** Open-loop runs: arrivals do not wait for answers. */
package org.gentianslip.load.run;
