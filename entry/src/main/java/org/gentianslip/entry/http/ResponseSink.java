package org.gentianslip.entry.http;

import java.io.IOException;
import java.util.Map;

/**
 * Takes the answer to one request.
 *
 * <p>Exactly one of {@link #fail}, {@link #send} and {@link #begin} is called, once; after {@code
 * begin} come any number of writes and one {@link #end}. An implementation may be used by one
 * thread at a time.
 */
public interface ResponseSink {

  /** Answers with a failure. */
  void fail(ErrorReply reply);

  /** Answers with a whole body. */
  void send(int status, Map<String, String> headers, byte[] body);

  /** Begins a streamed answer. */
  void begin(int status, Map<String, String> headers);

  /**
   * Writes a part of a streamed answer and waits until the connection has taken it.
   *
   * @throws IOException if the receiver has gone away or takes no bytes in time
   */
  void write(byte[] part) throws IOException;

  /** Ends a streamed answer. */
  void end();
}
