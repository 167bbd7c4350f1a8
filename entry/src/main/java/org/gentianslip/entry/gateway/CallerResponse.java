package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * Sends one request's answer to its caller.
 *
 * <p>A stream that has begun ends as complete or is broken off; nothing follows either. Used on one
 * event loop only.
 */
final class CallerResponse {

  private final ResponseWriter sink;
  private boolean begun;
  private Optional<String> lastEvent = Optional.empty();

  CallerResponse(ResponseWriter sink) {
    this.sink = sink;
  }

  /** Returns whether a part of a stream was sent. */
  boolean begun() {
    return begun;
  }

  /** Returns the id of the last whole event that was sent. */
  Optional<String> lastEvent() {
    return lastEvent;
  }

  /** Returns whether another backend server can go on where the answer stands. */
  boolean mayGoOnElsewhere() {
    return !begun || lastEvent.isPresent();
  }

  /** Sends an answer as a whole. */
  void whole(int status, HttpHeaders headers, byte[] body) {
    sink.answer(status, headers, body);
  }

  /**
   * Sends whole events; the head goes before the first.
   *
   * @param lastId the id of the last of them, if it has one
   */
  void events(HttpHeaders headers, byte[] whole, Optional<String> lastId) {
    begin(headers);
    lastId.ifPresent(l -> lastEvent = Optional.of(l));
    sink.write(whole);
  }

  /** Ends a stream as complete. */
  void complete(HttpHeaders headers) {
    begin(headers);
    sink.end();
  }

  private void begin(HttpHeaders headers) {
    if (!begun) {
      begun = true;
      sink.begin(200, headers);
    }
  }

  /** Breaks a stream off that has begun, or sends an answer in its place. */
  void breakOff(int status, HttpHeaders headers) {
    if (begun) {
      sink.abort();
    } else {
      sink.answer(status, headers, new byte[0]);
    }
  }
}
