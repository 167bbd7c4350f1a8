/** The admission of callers and the selection of instances for them. */
package org.gentianslip.entry.caller;
