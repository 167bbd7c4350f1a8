/** Lets a build pass over the tests that are listed as known to fail, and over no others. */
package org.gentianslip.core.knownred;
