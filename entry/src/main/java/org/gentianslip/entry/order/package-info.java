/** Sends orders to the engines of the region. */
package org.gentianslip.entry.order;
