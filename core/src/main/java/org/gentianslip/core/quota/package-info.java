/** Limits the work of each customer across all instances, without a coordinator. */
package org.gentianslip.core.quota;
