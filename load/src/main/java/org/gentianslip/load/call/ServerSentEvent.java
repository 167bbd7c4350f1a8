package org.gentianslip.load.call;

/**
 * A server-sent event.
 *
 * <p>Immutable and thread-safe.
 *
 * @param type the type of the event; {@code message} if the server names none
 * @param data the lines of data, joined by line feeds
 */
record ServerSentEvent(String type, String data) {}
