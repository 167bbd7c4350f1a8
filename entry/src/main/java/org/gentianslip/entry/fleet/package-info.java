/** Exchanges between instances that know each other only from some seed addresses. */
package org.gentianslip.entry.fleet;
