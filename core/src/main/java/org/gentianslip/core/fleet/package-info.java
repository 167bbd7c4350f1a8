/**
 * The instances of the fleet, as one instance sees them, and how it exchanges this view with
 * others: members report to the relay of their data centre, relays report to each other.
 */
package org.gentianslip.core.fleet;
