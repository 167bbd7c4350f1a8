/** The known load of backend servers, and the selection of the server or region for a request. */
package org.gentianslip.core.load;
