package org.gentianslip.load.call;

/**
 * A server-sent event.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param type the event's type, {@code message} unless the server named one
 * @param data the data lines, joined by line feeds
 */
record ServerEvent(String type, String data) {}
