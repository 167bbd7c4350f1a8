/** The entry process between callers and backend servers. */
package org.gentianslip.entry;
