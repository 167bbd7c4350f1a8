/** Microbenchmarks of the code that runs for every request. */
package org.gentianslip.bench.micro;
