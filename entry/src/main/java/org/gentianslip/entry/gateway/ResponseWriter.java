package org.gentianslip.entry.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Writes the response to one request.
 *
 * <p>Exactly one of {@link #writeResponse}, {@link #endStream} and {@link #abort} ends the request.
 * Confined to the event loop of the request.
 */
interface ResponseWriter {

  /** Returns the event loop on which all methods must be called. */
  EventLoop eventLoop();

  /** Writes a plain response. */
  void writeResponse(int status, HttpHeaders headers, byte[] body);

  /** Writes the head of a streamed response. */
  void beginStream(int status, HttpHeaders headers);

  /** Writes a part of the body of a streamed response. */
  void writePart(byte[] part);

  /** Completes a streamed response. */
  void endStream();

  /** Closes the connection, so that the response cannot look complete. */
  void abort();

  /** Returns whether the write buffer of the connection has room. */
  boolean isWritable();

  /**
   * Returns whether the caller is connected, after reading what has arrived from it. A disconnect
   * that is found is also passed to the listener, later.
   */
  boolean checkConnected();

  /** Sets the listener for connection events, replacing any previous one. */
  void setListener(CallerListener listener);
}
