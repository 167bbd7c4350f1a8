/** Virtual time. */
package org.gentianslip.bench.time;
