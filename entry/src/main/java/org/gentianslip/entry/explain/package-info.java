/** Keeps the last decisions, so that operators can see why a request went where it went. */
package org.gentianslip.entry.explain;
