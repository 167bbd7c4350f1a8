/** Lets a build succeed despite failures of the tests that are listed as known to fail. */
package org.gentianslip.core.knownred;
