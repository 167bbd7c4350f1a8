/**
 * Model requests: parsing, routing to engines, queueing, forwarding to other regions and the
 * response.
 */
package org.gentianslip.entry.model;
