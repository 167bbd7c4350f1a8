package org.gentianslip.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Collects the bytes of a stream of server-sent events and gives them out by whole events.
 *
 * <p>An event ends with an empty line. The id of the last event that was given out is remembered,
 * so that the stream may be resumed behind it. Used by one thread at a time.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id:";
  private static final int INITIAL_BYTES = 512;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream(INITIAL_BYTES);
  private boolean lineEmpty = true;
  private int events;
  private String lastId;

  /** Returns the bytes of the events that the given bytes complete; empty if there is none. */
  public byte[] append(byte[] bytes) {
    int wholeUpTo = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\r') {
        continue;
      }
      boolean lineEnds = bytes[i] == '\n';
      if (lineEnds && lineEmpty) {
        wholeUpTo = i + 1;
        events++;
      }
      lineEmpty = lineEnds;
    }
    int before = pending.size();
    pending.write(bytes, 0, bytes.length);
    if (wholeUpTo == 0) {
      return new byte[0];
    }
    byte[] all = pending.toByteArray();
    byte[] whole = Arrays.copyOf(all, before + wholeUpTo);
    pending.reset();
    pending.write(all, whole.length, all.length - whole.length);
    noteIds(whole);
    return whole;
  }

  private void noteIds(byte[] whole) {
    String text = new String(whole, StandardCharsets.UTF_8);
    int at = text.lastIndexOf("\n" + ID_FIELD);
    int start = at >= 0 ? at + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
    if (start >= 0) {
      int end = text.indexOf('\n', start);
      lastId = text.substring(start + ID_FIELD.length(), end).trim();
    }
  }

  /** Returns the number of whole events, the empty ones among them. */
  public int events() {
    return events;
  }

  /** Returns whether bytes of an event that is not whole are left. */
  public boolean hasPartial() {
    return pending.size() > 0;
  }

  /** Returns the id of the last event that was given out. */
  public Optional<String> lastId() {
    return Optional.ofNullable(lastId);
  }
}
