package org.gentianslip.core.load;

import org.gentianslip.core.limit.RefusalLimit;

/**
 * Tracks one request at a backend server from sending to its end.
 *
 * <p>Only the first call that reports an end has an effect. Thread-safe.
 */
public final class Reservation {

  private final BackendLoad load;
  private final boolean urgent;
  private final long sentNanos;
  private final double expectedMillis;
  private final boolean outdated;
  private final RefusalLimit.Send send;
  private double outstandingPrefillMillis;
  private boolean answered;
  private boolean ended;

  Reservation(
      BackendLoad load,
      boolean urgent,
      BackendEstimate estimate,
      long sentNanos,
      boolean outdated,
      RefusalLimit.Send send) {
    this.load = load;
    this.urgent = urgent;
    this.outstandingPrefillMillis = estimate.prefillMillis();
    this.expectedMillis = estimate.totalMillis();
    this.sentNanos = sentNanos;
    this.outdated = outdated;
    this.send = send;
  }

  /** Records that the first event of the answer has arrived, so the prompt is prefilled. */
  public void firstEventReceived(long nowNanos) {
    synchronized (load) {
      load.prefillEnded(urgent, outstandingPrefillMillis);
      outstandingPrefillMillis = 0;
      double millis = (nowNanos - sentNanos) / 1e6;
      load.updateWaitRatio(expectedMillis, millis);
      load.recordFirstPart(nowNanos, expectedMillis, millis);
      answered = true;
    }
  }

  /** Records a complete, successful answer. */
  public void succeeded(long nowNanos) {
    double millis = (nowNanos - sentNanos) / 1e6;
    end(
        () -> {
          load.recordSuccess(outdated, millis);
          if (!answered) {
            load.recordFirstPart(nowNanos, expectedMillis, millis);
            answered = true;
          }
        });
  }

  /** Records an error answer from a backend server that is otherwise healthy. */
  public void answeredWithError(long nowNanos) {
    end(() -> load.recordErrorAnswer());
  }

  /** Records that the backend server gave no answer or an incomplete one. */
  public void failed(long nowNanos) {
    end(() -> load.recordFailure(nowNanos));
  }

  /** Records that the backend server could not be connected to. */
  public void unreachable(long nowNanos) {
    end(() -> load.recordUnreachable(nowNanos, sentNanos));
  }

  /** Records that the backend server refused the request because it is full. */
  public void refusedAsFull(long nowNanos) {
    end(() -> load.recordFullRefusal(nowNanos, send));
  }

  /** Ends the reservation without a result that concerns the backend server's health. */
  public void released() {
    end(() -> {});
  }

  private void end(Runnable update) {
    synchronized (load) {
      if (ended) {
        return;
      }
      ended = true;
      load.prefillEnded(urgent, outstandingPrefillMillis);
      load.requestEnded();
      update.run();
      if (!answered) {
        load.recordNoFirstPart();
      }
    }
  }
}
