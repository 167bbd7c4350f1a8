/** The order in which waiting requests are served, and the refusal of those that wait in vain. */
package org.gentianslip.core.queue;
