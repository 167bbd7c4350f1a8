package org.gentianslip.entry.model;

import java.util.OptionalLong;
import org.gentianslip.entry.relay.StreamRelay;

/**
 * Measures the time to the first token and between the tokens of a streamed response. Used by one
 * thread.
 */
final class TokenClock implements StreamRelay.Progress {

  private final ModelExchange exchange;
  private final ModelReport report;
  private boolean started;
  private long lastNanos;
  private long gapsNanos;
  private int gaps;

  TokenClock(ModelExchange exchange, ModelReport report) {
    this.exchange = exchange;
    this.report = report;
  }

  @Override
  public void events(int count) {
    long now = System.nanoTime();
    if (!started) {
      report.firstToken(now, exchange);
    } else {
      report.tokenGap(exchange, (now - lastNanos) / count);
      gapsNanos += now - lastNanos;
      gaps += count;
    }
    started = true;
    lastNanos = now;
  }

  /** Returns the mean time between tokens, in nanoseconds, if there were several. */
  OptionalLong meanGapNanos() {
    return gaps == 0 ? OptionalLong.empty() : OptionalLong.of(gapsNanos / gaps);
  }
}
