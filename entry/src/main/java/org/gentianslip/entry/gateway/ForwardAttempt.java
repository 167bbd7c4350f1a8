package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.membership.PeerRecord;

/**
 * Sends a request to an instance of another region, which never forwards it again. Used on one
 * event loop only.
 */
final class ForwardAttempt extends Attempt {

  private final PeerRecord peer;

  ForwardAttempt(RequestExecution run, PeerRecord peer) {
    super(run);
    this.peer = peer;
  }

  @Override
  void start(long nowNanos, int connectMillis) {
    HttpHeaders headers = run().toBackend(nowNanos);
    headers.set(Gateway.REMAINING, Long.toString(run().remainingMillis(nowNanos)));
    headers.set(Gateway.FORWARDED_BY, run().gateway().state().place().id().value());
    send(peer.forwardAddress(), headers, false, connectMillis);
  }

  @Override
  void noteFailure(long nowNanos) {
    run().gateway().state().regionBook().pauseInstance(nowNanos, peer.id());
  }

  @Override
  void noteSilence(long nowNanos) {}

  @Override
  void noteUnreachable(long nowNanos) {
    run().gateway().state().regionBook().pauseInstance(nowNanos, peer.id());
  }

  @Override
  EngineId place() {
    return EngineId.of("at:" + peer.id().value());
  }

  @Override
  void released() {}

  @Override
  void firstEvent() {}

  @Override
  void streamed() {}

  @Override
  boolean isTrusted(HttpHeaders head) {
    return run().gateway().edge().isSigned(head);
  }

  @Override
  void answered(int status, HttpHeaders headers, byte[] whole) {
    String outcome = headers.get(Gateway.OUTCOME, "");
    if (outcome.equals(Gateway.NOT_RUN)) {
      run().gateway().state().regionBook().pauseRegion(System.nanoTime(), peer.region());
      run().attemptNotRun(this, "instance refused");
      return;
    }
    boolean own = outcome.equals(Gateway.UNKNOWN);
    if (own) {
      run().attemptFailed(this, true, "instance answered status=" + status);
      return;
    }
    if (run().retriesAfterError(status)) {
      run().retryOrAnswer(this, status, run().toCaller(headers), whole);
      return;
    }
    run().answer(status, run().toCaller(headers), whole);
  }
}
