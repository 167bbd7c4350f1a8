/** What the platform publishes: the configuration, the backend servers and evacuations. */
package org.gentianslip.core.published;
