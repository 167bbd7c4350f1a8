/** Helpers for property tests. */
package org.gentianslip.core.testing;
