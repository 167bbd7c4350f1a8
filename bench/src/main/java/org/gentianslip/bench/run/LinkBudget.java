package org.gentianslip.bench.run;

/** A token bucket of bytes that limits how much of a link one entry uses. Not thread-safe. */
final class LinkBudget {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private double bytes;
  private long refilledNanos;

  LinkBudget(double bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
    this.bytes = bytesPerSecond;
  }

  long available(long nowNanos) {
    double refilled = bytes + (nowNanos - refilledNanos) / NANOS_PER_SECOND * bytesPerSecond;
    bytes = Math.min(bytesPerSecond, refilled);
    refilledNanos = nowNanos;
    return (long) bytes;
  }

  void consume(long nowNanos, long byteCount) {
    available(nowNanos);
    bytes -= byteCount;
  }
}
