/** Stands in for the links between regions: delays, limits, counts and cuts TCP connections. */
package org.gentianslip.standin.relay;
