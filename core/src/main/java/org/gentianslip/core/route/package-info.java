/** Routes: which service serves a request, and under which conditions. */
package org.gentianslip.core.route;
