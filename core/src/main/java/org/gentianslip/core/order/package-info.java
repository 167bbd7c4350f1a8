/**
 * Decides which instance sends orders to an engine, and when.
 *
 * <p>An order states a desired state and is idempotent. Its author is determined by the published
 * list, so no two instances with the same version of the list are authors for the same engine.
 */
package org.gentianslip.core.order;
