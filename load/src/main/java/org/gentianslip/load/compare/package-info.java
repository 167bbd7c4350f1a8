/** Measures the overhead of an entry instance against direct calls to a backend server. */
package org.gentianslip.load.compare;
