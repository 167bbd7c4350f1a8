/**
 * Beliefs about instances, regions and leaving backend servers, and the lists of entries for
 * callers.
 */
package org.gentianslip.core.membership;
