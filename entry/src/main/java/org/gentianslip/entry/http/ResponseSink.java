package org.gentianslip.entry.http;

import java.io.IOException;
import java.util.Map;

/**
 * Sends the response to one request.
 *
 * <p>Exactly one of {@link #fail}, {@link #send} and {@link #begin} is called, once; {@code begin}
 * is followed by any number of writes and one {@link #end}. An implementation may be used by one
 * thread at a time.
 */
public interface ResponseSink {

  /** Sends an error response. */
  void fail(ErrorReply reply);

  /** Sends a response with a whole body. */
  void send(int status, Map<String, String> headers, byte[] body);

  /** Begins a streamed response. */
  void begin(int status, Map<String, String> headers);

  /**
   * Writes a chunk of a streamed response and waits until the connection has accepted it.
   *
   * @throws IOException if the caller has disconnected or does not read in time
   */
  void write(byte[] chunk) throws IOException;

  /** Ends a streamed response. */
  void end();
}
