/** The state of an instance: settings, instance list, engines, peers and other regions. */
package org.gentianslip.entry.state;
