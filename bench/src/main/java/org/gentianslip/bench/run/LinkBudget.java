package org.gentianslip.bench.run;

/** A token bucket of bytes that limits how much of a link one entry uses. Not thread-safe. */
final class LinkBudget {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private double availableBytes;
  private long refilledNanos;

  LinkBudget(double bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
    this.availableBytes = bytesPerSecond;
  }

  long available(long nowNanos) {
    double refilledBytes =
        availableBytes + (nowNanos - refilledNanos) / NANOS_PER_SECOND * bytesPerSecond;
    availableBytes = Math.min(bytesPerSecond, refilledBytes);
    refilledNanos = nowNanos;
    return (long) availableBytes;
  }

  void consume(long nowNanos, long byteCount) {
    available(nowNanos);
    availableBytes -= byteCount;
  }
}
