/** Streams of server-sent events, cut at whole events. */
package org.gentianslip.core.stream;
