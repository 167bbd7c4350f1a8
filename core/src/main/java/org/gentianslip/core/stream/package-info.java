/** Streams of server-sent events: their boundaries, and the runs behind silent streams. */
package org.gentianslip.core.stream;
