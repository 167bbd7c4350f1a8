/** A record of recent decisions, by which operators can see how a request was routed and why. */
package org.gentianslip.entry.explain;
