/** Helpers of the tests. */
package org.gentianslip.entry.testing;
