package org.gentianslip.load.call;

import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Tells whether a byte of a request may have been written.
 *
 * <p>A request carries its mark as a tag. Once set, a mark stays set. Safe for use by several
 * threads.
 */
final class SentMark {

  private final AtomicBoolean sent = new AtomicBoolean();

  boolean isSent() {
    return sent.get();
  }

  /** Sets the mark of a call before its first byte is written. Stateless. */
  static final class Setter extends EventListener {
    @Override
    public void requestHeadersStart(Call call) {
      SentMark mark = call.request().tag(SentMark.class);
      if (mark != null) {
        mark.sent.set(true);
      }
    }
  }
}
