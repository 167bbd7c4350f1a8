/** Routes: which requests go to which service, and under which conditions. */
package org.gentianslip.core.route;
