/**
 * The order in which waiting requests are served, and the refusal of those that cannot meet their
 * deadline.
 */
package org.gentianslip.core.queue;
