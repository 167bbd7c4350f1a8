/** The comparison of routing policies in virtual time, and the microbenchmarks. */
package org.gentianslip.bench;
