package org.gentianslip.load.call;

import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have been written.
 *
 * <p>Each request carries its flag as a tag. Once set, a flag stays set. Thread-safe.
 */
final class SentFlag {

  private final AtomicBoolean sent = new AtomicBoolean();

  boolean isSent() {
    return sent.get();
  }

  /** Sets the flag of a request before its first byte is written. Stateless. */
  static final class SettingListener extends EventListener {
    @Override
    public void requestHeadersStart(Call call) {
      SentFlag flag = call.request().tag(SentFlag.class);
      if (flag != null) {
        flag.sent.set(true);
      }
    }
  }
}
