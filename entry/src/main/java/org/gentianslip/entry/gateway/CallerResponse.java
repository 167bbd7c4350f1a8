package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * The response to one caller, either plain or streamed.
 *
 * <p>A stream that has begun is either completed or aborted; nothing is written afterwards.
 * Confined to one event loop.
 */
final class CallerResponse {

  private final ResponseWriter writer;
  private boolean streamBegun;
  private Optional<String> lastEventId = Optional.empty();

  CallerResponse(ResponseWriter writer) {
    this.writer = writer;
  }

  /** Returns whether the head of a stream has been sent. */
  boolean streamBegun() {
    return streamBegun;
  }

  /** Returns the id of the last event sent that had one. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns whether another backend server can continue the response. */
  boolean canResume() {
    return !streamBegun || lastEventId.isPresent();
  }

  /** Sends a plain response. */
  void writeResponse(int status, HttpHeaders headers, byte[] body) {
    writer.writeResponse(status, headers, body);
  }

  /**
   * Sends complete events, preceded by the head before the first ones.
   *
   * @param lastId the id of the last event, if it has one
   */
  void writeEvents(HttpHeaders headers, byte[] events, Optional<String> lastId) {
    beginStreamIfNeeded(headers);
    lastId.ifPresent(id -> lastEventId = Optional.of(id));
    writer.writePart(events);
  }

  /** Completes a stream. */
  void completeStream(HttpHeaders headers) {
    beginStreamIfNeeded(headers);
    writer.endStream();
  }

  private void beginStreamIfNeeded(HttpHeaders headers) {
    if (!streamBegun) {
      streamBegun = true;
      writer.beginStream(200, headers);
    }
  }

  /** Aborts a stream that has begun, or else sends an empty response with the given status. */
  void abort(int status, HttpHeaders headers) {
    if (streamBegun) {
      writer.abort();
    } else {
      writer.writeResponse(status, headers, new byte[0]);
    }
  }
}
