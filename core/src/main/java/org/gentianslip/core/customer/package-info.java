/** The customers on whose behalf callers send requests. */
package org.gentianslip.core.customer;
