/** Small stand-ins for the platform and the backend servers. */
package org.gentianslip.standin;
