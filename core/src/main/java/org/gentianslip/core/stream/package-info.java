/** Splitting of streams of server-sent events at event boundaries. */
package org.gentianslip.core.stream;
