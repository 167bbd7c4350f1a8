/** Reading of settings and instance lists from the config service, and of engines' load reports. */
package org.gentianslip.entry.configservice;
