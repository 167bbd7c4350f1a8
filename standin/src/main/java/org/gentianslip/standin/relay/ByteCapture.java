package org.gentianslip.standin.relay;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Captures the first bytes that a link delivers, up to a capacity.
 *
 * <p>It also records whether it has all bytes. Safe for use by several threads.
 */
final class ByteCapture {

  private final int capacity;
  private final ByteArrayOutputStream captured = new ByteArrayOutputStream();
  private boolean complete = true;

  ByteCapture(int capacity) {
    this.capacity = capacity;
  }

  synchronized void add(ByteBuf bytes) {
    int length = Math.min(capacity - captured.size(), bytes.readableBytes());
    complete = complete && length == bytes.readableBytes();
    if (length > 0) {
      var copy = new byte[length];
      bytes.getBytes(bytes.readerIndex(), copy);
      captured.write(copy, 0, length);
    }
  }

  synchronized byte[] bytes() {
    return captured.toByteArray();
  }

  synchronized boolean isComplete() {
    return complete;
  }

  synchronized void clear() {
    captured.reset();
    complete = true;
  }
}
