package org.gentianslip.core.load;

/**
 * Counts one request at a backend server from its sending to its end. Each of its methods has an
 * effect once. Safe for use by several threads.
 */
public final class Reservation {

  private final BackendLoad load;
  private final boolean urgent;
  private final long sentNanos;
  private final double expectedMillis;
  private double readingMillis;
  private boolean ended;

  Reservation(BackendLoad load, boolean urgent, BackendEstimate estimate, long sentNanos) {
    this.load = load;
    this.urgent = urgent;
    this.readingMillis = estimate.prefillMillis();
    this.expectedMillis = estimate.totalMillis();
    this.sentNanos = sentNanos;
  }

  /** Notes that the prompt was read: the first event has arrived. */
  public void firstEventReceived(long nowNanos) {
    synchronized (load) {
      load.read(urgent, readingMillis);
      readingMillis = 0;
      load.compare(expectedMillis, (nowNanos - sentNanos) / 1e6);
    }
  }

  /** Notes a complete answer. */
  public void succeeded(long nowNanos) {
    end(() -> load.succeeded((nowNanos - sentNanos) / 1e6));
  }

  /** Notes an answer that the backend server gave in good health, though not with success. */
  public void answeredWithError(long nowNanos) {
    end(() -> load.erred());
  }

  /** Notes that the backend server broke off or gave no answer. */
  public void failed(long nowNanos) {
    end(() -> load.failed(nowNanos));
  }

  /** Notes that no connection could be made. */
  public void unreachable(long nowNanos) {
    end(() -> load.unreachable(nowNanos));
  }

  /** Notes that the backend server refused since it is full. */
  public void refusedAsFull(long nowNanos) {
    end(() -> load.refusedAsFull(nowNanos));
  }

  /** Notes an end that tells nothing about the backend server. */
  public void released() {
    end(() -> {});
  }

  private void end(Runnable verdict) {
    synchronized (load) {
      if (ended) {
        return;
      }
      ended = true;
      load.read(urgent, readingMillis);
      load.left();
      verdict.run();
    }
  }
}
