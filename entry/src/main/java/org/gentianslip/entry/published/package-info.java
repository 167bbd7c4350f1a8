/** Takes in what the platform publishes, from the publisher or from other instances. */
package org.gentianslip.entry.published;
