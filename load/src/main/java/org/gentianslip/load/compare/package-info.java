/** Measures what an entry instance adds to a backend server that is called directly. */
package org.gentianslip.load.compare;
