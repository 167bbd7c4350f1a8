/** The policy bench in virtual time and the microbenchmarks. */
package org.gentianslip.bench;
