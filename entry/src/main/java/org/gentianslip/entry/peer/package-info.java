/** The peers' port and the exchange of what instances know. */
package org.gentianslip.entry.peer;
