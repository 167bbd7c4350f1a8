/** Open-loop load runs, in which arrivals do not wait for answers. */
package org.gentianslip.load.run;
