/** Reads what the platform publishes: the settings and the list of instances. */
package org.gentianslip.entry.configservice;
