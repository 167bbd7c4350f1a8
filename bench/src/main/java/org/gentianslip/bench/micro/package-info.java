/** Microbenchmarks of what runs on the path of a request. */
package org.gentianslip.bench.micro;
