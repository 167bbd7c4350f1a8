/** Hash functions that return the same number for the same input in every instance. */
package org.gentianslip.core.hash;
