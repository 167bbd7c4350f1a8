package org.gentianslip.entry.relay;

/**
 * Tracks a stream of server-sent events and detects whether it is complete.
 *
 * <p>A stream is complete if its last line of data is exactly {@code data: [DONE]}. Used by one
 * thread at a time.
 */
final class SseTracker {

  private static final byte[] DONE = {'d', 'a', 't', 'a', ':', ' ', '[', 'D', 'O', 'N', 'E', ']'};
  private static final int DATA_PREFIX_LENGTH = 5;

  private int lineLength;
  private int matchedLength;
  private int eventCount;
  private boolean doneSeen;
  private boolean dataAfterDone;

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
    if (matchedLength == lineLength && lineLength < DONE.length && DONE[lineLength] == b) {
      matchedLength++;
    }
    lineLength++;
  }

  private void endLine() {
    if (lineLength > 0 && doneSeen) {
      dataAfterDone = true;
    }
    if (matchedLength == DONE.length && lineLength == DONE.length) {
      doneSeen = true;
    } else if (matchedLength >= DATA_PREFIX_LENGTH) {
      eventCount++;
    }
    lineLength = 0;
    matchedLength = 0;
  }

  /** Returns whether the stream has ended with {@code data: [DONE]} and nothing followed. */
  boolean isComplete() {
    return doneSeen && !dataAfterDone && lineLength == 0;
  }

  /** Returns the number of data events so far, not counting {@code data: [DONE]}. */
  int eventCount() {
    return eventCount;
  }
}
