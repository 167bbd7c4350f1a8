/** Exchange of hellos and published items between instances, which find each other by seeds. */
package org.gentianslip.entry.fleet;
