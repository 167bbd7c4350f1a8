/** Fakes and fleets of the tests. */
package org.gentianslip.entry.testing;
