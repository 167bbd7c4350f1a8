/** The choice of a backend server or another region for a request. */
package org.gentianslip.core.routing;
