/** What all three ports share: error answers, header names, JSON and response sinks. */
package org.gentianslip.entry.http;
