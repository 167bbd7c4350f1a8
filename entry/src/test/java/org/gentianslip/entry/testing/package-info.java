/** Test support: fleets in this process, configurations and a relay that cuts connections. */
package org.gentianslip.entry.testing;
