/** Records the results of a load run and reports them as text and as JSON. */
package org.gentianslip.load.report;
