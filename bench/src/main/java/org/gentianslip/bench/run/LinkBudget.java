package org.gentianslip.bench.run;

/** Holds an entry's share of a link, as a bucket of bytes that fills evenly. For one thread. */
final class LinkBudget {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private double bytes;
  private long filledNanos;

  LinkBudget(double bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
    this.bytes = bytesPerSecond;
  }

  long free(long nowNanos) {
    double filled = bytes + (nowNanos - filledNanos) / NANOS_PER_SECOND * bytesPerSecond;
    bytes = Math.min(bytesPerSecond, filled);
    filledNanos = nowNanos;
    return (long) bytes;
  }

  void take(long nowNanos, long count) {
    free(nowNanos);
    bytes -= count;
  }
}
