package org.gentianslip.entry.gateway;

import io.netty.channel.Channel;

/**
 * A request that was passed to a {@link BackendClient}, and the state of its response.
 *
 * <p>Cancelling before the request is written has no effect on the other side; cancelling later
 * closes the connection. Confined to one event loop.
 */
final class Exchange {

  private final OutgoingRequest request;
  private final ResponseListener listener;
  private Channel channel;
  private String connectionUse = "none";
  private long connectedNanos;
  private boolean written;
  private boolean reading = true;
  private boolean ended;

  Exchange(OutgoingRequest request, ResponseListener listener) {
    this.request = request;
    this.listener = listener;
  }

  OutgoingRequest request() {
    return request;
  }

  ResponseListener listener() {
    return listener;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Returns whether any byte of the request may have been written. */
  boolean written() {
    return written;
  }

  /**
   * Marks the request as written.
   *
   * @param writtenTo the channel of the connection
   * @param use the connection and the number of the request on it, for logs
   * @param connected when the connection was established
   */
  void markWritten(Channel writtenTo, String use, long connected) {
    channel = writtenTo;
    connectionUse = use;
    connectedNanos = connected;
    written = true;
    setReading(reading);
  }

  /** Returns the connection and the number of the request on it, for logs. */
  String connectionUse() {
    return connectionUse;
  }

  /** Returns when the connection to which the request was written was established. */
  long connectedNanos() {
    return connectedNanos;
  }

  /** Marks the exchange as ended; returns false if it had ended before. */
  boolean markEnded() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  /** Ends the exchange with a failure, unless it has ended. */
  void fail(String cause) {
    if (markEnded()) {
      listener.onFailure(written, cause);
    }
  }

  /** Ends the exchange because its request may not be written any more, unless it has ended. */
  void endUnwritten() {
    if (markEnded()) {
      listener.onNotWritten();
    }
  }

  /**
   * Cancels the exchange; its listener is not called any more.
   *
   * @return whether any byte of the request may have been written
   */
  boolean cancel() {
    if (markEnded() && channel != null) {
      channel.close();
    }
    return written;
  }

  /** Pauses or resumes reading the response, also one that has not begun. */
  void setReading(boolean newReading) {
    reading = newReading;
    if (channel != null && !ended) {
      channel.config().setAutoRead(reading);
    }
  }
}
