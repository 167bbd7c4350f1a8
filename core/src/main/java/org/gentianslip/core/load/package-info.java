/** The load of backend servers, as far as it is known, and the choice among them. */
package org.gentianslip.core.load;
