package org.gentianslip.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of a stream of server-sent events at event boundaries.
 *
 * <p>An event ends with an empty line. Bytes of an incomplete event are buffered until the rest of
 * the event arrives. The id of the last returned event is kept, so that the stream can be resumed
 * after it. Not thread-safe.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id:";
  private static final int INITIAL_BYTES = 512;

  private ByteArrayOutputStream pending = new ByteArrayOutputStream(INITIAL_BYTES);
  private boolean lineEmpty = true;
  private int events;
  private String lastId;

  /**
   * Appends bytes of the stream, and returns the bytes of all events that are now complete; empty
   * if there are none.
   */
  public byte[] append(byte[] bytes) {
    int completeUpTo = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\r') {
        continue;
      }
      boolean isLineEnd = bytes[i] == '\n';
      if (isLineEnd && lineEmpty) {
        completeUpTo = i + 1;
        events++;
      }
      lineEmpty = isLineEnd;
    }
    int previouslyPending = pending.size();
    pending.write(bytes, 0, bytes.length);
    if (completeUpTo == 0) {
      return new byte[0];
    }
    byte[] all = pending.toByteArray();
    byte[] complete = Arrays.copyOf(all, previouslyPending + completeUpTo);
    pending.reset();
    pending.write(all, complete.length, all.length - complete.length);
    updateLastId(complete);
    return complete;
  }

  private void updateLastId(byte[] complete) {
    String text = new String(complete, StandardCharsets.UTF_8);
    int fieldIndex = text.lastIndexOf("\n" + ID_FIELD);
    int start = fieldIndex >= 0 ? fieldIndex + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
    if (start >= 0) {
      int end = text.indexOf('\n', start);
      lastId = text.substring(start + ID_FIELD.length(), end).trim();
    }
  }

  /** Returns the number of complete events, including empty ones. */
  public int events() {
    return events;
  }

  /** Returns the number of bytes of an incomplete event that are buffered. */
  public int pendingBytes() {
    return pending.size();
  }

  /** Releases the bytes of an incomplete event; nothing may be appended afterwards. */
  public void discardPending() {
    pending = new ByteArrayOutputStream(0);
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  public boolean hasIncompleteEvent() {
    return pending.size() > 0;
  }

  /** Returns the last event id in the returned events, if there was one. */
  public Optional<String> lastId() {
    return Optional.ofNullable(lastId);
  }
}
