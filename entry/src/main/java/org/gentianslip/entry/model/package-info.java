/** Model requests: parsing, the choice of an engine, waiting, forwarding and the answer. */
package org.gentianslip.entry.model;
