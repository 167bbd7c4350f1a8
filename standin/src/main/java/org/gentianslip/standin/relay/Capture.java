package org.gentianslip.standin.relay;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Keeps the first bytes that cross a link.
 *
 * <p>It holds at most its capacity and tells whether all bytes are in it. Safe for use by several
 * threads.
 */
final class Capture {

  private final int capacity;
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private boolean complete = true;

  Capture(int capacity) {
    this.capacity = capacity;
  }

  synchronized void add(ByteBuf bytes) {
    int room = Math.min(capacity - kept.size(), bytes.readableBytes());
    complete = complete && room == bytes.readableBytes();
    if (room > 0) {
      var copy = new byte[room];
      bytes.getBytes(bytes.readerIndex(), copy);
      kept.write(copy, 0, room);
    }
  }

  synchronized byte[] bytes() {
    return kept.toByteArray();
  }

  synchronized boolean isComplete() {
    return complete;
  }

  synchronized void clear() {
    kept.reset();
    complete = true;
  }
}
