/** The peer port: the exchange of hellos and settings between instances. */
package org.gentianslip.entry.peer;
