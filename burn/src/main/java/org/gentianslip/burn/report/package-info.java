/** The report as text, JSON and a page. */
package org.gentianslip.burn.report;
