/**
 * Decides which instance gives orders to an engine, and when.
 *
 * <p>An order states a target that is harmless twice. Its author is found in the published list, so
 * no two instances with the same version of the list are authors for one engine.
 */
package org.gentianslip.core.order;
