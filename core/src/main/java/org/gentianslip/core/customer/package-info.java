/** Customers: which key belongs to whom, and what a customer may use. */
package org.gentianslip.core.customer;
