package org.gentianslip.entry.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Takes the answer to one request.
 *
 * <p>Exactly one of {@link #answer}, {@link #end} and {@link #abort} ends the request. Used on its
 * event loop only.
 */
interface ResponseWriter {

  /** Returns the loop on which all calls are made. */
  EventLoop loop();

  /** Sends a whole answer. */
  void answer(int status, HttpHeaders headers, byte[] body);

  /** Sends the head of a streamed answer. */
  void begin(int status, HttpHeaders headers);

  /** Sends a part of a streamed answer. */
  void write(byte[] part);

  /** Ends a streamed answer as complete. */
  void end();

  /** Breaks off, so that the answer cannot look complete. */
  void abort();

  /** Returns whether more may be written now without filling memory. */
  boolean isWritable();

  /** Sets what is told of the caller; replaces what was set before. */
  void listen(CallerListener events);
}
