/**
 * HTTP components that all ports share: the server, error responses, header names, JSON and
 * response sinks.
 */
package org.gentianslip.entry.http;
