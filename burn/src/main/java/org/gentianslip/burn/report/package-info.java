/** Formats the report as text, as JSON and as an HTML page. */
package org.gentianslip.burn.report;
