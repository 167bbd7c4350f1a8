package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/** Estimates the memory of received headers. Stateless and safe for use by several threads. */
final class HeadSize {

  /** The memory of a header in addition to its characters, in bytes. */
  private static final int BYTES_PER_HEADER = 160;

  private HeadSize() {}

  /** Returns the estimated memory, in bytes. */
  static int bytes(HttpHeaders headers) {
    int bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> each = headers.iteratorCharSequence();
    while (each.hasNext()) {
      var header = each.next();
      bytes += BYTES_PER_HEADER + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
