/** Helpers of the tests. */
package org.gentianslip.core.testing;
