/** Reads and tracks published items, from the publisher or from other instances. */
package org.gentianslip.entry.published;
