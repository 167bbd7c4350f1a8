/** Hash functions that give every instance the same number for the same input. */
package org.gentianslip.core.hash;
