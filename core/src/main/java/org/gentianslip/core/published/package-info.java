/**
 * The state that the platform publishes: the configuration, the backend servers and evacuated data
 * centres.
 */
package org.gentianslip.core.published;
