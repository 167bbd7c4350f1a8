/** The instance of the gateway that stands between callers and backend servers. */
package org.gentianslip.entry;
