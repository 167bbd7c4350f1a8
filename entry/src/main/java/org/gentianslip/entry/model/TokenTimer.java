package org.gentianslip.entry.model;

import java.util.OptionalLong;
import org.gentianslip.entry.relay.StreamRelay;

/**
 * Measures the time to the first token and between the tokens of a streamed response. Used by one
 * thread.
 */
final class TokenTimer implements StreamRelay.Progress {

  private final ModelExchange exchange;
  private final ModelRequestReporter reporter;
  private boolean firstTokenSeen;
  private long lastEventNanos;
  private long totalGapNanos;
  private int gapCount;

  TokenTimer(ModelExchange exchange, ModelRequestReporter reporter) {
    this.exchange = exchange;
    this.reporter = reporter;
  }

  @Override
  public void onEvents(int count) {
    long nowNanos = System.nanoTime();
    if (!firstTokenSeen) {
      reporter.firstToken(nowNanos, exchange);
    } else {
      reporter.tokenGap(exchange, (nowNanos - lastEventNanos) / count);
      totalGapNanos += nowNanos - lastEventNanos;
      gapCount += count;
    }
    firstTokenSeen = true;
    lastEventNanos = nowNanos;
  }

  /** Returns the mean time between tokens, in nanoseconds, if there were several. */
  OptionalLong meanGapNanos() {
    return gapCount == 0 ? OptionalLong.empty() : OptionalLong.of(totalGapNanos / gapCount);
  }
}
