/** Exchange of hellos and published items between instances that find each other from seeds. */
package org.gentianslip.entry.fleet;
