package org.gentianslip.entry.relay;

/**
 * Tracks a stream of server-sent events and detects whether it is complete.
 *
 * <p>A stream is complete if its last line of data is exactly {@code data: [DONE]}. Used by one
 * thread at a time.
 */
final class SseTracker {

  private static final byte[] DONE = {'d', 'a', 't', 'a', ':', ' ', '[', 'D', 'O', 'N', 'E', ']'};
  private static final int DATA_PREFIX = 5;

  private int length;
  private int matched;
  private int events;
  private boolean done;
  private boolean afterDone;

  /** Processes the next bytes of the stream. */
  void accept(byte[] bytes) {
    for (byte b : bytes) {
      accept(b);
    }
  }

  private void accept(byte b) {
    if (b == '\r') {
      return;
    }
    if (b == '\n') {
      endLine();
      return;
    }
    if (matched == length && length < DONE.length && DONE[length] == b) {
      matched++;
    }
    length++;
  }

  private void endLine() {
    if (length > 0 && done) {
      afterDone = true;
    }
    if (matched == DONE.length && length == DONE.length) {
      done = true;
    } else if (matched >= DATA_PREFIX) {
      events++;
    }
    length = 0;
    matched = 0;
  }

  /** Returns whether the stream has ended with {@code data: [DONE]} and nothing followed. */
  boolean whole() {
    return done && !afterDone && length == 0;
  }

  /** Returns the number of data events so far, not counting {@code data: [DONE]}. */
  int events() {
    return events;
  }
}
