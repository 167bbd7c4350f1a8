/** Calls through entry instances, one at a time. */
package org.gentianslip.load.call;
