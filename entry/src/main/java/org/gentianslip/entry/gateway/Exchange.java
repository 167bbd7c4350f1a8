package org.gentianslip.entry.gateway;

import io.netty.channel.Channel;

/**
 * Stands for a request that was given to a {@link BackendClient}.
 *
 * <p>Until the request is written it may be cancelled without a trace; later, a cancel closes its
 * connection. Used on one event loop only.
 */
final class Exchange {

  private final OutgoingRequest request;
  private final ResponseListener listener;
  private Channel channel;
  private boolean written;
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

  void writtenOn(Channel on) {
    channel = on;
    written = true;
  }

  /** Ends the exchange; returns false if it had ended before. */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  /** Ends the exchange with a failure. */
  void fail(String cause) {
    if (end()) {
      listener.failed(written, cause);
    }
  }

  /**
   * Gives the exchange up; its listener hears nothing more.
   *
   * @return whether a byte of the request may have been written
   */
  boolean cancel() {
    if (end() && channel != null) {
      channel.close();
    }
    return written;
  }

  /** Stops or continues reading the answer. */
  void setReading(boolean reading) {
    if (channel != null && !ended) {
      channel.config().setAutoRead(reading);
    }
  }
}
