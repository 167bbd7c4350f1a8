/** The planned stop of an instance: which requests it still begins. */
package org.gentianslip.core.shutdown;
